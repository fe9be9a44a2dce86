#include <parsleyshift/placement/store_budget.hpp>

#include <algorithm> // max, min

namespace parsleyshift
{

void store_budget::set_rate(double bytes_per_second, std::int64_t largest_load, time_point now)
{
    refill(now);
    bytes_per_second_ = bytes_per_second;
    max_available_bytes_ = static_cast<double>(largest_load);
    available_bytes_ = std::min(available_bytes_, max_available_bytes_);
}

bool store_budget::try_spend(std::int64_t bytes, time_point now)
{
    if (bytes_per_second_ <= 0)
    {
        return true;
    }
    refill(now);
    if (available_bytes_ < static_cast<double>(bytes))
    {
        return false;
    }
    available_bytes_ -= static_cast<double>(bytes);
    return true;
}

void store_budget::refill(time_point now)
{
    const double seconds = static_cast<double>(std::max<duration::rep>(0, (now - refilled_at_).count())) / 1'000.0;
    available_bytes_ = std::min(max_available_bytes_, available_bytes_ + bytes_per_second_ * seconds);
    refilled_at_ = std::max(refilled_at_, now);
}

} // namespace parsleyshift
