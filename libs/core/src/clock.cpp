#include <parsleyshift/core/clock.hpp> // millisecond_clock

#include <time.h> // clock_gettime

namespace parsleyshift
{
namespace
{

constexpr std::int64_t milliseconds_per_second = 1'000;
constexpr std::int64_t nanoseconds_per_millisecond = 1'000'000;

/// Time since the machine's start, with the time for which the machine was suspended: CLOCK_MONOTONIC leaves that
/// out, so that a deadline would pass too late after it.
std::int64_t since_boot_ms() noexcept
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return now.tv_sec * milliseconds_per_second + now.tv_nsec / nanoseconds_per_millisecond;
}

} // namespace

millisecond_clock::time_point millisecond_clock::now() noexcept
{
    using std::chrono::duration_cast;
    static const duration wall_at_start = duration_cast<duration>(std::chrono::system_clock::now().time_since_epoch());
    static const std::int64_t boot_at_start = since_boot_ms();
    return time_point{wall_at_start + duration{since_boot_ms() - boot_at_start}};
}

} // namespace parsleyshift
