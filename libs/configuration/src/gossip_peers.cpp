#include <parsleyshift/configuration/gossip_peers.hpp>

#include <algorithm> // find, max, min

namespace parsleyshift
{

void gossip_peers::assign(const member_update& self, std::span<const member_update> members)
{
    own_region_.clear();
    remote_.clear();
    for (const member_update& member : members)
    {
        const bool live = member.state == member_state::alive || member.state == member_state::suspect;
        if (live && member.instance != self.instance)
        {
            std::vector<peer>& group = member.region == self.region ? own_region_ : remote_;
            group.push_back({member.instance, member.peer_address});
        }
    }
}

bool gossip_peers::empty() const
{
    return own_region_.empty() && remote_.empty();
}

void gossip_peers::send_to_own_region(std::size_t count, const peer_message& message, random_source& random,
                                      std::vector<send_to_peer>& messages) const
{
    const std::vector<peer>& group = own_region_.empty() ? remote_ : own_region_;
    std::vector<std::size_t> chosen;
    const std::size_t target_count = std::min(count, group.size());
    while (chosen.size() < target_count)
    {
        const std::size_t candidate = random.index(group.size());
        if (std::find(chosen.begin(), chosen.end(), candidate) == chosen.end())
        {
            chosen.push_back(candidate);
            messages.push_back({group[candidate].instance, group[candidate].address, message});
        }
    }
}

void gossip_peers::send_to_any(double min_remote_share, const peer_message& message, random_source& random,
                               std::vector<send_to_peer>& messages) const
{
    if (empty())
    {
        return;
    }
    const double remote_probability = std::max(min_remote_share, 1.0 / static_cast<double>(own_region_.size() + 1));
    const bool remote = !remote_.empty() && random.fraction() < remote_probability;
    const std::vector<peer>& group = remote ? remote_ : own_region_;
    const peer& chosen = group[random.index(group.size())];
    messages.push_back({chosen.instance, chosen.address, message});
}

} // namespace parsleyshift
