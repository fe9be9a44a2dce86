#include "core_state.hpp" // core_state

#include <parsleyshift/core/hash.hpp>           // mix_hash, stable_hash
#include <parsleyshift/routing/retry_after.hpp> // retry_after

#include <algorithm> // find, min, none_of
#include <array>     // array
#include <string>    // to_string
#include <utility>   // exchange, move, swap
#include <variant>   // variant

namespace parsleyshift::detail
{
namespace
{

/// Low bits of an attempt id that hold a counter; the high bits are a hash of the instance and its incarnation. Ids
/// are unique for the first 2^28 (268 million) attempts of a process.
constexpr unsigned attempt_counter_bits = 28;
/// Number of random choices of a peer for each quarantine notice. The same peer can be chosen twice, and a peer that is
/// not alive is skipped; receivers forward notices that are new to them.
constexpr std::size_t notice_fanout = 3;
/// Time for which one instance may try a blocked part.
constexpr duration trial_turn{5'000};
/// Notices of each kind in one message exchange with a peer.
constexpr std::size_t max_synchronized_notices = 8;

candidate_policy candidate_policy_of(const core_settings& settings)
{
    candidate_policy policy;
    policy.instance = settings.self.instance;
    policy.availability_zone = settings.self.availability_zone;
    policy.region = settings.self.region;
    policy.subset_size = settings.endpoint_subset;
    return policy;
}

std::uint64_t identity_hash(const member_update& self)
{
    return mix_hash(stable_hash(self.instance.value()), self.started.value());
}

} // namespace

core_state::core_state(core_settings initial_settings, token_codec codec)
    : settings(std::move(initial_settings)),
      random(mix_hash(settings.seed, identity_hash(settings.self))),
      tokens(std::move(codec)),
      // Each component gets a distinct seed.
      members(settings.self, settings.membership, mix_hash(settings.seed, 1)),
      configuration(settings.self, parsing_acceptor{}, settings.configuration, mix_hash(settings.seed, 2)),
      health(settings.health),
      candidates(candidate_policy_of(settings)),
      zones(settings),
      retry(settings.backoff),
      quarantine(settings.quarantine),
      limits(settings.self.started, mix_hash(settings.seed, 3)),
      entries(settings.self, settings.entry),
      attempt_prefix_(identity_hash(settings.self) & ~((std::uint64_t{1} << attempt_counter_bits) - 1))
{
}

void core_state::send(const instance_id& to, const std::string& peer_address, peer_message message)
{
    if (to == self().instance)
    {
        loopback.push_back(std::move(message));
        return;
    }
    if (!peer_address.empty())
    {
        emit(send_to_peer{to, peer_address, std::move(message)});
    }
}

void core_state::send(const instance_id& to, peer_message message)
{
    const member_update* member = members.find(to);
    if (to == self().instance || member != nullptr)
    {
        send(to, member == nullptr ? std::string{} : member->peer_address, std::move(message));
    }
}

attempt_id core_state::next_attempt(attempt_owner owner, request_id request)
{
    const attempt_id attempt{attempt_prefix_ | ++attempt_count_};
    attempts.emplace(attempt, attempt_entry{owner, request});
    return attempt;
}

retry_budget& core_state::budget_of(const service_id& service)
{
    return budgets.try_emplace(service, settings.retries).first->second;
}

duration core_state::draw_retry_after(duration wait)
{
    pool_backlog estimate;
    estimate.expected_wait = wait;
    return retry_after(estimate, random);
}

void core_state::reject(request_id request, outcome result, error cause, std::int64_t delivered)
{
    request_rejected rejection;
    rejection.request = request;
    rejection.what = result;
    rejection.why = std::move(cause);
    rejection.delivered = delivered;
    emit(std::move(rejection));
}

void core_state::record_attempt_end(attempt_id attempt, const endpoint_id& endpoint, std::int64_t memory, run_end end)
{
    attempts.erase(attempt);
    ledger.record_end(endpoint, memory, now);
    blocked_parts.run_ended(attempt, end, now);
    if (const auto notice = quarantine.run_ended(attempt, end, now))
    {
        send_quarantine_notices({*notice});
    }
}

void core_state::send_quarantine_notices(const std::vector<quarantine_notice>& notices)
{
    // Peers that know only some of the parts which a death has affected would blame the wrong one.
    spread({notices.begin(), notices.end()});
}

void core_state::spread(const std::vector<peer_message>& notices)
{
    for (std::size_t sent = 0; sent < notice_fanout && !notices.empty(); ++sent)
    {
        const member_update* peer = draw_live_peer();
        for (std::size_t index = 0; peer != nullptr && index < notices.size(); ++index)
        {
            send(peer->instance, peer->peer_address, notices[index]);
        }
    }
}

void core_state::synchronize_endpoint_notices()
{
    std::unordered_set<endpoint_id> stated;
    for (const endpoint_notice& notice : start_limits.notices(now))
    {
        stated.insert(notice.endpoint);
    }
    for (const endpoint_id& endpoint : departures.current(now))
    {
        stated.insert(endpoint);
    }
    for (const endpoint_id& endpoint : cold.recent(now))
    {
        stated.insert(endpoint);
    }
    const member_update* peer = stated.empty() ? nullptr : draw_live_peer();
    if (peer == nullptr)
    {
        return;
    }
    for (const endpoint_id& endpoint : stated)
    {
        send(peer->instance, peer->peer_address, notice_of(endpoint));
    }
}

endpoint_notice core_state::notice_of(const endpoint_id& endpoint) const
{
    endpoint_notice notice = start_limits.notice_of(endpoint, now);
    notice.leaving = departures.contains(endpoint);
    notice.started = departures.process_of(endpoint);
    cold.add_to(notice, now);
    return notice;
}

endpoint_conditions core_state::conditions_of(const endpoint_id& endpoint) const
{
    endpoint_conditions conditions;
    if (const endpoint_entry* entry = directory.find(endpoint))
    {
        conditions.listed = true;
        // The region of the entry is that of its pool, which may span all regions.
        conditions.region = entries.region_of(entry->availability_zone);
        conditions.leaving = entry->leaving;
        conditions.evacuated = evacuated.contains(entry->availability_zone);
    }
    return conditions;
}

start_obstacle core_state::obstacle_to_start(const endpoint_id& endpoint, const region_set& regions) const
{
    endpoint_conditions conditions = conditions_of(endpoint);
    conditions.paused = pauses.end(endpoint, now).has_value();
    return obstacle_for(conditions, regions);
}

std::optional<double> core_state::start_limit(const endpoint_entry& entry) const
{
    const std::optional<double> named = start_limits.limit(entry.endpoint);
    const std::optional<double> while_cold = cold.starts_per_second(entry.endpoint, entry.service, entry.started, now);
    return named && while_cold ? std::min(named, while_cold) : (named ? named : while_cold);
}

bool core_state::is_evacuated(const endpoint_id& endpoint) const
{
    const endpoint_entry* entry = directory.find(endpoint);
    return entry != nullptr && evacuated.contains(entry->availability_zone);
}

const member_update* core_state::draw_live_peer()
{
    const auto current_members = members.members();
    if (current_members.size() < 2)
    {
        return nullptr;
    }
    // The first member is this instance.
    const member_update& peer = current_members[1 + random.index(current_members.size() - 1)];
    return is_live(peer.state) ? &peer : nullptr;
}

void core_state::endpoint_died(const endpoint_id& endpoint)
{
    const auto notices = quarantine.endpoint_died(endpoint, now);
    for (const auto& notice : notices)
    {
        log(log_event::request_quarantined, "fingerprint " + std::to_string(notice.request.value()) +
                                                " was running at the death of " + endpoint.value());
    }
    send_quarantine_notices(notices);
    send_quarantine_notices(blocked_parts.endpoint_died(endpoint, now));
    blocked_parts_changed = true;
}

void core_state::probe(const endpoint_id& endpoint, const std::string& address)
{
    if (!pauses.end(endpoint, now) && probed_.insert(endpoint).second)
    {
        emit(probe_endpoint{endpoint, address});
    }
}

void core_state::handle(const endpoint_probed& probed)
{
    const bool has_lost_run = probed_.erase(probed.endpoint) > 0;
    if (probed.result == probe_result::malformed)
    {
        // Shows that the links work, but not whether the process that ran the requests still exists.
        endpoint_answered();
        return;
    }
    if (probed.result == probe_result::alive)
    {
        endpoint_answered();
        quarantine.endpoint_survived(probed.endpoint);
        blocked_parts.endpoint_survived(probed.endpoint);
        return;
    }
    if (reachability.record_unanswered_probe(probed.endpoint, now))
    {
        log(log_event::links_lost, "no endpoint answers");
        refused_in_doubt_.clear();
        links_lost = true;
    }
    if (probed.result != probe_result::refused || !has_lost_run || reachability.lost())
    {
        return;
    }
    if (reachability.in_doubt(now))
    {
        refused_in_doubt_.push_back(probed.endpoint);
        return;
    }
    endpoint_died(probed.endpoint);
}

void core_state::endpoint_answered()
{
    if (reachability.record_answer())
    {
        log(log_event::links_regained, "endpoints answer again");
    }
    for (const endpoint_id& refused : std::exchange(refused_in_doubt_, {}))
    {
        endpoint_died(refused);
    }
}

void core_state::record_endpoint_failure(const endpoint_id& endpoint)
{
    if (!reachability.in_doubt(now))
    {
        health.record_failure(endpoint, now);
    }
}

void core_state::probe_links()
{
    std::vector<const endpoint_entry*> usable;
    for (const endpoint_entry* entry : directory.endpoints())
    {
        // A probe carries nothing of a caller, so it may go to any region.
        if (obstacle_to_start(entry->endpoint, {}) == start_obstacle::none && !start_limit(*entry))
        {
            usable.push_back(entry);
        }
    }
    std::vector<endpoint_id> probed;
    while (!usable.empty() && probed.size() < endpoint_reachability::probes_per_round)
    {
        std::swap(usable[random.index(usable.size())], usable.back());
        probed.push_back(usable.back()->endpoint);
        emit(probe_endpoint{usable.back()->endpoint, usable.back()->address});
        usable.pop_back();
    }
    reachability.begin_round(std::move(probed), now);
}

bool core_state::may_relay_to(const member_update& member, const region_set& regions) const
{
    return regions.allows(member.region) || (member.region == self().region && !member.region.empty());
}

const member_update* core_state::draw_relay(const std::vector<instance_id>& excluded, const region_set& regions)
{
    // By preference: allowed and in this region, allowed elsewhere, in this region only.
    std::array<std::vector<const member_update*>, 3> groups;
    for (const member_update& member : members.members())
    {
        const bool is_excluded = std::find(excluded.begin(), excluded.end(), member.instance) != excluded.end();
        const bool has_links = member.state == member_state::alive &&
                               member.busy_percent <= settings.entry.overloaded_percent && !member.address.empty();
        if (member.instance != self().instance && has_links && !is_excluded && may_relay_to(member, regions))
        {
            const std::size_t allowed_group = member.region == self().region ? 0 : 1;
            groups[regions.allows(member.region) ? allowed_group : 2].push_back(&member);
        }
    }
    for (const auto& group : groups)
    {
        if (!group.empty())
        {
            return group[random.index(group.size())];
        }
    }
    return nullptr;
}

void core_state::merge(const quarantine_notice& notice)
{
    if (!notice.prompt_part)
    {
        if (quarantine.merge(notice, now))
        {
            send_quarantine_notices({notice});
        }
        return;
    }
    if (const auto merged = blocked_parts.merge(notice, now))
    {
        blocked_parts_changed = true;
        send_quarantine_notices({*merged});
    }
}

bool core_state::may_try(fingerprint part) const
{
    if (blocked_parts.has_run(part))
    {
        return false;
    }
    const std::string key = std::to_string(part.value()) + '/' + std::to_string(to_ms(now) / trial_turn.count());
    const auto score = [&key](const member_update& member)
    {
        return rendezvous_score(key, member.instance.value());
    };
    const auto current_members = members.members();
    return std::none_of(current_members.begin(), current_members.end(),
                        [&](const member_update& member)
                        { return member.state == member_state::alive && score(member) > score(self()); });
}

void core_state::synchronize_quarantine()
{
    const member_update* peer = draw_live_peer();
    if (peer == nullptr)
    {
        return;
    }
    for (const auto& notice : blocked_parts.notices(max_synchronized_notices, now))
    {
        send(peer->instance, peer->peer_address, notice);
    }
    for (const auto& notice : quarantine.notices(max_synchronized_notices, now))
    {
        send(peer->instance, peer->peer_address, notice);
    }
}

void core_state::mark_endpoint_leaving(const endpoint_id& endpoint)
{
    if (directory.handle_leaving(endpoint))
    {
        log(log_event::endpoint_leaving, endpoint.value());
    }
}

directory_change core_state::apply_instance_list(const instances_listed& list)
{
    directory_change change = directory.handle_list(list);
    for (const auto& removed : change.removed)
    {
        // An endpoint with attempts of this instance in flight was removed from the list while its process runs: if the
        // process had died, the connections of these attempts would have failed before the list changed.
        const bool has_attempts = ledger.in_flight(removed.endpoint) > 0;
        if (!removed.leaving && !has_attempts)
        {
            endpoint_died(removed.endpoint);
        }
        health.remove(removed.endpoint);
        start_limits.remove(removed.endpoint);
        pauses.remove(removed.endpoint);
        departures.remove(removed.endpoint);
        rejected_statements.erase(removed.endpoint);
        ledger.remove(removed.endpoint);
        prefixes.remove(removed.endpoint);
    }
    for (const auto& added : change.added)
    {
        health.add(added, directory.find(added)->pool);
    }
    for (const auto& leaving : change.leaving)
    {
        log(log_event::endpoint_leaving, leaving.value());
    }
    for (const listed_instance& listed : list.instances)
    {
        if (listed.leaving)
        {
            departures.remove(endpoint_id{listed.id});
        }
    }
    return change;
}

run_end run_end_of(attempt_failure failure) noexcept
{
    const bool may_have_died = failure == attempt_failure::link_broken || failure == attempt_failure::attempt_unknown;
    return may_have_died ? run_end::connection_lost : run_end::stopped;
}

} // namespace parsleyshift::detail
