#include <parsleyshift/routing/hedge_policy.hpp> // hedge_policy

#include <parsleyshift/core/hash.hpp> // mix_hash, stable_hash

#include <algorithm> // max

namespace parsleyshift
{

namespace
{

bool may_be_hedged(const hedge_situation& work, const priority_record& priority, const hedge_bounds& bounds)
{
    const bool is_short = work.expected_tokens <= bounds.most_tokens;
    const bool is_first = work.attempts == 1 && work.delivered == 0;
    return priority.hedged && work.idempotent && is_short && is_first;
}

} // namespace

std::size_t hedge_policy::kind_hash::operator()(const kind& key) const noexcept
{
    return mix_hash(stable_hash(key.service.value()), stable_hash(key.work_class.value()));
}

hedge_policy::hedge_policy(const hedge_bounds& bounds) : bounds_(bounds) {}

void hedge_policy::answered(const service_id& service, const class_id& work_class, duration taken)
{
    const kind key{service, work_class};
    auto known = learned_.find(key);
    if (known == learned_.end())
    {
        if (learned_.size() >= bounds_.most_kinds)
        {
            return;
        }
        known = learned_.emplace(key, rotating_quantile{bounds_.quantile}).first;
    }
    known->second.add(taken);
}

std::optional<duration> hedge_policy::delay(const hedge_situation& work, const priority_record& priority) const
{
    const auto known = learned_.find({work.service, priority.name});
    if (!may_be_hedged(work, priority, bounds_) || known == learned_.end())
    {
        return std::nullopt;
    }
    const std::optional<duration> learned = known->second.value(bounds_.least_samples);
    if (!learned || *learned > bounds_.longest_delay)
    {
        return std::nullopt;
    }
    const duration delay = std::max(*learned, bounds_.least_delay);
    return delay < work.time_left ? std::optional{delay} : std::nullopt;
}

bool hedge_policy::may_hedge(const hedge_situation& work, const priority_record& priority, retry_budget& budget) const
{
    return may_be_hedged(work, priority, bounds_) && work.time_left > duration{} && budget.try_spend();
}

} // namespace parsleyshift
