#include <parsleyshift/routing/retry_policy.hpp> // budgeted_retry, no_retry, immediate_retry

#include <algorithm> // clamp, min

namespace parsleyshift
{

namespace
{

/// More doublings would overflow; `max_delay` is reached with far fewer.
constexpr int max_doublings = 20;

} // namespace

budgeted_retry::budgeted_retry(const backoff_policy& policy) : policy_(policy) {}

duration budgeted_retry::delay_after(int failures, random_source& random) const
{
    const int doublings = std::clamp(failures - 1, 0, max_doublings);
    // A uniform delay below twice the base delay has the base delay as its mean.
    const duration bound = std::min(policy_.max_delay, policy_.base_delay * (duration::rep{2} << doublings));
    return duration{static_cast<duration::rep>(static_cast<double>(bound.count()) * random.fraction())};
}

retry_decision budgeted_retry::decide(const retry_conditions& failed, retry_budget& budget, random_source& random) const
{
    const bool in_time = failed.delivered > 0 || failed.time_left >= policy_.min_time_left;
    if (!in_time)
    {
        return {};
    }
    if (resume_allowed(failed) && failed.resumes < policy_.max_resumes)
    {
        const duration delay = failed.resumes == 0 ? duration{} : delay_after(failed.resumes, random);
        return {retry_step::resume, delay, false};
    }
    if (!restart_allowed(failed) || failed.attempts >= policy_.max_attempts)
    {
        return {};
    }
    const bool exempt_from_budget =
        policy_.connect_failures_exempt_from_budget && failed.failure == attempt_failure::connect_failed;
    if (!exempt_from_budget && !budget.try_spend())
    {
        return {retry_step::give_up, duration{}, true};
    }
    const bool immediate = failed.attempts == 1 && proves_not_run(failed.failure);
    const duration delay = immediate ? duration{} : delay_after(failed.attempts, random);
    return {retry_step::restart, std::min(delay, failed.time_left - policy_.min_time_left), false};
}

retry_decision no_retry::decide(const retry_conditions& /*failed*/, retry_budget& /*budget*/,
                                random_source& /*random*/) const
{
    return {};
}

immediate_retry::immediate_retry(int max_attempts) : max_attempts_(max_attempts) {}

retry_decision immediate_retry::decide(const retry_conditions& failed, retry_budget& /*budget*/,
                                       random_source& /*random*/) const
{
    if (!restart_allowed(failed) || failed.attempts >= max_attempts_)
    {
        return {};
    }
    return {retry_step::restart, duration{}, false};
}

} // namespace parsleyshift
