#pragma once

#include <parsleyshift/core/ids.hpp>        // instance_id
#include <parsleyshift/messages/action.hpp> // send_to_peer
#include <parsleyshift/messages/peer.hpp>   // member_state

#include <cstdint> // uint64_t
#include <vector>  // vector

namespace parsleyshift
{

/// @brief A member is new, or its state or process has changed.
struct member_changed
{
    instance_id instance;
    /// dead for a member that was not known.
    member_state before = member_state::dead;
    member_state now = member_state::alive;
};

/// @brief What a call of `membership` asks for; each call appends.
struct membership_output
{
    std::vector<send_to_peer> messages;
    std::vector<member_changed> changes;
};

/// @brief Messages and estimated bytes sent to one kind of region.
struct traffic_count
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// @brief Traffic of the failure detector since the start, by kind of region.
struct membership_traffic
{
    traffic_count own_region;
    traffic_count other_regions;
};

} // namespace parsleyshift
