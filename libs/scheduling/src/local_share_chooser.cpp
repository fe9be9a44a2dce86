#include <parsleyshift/scheduling/local_share_chooser.hpp> // local_share_chooser

#include <parsleyshift/core/hash.hpp> // rendezvous_score

#include <algorithm> // find, max
#include <limits>    // numeric_limits
#include <utility>   // move

namespace parsleyshift
{

local_share_chooser::local_share_chooser(instance_id own, std::uint64_t seed) : own_(std::move(own)), random_(seed) {}

void local_share_chooser::set_instances(std::int64_t count)
{
    instances_ = std::max<std::int64_t>(count, 1);
}

void local_share_chooser::add_endpoint(const endpoint_id& endpoint)
{
    endpoints_.try_emplace(endpoint);
}

void local_share_chooser::remove_endpoint(const endpoint_id& endpoint)
{
    endpoints_.erase(endpoint);
}

void local_share_chooser::set_leaving(const endpoint_id& endpoint)
{
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end())
    {
        found->second.leaving = true;
    }
}

void local_share_chooser::set_start_limited(const endpoint_id& endpoint, bool limited)
{
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end())
    {
        found->second.start_limited = limited;
    }
}

void local_share_chooser::set_health(const endpoint_id& endpoint, double weight)
{
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end())
    {
        found->second.health = weight;
    }
}

void local_share_chooser::report(const load_report& report)
{
    const auto found = endpoints_.find(report.endpoint);
    if (found == endpoints_.end())
    {
        return;
    }
    found->second.slots = report.slots;
    found->second.memory_capacity = report.memory_capacity;
    found->second.waiting = report.waiting;
    found->second.leaving = found->second.leaving || report.leaving;
}

std::optional<endpoint_id> local_share_chooser::choose(std::int64_t expected_memory,
                                                       const std::vector<endpoint_id>& excluded)
{
    std::optional<endpoint_id> best;
    double lowest_load = std::numeric_limits<double>::max();
    for (const auto& [endpoint, state] : endpoints_)
    {
        const bool is_excluded = std::find(excluded.begin(), excluded.end(), endpoint) != excluded.end();
        if (is_excluded || !has_room(endpoint, state, expected_memory))
        {
            continue;
        }
        // The random fraction breaks ties, so that instances do not all start with the same endpoint.
        const double load = (static_cast<double>(state.in_flight) + random_.fraction()) / state.health;
        if (load < lowest_load)
        {
            best = endpoint;
            lowest_load = load;
        }
    }
    return best;
}

void local_share_chooser::started(const endpoint_id& endpoint, std::int64_t expected_memory)
{
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end())
    {
        ++found->second.in_flight;
        found->second.reserved_memory += expected_memory;
    }
}

void local_share_chooser::ended(const endpoint_id& endpoint, std::int64_t expected_memory)
{
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end())
    {
        found->second.in_flight = std::max<std::int64_t>(found->second.in_flight - 1, 0);
        found->second.reserved_memory = std::max<std::int64_t>(found->second.reserved_memory - expected_memory, 0);
    }
}

std::int64_t local_share_chooser::share_of(const endpoint_id& endpoint, std::int64_t total) const
{
    const std::int64_t quotient = total / instances_;
    const std::int64_t remainder = total % instances_;
    // A fraction remainder / instances of the instances gets one more; the hash selects others for each endpoint.
    const std::uint64_t score =
        rendezvous_score(own_.value(), endpoint.value()) % static_cast<std::uint64_t>(instances_);
    return quotient + (score < static_cast<std::uint64_t>(remainder) ? 1 : 0);
}

bool local_share_chooser::has_room(const endpoint_id& endpoint, const endpoint_state& state,
                                   std::int64_t expected_memory) const
{
    if (state.leaving || state.start_limited || state.health <= 0.0 || state.waiting > 0)
    {
        return false;
    }
    if (state.in_flight >= share_of(endpoint, state.slots))
    {
        return false;
    }
    // The first request may exceed the memory share, otherwise long requests could never run with many instances.
    const bool first = state.in_flight == 0;
    return first || state.memory_capacity == 0 ||
           state.reserved_memory + expected_memory <= state.memory_capacity / instances_;
}

} // namespace parsleyshift
