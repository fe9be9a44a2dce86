#pragma once

#include "core_state.hpp"   // core_state
#include "pool_manager.hpp" // pool_manager

#include <parsleyshift/placement/placement_planner.hpp> // placement_planner

#include <unordered_map> // unordered_map
#include <unordered_set> // unordered_set

namespace parsleyshift::detail
{

/// @brief Keeps this instance's view of the fleet up to date: members, configuration, endpoints, and the placement of
/// models.
class fleet_manager
{
  public:
    fleet_manager(core_state& state, pool_manager& pools)
        : state_(state), pools_(pools), planner_(state.settings.self, state.settings.placement)
    {
    }

    /// @brief Applies an answer of the configuration service.
    void handle(const configuration_received& answer);
    void handle(const configuration_unavailable& answer);
    /// @brief Applies the latest instance list to members, endpoints and placement.
    void handle(const instances_listed& list);
    /// @brief Applies the load report of an endpoint, which also proves that the endpoint is alive.
    void handle(const load_reported& reported);
    /// @brief A load report could not be read; an endpoint counts as dead after several in a row.
    void handle(const load_unavailable& missing);
    /// @brief Applies cache events of an engine to the prefix index.
    void handle(const cache_reported& reported);
    void handle(const placement_answered& answer);
    /// @brief Handles the membership and configuration parts of a peer's message.
    void handle(const peer_envelope& envelope);
    /// @brief Answers which instances a customer's callers should use.
    void handle(const entry_query& query);
    /// @brief Announces the planned stop of this instance to the members.
    void leave();
    /// @brief Runs everything that is due at the current time.
    void advance();
    /// @brief Earliest time at which advance() has something to do.
    [[nodiscard]] time_point next_deadline() const;
    /// @brief Whether members, endpoints or records have changed since the last call; updates the endpoints whose load
    /// is read if so.
    bool take_topology_change();

  private:
    void apply(membership_output& output);
    void apply(configuration_output& output);
    void apply_records(const std::vector<raw_record>& changes);
    void members_changed();
    void endpoint_leaving(const endpoint_id& endpoint);
    void update_limits();
    void update_limit(const customer_record& customer);
    void update_placement();
    void update_watches();
    /// Logs changes of health, sends them to the scheduling instances, and passes new weights to the schedulers here.
    void evaluate_health();

    core_state& state_;
    pool_manager& pools_;
    placement_planner planner_;
    std::vector<placement_endpoint> engines_;
    /// Endpoints whose load reports this instance reads.
    std::unordered_set<endpoint_id> watched_;
    /// Endpoints whose weight is below 1 or was below 1 at the last evaluation.
    std::unordered_set<endpoint_id> reduced_weight_;
    time_point next_purge_;
    bool topology_changed_ = false;
    /// A later process with this instance's id was seen, and the stop was logged.
    bool superseded_ = false;
    bool joined_ = false;
};

} // namespace parsleyshift::detail
