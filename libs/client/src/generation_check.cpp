#include <parsleyshift/client/generation_check.hpp> // generation_check

#include <parsleyshift/client/json_member.hpp> // member_or

#include <utility> // move

namespace parsleyshift
{

bool generation_check::handle(const stream_event& event)
{
    const nlohmann::json data = nlohmann::json::parse(event.data, nullptr, false);
    if (!data.is_object())
    {
        return fail("the data of a stream event is not a JSON object");
    }
    if (event.name == "start")
    {
        return handle_start(data);
    }
    if (event.name == "tokens")
    {
        return handle_tokens(data);
    }
    if (event.name == "end")
    {
        return handle_end(data);
    }
    if (event.name == "error")
    {
        caller_answer failed;
        failed.what = value_of<outcome>(member_or<std::string>(data, "outcome", "")).value_or(outcome::unknown);
        failed.why = read_problem(data);
        failed.body = data;
        failure_ = std::move(failed);
        return false;
    }
    return true;
}

bool generation_check::resumable() const
{
    if (complete_ || invalid_ || continuation_.empty())
    {
        return false;
    }
    if (!failure_.has_value())
    {
        return true;
    }
    const error_kind kind = failure_->why->kind;
    return kind == error_kind::link_broken || kind == error_kind::shutting_down;
}

bool generation_check::handle_start(const nlohmann::json& data)
{
    const auto generation = member_or<std::string>(data, "generation", "");
    if (received_ > 0 && generation != generation_)
    {
        return fail("the resumed stream belongs to another generation");
    }
    generation_ = generation;
    continuation_ = member_or<std::string>(data, "continuation", continuation_);
    if (receiver_.started)
    {
        receiver_.started(member_or<std::string>(data, "instance", ""));
    }
    return true;
}

bool generation_check::handle_tokens(const nlohmann::json& data)
{
    const auto offset = member_or<std::int64_t>(data, "offset", -1);
    if (offset != received_)
    {
        return fail("tokens at offset " + std::to_string(offset) + " arrived after " + std::to_string(received_) +
                    " tokens");
    }
    if (!data.contains("tokens") || !data["tokens"].is_array())
    {
        return fail("a tokens event has no array \"tokens\"");
    }
    for (const nlohmann::json& token : data["tokens"])
    {
        if (!token.is_string())
        {
            return fail("a token is not a string");
        }
        ++received_;
        receiver_.token(token.get_ref<const std::string&>());
    }
    return true;
}

bool generation_check::handle_end(const nlohmann::json& data)
{
    const auto count = member_or<std::int64_t>(data, "count", -1);
    if (count != received_)
    {
        return fail("the end marker counts " + std::to_string(count) + " tokens, but " + std::to_string(received_) +
                    " were received");
    }
    complete_ = true;
    return false;
}

bool generation_check::fail(const std::string& what)
{
    invalid_ = true;
    failure_ = failed_answer(outcome::failed, make_error(error_kind::incomplete_answer, what));
    return false;
}

} // namespace parsleyshift
