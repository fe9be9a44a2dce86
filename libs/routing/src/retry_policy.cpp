#include <parsleyshift/routing/retry_policy.hpp> // budgeted_retry, no_retry, immediate_retry

#include <algorithm> // clamp, min

namespace parsleyshift
{

namespace
{

/// Beyond this the doubling would overflow; the longest delay is reached long before.
constexpr int most_doublings = 20;

} // namespace

budgeted_retry::budgeted_retry(const backoff_policy& policy) : policy_(policy) {}

duration budgeted_retry::delay_after(int failures, random_source& random) const
{
    const int doublings = std::clamp(failures - 1, 0, most_doublings);
    // The mean of a uniform time below twice the base is the base.
    const duration bound = std::min(policy_.longest, policy_.base * (duration::rep{2} << doublings));
    return duration{static_cast<duration::rep>(static_cast<double>(bound.count()) * random.fraction())};
}

retry_decision budgeted_retry::decide(const retry_situation& failed, retry_budget& budget, random_source& random) const
{
    const bool in_time = failed.delivered > 0 || failed.time_left >= policy_.least_time_left;
    if (!in_time)
    {
        return {};
    }
    if (resume_allowed(failed) && failed.resumes < policy_.most_resumes)
    {
        const duration delay = failed.resumes == 0 ? duration{} : delay_after(failed.resumes, random);
        return {retry_step::resume, delay, false};
    }
    if (!restart_allowed(failed) || failed.attempts >= policy_.most_attempts)
    {
        return {};
    }
    const bool free = policy_.free_without_connection && failed.failure == attempt_failure::connect_failed;
    if (!free && !budget.try_spend())
    {
        return {retry_step::give_up, duration{}, true};
    }
    const bool at_once = failed.attempts == 1 && proves_not_run(failed.failure);
    const duration delay = at_once ? duration{} : delay_after(failed.attempts, random);
    return {retry_step::restart, std::min(delay, failed.time_left - policy_.least_time_left), false};
}

retry_decision no_retry::decide(const retry_situation& /*failed*/, retry_budget& /*budget*/,
                                random_source& /*random*/) const
{
    return {};
}

immediate_retry::immediate_retry(int most_attempts) : most_attempts_(most_attempts) {}

retry_decision immediate_retry::decide(const retry_situation& failed, retry_budget& /*budget*/,
                                       random_source& /*random*/) const
{
    if (!restart_allowed(failed) || failed.attempts >= most_attempts_)
    {
        return {};
    }
    return {retry_step::restart, duration{}, false};
}

} // namespace parsleyshift
