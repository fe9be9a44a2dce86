#include "history.hpp" // history

#include <set> // set

namespace parsleyshift::scenarios
{
namespace
{

constexpr int most_deaths_per_request = 2;

std::string generation_of(const std::string& token)
{
    return token.substr(0, token.rfind(':'));
}

void check_stream(std::uint64_t id, const caller_record& seen, std::vector<std::string>& broken)
{
    const std::string request = "request " + std::to_string(id);
    if (seen.broken_order)
    {
        broken.push_back(request + ": tokens lost, doubled or out of order");
    }
    for (std::size_t position = 0; position < seen.tokens.size(); ++position)
    {
        if (generation_of(seen.tokens[position]) != generation_of(seen.tokens.front()))
        {
            broken.push_back(request + ": tokens of two generations in one answer");
            return;
        }
        const std::string expected = generation_of(seen.tokens.front()) + ":" + std::to_string(position);
        if (seen.tokens[position] != expected)
        {
            broken.push_back(request + ": token " + seen.tokens[position] + " at position " + std::to_string(position));
            return;
        }
    }
}

std::map<std::string, int> executions_by_key(const history& seen)
{
    std::map<std::string, int> counts;
    for (const auto& run : seen.executions)
    {
        if (!run.key.empty())
        {
            ++counts[run.key];
        }
    }
    return counts;
}

/// Executions of a request that carried no key are found by its payload; those from before it was asked belong to an
/// earlier request with the same payload.
bool ran(const history& seen, const caller_record& request)
{
    for (const auto& run : seen.executions)
    {
        const bool same =
            request.key.empty() ? run.payload == request.what && run.at >= request.asked : run.key == request.key;
        if (same)
        {
            return true;
        }
    }
    return false;
}

} // namespace

std::string token_text(const std::string& prompt, std::uint64_t attempt, std::int64_t position)
{
    return prompt + "#" + std::to_string(attempt) + ":" + std::to_string(position);
}

std::vector<std::string> broken_promises(const history& seen)
{
    std::vector<std::string> broken;
    for (const auto& [key, count] : executions_by_key(seen))
    {
        if (count > 1)
        {
            broken.push_back("order ran " + std::to_string(count) + " times");
        }
    }
    for (const auto& [id, request] : seen.callers)
    {
        check_stream(id, request, broken);
        if (request.end == outcome::not_run && ran(seen, request))
        {
            broken.push_back("request " + std::to_string(id) + ": reported not_run, but ran");
        }
    }
    for (const auto& [prompt, deaths] : seen.deaths)
    {
        if (deaths > most_deaths_per_request)
        {
            broken.push_back("prompt " + prompt + " killed " + std::to_string(deaths) + " endpoints");
        }
    }
    if (seen.late_work > 0)
    {
        broken.push_back(std::to_string(seen.late_work) + " pieces of work reached a leaving endpoint too late");
    }
    return broken;
}

} // namespace parsleyshift::scenarios
