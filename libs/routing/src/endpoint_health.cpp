#include <parsleyshift/routing/endpoint_health.hpp> // endpoint_health

#include <algorithm> // clamp, max, min, nth_element, sort
#include <cmath>     // abs, exp2, floor, log2

namespace parsleyshift
{

namespace
{

/// Turns a median absolute deviation into the standard deviation of a normal distribution.
constexpr double deviation_of_median = 1.4826;
/// After this many half-lives a sample counts for less than a thousandth.
constexpr int half_lives_remembered = 10;

/// The lower of the two middle values: with two endpoints, the faster one is the reference for the slower.
double lower_median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

double robust_deviation(const std::vector<double>& values, double median)
{
    std::vector<double> distances;
    distances.reserve(values.size());
    for (const double value : values)
    {
        distances.push_back(std::abs(value - median));
    }
    return deviation_of_median * lower_median(std::move(distances));
}

} // namespace

struct endpoint_health::signal
{
    decayed_mean patient::*samples;
    double signal_reference::*reference;
    duration half_life;
    double slow;
};

endpoint_health::endpoint_health(const health_policy& policy) : policy_(policy) {}

endpoint_health::patient* endpoint_health::find(const endpoint_id& endpoint)
{
    const auto known = patients_.find(endpoint);
    return known == patients_.end() ? nullptr : &known->second;
}

void endpoint_health::add(const endpoint_id& endpoint, const pool_id& pool)
{
    const patient* known = find(endpoint);
    if (known != nullptr && known->pool == pool)
    {
        return;
    }
    forget(endpoint);
    patient& added = patients_[endpoint];
    added.endpoint = endpoint;
    added.pool = pool;
    pools_[pool].members.push_back(&added);
}

void endpoint_health::forget(const endpoint_id& endpoint)
{
    patient* known = find(endpoint);
    if (known == nullptr)
    {
        return;
    }
    const auto pool = pools_.find(known->pool);
    std::erase(pool->second.members, known);
    if (pool->second.members.empty())
    {
        pools_.erase(pool);
    }
    patients_.erase(endpoint);
}

void endpoint_health::touch(const patient& seen, time_point now)
{
    const duration remembered = std::max(policy_.gap_half_life, policy_.first_half_life) * half_lives_remembered;
    pools_[seen.pool].active_until = now + remembered;
    next_ = std::min(next_, now + policy_.interval);
}

void endpoint_health::probe(patient& seen, double log_sample, double reference, double slow) const
{
    if (seen.state != health_state::probing)
    {
        return;
    }
    ++seen.probes;
    if (reference > 0 && log_sample > reference + std::log2(slow))
    {
        ++seen.slow_probes;
    }
}

void endpoint_health::token_gap(const endpoint_id& endpoint, duration gap, time_point now)
{
    if (patient* seen = find(endpoint))
    {
        seen->gap.add(gap, now, policy_.gap_half_life);
        probe(*seen, log_ms(gap), pools_[seen->pool].reference.gap, policy_.slow_gap);
        touch(*seen, now);
    }
}

void endpoint_health::first_token(const endpoint_id& endpoint, duration taken, time_point now)
{
    if (patient* seen = find(endpoint))
    {
        seen->first.add(taken, now, policy_.first_half_life);
        probe(*seen, log_ms(taken), pools_[seen->pool].reference.first, policy_.slow_first_token);
        touch(*seen, now);
    }
}

void endpoint_health::silent(const endpoint_id& endpoint, duration open_gap, time_point now)
{
    patient* seen = find(endpoint);
    if (seen == nullptr || log_ms(open_gap) <= seen->gap.log_mean())
    {
        return;
    }
    seen->gap.add(open_gap, policy_.interval, now, policy_.gap_half_life);
    probe(*seen, log_ms(open_gap), pools_[seen->pool].reference.gap, policy_.slow_gap);
    touch(*seen, now);
}

void endpoint_health::failed(const endpoint_id& endpoint, time_point now)
{
    if (patient* seen = find(endpoint))
    {
        ++seen->failures_in_row;
        touch(*seen, now);
    }
}

void endpoint_health::succeeded(const endpoint_id& endpoint)
{
    if (patient* seen = find(endpoint))
    {
        seen->failures_in_row = 0;
    }
}

void endpoint_health::judge_member(patient& member, double log_ratio, double threshold) const
{
    member.slowness = std::max(member.slowness, std::exp2(log_ratio));
    member.outlier = member.outlier || log_ratio > threshold;
    // Falls from 1 at half of the threshold to a half at the threshold.
    const double excess = std::clamp(log_ratio / threshold - 0.5, 0.0, 0.5);
    member.speed_weight = std::min(member.speed_weight, 1.0 - excess);
}

void endpoint_health::judge_signal(pool_state& pool, const signal& judged, time_point now) const
{
    std::vector<patient*> known;
    std::vector<double> values;
    for (patient* member : pool.members)
    {
        const decayed_mean& samples = member->*judged.samples;
        if (samples.samples(now, judged.half_life) >= policy_.least_samples)
        {
            known.push_back(member);
            values.push_back(samples.log_mean());
        }
    }
    if (known.size() < 2)
    {
        return;
    }
    const double median = lower_median(values);
    const double threshold = std::max(std::log2(judged.slow), policy_.deviations * robust_deviation(values, median));
    pool.reference.*judged.reference = median;
    for (std::size_t index = 0; index < known.size(); ++index)
    {
        judge_member(*known[index], values[index] - median, threshold);
    }
}

void endpoint_health::judge_speed(pool_state& pool, time_point now) const
{
    for (patient* member : pool.members)
    {
        member->outlier = false;
        member->slowness = 1.0;
        member->speed_weight = 1.0;
    }
    judge_signal(pool, {&patient::gap, &signal_reference::gap, policy_.gap_half_life, policy_.slow_gap}, now);
    judge_signal(pool, {&patient::first, &signal_reference::first, policy_.first_half_life, policy_.slow_first_token},
                 now);
}

std::size_t endpoint_health::ceiling(std::size_t members) const
{
    if (members < 2)
    {
        return 0;
    }
    const auto share = static_cast<std::size_t>(std::floor(static_cast<double>(members) * policy_.most_ejected));
    return std::clamp<std::size_t>(share, 1, members - 1);
}

bool endpoint_health::out_of_service(const patient& member) const
{
    return member.state == health_state::ejected || member.state == health_state::probing;
}

bool endpoint_health::should_eject(const patient& member) const
{
    return !out_of_service(member) && (member.outlier || member.failures_in_row >= policy_.failures);
}

void endpoint_health::eject(patient& seen, time_point now, std::vector<health_change>& changes) const
{
    const bool soon_again =
        seen.last_ejected != time_point::min() && now < seen.last_ejected + seen.ejection + policy_.forgive;
    seen.ejection = soon_again ? std::min(seen.ejection * 2, policy_.longest_ejection) : policy_.ejection;
    seen.last_ejected = now;
    seen.since = now + seen.ejection;
    seen.state = health_state::ejected;
    changes.push_back({seen.endpoint, seen.state, seen.failures_in_row >= policy_.failures ? 0.0 : seen.slowness});
}

void endpoint_health::eject_outliers(pool_state& pool, time_point now, std::vector<health_change>& changes) const
{
    std::vector<patient*> bad;
    std::size_t out = 0;
    for (patient* member : pool.members)
    {
        out += out_of_service(*member) ? 1 : 0;
        if (should_eject(*member))
        {
            bad.push_back(member);
        }
    }
    std::sort(bad.begin(), bad.end(),
              [this](const patient* left, const patient* right)
              {
                  const bool left_fails = left->failures_in_row >= policy_.failures;
                  const bool right_fails = right->failures_in_row >= policy_.failures;
                  if (left_fails != right_fails)
                  {
                      return left_fails;
                  }
                  return left->slowness != right->slowness ? left->slowness > right->slowness
                                                           : left->endpoint < right->endpoint;
              });
    const std::size_t most = ceiling(pool.members.size());
    for (patient* member : bad)
    {
        if (out >= most)
        {
            member->speed_weight = policy_.least_weight;
            continue;
        }
        eject(*member, now, changes);
        ++out;
    }
}

void endpoint_health::advance(patient& seen, time_point now, std::vector<health_change>& changes) const
{
    if (seen.state == health_state::ejected && now >= seen.since)
    {
        seen.state = health_state::probing;
        seen.gap.clear();
        seen.first.clear();
        seen.failures_in_row = 0;
        seen.probes = 0;
        seen.slow_probes = 0;
        changes.push_back({seen.endpoint, seen.state, seen.slowness});
        return;
    }
    if (seen.state == health_state::probing)
    {
        const bool judged = seen.probes >= policy_.probe_samples;
        if (seen.failures_in_row > 0 || (judged && 2 * seen.slow_probes >= seen.probes))
        {
            eject(seen, now, changes);
            return;
        }
        if (judged)
        {
            seen.state = health_state::recovering;
            seen.since = now;
            changes.push_back({seen.endpoint, seen.state, seen.slowness});
        }
        return;
    }
    if (seen.state == health_state::recovering && now >= seen.since + policy_.slow_start)
    {
        seen.state = health_state::healthy;
        changes.push_back({seen.endpoint, seen.state, seen.slowness});
    }
}

std::vector<health_change> endpoint_health::evaluate(time_point now)
{
    std::vector<health_change> changes;
    next_ = never;
    for (auto& [name, pool] : pools_)
    {
        const bool quiet = std::all_of(pool.members.begin(), pool.members.end(),
                                       [](const patient* member) { return member->state == health_state::healthy; });
        if (quiet && now > pool.active_until)
        {
            continue;
        }
        judge_speed(pool, now);
        for (patient* member : pool.members)
        {
            advance(*member, now, changes);
        }
        eject_outliers(pool, now, changes);
        next_ = now + policy_.interval;
    }
    return changes;
}

time_point endpoint_health::next_evaluation() const noexcept
{
    return next_;
}

double endpoint_health::weight(const endpoint_id& endpoint, time_point now) const
{
    const auto known = patients_.find(endpoint);
    if (known == patients_.end())
    {
        return 1.0;
    }
    const patient& seen = known->second;
    switch (seen.state)
    {
    case health_state::ejected:
        return 0.0;
    case health_state::probing:
        return policy_.probe_weight;
    case health_state::recovering:
    {
        const double risen =
            static_cast<double>((now - seen.since).count()) / static_cast<double>(policy_.slow_start.count());
        return std::min(seen.speed_weight, std::clamp(risen, policy_.probe_weight, 1.0));
    }
    case health_state::healthy:
        break;
    }
    return seen.speed_weight;
}

std::vector<endpoint_health_notice> endpoint_health::notices(time_point now, duration valid) const
{
    std::vector<endpoint_health_notice> found;
    for (const auto& [endpoint, seen] : patients_)
    {
        const double share = weight(endpoint, now);
        if (share < 1.0)
        {
            found.push_back({seen.pool, endpoint, share, now + valid});
        }
    }
    return found;
}

health_state endpoint_health::state(const endpoint_id& endpoint) const
{
    const auto known = patients_.find(endpoint);
    return known == patients_.end() ? health_state::healthy : known->second.state;
}

} // namespace parsleyshift
