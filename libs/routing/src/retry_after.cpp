#include <parsleyshift/routing/retry_after.hpp> // retry_after

#include <algorithm> // clamp, max, min

namespace parsleyshift
{

namespace
{

/// Smallest spread as a share of the wait, for a crowd that would be served at once.
constexpr double least_spread = 0.25;

double spread_ms(const crowd& waiting, double wait_ms, const retry_after_bounds& bounds)
{
    if (waiting.served_per_second <= 0)
    {
        return wait_ms * bounds.spread;
    }
    const double serving_ms = 1'000.0 * static_cast<double>(waiting.waiting) / waiting.served_per_second;
    return std::max(wait_ms * least_spread, serving_ms);
}

} // namespace

duration retry_after(const crowd& waiting, random_source& random, const retry_after_bounds& bounds)
{
    const auto longest_ms = static_cast<double>(bounds.longest.count());
    const auto least_ms = static_cast<double>(bounds.least.count());
    // At most half of the longest, so that even a hopeless crowd is spread out and not told the same longest time.
    const double wait_ms =
        std::clamp(static_cast<double>(waiting.expected_wait.count()), least_ms, std::max(least_ms, longest_ms / 2));
    const double last_ms = std::min(longest_ms, wait_ms + spread_ms(waiting, wait_ms, bounds));
    return duration{static_cast<duration::rep>(wait_ms + std::max(0.0, last_ms - wait_ms) * random.fraction())};
}

} // namespace parsleyshift
