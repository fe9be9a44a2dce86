#pragma once

#include "core_state.hpp"   // core_state
#include "pool_manager.hpp" // pool_manager

#include <parsleyshift/placement/placement_planner.hpp> // placement_planner

#include <unordered_map> // unordered_map
#include <unordered_set> // unordered_set

namespace parsleyshift::detail
{

/// @brief What this instance knows of the fleet: members, configuration, endpoints, and the placement of models.
class fleet_manager
{
  public:
    fleet_manager(core_state& state, pool_manager& pools)
        : state_(state), pools_(pools), planner_(state.settings.self, state.settings.placement)
    {
    }

    void handle(const configuration_received& answer);
    void handle(const configuration_unavailable& answer);
    void handle(const instances_listed& list);
    void handle(const load_reported& reported);
    void handle(const load_unavailable& missing);
    void handle(const cache_reported& reported);
    void handle(const placement_answered& answer);
    void handle(const peer_envelope& envelope);
    void handle(const entry_query& asked);
    void leave();
    void advance();
    [[nodiscard]] time_point next_deadline() const;
    /// @brief True once since the last call when the live members or the endpoints have changed.
    bool take_topology_change();

  private:
    void apply(membership_output& output);
    void apply(configuration_output& output);
    void apply_records(const std::vector<raw_record>& changes);
    void members_changed();
    void endpoint_leaving(const endpoint_id& endpoint);
    void set_limits();
    void set_limit(const customer_record& customer);
    void update_placement();
    void update_watches();
    void evaluate_health();

    core_state& state_;
    pool_manager& pools_;
    placement_planner planner_;
    std::vector<placement_endpoint> engines_;
    std::unordered_set<endpoint_id> watched_;
    /// Endpoints whose weight is below 1 or was so at the last evaluation.
    std::unordered_set<endpoint_id> unsettled_;
    time_point next_purge_;
    bool topology_changed_ = false;
    bool superseded_ = false;
    bool joined_ = false;
};

} // namespace parsleyshift::detail
