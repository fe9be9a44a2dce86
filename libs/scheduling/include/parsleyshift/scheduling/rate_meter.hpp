#pragma once

#include <parsleyshift/core/clock.hpp> // duration, time_point

#include <optional> // optional

namespace parsleyshift
{

/// @brief Measures the service rate of a queue while it has a backlog, as an exponentially weighted average.
class rate_meter
{
  public:
    /// @brief Time constant of the average; rate() returns a value after this much uninterrupted backlog.
    static constexpr duration time_constant{2'000};

    /// @brief Starts a measurement when the queue becomes non-empty; discards earlier amounts.
    void start(time_point now);
    /// @brief Stops measuring when the queue becomes empty.
    void stop();
    [[nodiscard]] bool running() const noexcept
    {
        return running_;
    }
    /// @brief Adds an amount that has left the queue; ignored while stopped.
    void add(double amount, time_point now);
    /// @brief Removes an amount that was added at the given time but was not served; ignored if it was added before
    /// the last start().
    void retract(double amount, time_point added, time_point now);
    /// @brief Amount per millisecond, or nothing while stopped or within `time_constant` of start().
    [[nodiscard]] std::optional<double> rate(time_point now) const;

  private:
    [[nodiscard]] double decayed_sum(time_point now) const;

    bool running_ = false;
    time_point started_;
    time_point as_of_;
    double sum_ = 0.0;
};

} // namespace parsleyshift
