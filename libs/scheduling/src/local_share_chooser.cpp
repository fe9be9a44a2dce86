#include <parsleyshift/scheduling/local_share_chooser.hpp> // local_share_chooser

#include <parsleyshift/core/hash.hpp> // rendezvous_score

#include <algorithm> // max
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
    found->second.memory = report.memory_capacity;
    found->second.waiting = report.waiting;
    found->second.leaving = found->second.leaving || report.leaving;
}

std::optional<endpoint_id> local_share_chooser::choose(std::int64_t expected_memory)
{
    std::optional<endpoint_id> best;
    double best_busy = std::numeric_limits<double>::max();
    for (const auto& [endpoint, state] : endpoints_)
    {
        if (!has_room(endpoint, state, expected_memory))
        {
            continue;
        }
        // The random part breaks ties, so that instances do not all start with the same endpoint.
        const double busy = (static_cast<double>(state.in_flight) + random_.fraction()) / state.health;
        if (busy < best_busy)
        {
            best = endpoint;
            best_busy = busy;
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
        found->second.reserved += expected_memory;
    }
}

void local_share_chooser::ended(const endpoint_id& endpoint, std::int64_t expected_memory)
{
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end())
    {
        found->second.in_flight = std::max<std::int64_t>(found->second.in_flight - 1, 0);
        found->second.reserved = std::max<std::int64_t>(found->second.reserved - expected_memory, 0);
    }
}

std::int64_t local_share_chooser::share_of(const endpoint_id& endpoint, std::int64_t total) const
{
    const std::int64_t whole = total / instances_;
    const std::int64_t rest = total % instances_;
    // A share of rest / instances of all instances gets one more; the hash spreads them over the endpoints.
    const std::uint64_t score =
        rendezvous_score(own_.value(), endpoint.value()) % static_cast<std::uint64_t>(instances_);
    return whole + (score < static_cast<std::uint64_t>(rest) ? 1 : 0);
}

bool local_share_chooser::has_room(const endpoint_id& endpoint, const endpoint_state& state,
                                   std::int64_t expected_memory) const
{
    if (state.leaving || state.health <= 0.0 || state.waiting > 0)
    {
        return false;
    }
    if (state.in_flight >= share_of(endpoint, state.slots))
    {
        return false;
    }
    // The first request may exceed the memory share, or long work could never run at a deployment of many instances.
    const bool first = state.in_flight == 0;
    return first || state.memory == 0 || state.reserved + expected_memory <= state.memory / instances_;
}

} // namespace parsleyshift
