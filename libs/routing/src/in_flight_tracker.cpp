#include <parsleyshift/routing/in_flight_tracker.hpp> // in_flight_tracker

#include <algorithm> // max

namespace parsleyshift
{

namespace
{

/// Time for which changes are kept; every report still in use already includes older ones.
constexpr duration change_retention{5'000};

} // namespace

in_flight_tracker::in_flight_tracker(duration report_lag) : report_lag_(report_lag) {}

void in_flight_tracker::record(const endpoint_id& endpoint, const change& recorded)
{
    endpoint_counts& counts = counts_[endpoint];
    counts.requests = std::max<std::int64_t>(0, counts.requests + recorded.requests);
    counts.tokens = std::max<std::int64_t>(0, counts.tokens + recorded.tokens);
    while (!counts.recent.empty() && counts.recent.front().when + change_retention < recorded.when)
    {
        counts.recent.pop_front();
    }
    if (!counts.recent.empty() && counts.recent.back().when == recorded.when)
    {
        counts.recent.back().requests += recorded.requests;
        counts.recent.back().tokens += recorded.tokens;
        return;
    }
    counts.recent.push_back(recorded);
}

void in_flight_tracker::record_start(const endpoint_id& endpoint, std::int64_t tokens, time_point now)
{
    record(endpoint, {now, 1, tokens});
}

void in_flight_tracker::record_end(const endpoint_id& endpoint, std::int64_t tokens, time_point now)
{
    if (in_flight(endpoint) > 0)
    {
        record(endpoint, {now, -1, -tokens});
    }
}

void in_flight_tracker::remove(const endpoint_id& endpoint)
{
    counts_.erase(endpoint);
}

std::int64_t in_flight_tracker::in_flight(const endpoint_id& endpoint) const
{
    const auto found = counts_.find(endpoint);
    return found == counts_.end() ? 0 : found->second.requests;
}

endpoint_load in_flight_tracker::load(const endpoint_entry& entry) const
{
    const auto found = counts_.find(entry.endpoint);
    const endpoint_counts empty;
    const endpoint_counts& own = found == counts_.end() ? empty : found->second;
    endpoint_load corrected;
    if (!entry.load)
    {
        corrected.requests = static_cast<double>(own.requests);
        corrected.memory = static_cast<double>(own.tokens);
        return corrected;
    }
    std::int64_t requests = entry.load->running + entry.load->waiting;
    std::int64_t memory = entry.load->memory_used;
    const time_point measured = entry.load_received - report_lag_;
    for (auto recorded = own.recent.rbegin(); recorded != own.recent.rend() && recorded->when > measured; ++recorded)
    {
        requests += recorded->requests;
        memory += recorded->tokens;
    }
    corrected.requests = static_cast<double>(std::max(own.requests, requests));
    corrected.memory = static_cast<double>(std::max<std::int64_t>(0, memory));
    corrected.slots = static_cast<double>(entry.load->slots);
    corrected.memory_capacity = static_cast<double>(entry.load->memory_capacity);
    return corrected;
}

} // namespace parsleyshift
