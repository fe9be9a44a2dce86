#include <parsleyshift/placement/store_budget.hpp>

#include <algorithm> // max, min

namespace parsleyshift
{

void store_budget::set_rate(double bytes_per_second, std::int64_t largest_load, time_point now)
{
    save(now);
    rate_ = bytes_per_second;
    most_saved_ = static_cast<double>(largest_load);
    saved_ = std::min(saved_, most_saved_);
}

bool store_budget::try_spend(std::int64_t bytes, time_point now)
{
    if (rate_ <= 0)
    {
        return true;
    }
    save(now);
    if (saved_ < static_cast<double>(bytes))
    {
        return false;
    }
    saved_ -= static_cast<double>(bytes);
    return true;
}

void store_budget::save(time_point now)
{
    const double seconds = static_cast<double>(std::max<duration::rep>(0, (now - saved_at_).count())) / 1'000.0;
    saved_ = std::min(most_saved_, saved_ + rate_ * seconds);
    saved_at_ = std::max(saved_at_, now);
}

} // namespace parsleyshift
