#pragma once

#include <parsleyshift/core/clock.hpp> // duration, time_point

#include <algorithm> // max, min

namespace parsleyshift
{

/// @brief Retry times of denied requests, one after the other at the rate at which their retries can be served.
///
/// A retry time is accurate only if the callers that were sent away before find room as well, so each denial takes a
/// place in time behind the earlier ones. Times beyond the longest one are drawn from its second half.
class retry_schedule
{
  public:
    /// @param wait time until the request could start if no other caller came back
    /// @param service_time time that the pool needs to serve the retry
    /// @param longest upper bound of the result
    /// @param fraction random number in [0, 1)
    /// @return delay before the retry
    duration next(time_point now, duration wait, duration service_time, duration longest, double fraction)
    {
        const time_point earliest = now + wait;
        const time_point place = std::max(earliest, taken_until_);
        // Bounded, so that the times follow soon when the load ends.
        taken_until_ = std::min(place + service_time, now + longest);
        if (place - now < longest)
        {
            return place - now;
        }
        return duration{static_cast<duration::rep>(static_cast<double>(longest.count()) * (1.0 + fraction) / 2.0)};
    }

  private:
    /// Time up to which earlier denials have taken the places.
    time_point taken_until_ = time_point::min();
};

} // namespace parsleyshift
