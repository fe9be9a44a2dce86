#include <parsleyshift/routing/endpoint_costs.hpp> // load_cost, prefix_cost, link_cost

#include <algorithm> // max, min

namespace parsleyshift
{

double load_cost::operator()(const endpoint_candidate& candidate, const routing_query& query) const
{
    const endpoint_load& load = candidate.load;
    const double slots = load.slots > 0 ? load.slots : default_slots;
    double cost = ms_at_full_batch * std::min(1.0, load.requests / slots);
    cost += ms_per_queued_request * std::max(0.0, load.requests - slots);
    if (load.memory_capacity > 0)
    {
        const double needed = load.memory + static_cast<double>(query.prompt_tokens + query.expected_tokens);
        const double excess = needed / load.memory_capacity - memory_cost_threshold;
        cost += ms_at_full_memory * std::max(0.0, excess) / (1.0 - memory_cost_threshold);
    }
    return cost;
}

double prefix_cost::operator()(const endpoint_candidate& candidate, const routing_query& /*query*/) const
{
    return -ms_per_token * candidate.saved_tokens;
}

double link_cost::operator()(const endpoint_candidate& candidate, const routing_query& query) const
{
    switch (candidate.distance)
    {
    case link_distance::same_zone:
        return 0.0;
    case link_distance::same_region:
        return ms_same_region;
    case link_distance::other_region:
        break;
    }
    return ms_other_region + ms_per_kilobyte * static_cast<double>(query.bytes) / 1'000.0;
}

} // namespace parsleyshift
