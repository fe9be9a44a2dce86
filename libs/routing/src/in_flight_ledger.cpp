#include <parsleyshift/routing/in_flight_ledger.hpp> // in_flight_ledger

#include <algorithm> // max

namespace parsleyshift
{

namespace
{

/// Changes older than this are in every report that is still of use.
constexpr duration longest_memory{5'000};

} // namespace

in_flight_ledger::in_flight_ledger(duration report_lag) : report_lag_(report_lag) {}

void in_flight_ledger::note(const endpoint_id& endpoint, const change& noted)
{
    account& known = accounts_[endpoint];
    known.requests = std::max<std::int64_t>(0, known.requests + noted.requests);
    known.tokens = std::max<std::int64_t>(0, known.tokens + noted.tokens);
    while (!known.recent.empty() && known.recent.front().when + longest_memory < noted.when)
    {
        known.recent.pop_front();
    }
    if (!known.recent.empty() && known.recent.back().when == noted.when)
    {
        known.recent.back().requests += noted.requests;
        known.recent.back().tokens += noted.tokens;
        return;
    }
    known.recent.push_back(noted);
}

void in_flight_ledger::started(const endpoint_id& endpoint, std::int64_t tokens, time_point now)
{
    note(endpoint, {now, 1, tokens});
}

void in_flight_ledger::ended(const endpoint_id& endpoint, std::int64_t tokens, time_point now)
{
    if (in_flight(endpoint) > 0)
    {
        note(endpoint, {now, -1, -tokens});
    }
}

void in_flight_ledger::forget(const endpoint_id& endpoint)
{
    accounts_.erase(endpoint);
}

std::int64_t in_flight_ledger::in_flight(const endpoint_id& endpoint) const
{
    const auto known = accounts_.find(endpoint);
    return known == accounts_.end() ? 0 : known->second.requests;
}

endpoint_load in_flight_ledger::load(const endpoint_entry& entry) const
{
    const auto found = accounts_.find(entry.endpoint);
    const account none;
    const account& own = found == accounts_.end() ? none : found->second;
    endpoint_load known;
    if (!entry.load)
    {
        known.requests = static_cast<double>(own.requests);
        known.memory = static_cast<double>(own.tokens);
        return known;
    }
    std::int64_t requests = entry.load->running + entry.load->waiting;
    std::int64_t memory = entry.load->memory_used;
    const time_point measured = entry.load_received - report_lag_;
    for (auto noted = own.recent.rbegin(); noted != own.recent.rend() && noted->when > measured; ++noted)
    {
        requests += noted->requests;
        memory += noted->tokens;
    }
    known.requests = static_cast<double>(std::max(own.requests, requests));
    known.memory = static_cast<double>(std::max<std::int64_t>(0, memory));
    known.slots = static_cast<double>(entry.load->slots);
    known.memory_capacity = static_cast<double>(entry.load->memory_capacity);
    return known;
}

} // namespace parsleyshift
