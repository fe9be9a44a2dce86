#include <parsleyshift/entry/entry_selector.hpp> // entry_selector

#include <parsleyshift/entry/customer_shard.hpp> // customer_shard

#include "slot_score.hpp" // slot_scores, best_slots

#include <algorithm> // copy_if, find, stable_sort
#include <iterator>  // back_inserter
#include <utility>   // move, swap

namespace parsleyshift
{

namespace
{

/// A slot number beyond this cannot come from a valid fleet record; it would only make the index grow.
constexpr int highest_slot = 65'535;

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

void entry_selector::detach(const member_update& member)
{
    if (member.entry_slot < 0 || static_cast<std::size_t>(member.entry_slot) >= by_slot_.size())
    {
        return;
    }
    std::erase(by_slot_[static_cast<std::size_t>(member.entry_slot)], &member);
}

void entry_selector::update(const member_update& member)
{
    const auto known = members_.find(member.instance);
    if (known != members_.end())
    {
        detach(known->second);
    }
    if (member.state == member_state::dead && member.instance != self_)
    {
        members_.erase(member.instance);
        return;
    }
    region_of_[member.availability_zone] = member.region;
    member_update& kept = members_[member.instance];
    kept = member;
    if (member.entry_slot < 0 || member.entry_slot > highest_slot)
    {
        return;
    }
    const auto slot = static_cast<std::size_t>(member.entry_slot);
    if (slot >= by_slot_.size())
    {
        by_slot_.resize(slot + 1);
    }
    by_slot_[slot].push_back(&kept);
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

void entry_selector::learn_zone(const zone_id& zone, const region_id& region)
{
    region_of_[zone] = region;
}

region_id entry_selector::region_of(const zone_id& zone) const
{
    const auto found = region_of_.find(zone);
    return found == region_of_.end() ? region_id{} : found->second;
}

bool entry_selector::usable(const member_update& member) const
{
    return member.state == member_state::alive;
}

bool entry_selector::overloaded(const member_update& member) const
{
    return member.busy_percent > policy_.overloaded_percent;
}

entry_selector::candidates entry_selector::in_slots(const std::vector<int>& slots) const
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
            if (usable(*member))
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
                      candidates holders = in_slots({scored.slot});
                      std::erase_if(holders, [this](const member_update* member) { return overloaded(*member); });
                      return holders.empty();
                  });
    return in_slots(detail::best_slots(std::move(scores), policy_.most_entries));
}

entry_selector::candidates entry_selector::last_resort() const
{
    candidates fresh;
    candidates busy;
    candidates suspect;
    for (const auto& [instance, member] : members_)
    {
        if (usable(member))
        {
            (overloaded(member) ? busy : fresh).push_back(&member);
        }
        if (member.state == member_state::suspect)
        {
            suspect.push_back(&member);
        }
    }
    if (!fresh.empty())
    {
        return fresh;
    }
    if (!busy.empty())
    {
        return busy;
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

std::vector<entry_choice> entry_selector::rank(candidates found, const zone_id& zone, std::size_t most,
                                               random_source& random) const
{
    // Ordered by instance first, so that the order depends on the seed only and not on the layout of the hash table.
    std::sort(found.begin(), found.end(),
              [](const member_update* left, const member_update* right) { return left->instance < right->instance; });
    for (std::size_t left = found.size(); left > 1; --left)
    {
        std::swap(found[left - 1], found[random.index(left)]);
    }
    std::stable_sort(found.begin(), found.end(),
                     [&](const member_update* left, const member_update* right)
                     { return distance(*left, zone) < distance(*right, zone); });
    if (found.size() > most)
    {
        found.resize(most);
    }
    std::vector<entry_choice> entries;
    for (const member_update* member : found)
    {
        entries.push_back({member->instance, member->address, member->availability_zone});
    }
    return entries;
}

entry_ranking entry_selector::select(const customer_id& customer, const zone_id& zone, random_source& random) const
{
    const candidates shard = in_slots(customer_shard(customer, fleet_.entry_slots, fleet_.shard_size));
    candidates fresh = shard;
    std::erase_if(fresh, [this](const member_update* member) { return overloaded(*member); });
    if (!fresh.empty())
    {
        return {rank(std::move(fresh), zone, policy_.most_entries, random),
                random.jittered(policy_.keep, policy_.keep_spread)};
    }
    // An overloaded shard is not widened: its load may come from this customer, and must not reach other slots.
    candidates found = shard;
    if (found.empty())
    {
        found = outside_shard(customer);
    }
    if (found.empty())
    {
        found = last_resort();
    }
    return {rank(std::move(found), zone, policy_.most_entries, random),
            random.jittered(policy_.short_keep, policy_.keep_spread)};
}

std::vector<entry_choice> entry_selector::select_near(const zone_id& zone, std::size_t least, std::size_t most,
                                                      random_source& random) const
{
    constexpr int distances = 3;
    const candidates usable = last_resort();
    candidates found;
    for (int reach = 0; reach < distances && found.size() < least; ++reach)
    {
        std::copy_if(usable.begin(), usable.end(), std::back_inserter(found),
                     [&](const member_update* member) { return distance(*member, zone) == reach; });
    }
    return rank(std::move(found), zone, most, random);
}

bool entry_selector::serves(const customer_id& customer) const
{
    const std::vector<int> slots = customer_shard(customer, fleet_.entry_slots, fleet_.shard_size);
    return std::find(slots.begin(), slots.end(), members_.at(self_).entry_slot) != slots.end();
}

} // namespace parsleyshift
