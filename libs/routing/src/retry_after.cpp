#include <parsleyshift/routing/retry_after.hpp> // retry_after

#include <algorithm> // clamp, max, min

namespace parsleyshift
{

namespace
{

/// Smallest spread as a share of the wait, for a backlog that drains almost immediately.
constexpr double min_spread_share = 0.25;

double spread_ms(const pool_backlog& backlog, double wait_ms, const retry_after_limits& limits)
{
    if (backlog.served_per_second <= 0)
    {
        return wait_ms * limits.fallback_spread;
    }
    const double drain_ms = 1'000.0 * static_cast<double>(backlog.pending_requests) / backlog.served_per_second;
    return std::max(wait_ms * min_spread_share, drain_ms);
}

} // namespace

duration retry_after(const pool_backlog& backlog, random_source& random, const retry_after_limits& limits)
{
    const auto max_ms = static_cast<double>(limits.max_delay.count());
    const auto min_ms = static_cast<double>(limits.min_delay.count());
    // At most half of the maximum, so that the times are spread out even when the expected wait exceeds the maximum.
    const double wait_ms =
        std::clamp(static_cast<double>(backlog.expected_wait.count()), min_ms, std::max(min_ms, max_ms / 2));
    const double latest_ms = std::min(max_ms, wait_ms + spread_ms(backlog, wait_ms, limits));
    return duration{static_cast<duration::rep>(wait_ms + std::max(0.0, latest_ms - wait_ms) * random.fraction())};
}

} // namespace parsleyshift
