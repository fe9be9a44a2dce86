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

/// @brief The live peers of an instance, for random choices that prefer its own region.
class gossip_peers
{
  public:
    /// @brief Takes the live members other than `self`. Linear.
    void assign(const member_update& self, std::span<const member_update> members);
    [[nodiscard]] bool empty() const;
    /// @brief Sends a message to different random peers of the own region, or of any when there is none.
    void send_to_own_region(std::size_t count, const peer_message& message, random_source& random,
                            std::vector<send_to_peer>& messages) const;
    /// @brief Sends a message to one random peer, with the given probability in another region; in small regions with
    /// a higher one, so that each region sends one such message per round.
    void send_to_any(double remote_share, const peer_message& message, random_source& random,
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
