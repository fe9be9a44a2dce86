#pragma once

#include <parsleyshift/messages/peer.hpp> // peer_message

#include <cstdint> // uint64_t

namespace parsleyshift::detail
{

/// @brief Estimated encoded size of a membership message with its envelope, in bytes. Linear in the updates.
std::uint64_t estimated_bytes(const peer_message& message);

} // namespace parsleyshift::detail
