#pragma once

#include <parsleyshift/core/clock.hpp>             // duration, time_point
#include <parsleyshift/core/ids.hpp>               // service_id, zone_id
#include <parsleyshift/core/random_source.hpp>     // random_source
#include <parsleyshift/routing/decayed_sum.hpp>    // decayed_sum
#include <parsleyshift/routing/zone_direction.hpp> // zone_direction, zone_direction_change

#include <optional>      // optional
#include <span>          // span
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief A zone with an endpoint that may serve a request of a plain service.
struct zone_option
{
    zone_id zone;
    /// Requests of this instance that are in progress at an endpoint of the zone.
    double in_flight = 0.0;
    /// Time of the path to the zone and the price of the transfer, in milliseconds.
    double path_ms = 0.0;
    double price_ms = 0.0;
};

/// @brief Decides in which zone an instance runs a request of a plain service, from what its own requests show.
///
/// The cost of a zone is the path, the price, a charge for each of this instance's requests in progress there, and the
/// time by which the recent answers took longer than usual. The requests in progress respond to a backlog before its
/// answers arrive, at this instance alone; therefore instances that have seen the same answers do not all choose the
/// same zone. Another zone is chosen when its cost is lower than that of the own zone by a margin, which is smaller
/// while the zone is in use. Answers lose their weight with their age, so that an instance without recent ones keeps
/// its callers at home.
class zone_answer_costs
{
  public:
    /// Charge for a request in progress.
    static constexpr double in_flight_ms = 20.0;
    /// Gain above which a request leaves its zone, and above which it does while the direction is in use. Both exceed
    /// the charge for one request less the shortest path: with 15 ms, each second request at once left its zone for as
    /// long as a direction was in use, although nothing waited (6,053 instead of 4,303 requests of the hot zone's
    /// test).
    static constexpr double begin_margin_ms = 25.0;
    static constexpr double end_margin_ms = 20.0;
    /// Age at which an answer's excess over the usual time has lost most of its weight.
    static constexpr duration answer_lifetime{1'000};
    /// Largest random addition to a cost, as a share of it and of 1 ms at least.
    static constexpr double cost_jitter = 0.1;

    explicit zone_answer_costs(zone_id home);

    /// @brief Records the time from sending a request to its answer.
    /// @param as_of time of the answer
    void record_answer(const service_id& service, const zone_id& zone, duration elapsed, time_point as_of);
    /// @brief Chooses the zone of a request. Linear in the options.
    /// @return nothing without an option
    std::optional<zone_id> choose(const service_id& service, std::span<const zone_option> options, time_point now,
                                  random_source& random);
    /// @brief Cost of a zone in milliseconds, without margin and random addition.
    [[nodiscard]] double cost_ms(const service_id& service, const zone_option& option, time_point now) const;

    /// @brief Directions that have begun or ended since the last call.
    [[nodiscard]] std::vector<zone_direction_change> take_direction_changes();

  private:
    struct zone_state
    {
        /// Sums of the recent answers' times and of their weights.
        double weighted_ms = 0.0;
        double weight = 0.0;
        /// Recent minimum of the mean time.
        double usual_ms = 0.0;
        time_point as_of{};
        decayed_sum chosen{zone_direction::share_window};
        zone_direction direction;
    };
    struct service_state
    {
        std::unordered_map<zone_id, zone_state> zones;
        decayed_sum requests{zone_direction::share_window};
    };

    void record_choice(const service_id& service, service_state& state, std::span<const zone_option> options,
                       const zone_id& chosen, time_point now);

    zone_id home_;
    std::unordered_map<service_id, service_state> services_;
    std::vector<zone_direction_change> changes_;
};

} // namespace parsleyshift
