#pragma once

#include <parsleyshift/core/clock.hpp>         // time_point
#include <parsleyshift/messages/action.hpp>    // send_placement_order
#include <parsleyshift/messages/event.hpp>     // placement_answered
#include <parsleyshift/messages/peer.hpp>      // member_update
#include <parsleyshift/placement/inputs.hpp>   // placement_configuration, placement_endpoint
#include <parsleyshift/placement/settings.hpp> // placement_settings

#include <span>   // span
#include <vector> // vector

namespace parsleyshift
{

/// @brief Orders models, adapters, versions and roles at the engines.
class placement_planner
{
  public:
    placement_planner(member_update self, placement_settings settings);

    void set_configuration(placement_configuration configuration, time_point now);
    /// @brief Takes the engines of the platform's list; replaces the former ones.
    void set_endpoints(std::vector<placement_endpoint> endpoints);
    /// @brief Takes the membership view, which only decides who orders, never what.
    void update_members(std::span<const member_update> members);
    void handle(const load_report& report, time_point now);
    void handle(const placement_answered& answer, time_point now);
    /// @brief Appends the orders that are due; to be called at next_deadline().
    void expire(time_point now, std::vector<send_placement_order>& out);
    [[nodiscard]] time_point next_deadline() const;
};

} // namespace parsleyshift
