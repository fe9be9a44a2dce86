#include <parsleyshift/membership/membership.hpp>

#include <algorithm> // find_if, max, min
#include <utility>   // move

namespace parsleyshift
{

namespace
{

/// Largest number of unanswered indirect probes kept, which bounds the memory. The oldest is dropped first, since its
/// answer would be the first to arrive too late to be used.
constexpr std::size_t max_indirect_probes = 64;
/// Smallest number from which on another member is asked for its whole view: of dead members when one returns, since a
/// partition may have healed, and of changes since the last view, since updates may be missing.
constexpr std::size_t min_resync_count = 8;
/// Requests for a first view that go to listed peers only; of the further ones half go to members.
constexpr int max_requests_to_seeds_alone = 3;

} // namespace

void membership::start_probe(time_point now, membership_output& out)
{
    if (outstanding_)
    {
        fail_probe(now, out);
    }
    announce_busy(now);
    next_probe_ = now + settings_.probe_interval;
    const std::optional<instance_id> target = next_target();
    if (!target)
    {
        return;
    }
    const std::string address = table_.find(*target)->peer_address;
    outstanding_ = direct_probe{next_sequence_++, *target, address, now, now + settings_.ack_timeout};
    send(*target, address, probe{outstanding_->sequence, piggybacked_updates(*target)}, out);
}

std::optional<instance_id> membership::next_target()
{
    const bool remote_first = random_.fraction() < settings_.remote_share;
    std::optional<instance_id> target = next_in_order(remote_first ? remote_order_ : own_region_order_, !remote_first);
    if (!target)
    {
        target = next_in_order(remote_first ? own_region_order_ : remote_order_, remote_first);
    }
    return target;
}

std::optional<instance_id> membership::next_in_order(probe_order& order, bool own_region)
{
    for (int round = 0; round < 2; ++round)
    {
        while (const std::optional<instance_id> next = order.next())
        {
            const member_update* member = table_.find(*next);
            if (member != nullptr && member->state != member_state::dead)
            {
                return next;
            }
        }
        std::vector<instance_id> round_members;
        for (const member_update& member : table_.all().subspan(1))
        {
            if (member.state != member_state::dead && (member.region == self_.region) == own_region)
            {
                round_members.push_back(member.instance);
            }
        }
        order.begin(std::move(round_members), random_);
    }
    return std::nullopt;
}

void membership::request_indirect_probes(membership_output& out)
{
    outstanding_->indirect_at = never;
    out.probes.push_back(member_probe{outstanding_->target, std::nullopt});
    std::vector<std::size_t> relays;
    for (const region_members& group : table_.regions())
    {
        relays.insert(relays.end(), group.live.begin(), group.live.end());
    }
    std::size_t sent = 0;
    while (sent < settings_.indirect_probes && !relays.empty())
    {
        const std::size_t chosen = random_.index(relays.size());
        const member_update& relay = table_.all()[relays[chosen]];
        relays[chosen] = relays.back();
        relays.pop_back();
        if (relay.instance == outstanding_->target)
        {
            continue;
        }
        const probe_request request{outstanding_->sequence, outstanding_->target, outstanding_->address};
        send(relay.instance, relay.peer_address, request, out);
        ++sent;
    }
}

void membership::fail_probe(time_point now, membership_output& out)
{
    const instance_id target = outstanding_->target;
    outstanding_.reset();
    health_score_ = std::min(settings_.max_health_score, health_score_ + 1);
    const member_update* member = table_.find(target);
    if (member == nullptr)
    {
        return;
    }
    if (member->state == member_state::alive)
    {
        mark_failed(target, member_state::suspect, now, out);
    }
    else if (member->state == member_state::leaving)
    {
        mark_failed(target, member_state::dead, now, out);
    }
}

void membership::reconnect(time_point now, membership_output& out)
{
    next_reconnect_ = now + settings_.reconnect_interval;
    table_.remove_dead_before(now - settings_.dead_member_retention);
    std::vector<const member_update*> dead;
    for (const member_update& member : table_.all())
    {
        if (member.state == member_state::dead)
        {
            dead.push_back(&member);
        }
    }
    if (dead.empty())
    {
        return;
    }
    const member_update& target = *dead[random_.index(dead.size())];
    // The piggybacked updates include that the receiver is dead, which it refutes.
    send(target.instance, target.peer_address, probe{next_sequence_++, piggybacked_updates(target.instance)}, out);
}

void membership::receive(const peer_envelope& envelope, const probe& message, membership_output& out)
{
    probe_ack answer{message.sequence, self_.instance, piggybacked_updates(envelope.sender)};
    send(envelope.sender, envelope.peer_address, std::move(answer), out);
}

void membership::receive(const peer_envelope& envelope, const probe_ack& message, time_point now,
                         membership_output& out)
{
    record_answer(now, out);
    if (outstanding_ && outstanding_->sequence == message.sequence && outstanding_->target == message.about)
    {
        // Later answers may have come through another member; the probe has been reported as unanswered already.
        if (outstanding_->indirect_at != never)
        {
            out.probes.push_back(member_probe{message.about, now - outstanding_->sent});
        }
        outstanding_.reset();
        return;
    }
    const auto matches = [&](const indirect_probe& pending)
    {
        return pending.sequence == message.sequence && envelope.sender == message.about;
    };
    const auto pending = std::find_if(indirect_probes_.begin(), indirect_probes_.end(), matches);
    if (pending == indirect_probes_.end())
    {
        return;
    }
    const indirect_probe answered = *pending;
    indirect_probes_.erase(pending);
    probe_ack forwarded{answered.origin_sequence, message.about, piggybacked_updates(answered.origin)};
    send(answered.origin, answered.origin_address, std::move(forwarded), out);
}

void membership::receive(const peer_envelope& envelope, const probe_request& message, membership_output& out)
{
    if (message.target == self_.instance)
    {
        return;
    }
    if (indirect_probes_.size() >= max_indirect_probes)
    {
        indirect_probes_.erase(indirect_probes_.begin());
    }
    indirect_probes_.push_back({next_sequence_, envelope.sender, envelope.peer_address, message.sequence});
    send(message.target, message.target_address, probe{next_sequence_++, piggybacked_updates(message.target)}, out);
}

void membership::request_view(time_point now, membership_output& out)
{
    next_view_request_ = now + settings_.join_retry_interval;
    if (view_received_)
    {
        request_view_from_member(out);
        return;
    }
    // Seeds that many instances ask at once answer only some of them; others have learned of this instance by then.
    const bool is_repeated = ++view_requests_ > max_requests_to_seeds_alone;
    if (is_repeated && table_.live_count() > 1 && random_.fraction() < 0.5)
    {
        request_view_from_member(out);
        return;
    }
    if (join_candidates_.empty())
    {
        next_view_request_ = never;
        return;
    }
    if (joined_)
    {
        // No peer has answered in time; the retries continue at a lower rate.
        next_view_request_ = now + settings_.join_timeout;
    }
    std::vector<join_candidate> preferred;
    for (const join_candidate& candidate : join_candidates_)
    {
        if (candidate.own_region)
        {
            preferred.push_back(candidate);
        }
    }
    // Half of the choices are made over all regions, in case the own region is cut off.
    const bool any_region = preferred.empty() || random_.fraction() < 0.5;
    const std::vector<join_candidate>& choices = any_region ? join_candidates_ : preferred;
    const join_candidate& chosen = choices[random_.index(choices.size())];
    send(chosen.instance, chosen.address, member_updates{{self_}, true}, out);
}

void membership::request_view_from_member(membership_output& out)
{
    const std::span<const member_update> members = table_.all();
    const member_update& chosen = members[random_.index(members.size())];
    if (chosen.instance != self_.instance && is_live(chosen.state))
    {
        send(chosen.instance, chosen.peer_address, member_updates{{self_}, true}, out);
    }
}

void membership::receive(const peer_envelope& envelope, const member_updates& message, time_point now,
                         membership_output& out)
{
    if (message.wants_all)
    {
        send_view(envelope, now, out);
        return;
    }
    if (next_view_request_ != never && !second_view_received_)
    {
        // A view begins with the sender's own update. An announcement by a sender that is leaving does too, and counts
        // as a view; forwarded announcements do not.
        const bool from_view = !message.updates.empty() && message.updates.front().instance == envelope.sender;
        second_view_received_ = from_view && view_received_;
        view_received_ = view_received_ || from_view;
        joined_ = joined_ || from_view;
        const time_point next = second_view_received_ ? never : now + settings_.second_view_delay;
        next_view_request_ = from_view ? next : next_view_request_;
    }
}

void membership::send_view(const peer_envelope& envelope, time_point now, membership_output& out)
{
    if (now >= view_answers_window_start_ + std::chrono::seconds{1})
    {
        view_answers_window_start_ = now;
        view_answers_ = 0;
    }
    if (++view_answers_ > settings_.max_view_answers_per_second)
    {
        return;
    }
    member_updates part;
    for (const member_update& member : table_.all())
    {
        if (member.state == member_state::dead)
        {
            continue;
        }
        part.updates.push_back(member);
        if (part.updates.size() == settings_.max_updates_per_view_message)
        {
            send(envelope.sender, envelope.peer_address, part, out);
            part.updates.clear();
        }
    }
    if (!part.updates.empty())
    {
        send(envelope.sender, envelope.peer_address, std::move(part), out);
    }
}

void membership::handle_change(const member_update& update, member_state before, time_point now, membership_output& out)
{
    out.changes.push_back({update.instance, before, update.state});
    // After many changes at once, some updates may not have been sent; a whole view supplies the missing ones.
    const std::size_t resync_threshold = std::max(min_resync_count, table_.live_count() / 16);
    if (++changes_since_view_ >= resync_threshold && view_received_)
    {
        changes_since_view_ = 0;
        second_view_received_ = false;
        next_view_request_ = std::min(next_view_request_, now + settings_.second_view_delay);
    }
    if (update.state == member_state::suspect)
    {
        suspicions_.push_back({update.instance, update.started, update.refutation, now});
    }
    if (update.state == member_state::leaving)
    {
        pending_leave_announcements_.push_back(update.instance);
        // Leaves that follow shortly after each other are announced in one message.
        const duration spacing{50};
        announce_leaves_at_ = std::max(now, last_leave_announcement_ + spacing);
    }
    if (before != member_state::dead || update.state == member_state::dead)
    {
        return;
    }
    probe_order& order = update.region == self_.region ? own_region_order_ : remote_order_;
    order.add(update.instance, random_);
    if (table_.dead_count() >= min_resync_count && now >= next_resync_)
    {
        // One request is enough while many members return at once.
        next_resync_ = now + std::chrono::seconds{30};
        send(update.instance, update.peer_address, member_updates{{self_}, true}, out);
    }
}

} // namespace parsleyshift
