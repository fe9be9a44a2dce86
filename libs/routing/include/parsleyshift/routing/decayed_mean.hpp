#pragma once

#include <parsleyshift/core/clock.hpp> // duration, time_point

namespace parsleyshift
{

/// @brief Exponentially decayed mean of the logarithms of durations, weighted by duration.
///
/// Each sample is weighted by its length, since a slow stream yields fewer samples than a fast one and its slowness
/// would otherwise be detected later.
class decayed_mean
{
  public:
    /// @brief Adds a sample, weighted by its length. O(1).
    /// @param half_life time in which a sample loses half of its weight; the same in all calls
    void add(duration sample, time_point now, duration half_life);
    /// @brief Adds a sample with the weight of a sample of the length `weight`. O(1).
    void add(duration sample, duration weight, time_point now, duration half_life);
    /// @brief Number of samples, each reduced by its decay until `now`. O(1).
    [[nodiscard]] double samples(time_point now, duration half_life) const;
    /// @brief Weighted mean of the binary logarithms of the samples in milliseconds; 0 without samples. O(1).
    [[nodiscard]] double log_mean() const noexcept;
    /// @brief Discards all samples.
    void clear() noexcept;

  private:
    double sample_count_ = 0;
    double total_weight_ = 0;
    double weighted_sum_ = 0;
    time_point last_added_;
};

/// @brief Binary logarithm of a duration in milliseconds; shorter durations count as 1 ms. O(1).
double log_ms(duration sample);

} // namespace parsleyshift
