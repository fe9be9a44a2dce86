#pragma once

#include <parsleyshift/core/ids.hpp>        // instance_id
#include <parsleyshift/messages/action.hpp> // send_to_peer
#include <parsleyshift/messages/peer.hpp>   // member_state

#include <cstdint> // uint64_t
#include <vector>  // vector

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

/// @brief Effects of calls to `membership`; each call appends.
struct membership_output
{
    /// Messages to send.
    std::vector<send_to_peer> messages;
    std::vector<member_changed> changes;
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
