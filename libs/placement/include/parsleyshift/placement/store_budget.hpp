#pragma once

#include <parsleyshift/core/clock.hpp> // time_point

#include <cstdint> // int64_t

namespace parsleyshift
{

/// @brief The share of the weight store's rate that one planner may spend for one service.
///
/// A load is ordered when the saved bytes cover it, so that the loads of any period take at most the share of that
/// period plus one load. The budget starts empty, so that a planner that restarts gains nothing.
class store_budget
{
  public:
    /// @brief Sets the rate. @param bytes_per_second at most 0: no limit @param largest_load bytes saved at most
    void set_rate(double bytes_per_second, std::int64_t largest_load, time_point now);
    /// @brief Takes the bytes of a load if they are saved.
    bool try_spend(std::int64_t bytes, time_point now);

  private:
    void save(time_point now);

    double rate_ = 0;
    double saved_ = 0;
    double most_saved_ = 0;
    time_point saved_at_;
};

} // namespace parsleyshift
