#include <parsleyshift/core/clock.hpp> // millisecond_clock

#include <time.h> // clock_gettime

namespace parsleyshift
{
namespace
{

constexpr std::int64_t milliseconds_per_second = 1'000;
constexpr std::int64_t nanoseconds_per_millisecond = 1'000'000;

/// Milliseconds since boot, including time in suspend. CLOCK_MONOTONIC excludes time in suspend, so that deadlines
/// would expire late after a resume.
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
