#include <parsleyshift/routing/hedge_policy.hpp> // hedge_policy

#include <parsleyshift/core/hash.hpp> // mix_hash, stable_hash

#include <algorithm> // max

namespace parsleyshift
{

namespace
{

bool eligible_for_hedging(const hedge_candidate& request, const priority_record& priority, const hedge_settings& bounds)
{
    const bool is_short = request.expected_tokens <= bounds.max_expected_tokens;
    const bool is_first = request.attempts == 1 && request.delivered == 0;
    return priority.hedged && request.idempotent && is_short && is_first;
}

} // namespace

std::size_t hedge_policy::latency_key_hash::operator()(const latency_key& key) const noexcept
{
    return mix_hash(stable_hash(key.service.value()), stable_hash(key.work_class.value()));
}

hedge_policy::hedge_policy(const hedge_settings& bounds) : bounds_(bounds) {}

void hedge_policy::record_latency(const service_id& service, const class_id& work_class, duration latency)
{
    const latency_key key{service, work_class};
    auto entry = latencies_.find(key);
    if (entry == latencies_.end())
    {
        if (latencies_.size() >= bounds_.max_latency_keys)
        {
            return;
        }
        entry = latencies_.emplace(key, rotating_quantile{bounds_.quantile}).first;
    }
    entry->second.add(latency);
}

std::optional<duration> hedge_policy::delay(const hedge_candidate& request, const priority_record& priority) const
{
    const auto entry = latencies_.find({request.service, priority.name});
    if (!eligible_for_hedging(request, priority, bounds_) || entry == latencies_.end())
    {
        return std::nullopt;
    }
    const std::optional<duration> quantile = entry->second.value(bounds_.min_samples);
    if (!quantile || *quantile > bounds_.max_delay)
    {
        return std::nullopt;
    }
    const duration delay = std::max(*quantile, bounds_.min_delay);
    return delay < request.time_left ? std::optional{delay} : std::nullopt;
}

bool hedge_policy::try_hedge(const hedge_candidate& request, const priority_record& priority,
                             retry_budget& budget) const
{
    return eligible_for_hedging(request, priority, bounds_) && request.time_left > duration{} && budget.try_spend();
}

} // namespace parsleyshift
