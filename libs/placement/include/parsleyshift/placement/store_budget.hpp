#pragma once

#include <parsleyshift/core/clock.hpp> // time_point

#include <cstdint> // int64_t

namespace parsleyshift
{

/// @brief Token bucket for one planner's share of the weight store's rate for one service, in bytes.
///
/// A load is admitted when the available bytes cover it, so that the loads of any period take at most the share of that
/// period plus one load. The bucket starts empty, so that a restart of the planner grants no extra bytes.
class store_budget
{
  public:
    /// @brief Sets the refill rate and the capacity of the bucket.
    /// @param bytes_per_second refill rate; 0 or less means no limit
    /// @param largest_load capacity in bytes; a larger load is never admitted while there is a limit
    void set_rate(double bytes_per_second, std::int64_t largest_load, time_point now);
    /// @brief Takes the bytes of a load when they are available.
    /// @return false when fewer bytes are available; nothing is taken then
    bool try_spend(std::int64_t bytes, time_point now);

  private:
    void refill(time_point now);

    double bytes_per_second_ = 0;
    double available_bytes_ = 0;
    double max_available_bytes_ = 0;
    time_point refilled_at_;
};

} // namespace parsleyshift
