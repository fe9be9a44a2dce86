#include <parsleyshift/scheduling/rate_meter.hpp> // rate_meter

#include <algorithm> // max
#include <cmath>     // exp

namespace parsleyshift
{

void rate_meter::start(time_point now)
{
    running_ = true;
    started_ = now;
    as_of_ = now;
    sum_ = 0.0;
}

void rate_meter::stop()
{
    running_ = false;
}

void rate_meter::add(double amount, time_point now)
{
    if (running_)
    {
        sum_ = decayed_sum(now) + amount;
        as_of_ = now;
    }
}

void rate_meter::retract(double amount, time_point added, time_point now)
{
    if (running_ && added >= started_)
    {
        const double age = static_cast<double>((now - added).count());
        const double left = amount * std::exp(-age / static_cast<double>(time_constant.count()));
        sum_ = std::max(decayed_sum(now) - left, 0.0);
        as_of_ = now;
    }
}

std::optional<double> rate_meter::rate(time_point now) const
{
    if (!running_ || now - started_ < time_constant)
    {
        return std::nullopt;
    }
    const auto time_constant_ms = static_cast<double>(time_constant.count());
    const double age = static_cast<double>((now - started_).count());
    // Divides by the sum that a constant rate of 1 reaches by now: T * (1 - exp(-age / T)) for the time constant T.
    return decayed_sum(now) / (time_constant_ms * (1.0 - std::exp(-age / time_constant_ms)));
}

double rate_meter::decayed_sum(time_point now) const
{
    const double elapsed = static_cast<double>((now - as_of_).count());
    return sum_ * std::exp(-elapsed / static_cast<double>(time_constant.count()));
}

} // namespace parsleyshift
