#include <parsleyshift/membership/membership.hpp>

#include <algorithm> // find_if, max, min
#include <cmath>     // log10
#include <cstdlib>   // abs
#include <utility>   // move
#include <variant>   // get_if

namespace parsleyshift
{

membership::membership(member_update self, membership_settings settings, std::uint64_t seed)
    : settings_(settings),
      random_(seed),
      self_(std::move(self)),
      table_(self_, settings.max_members),
      busy_percent_(self_.busy_percent)
{
    queue_.add(self_.instance, update_priority::state);
}

void membership::handle_list(const std::vector<listed_instance>& list, time_point now, membership_output& out)
{
    advance(now);
    join_candidates_.clear();
    std::vector<const listed_instance*> unknown;
    for (const listed_instance& listed : list)
    {
        const instance_id instance{listed.id};
        const bool peer = listed.role == instance_role::entry && !listed.peer_address.empty();
        if (!peer || instance == self_.instance || listed.leaving)
        {
            continue;
        }
        join_candidates_.push_back({instance, listed.peer_address, listed.region == self_.region});
        const member_update* existing = table_.find(instance);
        if (existing == nullptr)
        {
            unknown.push_back(&listed);
        }
    }
    if (join_candidates_.empty())
    {
        joined_ = true;
        return;
    }
    if (!view_received_)
    {
        if (next_view_request_ == never)
        {
            request_view(now, out);
        }
        return;
    }
    for (std::size_t contacted = 0; contacted < settings_.max_contacts_per_list && !unknown.empty(); ++contacted)
    {
        const std::size_t chosen = random_.index(unknown.size());
        const instance_id instance{unknown[chosen]->id};
        send(instance, unknown[chosen]->peer_address, probe{next_sequence_++, piggybacked_updates(instance)}, out);
        unknown.erase(unknown.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
}

void membership::handle(const peer_envelope& envelope, time_point now, membership_output& out)
{
    advance(now);
    if (envelope.sender == self_.instance)
    {
        superseded_ = superseded_ || envelope.started > self_.started;
        return;
    }
    const member_update* existing = table_.find(envelope.sender);
    if (existing != nullptr && existing->started > envelope.started)
    {
        // Informs a process that was replaced while it was paused of its successor.
        send(envelope.sender, envelope.peer_address, member_updates{{*existing}, false}, out);
        return;
    }
    if (const auto* direct = std::get_if<probe>(&envelope.message))
    {
        apply(direct->updates, now, out);
        receive(envelope, *direct, out);
    }
    else if (const auto* answer = std::get_if<probe_ack>(&envelope.message))
    {
        apply(answer->updates, now, out);
        receive(envelope, *answer, now, out);
    }
    else if (const auto* request = std::get_if<probe_request>(&envelope.message))
    {
        receive(envelope, *request, out);
    }
    else if (const auto* updates = std::get_if<member_updates>(&envelope.message))
    {
        apply(updates->updates, now, out);
        receive(envelope, *updates, now, out);
    }
    announce_leaves(now, out);
}

void membership::expire(time_point now, membership_output& out)
{
    advance(now);
    if (now >= next_view_request_)
    {
        request_view(now, out);
    }
    if (outstanding_ && now >= outstanding_->indirect_at)
    {
        request_indirect_probes(out);
    }
    if (now >= next_probe_)
    {
        start_probe(now, out);
    }
    if (now >= next_reconnect_)
    {
        reconnect(now, out);
    }
    if (now >= *first_call_ + settings_.join_timeout)
    {
        joined_ = true;
    }
    expire_suspicions(now, out);
    announce_leaves(now, out);
}

time_point membership::next_deadline() const
{
    if (!first_call_)
    {
        return time_point{};
    }
    time_point earliest = std::min({next_probe_, next_reconnect_, next_view_request_, announce_leaves_at_});
    if (outstanding_)
    {
        earliest = std::min(earliest, outstanding_->indirect_at);
    }
    if (!joined_)
    {
        earliest = std::min(earliest, *first_call_ + settings_.join_timeout);
    }
    if (!suspicions_.empty())
    {
        earliest = std::min(earliest, suspicions_.front().timer_started_at + suspicion_timeout());
    }
    return earliest;
}

void membership::leave(time_point now, membership_output& out)
{
    advance(now);
    if (self_.state == member_state::leaving)
    {
        return;
    }
    self_.state = member_state::leaving;
    ++self_.refutation;
    table_.set_self(self_);
    queue_.add(self_.instance, update_priority::state);
    for (const instance_id& target : announcement_targets(2))
    {
        send(target, table_.find(target)->peer_address, member_updates{{self_}, false}, out);
    }
}

void membership::set_busy(int percent)
{
    busy_percent_ = percent;
}

std::span<const member_update> membership::members() const
{
    return table_.all();
}

const member_update* membership::find(const instance_id& instance) const
{
    return table_.find(instance);
}

const member_update* membership::holder_of(int entry_slot) const
{
    return table_.holder_of(entry_slot);
}

std::size_t membership::live_count() const
{
    return table_.live_count();
}

int membership::lowest_schema() const
{
    return table_.lowest_schema();
}

const member_update& membership::self() const
{
    return self_;
}

bool membership::joined() const
{
    return joined_;
}

bool membership::superseded() const
{
    return superseded_;
}

int membership::health_score() const
{
    return health_score_;
}

const membership_traffic& membership::traffic() const
{
    return traffic_;
}

duration membership::suspicion_timeout() const
{
    const double size = std::max(1.0, std::log10(static_cast<double>(table_.live_count())));
    const double interval = static_cast<double>(settings_.probe_interval.count());
    const double timeout = settings_.suspicion_factor * size * interval * (1 + health_score_);
    return duration{static_cast<duration::rep>(timeout)};
}

void membership::advance(time_point now)
{
    if (!first_call_)
    {
        first_call_ = now;
        // The jitter spreads the probes of processes that start together.
        next_probe_ = now + random_.jittered(settings_.probe_interval / 2, 1.0);
        next_reconnect_ = now + random_.jittered(settings_.reconnect_interval / 2, 1.0);
        return;
    }
    // Only the probe timer can detect a pause: it is at most one interval ahead and never moves back.
    if (now > next_probe_ + settings_.pause_threshold)
    {
        resume_after_pause(now);
    }
}

void membership::resume_after_pause(time_point now)
{
    // Answers may be unread in the sockets, so no member may be suspected for missing answers during the pause.
    outstanding_.reset();
    indirect_probes_.clear();
    restart_suspicions(now);
    health_score_ = std::min(settings_.max_health_score, health_score_ + 1);
    next_probe_ = now;
    next_reconnect_ = std::max(next_reconnect_, now);
    next_view_request_ = next_view_request_ == never ? never : std::max(next_view_request_, now);
    announce_leaves_at_ = announce_leaves_at_ == never ? never : std::max(announce_leaves_at_, now);
    if (!joined_ && now > *first_call_ + settings_.join_timeout)
    {
        joined_ = true;
    }
}

void membership::restart_suspicions(time_point now)
{
    for (suspicion& suspected : suspicions_)
    {
        suspected.timer_started_at = now;
        suspected.probed_again = false;
    }
}

void membership::record_answer(time_point now, membership_output& out)
{
    if (is_degraded())
    {
        // This instance was cut off, so the members that it suspects get the full time to answer.
        restart_suspicions(now);
    }
    health_score_ = 0;
    revert_withheld_changes(now, out);
}

void membership::revert_withheld_changes(time_point now, membership_output& out)
{
    for (const withheld_change& reverted : withheld_changes_)
    {
        const member_update* member = table_.find(reverted.instance);
        const bool same = member != nullptr && member->started == reverted.started &&
                          member->refutation == reverted.refutation && member->state > reverted.previous_state;
        if (same)
        {
            const member_state before = member->state;
            table_.restore_state(reverted.instance, reverted.previous_state, now);
            handle_change(*table_.find(reverted.instance), before, now, out);
        }
    }
    withheld_changes_.clear();
}

bool membership::is_degraded() const
{
    return health_score_ > 1;
}

void membership::expire_suspicions(time_point now, membership_output& out)
{
    while (!suspicions_.empty() && suspicions_.front().timer_started_at + suspicion_timeout() <= now)
    {
        suspicion expired = suspicions_.front();
        suspicions_.pop_front();
        const member_update* member = table_.find(expired.instance);
        const bool same = member != nullptr && member->state == member_state::suspect &&
                          member->started == expired.started && member->refutation == expired.refutation;
        if (!same)
        {
            continue;
        }
        if (expired.probed_again)
        {
            mark_failed(expired.instance, member_state::dead, now, out);
            continue;
        }
        // The refutation may not have arrived through other members yet; the suspect's own answer contains it.
        send(expired.instance, member->peer_address, probe{next_sequence_++, piggybacked_updates(expired.instance)},
             out);
        expired.probed_again = true;
        expired.timer_started_at = now + settings_.probe_interval - suspicion_timeout();
        const auto later = [&](const suspicion& other)
        {
            return other.timer_started_at > expired.timer_started_at;
        };
        suspicions_.insert(std::find_if(suspicions_.begin(), suspicions_.end(), later), expired);
    }
}

void membership::announce_busy(time_point now)
{
    const int change = std::abs(busy_percent_ - self_.busy_percent);
    if (change < settings_.min_busy_change_percent ||
        now < last_busy_announcement_ + settings_.min_busy_announce_interval)
    {
        return;
    }
    last_busy_announcement_ = now;
    self_.busy_percent = busy_percent_;
    ++self_.refutation;
    table_.set_self(self_);
    queue_.add(self_.instance, update_priority::details);
}

} // namespace parsleyshift
