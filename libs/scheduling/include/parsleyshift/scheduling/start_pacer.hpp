#pragma once

#include <parsleyshift/core/clock.hpp> // duration, time_point

#include <optional> // optional

namespace parsleyshift
{

/// @brief Paces the starts at one endpoint that limits its requests per second. Without a limit all starts are allowed.
///
/// Starts that were not used are saved up to one. After restart() the pace is halved for a while, because the scheduler
/// that granted starts before may still do so: together they stay within 1.5 times the limit.
class start_pacer
{
  public:
    /// @brief Sets the limit. The next start is allowed at the new pace from the latest one.
    /// @param starts_per_second nothing to end the limit; a limit below one start in 5 s counts as that, so that the
    /// end of the limit is noticed
    void set_limit(std::optional<double> starts_per_second, time_point now);
    /// @brief Begins the time at half the pace, without a saved start.
    /// @param caution length of that time
    void restart(time_point now, duration caution);
    /// @brief Halves the pace until a time, as restart() does, but allows a start at once.
    void halve_until(time_point end) noexcept
    {
        halved_until_ = end;
    }
    [[nodiscard]] bool limited() const noexcept
    {
        return starts_per_second_.has_value();
    }
    /// @brief Whether a start is allowed now.
    [[nodiscard]] bool may_start(time_point now) const noexcept
    {
        return !starts_per_second_ || next_start_ <= now;
    }
    /// @brief Counts a start.
    void record_start(time_point now);
    /// @brief Time at which the next start is allowed; in the past without a limit.
    [[nodiscard]] time_point next_start() const noexcept
    {
        return starts_per_second_ ? next_start_ : time_point::min();
    }

  private:
    /// Time between two starts.
    [[nodiscard]] duration interval(time_point now) const;

    std::optional<double> starts_per_second_;
    time_point latest_start_ = time_point::min();
    time_point next_start_ = time_point::min();
    time_point halved_until_ = time_point::min();
};

} // namespace parsleyshift
