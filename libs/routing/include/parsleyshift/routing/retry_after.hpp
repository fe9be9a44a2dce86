#pragma once

#include <parsleyshift/core/clock.hpp>         // duration
#include <parsleyshift/core/random_source.hpp> // random_source

#include <cstdint> // int64_t

namespace parsleyshift
{

/// @brief State of an overloaded pool from which the Retry-After time of a rejected request is computed.
struct pool_backlog
{
    /// Time until the pool can accept the next request.
    duration expected_wait{};
    /// Requests that wait or were rejected recently and will be sent again.
    std::int64_t pending_requests = 0;
    /// Requests per second that the pool completes; 0 when unknown.
    double served_per_second = 0;
};

/// @brief Limits of Retry-After times.
struct retry_after_limits
{
    duration min_delay{100};
    duration max_delay{60'000};
    /// Width of the random spread when the completion rate is unknown, as a share of the expected wait.
    double fallback_spread = 1.0;
};

/// @brief Draws a Retry-After time for a rejected request. The times are spread over the time that the pool needs to
/// serve all pending requests, so that they are not sent again at the same time. O(1).
/// @return between `limits.min_delay` and `limits.max_delay`
duration retry_after(const pool_backlog& backlog, random_source& random, const retry_after_limits& limits = {});

} // namespace parsleyshift
