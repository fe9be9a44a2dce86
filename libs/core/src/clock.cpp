#include <parsleyshift/core/clock.hpp> // millisecond_clock

namespace parsleyshift
{

millisecond_clock::time_point millisecond_clock::now() noexcept
{
    using std::chrono::duration_cast;
    static const auto wall_at_start = std::chrono::system_clock::now().time_since_epoch();
    static const auto steady_at_start = std::chrono::steady_clock::now();
    const auto elapsed = std::chrono::steady_clock::now() - steady_at_start;
    return time_point{duration_cast<duration>(wall_at_start) + duration_cast<duration>(elapsed)};
}

} // namespace parsleyshift
