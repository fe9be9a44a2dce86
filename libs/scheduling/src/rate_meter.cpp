#include <parsleyshift/scheduling/rate_meter.hpp> // rate_meter

#include <cmath> // exp

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
        sum_ = decayed(now) + amount;
        as_of_ = now;
    }
}

std::optional<double> rate_meter::rate(time_point now) const
{
    if (!running_ || now - started_ < window)
    {
        return std::nullopt;
    }
    const auto constant = static_cast<double>(window.count());
    const double age = static_cast<double>((now - started_).count());
    // The sum of a constant rate r after time t is r * window * (1 - exp(-t / window)).
    return decayed(now) / (constant * (1.0 - std::exp(-age / constant)));
}

double rate_meter::decayed(time_point now) const
{
    const double elapsed = static_cast<double>((now - as_of_).count());
    return sum_ * std::exp(-elapsed / static_cast<double>(window.count()));
}

} // namespace parsleyshift
