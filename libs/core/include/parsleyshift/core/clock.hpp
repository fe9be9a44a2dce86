#pragma once

#include <chrono>  // duration, time_point
#include <cstdint> // int64_t
#include <ratio>   // milli

namespace parsleyshift
{

/// @brief The clock of all decisions: milliseconds since the Unix epoch that never go back while a process runs.
///
/// Decision code never calls now(); it receives a time_point with each event.
struct millisecond_clock
{
    using rep = std::int64_t;
    using period = std::milli;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<millisecond_clock>;
    static constexpr bool is_steady = true;

    /// @brief Reads the time: the wall clock at process start plus the time since then, suspended time included.
    static time_point now() noexcept;
};

using duration = millisecond_clock::duration;
using time_point = millisecond_clock::time_point;

/// @brief The latest representable time; a deadline at never does not expire.
inline constexpr time_point never = time_point::max();

/// @brief A time point from milliseconds since the epoch.
constexpr time_point at_ms(std::int64_t milliseconds) noexcept
{
    return time_point{duration{milliseconds}};
}

/// @brief Milliseconds since the epoch of a time point.
constexpr std::int64_t to_ms(time_point point) noexcept
{
    return point.time_since_epoch().count();
}

namespace literals
{

/// @brief Milliseconds, for example `150_ms`.
constexpr duration operator""_ms(unsigned long long count) noexcept
{
    return duration{static_cast<duration::rep>(count)};
}

/// @brief Seconds, for example `9_s`.
constexpr duration operator""_s(unsigned long long count) noexcept
{
    return duration{static_cast<duration::rep>(count) * 1000};
}

} // namespace literals
} // namespace parsleyshift
