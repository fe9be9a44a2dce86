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

/// @brief Quantile of recent samples in constant memory: P-square estimators over two generations of samples.
class rotating_quantile
{
  public:
    /// @param quantile 0 to 1 @param generation samples after which the older generation is discarded
    explicit rotating_quantile(double quantile, std::size_t generation = 512);

    /// @brief Adds a sample. O(1).
    void add(duration sample);
    /// @brief The quantile of the last full generation, or of the current one when there is none yet. O(1).
    /// @return nothing below `least` samples
    [[nodiscard]] std::optional<duration> value(std::size_t least) const;

  private:
    using estimator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::p_square_quantile>>;

    [[nodiscard]] estimator fresh() const;

    double quantile_;
    std::size_t generation_;
    estimator current_;
    std::optional<estimator> last_;
};

} // namespace parsleyshift
