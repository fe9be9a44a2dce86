#pragma once

#include <parsleyshift/core/clock.hpp> // duration, time_point
#include <parsleyshift/core/ids.hpp>   // service_id, zone_id

namespace parsleyshift
{

/// @brief Whether a zone gets a substantial share of the requests of another zone's callers; with hysteresis, so that a
/// share that varies around a threshold does not change it often.
class zone_direction
{
  public:
    /// Time over which the share of the requests is measured, which then rests on more than a few of them.
    static constexpr duration share_window{4'000};
    static constexpr double begin_share = 0.15;
    static constexpr double end_share = 0.05;
    /// Shortest time between two changes.
    static constexpr duration min_dwell{2'000};

    /// @return true if the direction begins or ends with this share
    bool update(double share, time_point now)
    {
        const bool changes = active_ ? share < end_share : share >= begin_share;
        if (!changes || (changed_ != time_point{} && now - changed_ < min_dwell))
        {
            return false;
        }
        active_ = !active_;
        changed_ = now;
        return true;
    }
    [[nodiscard]] bool active() const noexcept
    {
        return active_;
    }

  private:
    bool active_ = false;
    time_point changed_{};
};

/// @brief Beginning or end of a direction, for the log.
struct zone_direction_change
{
    service_id service;
    zone_id from;
    zone_id to;
    bool begins = false;
    /// Share of the requests of the callers in `from` that are sent to `to`.
    double share = 0.0;
    /// Expected times in milliseconds that led to it.
    double home_ms = 0.0;
    double there_ms = 0.0;
};

} // namespace parsleyshift
