#pragma once

#include <parsleyshift/core/clock.hpp>      // duration
#include <parsleyshift/core/ids.hpp>        // instance_id
#include <parsleyshift/messages/action.hpp> // send_to_peer
#include <parsleyshift/messages/peer.hpp>   // member_state

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <vector>   // vector

namespace parsleyshift
{

/// @brief Reports a new member, or a change of the state or process of a member.
struct member_changed
{
    instance_id instance;
    /// `dead` for a new member.
    member_state before = member_state::dead;
    member_state now = member_state::alive;
};

/// @brief Result of a direct probe of a member.
struct member_probe
{
    instance_id instance;
    /// Round-trip time; empty if no answer arrived within the time after which indirect probes are sent.
    std::optional<duration> round_trip;
};

/// @brief Effects of calls to `membership`; each call appends.
struct membership_output
{
    /// Messages to send.
    std::vector<send_to_peer> messages;
    std::vector<member_changed> changes;
    std::vector<member_probe> probes;
};

/// @brief Number and estimated size of the messages sent to the own region or to other regions.
struct traffic_count
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// @brief Messages sent by the failure detector since the start.
struct membership_traffic
{
    traffic_count own_region;
    traffic_count other_regions;
};

} // namespace parsleyshift
