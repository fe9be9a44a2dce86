#pragma once

#include <parsleyshift/core/clock.hpp> // duration

#include <boost/accumulators/accumulators.hpp>                 // accumulator_set
#include <boost/accumulators/statistics/count.hpp>             // count
#include <boost/accumulators/statistics/p_square_quantile.hpp> // p_square_quantile
#include <boost/accumulators/statistics/stats.hpp>             // stats

#include <cstddef>  // size_t
#include <optional> // optional

namespace parsleyshift
{

/// @brief Estimates a quantile of recent samples in constant memory, with one P-square estimator for the current window
/// of samples and one for the previous window.
class rotating_quantile
{
  public:
    /// @param quantile 0 to 1
    /// @param window_size samples per window; a full window replaces the previous one
    explicit rotating_quantile(double quantile, std::size_t window_size = 512);

    /// @brief Adds a sample. O(1).
    void add(duration sample);
    /// @brief The quantile of the previous window, or of the current one as long as no window is full. O(1).
    /// @return nothing when the window has fewer than `min_samples` samples
    [[nodiscard]] std::optional<duration> value(std::size_t min_samples) const;

  private:
    using estimator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::p_square_quantile>>;

    [[nodiscard]] estimator make_estimator() const;

    double quantile_;
    std::size_t window_size_;
    estimator current_;
    std::optional<estimator> previous_;
};

} // namespace parsleyshift
