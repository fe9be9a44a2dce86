#pragma once

#include <parsleyshift/decision_core/core_settings.hpp>    // core_settings
#include <parsleyshift/membership/output.hpp>              // member_probe
#include <parsleyshift/messages/forward.hpp>               // forwarding_configuration
#include <parsleyshift/messages/peer.hpp>                  // permit_request
#include <parsleyshift/routing/endpoint_chooser.hpp>       // routing_query, endpoint_candidate
#include <parsleyshift/routing/zone_answer_costs.hpp>      // zone_answer_costs
#include <parsleyshift/routing/zone_balancer.hpp>          // zone_balancer
#include <parsleyshift/scheduling/queue_order.hpp>         // request_key
#include <parsleyshift/scheduling/scheduling_decision.hpp> // scheduling_decision

#include <optional>      // optional
#include <span>          // span
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift::detail
{

struct core_state;

/// @brief Whether requests are served outside their caller's zone, for the pools that this instance schedules and for
/// its own requests of plain services.
///
/// Off until configure() finds that the settings and the configuration call for it; the fixed preferences apply then.
/// What an endpoint may serve at all (regions, evacuation, departure, limits) is decided elsewhere and first.
class zone_traffic
{
  public:
    explicit zone_traffic(const core_settings& settings);

    /// @brief Switches the decision on or off for a configuration.
    /// @param zones all zones of the deployment
    void configure(const forwarding_configuration& configuration, std::vector<zone_place> zones);
    [[nodiscard]] bool active() const noexcept
    {
        return active_;
    }
    /// @brief Records how long the probe of a member took.
    void record_probe(const core_state& state, const member_probe& probed);

    /// @brief Preference of a pool scheduler for an endpoint, in the unit of pool_preference.
    [[nodiscard]] double preference(const core_state& state, const member_update& requester,
                                    const work_description& work, const endpoint_entry& endpoint);
    /// @brief Records a permit request; a repeated one is ignored.
    void record_arrival(core_state& state, const instance_id& requester, const permit_request& request);
    /// @brief Records a decision of a scheduler of this instance.
    void record_decision(core_state& state, const scheduling_decision& decision);

    /// @brief Chooses the zone of a request of a plain service, among those of endpoints that may serve it.
    /// @param candidates the endpoints of the service
    /// @return nothing to leave the zone to the endpoint chooser
    std::optional<zone_id> choose_plain(core_state& state, const routing_query& query,
                                        std::span<const endpoint_candidate> candidates);
    /// @brief Records the endpoint chosen for a request of a plain service.
    void record_plain_choice(core_state& state, const endpoint_entry& chosen,
                             std::span<const endpoint_candidate> candidates) const;
    /// @brief Records the time from sending a request of a plain service to its answer.
    void record_plain_answer(const core_state& state, const endpoint_id& endpoint, duration elapsed);

    /// @brief Removes requests that ended without a decision.
    void purge(time_point now);

  private:
    struct pending_request
    {
        service_id service;
        zone_work work;
        time_point arrived;
        /// An endpoint of the requester's zone had a free slot when the request was last considered.
        bool home_considered = false;
    };

    [[nodiscard]] static zone_place place_of(const core_state& state, const zone_id& zone);
    [[nodiscard]] static zone_work describe(const core_state& state, const work_description& work);
    void refresh_slots(const core_state& state, const pool_id& pool);
    void log_changes(core_state& state, const std::vector<zone_direction_change>& changes) const;

    zone_traffic_mode mode_;
    std::vector<std::string> kept_home_;
    /// Milliseconds of delay that correspond to a preference of 1.
    double score_unit_ms_;
    double prefill_tokens_per_ms_;
    bool active_ = false;
    std::vector<zone_place> zones_;
    zone_balancer balancer_;
    zone_answer_costs answer_costs_;
    std::unordered_map<request_key, pending_request, request_key_hash> pending_;
    std::unordered_map<pool_id, time_point> slots_refreshed_;
};

} // namespace parsleyshift::detail
