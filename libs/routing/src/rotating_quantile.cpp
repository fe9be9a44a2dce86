#include <parsleyshift/routing/rotating_quantile.hpp> // rotating_quantile

#include <cmath> // llround

namespace parsleyshift
{

rotating_quantile::rotating_quantile(double quantile, std::size_t window_size)
    : quantile_(quantile), window_size_(window_size), current_(make_estimator())
{
}

rotating_quantile::estimator rotating_quantile::make_estimator() const
{
    return estimator{boost::accumulators::quantile_probability = quantile_};
}

void rotating_quantile::add(duration sample)
{
    current_(static_cast<double>(sample.count()));
    if (boost::accumulators::count(current_) >= window_size_)
    {
        previous_ = current_;
        current_ = make_estimator();
    }
}

std::optional<duration> rotating_quantile::value(std::size_t min_samples) const
{
    const estimator& selected = previous_ ? *previous_ : current_;
    if (boost::accumulators::count(selected) < min_samples)
    {
        return std::nullopt;
    }
    return duration{std::llround(boost::accumulators::p_square_quantile(selected))};
}

} // namespace parsleyshift
