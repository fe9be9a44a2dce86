#include "traffic.hpp"

#include <parsleyshift/membership/membership.hpp>

#include <algorithm> // max, min
#include <cmath>     // ceil, log, log2
#include <utility>   // move

namespace parsleyshift
{

void membership::apply(const std::vector<member_update>& updates, time_point now, membership_output& out)
{
    // Longer lists are answers to joins; their updates have been propagated before.
    const bool propagate = updates.size() <= settings_.max_updates_per_message;
    for (const member_update& update : updates)
    {
        apply(update, propagate, now, out);
    }
}

void membership::apply(const member_update& update, bool propagate, time_point now, membership_output& out)
{
    if (update.instance == self_.instance)
    {
        apply_to_self(update);
        return;
    }
    const member_update* existing = table_.find(update.instance);
    const member_state before = existing == nullptr ? member_state::dead : existing->state;
    switch (table_.merge(update, now))
    {
    case merge_effect::none:
        return;
    case merge_effect::details:
        queue_.add(update.instance, update_priority::details);
        return;
    case merge_effect::added:
        if (propagate)
        {
            queue_.add(update.instance, update_priority::state);
        }
        handle_change(update, before, now, out);
        return;
    case merge_effect::state:
        queue_.add(update.instance, update_priority::state);
        handle_change(update, before, now, out);
        return;
    }
}

void membership::apply_to_self(const member_update& update)
{
    if (update.started > self_.started)
    {
        superseded_ = true;
        return;
    }
    if (update.started < self_.started)
    {
        queue_.add(self_.instance, update_priority::state);
        return;
    }
    if (compare_updates(update, self_) == std::strong_ordering::greater)
    {
        self_.refutation = update.refutation + 1;
        table_.set_self(self_);
        queue_.add(self_.instance, update_priority::state);
    }
}

void membership::mark_failed(const instance_id& instance, member_state state, time_point now, membership_output& out)
{
    member_update changed = *table_.find(instance);
    const member_state before = changed.state;
    changed.state = state;
    table_.merge(changed, now);
    if (is_degraded())
    {
        queue_.remove(instance);
        withheld_changes_.push_back({instance, changed.started, changed.refutation, before});
    }
    else
    {
        queue_.add(instance, update_priority::state);
    }
    handle_change(changed, before, now, out);
}

void membership::announce_leaves(time_point now, membership_output& out)
{
    if (now < announce_leaves_at_)
    {
        return;
    }
    announce_leaves_at_ = never;
    last_leave_announcement_ = now;
    member_updates announcement;
    const std::size_t count = std::min(pending_leave_announcements_.size(), settings_.max_updates_per_view_message);
    for (std::size_t index = 0; index < count; ++index)
    {
        const member_update* member = table_.find(pending_leave_announcements_[index]);
        if (member != nullptr)
        {
            announcement.updates.push_back(*member);
        }
    }
    pending_leave_announcements_.erase(pending_leave_announcements_.begin(),
                                       pending_leave_announcements_.begin() + static_cast<std::ptrdiff_t>(count));
    if (!pending_leave_announcements_.empty())
    {
        announce_leaves_at_ = now + std::chrono::milliseconds{50};
    }
    for (const instance_id& target : announcement_targets(0))
    {
        send(target, table_.find(target)->peer_address, announcement, out);
    }
}

std::vector<instance_id> membership::announcement_targets(std::size_t per_other_region)
{
    std::vector<instance_id> targets;
    const auto choose = [&](std::vector<std::size_t> group, std::size_t count)
    {
        for (; count > 0 && !group.empty(); --count)
        {
            const std::size_t chosen = random_.index(group.size());
            targets.push_back(table_.all()[group[chosen]].instance);
            group[chosen] = group.back();
            group.pop_back();
        }
    };
    const std::span<const region_members> regions = table_.regions();
    // With ln(n) + 4 random targets per member, the expected number of members in the region without a message is e^-4.
    const double size = static_cast<double>(std::max<std::size_t>(1, regions.front().live.size()));
    choose(regions.front().live, static_cast<std::size_t>(std::ceil(std::log(size))) + 4);
    if (regions.size() == 1)
    {
        return targets;
    }
    if (per_other_region == 0)
    {
        choose(regions[1 + random_.index(regions.size() - 1)].live, 1);
        return targets;
    }
    for (const region_members& group : regions.subspan(1))
    {
        choose(group.live, per_other_region);
    }
    return targets;
}

std::vector<member_update> membership::piggybacked_updates(const instance_id& receiver)
{
    std::vector<member_update> updates{self_};
    const member_update* existing = table_.find(receiver);
    if (existing != nullptr && existing->state != member_state::alive)
    {
        // Lets the receiver refute its own state.
        updates.push_back(*existing);
    }
    const double members = static_cast<double>(table_.all().size());
    const double transmissions = std::ceil(settings_.retransmit_factor * std::log2(members + 1));
    const std::size_t reserved = updates.size() + settings_.random_updates_per_message;
    const std::size_t capacity =
        settings_.max_updates_per_message - std::min(settings_.max_updates_per_message, reserved);
    for (const instance_id& instance : queue_.take(capacity, static_cast<std::size_t>(transmissions)))
    {
        const member_update* member = table_.find(instance);
        if (member != nullptr && instance != self_.instance)
        {
            updates.push_back(*member);
        }
    }
    add_random_updates(updates);
    return updates;
}

void membership::add_random_updates(std::vector<member_update>& updates)
{
    const std::span<const member_update> members = table_.all();
    if (members.size() == 1 || !withheld_changes_.empty())
    {
        return;
    }
    for (std::size_t count = 0; count < settings_.random_updates_per_message; ++count)
    {
        const member_update& chosen = members[1 + random_.index(members.size() - 1)];
        if (chosen.state != member_state::suspect)
        {
            updates.push_back(chosen);
        }
    }
}

void membership::send(const instance_id& to, const std::string& address, peer_message message, membership_output& out)
{
    const member_update* member = table_.find(to);
    const bool own_region = member != nullptr && member->region == self_.region;
    traffic_count& count = own_region ? traffic_.own_region : traffic_.other_regions;
    ++count.messages;
    count.bytes += detail::estimated_bytes(message);
    out.messages.push_back({to, address, std::move(message)});
}

} // namespace parsleyshift
