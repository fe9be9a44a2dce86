#pragma once

#include <parsleyshift/core/clock.hpp> // duration, time_point

#include <algorithm> // max
#include <cmath>     // exp

namespace parsleyshift
{

/// @brief Sum whose terms lose weight exponentially with their age. All operations take constant time.
class decayed_sum
{
  public:
    /// @param time_constant age at which a term has the weight 1/e
    explicit decayed_sum(duration time_constant) : time_constant_ms_(static_cast<double>(time_constant.count())) {}

    void add(double amount, time_point now)
    {
        sum_ = value(now) + amount;
        as_of_ = std::max(as_of_, now);
    }
    [[nodiscard]] double value(time_point now) const
    {
        const auto age = static_cast<double>(std::max((now - as_of_).count(), duration::rep{0}));
        return sum_ * std::exp(-age / time_constant_ms_);
    }
    /// @brief Rate of the terms per millisecond; too low until several time constants have passed.
    [[nodiscard]] double per_ms(time_point now) const
    {
        return value(now) / time_constant_ms_;
    }

  private:
    double time_constant_ms_;
    double sum_ = 0.0;
    time_point as_of_{};
};

} // namespace parsleyshift
