#pragma once

#include <parsleyshift/core/ids.hpp>        // revision
#include <parsleyshift/messages/action.hpp> // action
#include <parsleyshift/messages/event.hpp>  // event

#include <string> // string

namespace parsleyshift
{

/// @brief An event on its way from an I/O thread to the decision thread.
struct inbound_event
{
    event what;
    /// Hex SHA-256 of the key that the caller presented; empty when it presented none.
    std::string key_sha256;
};

/// @brief An action on its way from the decision thread to an I/O thread.
struct outbound_action
{
    action what;
    /// Highest configuration revision when the action was decided, for the envelopes to peers.
    revision highest;
};

} // namespace parsleyshift
