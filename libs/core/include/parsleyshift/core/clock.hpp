#pragma once

#include <chrono>  // duration, time_point
#include <cstdint> // int64_t
#include <ratio>   // milli

namespace parsleyshift
{

/// @brief Clock of the scheduling and routing logic: milliseconds since the Unix epoch, monotonic within a process.
///
/// That logic never calls now(); it receives a time_point with each event.
struct millisecond_clock
{
    using rep = std::int64_t;
    using period = std::milli;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<millisecond_clock>;
    static constexpr bool is_steady = true;

    /// @brief Current time: the wall-clock time of the first call in the process plus the time since then, including
    /// time in suspend.
    static time_point now() noexcept;
};

using duration = millisecond_clock::duration;
using time_point = millisecond_clock::time_point;

/// @brief The latest representable time; used as a deadline that never expires.
inline constexpr time_point never = time_point::max();

/// @brief Time point at the given milliseconds since the Unix epoch.
constexpr time_point at_ms(std::int64_t milliseconds) noexcept
{
    return time_point{duration{milliseconds}};
}

/// @brief Milliseconds since the Unix epoch of a time point.
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
