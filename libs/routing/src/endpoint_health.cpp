#include <parsleyshift/routing/endpoint_health.hpp> // endpoint_health

#include <algorithm> // clamp, max, min, nth_element, sort
#include <cmath>     // abs, exp2, floor, log2

namespace parsleyshift
{

namespace
{

/// Factor from the median absolute deviation to the standard deviation of a normal distribution.
constexpr double deviations_per_mad = 1.4826;
/// Half-lives after which a sample has lost more than 99.9 % of its weight.
constexpr int retained_half_lives = 10;

/// Returns the lower of the two middle values, so that of two endpoints the faster one is the reference.
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
    return deviations_per_mad * lower_median(std::move(distances));
}

} // namespace

struct endpoint_health::signal
{
    decayed_mean tracked_endpoint::*samples;
    double signal_reference::*reference;
    duration half_life;
    double slow_factor;
};

endpoint_health::endpoint_health(const health_policy& policy) : policy_(policy) {}

endpoint_health::tracked_endpoint* endpoint_health::find(const endpoint_id& endpoint)
{
    const auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? nullptr : &found->second;
}

void endpoint_health::add(const endpoint_id& endpoint, const pool_id& pool)
{
    const tracked_endpoint* tracked = find(endpoint);
    if (tracked != nullptr && tracked->pool == pool)
    {
        return;
    }
    remove(endpoint);
    tracked_endpoint& added = endpoints_[endpoint];
    added.endpoint = endpoint;
    added.pool = pool;
    pools_[pool].members.push_back(&added);
}

void endpoint_health::remove(const endpoint_id& endpoint)
{
    tracked_endpoint* tracked = find(endpoint);
    if (tracked == nullptr)
    {
        return;
    }
    const auto pool = pools_.find(tracked->pool);
    std::erase(pool->second.members, tracked);
    if (pool->second.members.empty())
    {
        pools_.erase(pool);
    }
    endpoints_.erase(endpoint);
}

void endpoint_health::schedule_evaluation(const tracked_endpoint& tracked, time_point now)
{
    const duration retention = std::max(policy_.gap_half_life, policy_.first_token_half_life) * retained_half_lives;
    pools_[tracked.pool].active_until = now + retention;
    next_evaluation_ = std::min(next_evaluation_, now + policy_.evaluation_interval);
}

void endpoint_health::count_probe(tracked_endpoint& tracked, double log_sample, double reference,
                                  double slow_factor) const
{
    if (tracked.state != health_state::probing)
    {
        return;
    }
    ++tracked.probes;
    if (reference > 0 && log_sample > reference + std::log2(slow_factor))
    {
        ++tracked.slow_probes;
    }
}

void endpoint_health::record_token_gap(const endpoint_id& endpoint, duration gap, time_point now)
{
    if (tracked_endpoint* tracked = find(endpoint))
    {
        tracked->gap.add(gap, now, policy_.gap_half_life);
        count_probe(*tracked, log_ms(gap), pools_[tracked->pool].reference.gap, policy_.slow_gap_factor);
        schedule_evaluation(*tracked, now);
    }
}

void endpoint_health::record_first_token(const endpoint_id& endpoint, duration latency, time_point now)
{
    if (tracked_endpoint* tracked = find(endpoint))
    {
        tracked->first_token_time.add(latency, now, policy_.first_token_half_life);
        count_probe(*tracked, log_ms(latency), pools_[tracked->pool].reference.first_token_time,
                    policy_.slow_first_token_factor);
        schedule_evaluation(*tracked, now);
    }
}

void endpoint_health::record_open_gap(const endpoint_id& endpoint, duration open_gap, time_point now)
{
    tracked_endpoint* tracked = find(endpoint);
    if (tracked == nullptr || log_ms(open_gap) <= tracked->gap.log_mean())
    {
        return;
    }
    tracked->gap.add(open_gap, policy_.evaluation_interval, now, policy_.gap_half_life);
    count_probe(*tracked, log_ms(open_gap), pools_[tracked->pool].reference.gap, policy_.slow_gap_factor);
    schedule_evaluation(*tracked, now);
}

void endpoint_health::record_failure(const endpoint_id& endpoint, time_point now)
{
    if (tracked_endpoint* tracked = find(endpoint))
    {
        ++tracked->consecutive_failures;
        schedule_evaluation(*tracked, now);
    }
}

void endpoint_health::record_success(const endpoint_id& endpoint)
{
    if (tracked_endpoint* tracked = find(endpoint))
    {
        tracked->consecutive_failures = 0;
    }
}

void endpoint_health::evaluate_member(tracked_endpoint& member, double log_ratio, double threshold) const
{
    member.slowness = std::max(member.slowness, std::exp2(log_ratio));
    member.outlier = member.outlier || log_ratio > threshold;
    // The weight falls from 1 at half of the threshold to 0.5 at the threshold.
    const double excess = std::clamp(log_ratio / threshold - 0.5, 0.0, 0.5);
    member.speed_weight = std::min(member.speed_weight, 1.0 - excess);
}

void endpoint_health::evaluate_signal(pool_state& pool, const signal& evaluated, time_point now) const
{
    std::vector<tracked_endpoint*> sampled;
    std::vector<double> log_means;
    for (tracked_endpoint* member : pool.members)
    {
        const decayed_mean& samples = member->*evaluated.samples;
        if (samples.samples(now, evaluated.half_life) >= policy_.min_samples)
        {
            sampled.push_back(member);
            log_means.push_back(samples.log_mean());
        }
    }
    if (sampled.size() < 2)
    {
        return;
    }
    const double median = lower_median(log_means);
    const double threshold =
        std::max(std::log2(evaluated.slow_factor), policy_.outlier_deviations * robust_deviation(log_means, median));
    pool.reference.*evaluated.reference = median;
    for (std::size_t index = 0; index < sampled.size(); ++index)
    {
        evaluate_member(*sampled[index], log_means[index] - median, threshold);
    }
}

void endpoint_health::evaluate_speed(pool_state& pool, time_point now) const
{
    for (tracked_endpoint* member : pool.members)
    {
        member->outlier = false;
        member->slowness = 1.0;
        member->speed_weight = 1.0;
    }
    evaluate_signal(
        pool, {&tracked_endpoint::gap, &signal_reference::gap, policy_.gap_half_life, policy_.slow_gap_factor}, now);
    evaluate_signal(pool,
                    {&tracked_endpoint::first_token_time, &signal_reference::first_token_time,
                     policy_.first_token_half_life, policy_.slow_first_token_factor},
                    now);
}

std::size_t endpoint_health::max_ejected_count(std::size_t member_count) const
{
    if (member_count < 2)
    {
        return 0;
    }
    const auto share =
        static_cast<std::size_t>(std::floor(static_cast<double>(member_count) * policy_.max_ejected_share));
    return std::clamp<std::size_t>(share, 1, member_count - 1);
}

bool endpoint_health::counts_as_ejected(const tracked_endpoint& member) const
{
    return member.state == health_state::ejected || member.state == health_state::probing;
}

bool endpoint_health::should_eject(const tracked_endpoint& member) const
{
    return !counts_as_ejected(member) && (member.outlier || member.consecutive_failures >= policy_.ejection_failures);
}

void endpoint_health::eject(tracked_endpoint& tracked, time_point now, std::vector<health_change>& changes) const
{
    const bool repeated = tracked.last_ejected != time_point::min() &&
                          now < tracked.last_ejected + tracked.ejection_length + policy_.ejection_backoff_reset;
    tracked.ejection_length =
        repeated ? std::min(tracked.ejection_length * 2, policy_.max_ejection_time) : policy_.base_ejection_time;
    tracked.last_ejected = now;
    tracked.state_time = now + tracked.ejection_length;
    tracked.state = health_state::ejected;
    changes.push_back({tracked.endpoint, tracked.state,
                       tracked.consecutive_failures >= policy_.ejection_failures ? 0.0 : tracked.slowness});
}

void endpoint_health::eject_outliers(pool_state& pool, time_point now, std::vector<health_change>& changes) const
{
    std::vector<tracked_endpoint*> to_eject;
    std::size_t ejected_count = 0;
    for (tracked_endpoint* member : pool.members)
    {
        ejected_count += counts_as_ejected(*member) ? 1 : 0;
        if (should_eject(*member))
        {
            to_eject.push_back(member);
        }
    }
    std::sort(to_eject.begin(), to_eject.end(),
              [this](const tracked_endpoint* left, const tracked_endpoint* right)
              {
                  const bool left_failing = left->consecutive_failures >= policy_.ejection_failures;
                  const bool right_failing = right->consecutive_failures >= policy_.ejection_failures;
                  if (left_failing != right_failing)
                  {
                      return left_failing;
                  }
                  return left->slowness != right->slowness ? left->slowness > right->slowness
                                                           : left->endpoint < right->endpoint;
              });
    const std::size_t max_ejected = max_ejected_count(pool.members.size());
    for (tracked_endpoint* member : to_eject)
    {
        if (ejected_count >= max_ejected)
        {
            member->speed_weight = policy_.min_weight;
            continue;
        }
        eject(*member, now, changes);
        ++ejected_count;
    }
}

void endpoint_health::advance(tracked_endpoint& tracked, time_point now, std::vector<health_change>& changes) const
{
    if (tracked.state == health_state::ejected && now >= tracked.state_time)
    {
        tracked.state = health_state::probing;
        tracked.gap.clear();
        tracked.first_token_time.clear();
        tracked.consecutive_failures = 0;
        tracked.probes = 0;
        tracked.slow_probes = 0;
        changes.push_back({tracked.endpoint, tracked.state, tracked.slowness});
        return;
    }
    if (tracked.state == health_state::probing)
    {
        const bool enough_probes = tracked.probes >= policy_.probe_samples;
        if (tracked.consecutive_failures > 0 || (enough_probes && 2 * tracked.slow_probes >= tracked.probes))
        {
            eject(tracked, now, changes);
            return;
        }
        if (enough_probes)
        {
            tracked.state = health_state::recovering;
            tracked.state_time = now;
            changes.push_back({tracked.endpoint, tracked.state, tracked.slowness});
        }
        return;
    }
    if (tracked.state == health_state::recovering && now >= tracked.state_time + policy_.slow_start)
    {
        tracked.state = health_state::healthy;
        changes.push_back({tracked.endpoint, tracked.state, tracked.slowness});
    }
}

std::vector<health_change> endpoint_health::evaluate(time_point now)
{
    std::vector<health_change> changes;
    next_evaluation_ = never;
    for (auto& [id, pool] : pools_)
    {
        const bool all_healthy =
            std::all_of(pool.members.begin(), pool.members.end(),
                        [](const tracked_endpoint* member) { return member->state == health_state::healthy; });
        if (all_healthy && now > pool.active_until)
        {
            continue;
        }
        evaluate_speed(pool, now);
        for (tracked_endpoint* member : pool.members)
        {
            advance(*member, now, changes);
        }
        eject_outliers(pool, now, changes);
        next_evaluation_ = now + policy_.evaluation_interval;
    }
    return changes;
}

time_point endpoint_health::next_evaluation() const noexcept
{
    return next_evaluation_;
}

double endpoint_health::weight(const endpoint_id& endpoint, time_point now) const
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
    {
        return 1.0;
    }
    const tracked_endpoint& tracked = found->second;
    switch (tracked.state)
    {
    case health_state::ejected:
        return 0.0;
    case health_state::probing:
        return policy_.probe_weight;
    case health_state::recovering:
    {
        const double ramp =
            static_cast<double>((now - tracked.state_time).count()) / static_cast<double>(policy_.slow_start.count());
        return std::min(tracked.speed_weight, std::clamp(ramp, policy_.probe_weight, 1.0));
    }
    case health_state::healthy:
        break;
    }
    return tracked.speed_weight;
}

std::vector<endpoint_health_notice> endpoint_health::notices(time_point now, duration valid_for) const
{
    std::vector<endpoint_health_notice> result;
    for (const auto& [endpoint, tracked] : endpoints_)
    {
        const double current_weight = weight(endpoint, now);
        if (current_weight < 1.0)
        {
            result.push_back({tracked.pool, endpoint, current_weight, now + valid_for});
        }
    }
    return result;
}

health_state endpoint_health::state(const endpoint_id& endpoint) const
{
    const auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? health_state::healthy : found->second.state;
}

} // namespace parsleyshift
