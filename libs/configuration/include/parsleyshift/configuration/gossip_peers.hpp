#pragma once

#include <parsleyshift/core/random_source.hpp> // random_source
#include <parsleyshift/messages/action.hpp>    // send_to_peer
#include <parsleyshift/messages/peer.hpp>      // member_update, peer_message

#include <cstddef> // size_t
#include <span>    // span
#include <string>  // string
#include <vector>  // vector

namespace parsleyshift
{

/// @brief The live peers of an instance, from which gossip targets are drawn with preference for its own region.
class gossip_peers
{
  public:
    /// @brief Replaces the peers by the live members other than `self`. Linear.
    void assign(const member_update& self, std::span<const member_update> members);
    [[nodiscard]] bool empty() const;
    /// @brief Sends a message to up to `count` distinct random peers of the own region, or of the other regions when
    /// the own region has none.
    /// @param messages receives the messages to send
    void send_to_own_region(std::size_t count, const peer_message& message, random_source& random,
                            std::vector<send_to_peer>& messages) const;
    /// @brief Sends a message to one random peer; does nothing without peers.
    /// @param min_remote_share probability of choosing another region; raised in small regions so that the members of a
    /// region together send about one message per round to other regions
    /// @param messages receives the message to send
    void send_to_any(double min_remote_share, const peer_message& message, random_source& random,
                     std::vector<send_to_peer>& messages) const;

  private:
    struct peer
    {
        instance_id instance;
        std::string address;
    };
    std::vector<peer> own_region_;
    std::vector<peer> remote_;
};

} // namespace parsleyshift
