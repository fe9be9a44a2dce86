#pragma once

#include <parsleyshift/core/clock.hpp>                    // duration, time_point
#include <parsleyshift/core/ids.hpp>                      // service_id, zone_id
#include <parsleyshift/records/zone_traffic_settings.hpp> // zone_traffic_settings
#include <parsleyshift/routing/decayed_sum.hpp>           // decayed_sum
#include <parsleyshift/routing/zone_direction.hpp>        // zone_direction, zone_direction_change
#include <parsleyshift/routing/zone_paths.hpp>            // zone_paths, zone_place

#include <array>         // array
#include <cstddef>       // size_t
#include <cstdint>       // int64_t
#include <unordered_map> // unordered_map
#include <unordered_set> // unordered_set
#include <vector>        // vector

namespace parsleyshift
{

/// @brief The properties of a request that its cost in another zone depends on.
struct zone_work
{
    /// Expected time for which the request holds a slot.
    duration run{};
    transfer_size size{};
    /// Time until the latest start with which the request meets its objective.
    duration slack = duration::max();
};

/// @brief Decides at what cost a request of one zone's caller may be served in another zone, for a service whose
/// endpoints, queue and starts the owner sees in full, as the scheduler of a pool does.
///
/// The offered load of a zone is the arrival rate of work times its run time, over a window of `load_window`; with the
/// slots it gives the expected wait. A difference of the waits lowers the cost of leaving the zone, so that a zone
/// spills over as far as that levels the waits; what has been sent elsewhere lowers the wait at home at once. A zone
/// keeps slots free for the largest load of its own callers in the last `reserve_window`, since a run in progress is
/// not stopped to make room.
///
/// Without a view of a zone, requests stay at home: the cost of the other zones is then `unknown_zone_ms`.
class zone_balancer
{
  public:
    /// Shorter than a quarter of the period of 15 s with which demand oscillates, so that the load is not seen late.
    static constexpr duration load_window{1'500};
    /// At least one period of 15 s.
    static constexpr duration reserve_window{16'000};
    /// Gain below which no request leaves its zone, and below which one does not while the direction is in use. With
    /// less, differences in load between zones without a wait cause traffic: with 80 ms and 60 ms, the load of
    /// zone_balancer_test with a lost zone sent a tenth of all requests to other zones after the zone was back.
    static constexpr double begin_margin_ms = 100.0;
    static constexpr double end_margin_ms = 70.0;
    /// Further gain without which no request leaves its region. It counts against the zone of the region with the
    /// shortest wait, since the link between regions is shared and narrow.
    static constexpr double region_margin_ms = 100.0;
    /// Cost of taking the last slots that the callers of the other zone are expected to need.
    static constexpr double reserve_ms = 200.0;
    static constexpr double unknown_zone_ms = 1'000.0;
    /// Cost of a start that misses the objective because of the path.
    static constexpr double late_start_ms = 500.0;
    static constexpr double kept_home_ms = 10'000.0;

    /// @param own zone of this instance
    zone_balancer(const zone_traffic_settings& settings, const zone_place& own);

    [[nodiscard]] zone_paths& paths() noexcept
    {
        return paths_;
    }
    [[nodiscard]] const zone_paths& paths() const noexcept
    {
        return paths_;
    }

    /// @brief Sets how many requests the endpoints of a zone run at the same time; 0 if there is none.
    void set_slots(const service_id& service, const zone_place& zone, double slots);
    /// @brief Records a request of a zone's caller.
    void record_arrival(const service_id& service, const zone_id& home, const zone_work& work, time_point now);
    /// @brief Records the start of a request of a caller in `home` at an endpoint in `to`.
    void record_start(const service_id& service, const zone_place& home, const zone_place& to, const zone_work& work,
                      time_point now);

    /// @brief Expected wait for a slot in a zone in milliseconds, from the offered load.
    [[nodiscard]] double wait_ms(const service_id& service, const zone_id& zone, time_point now) const;
    /// @brief Offered load of a zone's own callers, as a number of slots.
    [[nodiscard]] double own_load(const service_id& service, const zone_id& zone, time_point now) const;
    /// @brief Cost of serving a request of a caller in `home` in zone `to` rather than at home, in milliseconds of
    /// expected delay; 0 at home, and not below 0. Constant time on average.
    [[nodiscard]] double cost_ms(const service_id& service, const zone_place& home, const zone_place& to,
                                 const zone_work& work, time_point now) const;
    /// @brief Share of the requests of a zone's callers that is started in another zone, in [0, 1].
    [[nodiscard]] double share(const service_id& service, const zone_id& home, const zone_id& to, time_point now) const;

    /// @brief Directions that have begun or ended since the last call.
    [[nodiscard]] std::vector<zone_direction_change> take_direction_changes();

  private:
    struct outflow
    {
        decayed_sum requests{zone_direction::share_window};
        zone_direction direction;
    };
    /// Maximum of the recent loads, by second.
    struct load_peak
    {
        std::array<double, static_cast<std::size_t>(reserve_window.count() / 1'000)> highest{};
        std::int64_t second = 0;

        void add(double load, time_point now);
        [[nodiscard]] double value(time_point now) const;
    };
    /// Results that several requests use; a scheduler examines up to 16 endpoints for each request.
    struct evaluation
    {
        double wait_ms = 0.0;
        double reserve_ms = 0.0;
        time_point as_of{};
    };
    struct zone_state
    {
        region_id region;
        double slots = 0.0;
        bool known = false;
        /// Work, in milliseconds, of the zone's own callers, of those served elsewhere, and of other zones' callers
        /// served here.
        decayed_sum arrived{load_window};
        decayed_sum sent{load_window};
        decayed_sum received{load_window};
        /// Requests of the zone's own callers, for the mean run time.
        decayed_sum requests{load_window};
        decayed_sum started{zone_direction::share_window};
        load_peak peak;
        std::unordered_map<zone_id, outflow> to;
        mutable evaluation latest;
    };
    using service_state = std::unordered_map<zone_id, zone_state>;

    [[nodiscard]] const zone_state* find(const service_id& service, const zone_id& zone) const;
    [[nodiscard]] static const evaluation& evaluate(const zone_state& state, time_point now);
    [[nodiscard]] static double expected_wait(const zone_state& state, time_point now);
    /// Shortest wait in the zones of a region that have endpoints; without one, the longest that counts.
    [[nodiscard]] double shortest_wait(const service_id& service, const region_id& region, time_point now) const;
    [[nodiscard]] static double reserve_cost(const zone_state& state, time_point now);
    void update_directions(const service_id& service, const zone_id& home, zone_state& state, time_point now);

    zone_paths paths_;
    std::unordered_set<service_id> kept_home_;
    std::unordered_map<service_id, service_state> services_;
    std::vector<zone_direction_change> changes_;
};

} // namespace parsleyshift
