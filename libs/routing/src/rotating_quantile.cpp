#include <parsleyshift/routing/rotating_quantile.hpp> // rotating_quantile

#include <cmath> // llround

namespace parsleyshift
{

rotating_quantile::rotating_quantile(double quantile, std::size_t generation)
    : quantile_(quantile), generation_(generation), current_(fresh())
{
}

rotating_quantile::estimator rotating_quantile::fresh() const
{
    return estimator{boost::accumulators::quantile_probability = quantile_};
}

void rotating_quantile::add(duration sample)
{
    current_(static_cast<double>(sample.count()));
    if (boost::accumulators::count(current_) >= generation_)
    {
        last_ = current_;
        current_ = fresh();
    }
}

std::optional<duration> rotating_quantile::value(std::size_t least) const
{
    const estimator& used = last_ ? *last_ : current_;
    if (boost::accumulators::count(used) < least)
    {
        return std::nullopt;
    }
    return duration{std::llround(boost::accumulators::p_square_quantile(used))};
}

} // namespace parsleyshift
