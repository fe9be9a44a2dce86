#pragma once

#include <parsleyshift/core/clock.hpp> // duration, time_point

#include <optional> // optional

namespace parsleyshift
{

/// @brief Measures the rate at which a queue drains while it has a backlog, with exponential forgetting.
class rate_meter
{
  public:
    /// @brief Time constant of the measurement; a rate is known after this time of uninterrupted backlog.
    static constexpr duration window{2'000};

    /// @brief The queue has become non-empty; what was measured before does not count.
    void start(time_point now);
    /// @brief The queue has become empty.
    void stop();
    /// @brief An amount has left the queue.
    void add(double amount, time_point now);
    /// @brief Amount per millisecond, or nothing while the backlog is too young.
    [[nodiscard]] std::optional<double> rate(time_point now) const;

  private:
    [[nodiscard]] double decayed(time_point now) const;

    bool running_ = false;
    time_point started_;
    time_point as_of_;
    double sum_ = 0.0;
};

} // namespace parsleyshift
