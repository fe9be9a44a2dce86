#pragma once

#include <parsleyshift/core/clock.hpp>         // duration
#include <parsleyshift/core/random_source.hpp> // random_source

#include <cstdint> // int64_t

namespace parsleyshift
{

/// @brief Why and with how many others a caller is asked to come back later.
struct crowd
{
    /// Time until there is room for the next request.
    duration expected_wait{};
    /// Requests waiting or rejected of late that will come back as well.
    std::int64_t waiting = 0;
    /// Requests per second that the pool completes; 0: unknown.
    double served_per_second = 0;
};

/// @brief Bounds of retry-after times.
struct retry_after_bounds
{
    duration least{100};
    duration longest{60'000};
    /// Spread for an unknown service rate, as a share of the expected wait.
    double spread = 1.0;
};

/// @brief A time to come back, spread over the time that the pool needs to serve all who come back, so that they do
/// not return together. O(1).
/// @return between the bounds' least and longest
duration retry_after(const crowd& waiting, random_source& random, const retry_after_bounds& bounds = {});

} // namespace parsleyshift
