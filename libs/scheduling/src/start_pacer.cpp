#include <parsleyshift/scheduling/start_pacer.hpp> // start_pacer

#include <algorithm> // max, min
#include <cmath>     // ceil

namespace parsleyshift
{
namespace
{

/// Smallest pace in starts per second.
constexpr double min_starts_per_second = 0.2;

} // namespace

void start_pacer::set_limit(std::optional<double> starts_per_second, time_point now)
{
    if (starts_per_second_ == starts_per_second)
    {
        return;
    }
    starts_per_second_ = starts_per_second;
    if (starts_per_second_ && latest_start_ != time_point::min())
    {
        next_start_ = latest_start_ + interval(now);
    }
}

void start_pacer::restart(time_point now, duration caution)
{
    halved_until_ = now + caution;
    latest_start_ = now;
    next_start_ = now + (starts_per_second_ ? interval(now) : duration{});
}

void start_pacer::record_start(time_point now)
{
    latest_start_ = now;
    if (starts_per_second_)
    {
        const duration pause = interval(now);
        next_start_ = std::max(next_start_, now - pause) + pause;
    }
}

duration start_pacer::interval(time_point now) const
{
    constexpr double second_ms = 1'000.0;
    const double pace = std::max(*starts_per_second_, min_starts_per_second) * (now < halved_until_ ? 0.5 : 1.0);
    return duration{static_cast<duration::rep>(std::ceil(second_ms / pace))};
}

} // namespace parsleyshift
