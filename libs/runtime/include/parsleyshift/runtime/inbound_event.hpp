#pragma once

#include <parsleyshift/core/ids.hpp>        // revision
#include <parsleyshift/messages/action.hpp> // action
#include <parsleyshift/messages/event.hpp>  // event

#include <string> // string

namespace parsleyshift
{

/// @brief Element of the channels from the I/O threads to the decision thread.
struct inbound_event
{
    event what;
    /// Lower-case hex SHA-256 of the key that the caller presented; empty when it presented none.
    std::string key_sha256;
};

/// @brief Element of the channels from the decision thread to the I/O threads.
struct outbound_action
{
    action what;
    /// Highest configuration revision at the time of the decision; sent in the envelopes to peers.
    revision highest_revision;
};

} // namespace parsleyshift
