#include <parsleyshift/membership/member_table.hpp>

#include <algorithm> // find_if
#include <utility>   // move

namespace parsleyshift
{

namespace
{

/// Higher slots are not indexed, so that an invalid update cannot exhaust the memory.
constexpr int max_entry_slot = 65'535;

} // namespace

std::strong_ordering compare_updates(const member_update& first, const member_update& second) noexcept
{
    if (const auto order = first.started <=> second.started; order != std::strong_ordering::equal)
    {
        return order;
    }
    if (const auto order = first.refutation <=> second.refutation; order != std::strong_ordering::equal)
    {
        return order;
    }
    return static_cast<int>(first.state) <=> static_cast<int>(second.state);
}

member_table::member_table(member_update self, std::size_t max_members) : max_members_(max_members)
{
    index_.emplace(self.instance, 0);
    members_.push_back(std::move(self));
    state_changed_at_.emplace_back();
    update_counts(members_.front(), true);
    update_slot(0);
}

merge_effect member_table::merge(const member_update& update, time_point now)
{
    const auto existing = index_.find(update.instance);
    if (existing == index_.end())
    {
        if (update.state == member_state::dead || members_.size() >= max_members_)
        {
            return merge_effect::none;
        }
        index_.emplace(update.instance, members_.size());
        members_.push_back(update);
        state_changed_at_.push_back(now);
        update_counts(update, true);
        update_slot(members_.size() - 1);
        regions_outdated_ = true;
        return merge_effect::added;
    }
    const std::size_t index = existing->second;
    member_update& member = members_[index];
    if (compare_updates(update, member) != std::strong_ordering::greater)
    {
        return merge_effect::none;
    }
    const bool state_changed = member.state != update.state || member.started != update.started;
    update_counts(member, false);
    const int old_slot = member.entry_slot;
    member = update;
    update_counts(member, true);
    if (old_slot != member.entry_slot)
    {
        reassign_slot(old_slot);
    }
    update_slot(index);
    if (!state_changed)
    {
        return merge_effect::details;
    }
    state_changed_at_[index] = now;
    regions_outdated_ = true;
    return merge_effect::state;
}

void member_table::restore_state(const instance_id& instance, member_state previous_state, time_point now)
{
    const std::size_t index = index_.at(instance);
    update_counts(members_[index], false);
    members_[index].state = previous_state;
    update_counts(members_[index], true);
    state_changed_at_[index] = now;
    regions_outdated_ = true;
    update_slot(index);
}

void member_table::set_self(const member_update& self)
{
    update_counts(members_.front(), false);
    members_.front() = self;
    update_counts(members_.front(), true);
    update_slot(0);
}

void member_table::remove_dead_before(time_point limit)
{
    std::size_t kept = 0;
    for (std::size_t index = 0; index < members_.size(); ++index)
    {
        if (members_[index].state == member_state::dead && state_changed_at_[index] < limit)
        {
            --dead_count_;
            continue;
        }
        if (kept != index)
        {
            members_[kept] = std::move(members_[index]);
            state_changed_at_[kept] = state_changed_at_[index];
        }
        ++kept;
    }
    if (kept == members_.size())
    {
        return;
    }
    members_.resize(kept);
    state_changed_at_.resize(kept);
    rebuild_index();
}

std::span<const member_update> member_table::all() const
{
    return members_;
}

const member_update* member_table::find(const instance_id& instance) const
{
    const auto existing = index_.find(instance);
    return existing == index_.end() ? nullptr : &members_[existing->second];
}

const member_update* member_table::holder_of(int entry_slot) const
{
    if (entry_slot < 0 || static_cast<std::size_t>(entry_slot) >= holders_.size())
    {
        return nullptr;
    }
    const std::size_t holder = holders_[static_cast<std::size_t>(entry_slot)];
    return holder == no_holder ? nullptr : &members_[holder];
}

std::size_t member_table::live_count() const
{
    return live_count_;
}

std::size_t member_table::dead_count() const
{
    return dead_count_;
}

int member_table::lowest_schema() const
{
    return live_by_schema_.empty() ? members_.front().schema : live_by_schema_.begin()->first;
}

std::span<const region_members> member_table::regions()
{
    if (regions_outdated_)
    {
        rebuild_regions();
        regions_outdated_ = false;
    }
    return regions_;
}

void member_table::update_counts(const member_update& member, bool added)
{
    if (member.state == member_state::dead)
    {
        dead_count_ += added ? 1 : -1;
        return;
    }
    if (!is_live(member.state))
    {
        return;
    }
    live_count_ += added ? 1 : -1;
    std::size_t& same_schema = live_by_schema_[member.schema];
    same_schema += added ? 1 : -1;
    if (same_schema == 0)
    {
        live_by_schema_.erase(member.schema);
    }
}

void member_table::update_slot(std::size_t index)
{
    const member_update& member = members_[index];
    if (member.entry_slot < 0 || member.entry_slot > max_entry_slot)
    {
        return;
    }
    const auto slot = static_cast<std::size_t>(member.entry_slot);
    if (slot >= holders_.size())
    {
        holders_.resize(slot + 1, no_holder);
    }
    const std::size_t holder = holders_[slot];
    if (member.state != member_state::alive)
    {
        if (holder == index)
        {
            reassign_slot(member.entry_slot);
        }
        return;
    }
    if (holder == no_holder || members_[holder].started <= member.started)
    {
        holders_[slot] = index;
    }
}

void member_table::reassign_slot(int entry_slot)
{
    if (entry_slot < 0 || static_cast<std::size_t>(entry_slot) >= holders_.size())
    {
        return;
    }
    std::size_t holder = no_holder;
    for (std::size_t index = 0; index < members_.size(); ++index)
    {
        const member_update& member = members_[index];
        const bool holds = member.entry_slot == entry_slot && member.state == member_state::alive;
        if (holds && (holder == no_holder || members_[holder].started <= member.started))
        {
            holder = index;
        }
    }
    holders_[static_cast<std::size_t>(entry_slot)] = holder;
}

void member_table::rebuild_index()
{
    index_.clear();
    holders_.clear();
    for (std::size_t index = 0; index < members_.size(); ++index)
    {
        index_.emplace(members_[index].instance, index);
        update_slot(index);
    }
    regions_outdated_ = true;
}

void member_table::rebuild_regions()
{
    regions_.clear();
    regions_.push_back({members_.front().region, {}});
    for (std::size_t index = 1; index < members_.size(); ++index)
    {
        const member_update& member = members_[index];
        if (!is_live(member.state))
        {
            continue;
        }
        const auto same_region = [&](const region_members& group)
        {
            return group.region == member.region;
        };
        auto group = std::find_if(regions_.begin(), regions_.end(), same_region);
        if (group == regions_.end())
        {
            regions_.push_back({member.region, {}});
            group = regions_.end() - 1;
        }
        group->live.push_back(index);
    }
}

} // namespace parsleyshift
