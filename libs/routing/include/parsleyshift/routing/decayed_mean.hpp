#pragma once

#include <parsleyshift/core/clock.hpp> // duration, time_point

namespace parsleyshift
{

/// @brief Mean of the logarithms of samples, in which older samples count less.
class decayed_mean
{
  public:
    /// @brief Adds a sample. O(1). @param half_life time in which a sample loses half of its weight
    void add(duration sample, time_point now, duration half_life);
    /// @brief Number of samples, each with the weight that its age leaves. O(1).
    [[nodiscard]] double samples(time_point now, duration half_life) const;
    /// @brief Binary logarithm of the mean in milliseconds; 0 without samples.
    [[nodiscard]] double log_mean() const noexcept;
    /// @brief Forgets all samples.
    void clear() noexcept;

  private:
    double weight_ = 0;
    double sum_ = 0;
    time_point last_;
};

} // namespace parsleyshift
