#include <parsleyshift/routing/hedge_policy.hpp> // hedge_policy

#include <parsleyshift/core/hash.hpp> // mix_hash, stable_hash

#include <algorithm> // max

namespace parsleyshift
{

namespace
{

bool eligible_for_hedging(const hedge_situation& work, const priority_record& priority, const hedge_bounds& bounds)
{
    const bool is_short = work.expected_tokens <= bounds.max_expected_tokens;
    const bool is_first = work.attempts == 1 && work.delivered == 0;
    return priority.hedged && work.idempotent && is_short && is_first;
}

} // namespace

std::size_t hedge_policy::service_class_hash::operator()(const service_class& key) const noexcept
{
    return mix_hash(stable_hash(key.service.value()), stable_hash(key.work_class.value()));
}

hedge_policy::hedge_policy(const hedge_bounds& bounds) : bounds_(bounds) {}

void hedge_policy::answered(const service_id& service, const class_id& work_class, duration latency)
{
    const service_class key{service, work_class};
    auto entry = latencies_.find(key);
    if (entry == latencies_.end())
    {
        if (latencies_.size() >= bounds_.max_service_classes)
        {
            return;
        }
        entry = latencies_.emplace(key, rotating_quantile{bounds_.quantile}).first;
    }
    entry->second.add(latency);
}

std::optional<duration> hedge_policy::delay(const hedge_situation& work, const priority_record& priority) const
{
    const auto entry = latencies_.find({work.service, priority.name});
    if (!eligible_for_hedging(work, priority, bounds_) || entry == latencies_.end())
    {
        return std::nullopt;
    }
    const std::optional<duration> percentile = entry->second.value(bounds_.min_samples);
    if (!percentile || *percentile > bounds_.max_delay)
    {
        return std::nullopt;
    }
    const duration delay = std::max(*percentile, bounds_.min_delay);
    return delay < work.time_left ? std::optional{delay} : std::nullopt;
}

bool hedge_policy::may_hedge(const hedge_situation& work, const priority_record& priority, retry_budget& budget) const
{
    return eligible_for_hedging(work, priority, bounds_) && work.time_left > duration{} && budget.try_spend();
}

} // namespace parsleyshift
