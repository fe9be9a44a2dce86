#include <parsleyshift/routing/decayed_mean.hpp> // decayed_mean

#include <algorithm> // max
#include <cmath>     // exp2, log2

namespace parsleyshift
{

namespace
{

double remaining_share(duration age, duration half_life)
{
    const double age_ms = static_cast<double>(std::max<duration::rep>(0, age.count()));
    return std::exp2(-age_ms / static_cast<double>(half_life.count()));
}

double at_least_one_ms(duration sample)
{
    return static_cast<double>(std::max<duration::rep>(1, sample.count()));
}

} // namespace

double log_ms(duration sample)
{
    return std::log2(at_least_one_ms(sample));
}

void decayed_mean::add(duration sample, time_point now, duration half_life)
{
    add(sample, sample, now, half_life);
}

void decayed_mean::add(duration sample, duration weight, time_point now, duration half_life)
{
    const double share = count_ > 0 ? remaining_share(now - last_, half_life) : 0.0;
    const double added = at_least_one_ms(weight);
    count_ = count_ * share + 1.0;
    weight_ = weight_ * share + added;
    sum_ = sum_ * share + added * log_ms(sample);
    last_ = std::max(last_, now);
}

double decayed_mean::samples(time_point now, duration half_life) const
{
    return count_ * remaining_share(now - last_, half_life);
}

double decayed_mean::log_mean() const noexcept
{
    return weight_ > 0 ? sum_ / weight_ : 0.0;
}

void decayed_mean::clear() noexcept
{
    *this = decayed_mean{};
}

} // namespace parsleyshift
