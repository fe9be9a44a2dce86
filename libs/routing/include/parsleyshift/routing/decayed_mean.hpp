#pragma once

#include <parsleyshift/core/clock.hpp> // duration, time_point

namespace parsleyshift
{

/// @brief Mean of the logarithms of durations, in which older samples count less and longer ones more.
///
/// A sample counts in proportion to its length: a slow stream gives fewer samples than a fast one, and would otherwise
/// take longer to be noticed.
class decayed_mean
{
  public:
    /// @brief Adds a sample. O(1). @param half_life time in which a sample loses half of its weight
    void add(duration sample, time_point now, duration half_life);
    /// @brief Adds a sample that counts as if it had the length `weight`. O(1).
    void add(duration sample, duration weight, time_point now, duration half_life);
    /// @brief Number of samples, each with the share that its age leaves. O(1).
    [[nodiscard]] double samples(time_point now, duration half_life) const;
    /// @brief Binary logarithm of the mean in milliseconds; 0 without samples.
    [[nodiscard]] double log_mean() const noexcept;
    /// @brief Forgets all samples.
    void clear() noexcept;

  private:
    double count_ = 0;
    double weight_ = 0;
    double sum_ = 0;
    time_point last_;
};

/// @brief Binary logarithm of a duration in milliseconds, of at least 1 ms. O(1).
double log_ms(duration sample);

} // namespace parsleyshift
