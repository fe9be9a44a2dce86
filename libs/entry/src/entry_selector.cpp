#include <parsleyshift/entry/entry_selector.hpp> // entry_selector

#include <parsleyshift/entry/customer_shard.hpp> // customer_shard

#include "slot_score.hpp" // slot_scores, best_slots

#include <algorithm> // any_of, copy_if, find, min, stable_sort
#include <iterator>  // back_inserter
#include <utility>   // move, swap

namespace parsleyshift
{

namespace
{

/// No valid fleet record has a higher slot number. Members with one are not indexed, which bounds the size of the
/// index.
constexpr int max_entry_slot = 65'535;

} // namespace

entry_selector::entry_selector(const member_update& self, const entry_policy& policy)
    : policy_(policy), self_(self.instance)
{
    update(self);
}

void entry_selector::configure(const fleet_record& fleet)
{
    fleet_ = fleet;
}

void entry_selector::remove_from_slot(const member_update& member)
{
    if (member.entry_slot < 0 || static_cast<std::size_t>(member.entry_slot) >= by_slot_.size())
    {
        return;
    }
    std::erase(by_slot_[static_cast<std::size_t>(member.entry_slot)], &member);
}

void entry_selector::update(const member_update& member)
{
    const auto existing = members_.find(member.instance);
    if (existing != members_.end())
    {
        remove_from_slot(existing->second);
    }
    if (member.state == member_state::dead && member.instance != self_)
    {
        members_.erase(member.instance);
        return;
    }
    if (!member.availability_zone.empty() && !member.region.empty() && !set_zones_.contains(member.availability_zone))
    {
        region_of_[member.availability_zone] = member.region;
    }
    member_update& stored = members_[member.instance];
    stored = member;
    if (member.entry_slot < 0 || member.entry_slot > max_entry_slot)
    {
        return;
    }
    const auto slot = static_cast<std::size_t>(member.entry_slot);
    if (slot >= by_slot_.size())
    {
        by_slot_.resize(slot + 1);
    }
    by_slot_[slot].push_back(&stored);
}

void entry_selector::replace(const std::vector<member_update>& members)
{
    const member_update self = members_.at(self_);
    members_.clear();
    by_slot_.clear();
    update(self);
    for (const member_update& member : members)
    {
        update(member);
    }
}

void entry_selector::set_zone_region(const zone_id& zone, const region_id& region)
{
    region_of_[zone] = region;
    set_zones_.insert(zone);
}

region_id entry_selector::region_of(const zone_id& zone) const
{
    const auto found = region_of_.find(zone);
    return found == region_of_.end() ? region_id{} : found->second;
}

bool entry_selector::has_zone_in(const region_set& regions) const
{
    return std::any_of(region_of_.begin(), region_of_.end(),
                       [&regions](const auto& entry) { return regions.allows(entry.second); });
}

bool entry_selector::is_alive(const member_update& member) const
{
    return member.state == member_state::alive;
}

bool entry_selector::overloaded(const member_update& member) const
{
    return member.busy_percent > policy_.overloaded_percent;
}

entry_selector::candidates entry_selector::alive_in_slots(const std::vector<int>& slots) const
{
    candidates found;
    for (const int slot : slots)
    {
        if (static_cast<std::size_t>(slot) >= by_slot_.size())
        {
            continue;
        }
        for (const member_update* member : by_slot_[static_cast<std::size_t>(slot)])
        {
            if (is_alive(*member))
            {
                found.push_back(member);
            }
        }
    }
    return found;
}

entry_selector::candidates entry_selector::outside_shard(const customer_id& customer) const
{
    std::vector<detail::scored_slot> scores = detail::slot_scores(customer, fleet_.entry_slots);
    std::erase_if(scores,
                  [this](const detail::scored_slot& scored)
                  {
                      candidates holders = alive_in_slots({scored.slot});
                      std::erase_if(holders, [this](const member_update* member) { return overloaded(*member); });
                      return holders.empty();
                  });
    return alive_in_slots(detail::best_slots(std::move(scores), policy_.max_entries));
}

entry_selector::candidates entry_selector::fallback_members() const
{
    candidates not_overloaded;
    candidates overloaded_members;
    candidates suspect;
    for (const auto& [instance, member] : members_)
    {
        if (is_alive(member))
        {
            (overloaded(member) ? overloaded_members : not_overloaded).push_back(&member);
        }
        if (member.state == member_state::suspect)
        {
            suspect.push_back(&member);
        }
    }
    if (!not_overloaded.empty())
    {
        return not_overloaded;
    }
    if (!overloaded_members.empty())
    {
        return overloaded_members;
    }
    return suspect.empty() ? candidates{&members_.at(self_)} : suspect;
}

int entry_selector::distance(const member_update& member, const zone_id& zone) const
{
    if (member.availability_zone == zone)
    {
        return 0;
    }
    const auto region = region_of_.find(zone);
    return region != region_of_.end() && member.region == region->second ? 1 : 2;
}

std::vector<entry_candidate> entry_selector::rank(candidates found, const zone_id& zone, std::size_t max_entries,
                                                  random_source& random) const
{
    // Sorted by instance before shuffling, so that the order depends on the seed only and not on the iteration order of
    // the hash table.
    std::sort(found.begin(), found.end(),
              [](const member_update* left, const member_update* right) { return left->instance < right->instance; });
    for (std::size_t left = found.size(); left > 1; --left)
    {
        std::swap(found[left - 1], found[random.index(left)]);
    }
    std::stable_sort(found.begin(), found.end(),
                     [&](const member_update* left, const member_update* right)
                     { return distance(*left, zone) < distance(*right, zone); });
    if (found.size() > max_entries)
    {
        found.resize(max_entries);
    }
    std::vector<entry_candidate> entries;
    for (const member_update* member : found)
    {
        entries.push_back({member->instance, member->address, member->availability_zone});
    }
    return entries;
}

entry_ranking entry_selector::select(const customer_id& customer, const zone_id& zone, random_source& random) const
{
    const candidates shard = alive_in_slots(customer_shard(customer, fleet_.entry_slots, fleet_.shard_size));
    candidates not_overloaded = shard;
    std::erase_if(not_overloaded, [this](const member_update* member) { return overloaded(*member); });
    if (!not_overloaded.empty())
    {
        return {rank(std::move(not_overloaded), zone, policy_.max_entries, random),
                random.jittered(policy_.ttl, policy_.ttl_jitter)};
    }
    // The answer for an overloaded shard does not include other slots: the load may come from this customer and must
    // not spread to them.
    candidates found = shard;
    if (found.empty())
    {
        found = outside_shard(customer);
    }
    if (found.empty())
    {
        found = fallback_members();
    }
    return {rank(std::move(found), zone, policy_.max_entries, random),
            random.jittered(policy_.short_ttl, policy_.ttl_jitter)};
}

std::vector<entry_candidate> entry_selector::select_for_zone(const zone_id& zone, std::size_t min_members,
                                                             std::size_t max_entries, random_source& random) const
{
    constexpr int other_region = 2;
    const candidates members = fallback_members();
    candidates found;
    for (int wanted_distance = 0; wanted_distance <= other_region && found.size() < min_members; ++wanted_distance)
    {
        if (wanted_distance == other_region && !found.empty())
        {
            max_entries = std::min(max_entries, min_members);
        }
        std::copy_if(members.begin(), members.end(), std::back_inserter(found),
                     [&](const member_update* member) { return distance(*member, zone) == wanted_distance; });
    }
    return rank(std::move(found), zone, max_entries, random);
}

bool entry_selector::serves(const customer_id& customer) const
{
    const std::vector<int> slots = customer_shard(customer, fleet_.entry_slots, fleet_.shard_size);
    return std::find(slots.begin(), slots.end(), members_.at(self_).entry_slot) != slots.end();
}

} // namespace parsleyshift
