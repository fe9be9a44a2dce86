#include <parsleyshift/routing/decayed_mean.hpp> // decayed_mean

#include <algorithm> // max
#include <cmath>     // exp2, log2

namespace parsleyshift
{

namespace
{

double decay_factor(duration age, duration half_life)
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
    const double decay = sample_count_ > 0 ? decay_factor(now - last_added_, half_life) : 0.0;
    const double sample_weight = at_least_one_ms(weight);
    sample_count_ = sample_count_ * decay + 1.0;
    total_weight_ = total_weight_ * decay + sample_weight;
    weighted_sum_ = weighted_sum_ * decay + sample_weight * log_ms(sample);
    last_added_ = std::max(last_added_, now);
}

double decayed_mean::samples(time_point now, duration half_life) const
{
    return sample_count_ * decay_factor(now - last_added_, half_life);
}

double decayed_mean::log_mean() const noexcept
{
    return total_weight_ > 0 ? weighted_sum_ / total_weight_ : 0.0;
}

void decayed_mean::clear() noexcept
{
    *this = decayed_mean{};
}

} // namespace parsleyshift
