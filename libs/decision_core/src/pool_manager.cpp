#include "pool_manager.hpp" // pool_manager

#include <parsleyshift/core/hash.hpp> // rendezvous_score, mix_hash

#include <algorithm> // min, max
#include <cmath>     // abs
#include <variant>   // visit, get_if

namespace parsleyshift::detail
{
namespace
{

/// Share of an endpoint's capacity by which an endpoint in the requester's zone may be busier and still be preferred.
constexpr double same_zone_preference = 0.05;
/// Additional share for an endpoint in the requester's region: the link between regions is slow and billed by volume.
constexpr double same_region_preference = 0.15;
/// Share for an endpoint that holds the whole prompt in its prefix cache.
constexpr double cached_prompt_preference = 0.3;
/// Share for an endpoint in the zone of the leaving one. It outweighs any difference in load, since a copy to another
/// zone takes twice as long, so that only half of the runs could be moved in time.
constexpr double same_zone_move_preference = 1.0;
/// Share subtracted for an endpoint that is receiving another run, since the copies share its link.
constexpr double receiving_endpoint_penalty = 0.5;
/// Weight of an output token relative to a prompt token in the value by which runs are ordered for their moves.
constexpr double output_token_weight = 10.0;
/// Relative change of an engine's estimated speed that is logged.
constexpr double pace_report_threshold = 0.2;
/// Slots assumed for an endpoint of a plain service.
constexpr std::int64_t plain_slots = 64;
/// Slots assumed for an endpoint of a brittle plain service whose number of slots is not listed.
constexpr std::int64_t unlisted_brittle_slots = 2;
/// Time for which this instance sends nothing to a brittle endpoint that has rejected a request for want of room.
constexpr duration brittle_pause{1'000};
/// Time between two advances after which the process must have been frozen, so that another instance may have taken
/// over its pools.
constexpr duration max_advance_interval{2'000};

bool is_decision_for(const scheduling_decision& decision, const instance_id& to, request_id request)
{
    const auto decided = std::visit([](const auto& message) { return message.request; }, decision.message);
    return decision.to == to && decided == request;
}

} // namespace

bool pool_preference::allows(const region_set& regions, const endpoint_id& endpoint) const
{
    return state->may_serve(endpoint, regions);
}

double pool_preference::operator()(const instance_id& requester, const work_description& work,
                                   const endpoint_id& endpoint) const
{
    const endpoint_entry* entry = state->directory.find(endpoint);
    const member_update* member = state->members.find(requester);
    if (state->zones.active() && entry != nullptr && member != nullptr)
    {
        return state->zones.preference(*state, *member, work, *entry);
    }
    double preference = 0.0;
    if (entry != nullptr && member != nullptr && entry->availability_zone == member->availability_zone)
    {
        preference += same_zone_preference;
    }
    if (entry != nullptr && member != nullptr && state->entries.region_of(entry->availability_zone) == member->region)
    {
        preference += same_region_preference;
    }
    if (!work.prefixes.empty() && work.prompt_tokens > 0)
    {
        const double cached_tokens = state->prefixes.saved_tokens(endpoint, work.prefixes);
        preference += cached_prompt_preference * std::min(1.0, cached_tokens / static_cast<double>(work.prompt_tokens));
    }
    return preference;
}

std::optional<pool_id> pool_manager::pool_for(const service_id& service, const region_set& regions) const
{
    const auto in_service = [this, &regions](const pool_id& pool)
    {
        const auto& endpoints = state_.directory.endpoints_of(pool);
        return std::any_of(endpoints.begin(), endpoints.end(),
                           [&](const endpoint_entry* entry) { return state_.may_serve(entry->endpoint, regions); });
    };
    const pool_id regional = pool_of(service, state_.self().region);
    if (in_service(regional))
    {
        return regional;
    }
    for (const pool_id& pool : state_.directory.pools_of(service))
    {
        if (in_service(pool))
        {
            return pool;
        }
    }
    return std::nullopt;
}

const instance_id& pool_manager::scheduler_instance_of(const pool_id& pool)
{
    const auto found = scheduler_instances_.find(pool);
    return found != scheduler_instances_.end()
               ? found->second
               : scheduler_instances_.emplace(pool, choose_scheduler_instance(pool)).first->second;
}

instance_id pool_manager::choose_scheduler_instance(const pool_id& pool) const
{
    const auto& endpoints = state_.directory.endpoints_of(pool);
    const region_id region = endpoints.empty() ? state_.self().region : endpoints.front()->region;
    instance_id best = state_.self().instance;
    bool best_in_region = state_.self().region == region;
    std::uint64_t highest = 0;
    for (const member_update& member : state_.members.members())
    {
        const bool in_region = member.region == region;
        const bool alive = member.state == member_state::alive;
        const std::uint64_t score = rendezvous_score(pool.value(), member.instance.value());
        if (alive && (in_region || !best_in_region) && (in_region != best_in_region || score > highest))
        {
            best = member.instance;
            best_in_region = in_region;
            highest = score;
        }
    }
    return best;
}

std::optional<endpoint_id> pool_manager::choose_locally(const pool_id& pool, std::int64_t memory,
                                                        const region_set& regions)
{
    return get_or_make_chooser(pool).choose(memory, ineligible_endpoints(pool, regions));
}

void pool_manager::attempt_started(const pool_id& pool, const endpoint_id& endpoint, std::int64_t memory)
{
    get_or_make_chooser(pool).started(endpoint, memory);
}

void pool_manager::attempt_ended(const pool_id& pool, const endpoint_id& endpoint, std::int64_t memory)
{
    get_or_make_chooser(pool).ended(endpoint, memory);
}

local_share_chooser& pool_manager::get_or_make_chooser(const pool_id& pool)
{
    auto& chooser = local_choosers_[pool];
    if (chooser == nullptr)
    {
        chooser = std::make_unique<local_share_chooser>(state_.self().instance, state_.random.bits());
        chooser->set_instances(static_cast<std::int64_t>(std::max<std::size_t>(1, state_.members.live_count())));
        for (const endpoint_entry* entry : state_.directory.endpoints_of(pool))
        {
            chooser->add_endpoint(entry->endpoint);
            if (entry->load)
            {
                chooser->report(*entry->load);
            }
            if (entry->leaving)
            {
                chooser->set_leaving(entry->endpoint);
            }
            chooser->set_start_limited(entry->endpoint, state_.start_limit(*entry).has_value());
        }
    }
    return *chooser;
}

pool_manager::scheduler& pool_manager::get_or_start_scheduler(const pool_id& pool)
{
    auto& found = schedulers_[pool];
    if (found == nullptr)
    {
        found = std::make_unique<scheduler>(pool, state_.settings.scheduling, state_.lengths, state_.random.bits(),
                                            state_.now, pool_preference{&state_});
        apply_records(*found);
        for (const endpoint_entry* entry : state_.directory.endpoints_of(pool))
        {
            send_decisions(found->add_endpoint(entry->endpoint, state_.now, restrictions_of(*entry)));
            if (entry->load)
            {
                send_decisions(found->report(*entry->load, state_.now));
            }
            if (entry->leaving)
            {
                found->endpoint_leaving(entry->endpoint);
            }
        }
        found->allow_paced_starts(scheduler_instance_of(pool) == state_.self().instance, state_.now);
        state_.log(log_event::scheduler_changed, "scheduling pool " + pool.value());
    }
    return *found;
}

start_restrictions pool_manager::restrictions_of(const endpoint_entry& entry) const
{
    return {state_.start_limit(entry), state_.evacuated.contains(entry.availability_zone)};
}

void pool_manager::apply_records(scheduler& local_scheduler) const
{
    for (const auto& [name, record] : state_.records.priorities())
    {
        local_scheduler.set_class(record);
    }
    for (const auto& [name, record] : state_.records.customers())
    {
        local_scheduler.set_customer_weight(name, record.weight);
    }
}

void pool_manager::send_decisions(const scheduling_decisions& decisions)
{
    for (const auto& decision : decisions)
    {
        state_.zones.record_decision(state_, decision);
        std::visit([&](const auto& message) { state_.send(decision.to, message); }, decision.message);
    }
}

void pool_manager::handle(const instance_id& from, const permit_request& request)
{
    for (const endpoint_notice& notice : request.notices)
    {
        handle(from, notice);
    }
    scheduler& local_scheduler = get_or_start_scheduler(request.pool);
    if (request.work.plain)
    {
        assume_loads(local_scheduler, request.pool);
    }
    state_.zones.record_arrival(state_, from, request);
    const auto decisions = local_scheduler.request(from, request, state_.now);
    bool answered = false;
    for (const auto& decision : decisions)
    {
        answered = answered || is_decision_for(decision, from, request.work.request);
    }
    if (!answered)
    {
        state_.send(from, permit_queued{request.work.request});
    }
    send_decisions(decisions);
}

void pool_manager::handle(const instance_id& from, const permit_withdrawal& withdrawal)
{
    if (const auto found = schedulers_.find(withdrawal.pool); found != schedulers_.end())
    {
        send_decisions(found->second->withdraw(from, withdrawal, state_.now));
    }
}

void pool_manager::handle(const instance_id& from, const permit_return& returned)
{
    move_planner_.permit_returned(returned.permit, state_.now);
    if (const auto found = schedulers_.find(returned.pool); found != schedulers_.end())
    {
        send_decisions(found->second->return_permit(from, returned, state_.now));
    }
}

void pool_manager::handle(const instance_id& from, const permit_registration& registration)
{
    scheduler& local_scheduler = get_or_start_scheduler(registration.pool);
    send_decisions(local_scheduler.register_permit(from, registration, state_.now));
    if (registration.work.gap_objective > duration{})
    {
        report_pace(registration, local_scheduler.pace_of(registration.endpoint, state_.now));
    }
}

void pool_manager::report_pace(const permit_registration& registration, const pace_summary& estimate)
{
    if (estimate.gap_ms <= 0.0)
    {
        return;
    }
    double& reported = reported_paces_[registration.endpoint];
    if (reported > 0.0 && std::abs(estimate.factor / reported - 1.0) < pace_report_threshold)
    {
        return;
    }
    reported = estimate.factor;
    const auto gap_ms = static_cast<std::int64_t>(estimate.gap_ms);
    state_.log(log_event::endpoint_pace_changed,
               registration.endpoint.value() + " gap_ms=" + std::to_string(gap_ms) +
                   " reading_gap_ms=" + std::to_string(static_cast<std::int64_t>(estimate.reading_gap_ms)) +
                   " of_median_percent=" + std::to_string(static_cast<std::int64_t>(estimate.factor * 100.0)));
    state_.emit(record_sample{histogram::engine_gap_ms, registration.work.work_class, customer_id{}, gap_ms});
}

void pool_manager::handle(const instance_id& from, const endpoint_health_notice& notice)
{
    endpoint_health_notice bounded = notice;
    bounded.expires = std::min(notice.expires, state_.now + state_.settings.requests.health_notice_lifetime);
    state_.reported_health.record(from, bounded, state_.now);
    health_changed(notice.endpoint);
}

void pool_manager::assume_loads(scheduler& local_scheduler, const pool_id& pool)
{
    const bool has_brittle = has_brittle_endpoint(pool);
    for (const endpoint_entry* entry : state_.directory.endpoints_of(pool))
    {
        load_report assumed;
        assumed.endpoint = entry->endpoint;
        assumed.as_of = state_.now;
        const std::int64_t brittle_slots = entry->slots > 0 ? entry->slots : unlisted_brittle_slots;
        assumed.slots = has_brittle ? brittle_slots : plain_slots;
        send_decisions(local_scheduler.report(assumed, state_.now));
    }
}

void pool_manager::handle(const instance_id& from, const endpoint_notice& notice)
{
    if (notice.leaving && state_.directory.handle_leaving(notice.endpoint, notice.started))
    {
        state_.departures.record(notice.endpoint, notice.started, state_.now);
        state_.log(log_event::endpoint_leaving, notice.endpoint.value() + " peer=" + from.value());
        endpoint_leaving(notice.endpoint);
    }
    const endpoint_entry* entry = state_.directory.find(notice.endpoint);
    if (entry != nullptr && state_.start_limits.merge(notice, state_.now))
    {
        start_limit_changed(*entry, " peer=" + from.value());
    }
    if (const auto change = state_.cold.merge(notice, state_.now); change != cold_endpoints::change::none)
    {
        cold_changed(notice.endpoint, change, " peer=" + from.value());
    }
}

void pool_manager::record_answer(const endpoint_id& endpoint, incarnation process, const endpoint_statement& stated,
                                 time_point sent)
{
    const endpoint_entry* entry = state_.directory.find(endpoint);
    if (entry == nullptr || entry->started != process)
    {
        return;
    }
    if (stated.unreadable.empty() && state_.start_limits.record_answer(endpoint, stated, sent, state_.now))
    {
        start_limit_changed(*entry, {});
    }
    record_availability(endpoint, stated, sent);
}

void pool_manager::record_availability(const endpoint_id& endpoint, const endpoint_statement& stated, time_point sent)
{
    const endpoint_entry* entry = state_.directory.find(endpoint);
    if (entry == nullptr)
    {
        return;
    }
    if (stated.pause)
    {
        state_.pauses.record(endpoint, *stated.pause, state_.now);
        state_.log(log_event::endpoint_paused, endpoint.value() + " pause_ms=" + std::to_string(stated.pause->count()));
    }
    report_unreadable(endpoint, stated.unreadable + stated.cold_unreadable);
    const auto change = state_.cold.record_answer(endpoint, entry->service, entry->started, stated, sent, state_.now);
    if (change != cold_endpoints::change::none)
    {
        cold_changed(endpoint, change, {});
    }
    if (!stated.leaving || entry->leaving)
    {
        return;
    }
    state_.mark_endpoint_leaving(endpoint);
    state_.departures.record(endpoint, entry->started, state_.now);
    endpoint_leaving(endpoint);
    const instance_id& scheduling = scheduler_instance_of(entry->pool);
    if (scheduling != state_.self().instance)
    {
        // The scheduler must not grant further starts there, and offers other engines to the runs.
        state_.send(scheduling, state_.notice_of(endpoint));
    }
}

void pool_manager::reject_for_room(const endpoint_id& endpoint)
{
    const endpoint_entry* entry = state_.directory.find(endpoint);
    if (entry != nullptr && has_brittle_endpoint(entry->pool))
    {
        state_.pauses.record(endpoint, brittle_pause, state_.now);
    }
}

bool pool_manager::has_brittle_endpoint(const pool_id& pool) const
{
    if (state_.start_limits.empty())
    {
        return false;
    }
    const std::vector<const endpoint_entry*>& members = state_.directory.endpoints_of(pool);
    return std::any_of(members.begin(), members.end(),
                       [this](const endpoint_entry* entry) { return state_.start_limits.brittle(entry->endpoint); });
}

bool pool_manager::needs_grant(const endpoint_entry& entry) const
{
    return state_.start_limit(entry).has_value() || has_brittle_endpoint(entry.pool);
}

std::vector<endpoint_id> pool_manager::paused_endpoints(const pool_id& pool) const
{
    std::vector<endpoint_id> paused;
    if (state_.pauses.empty())
    {
        return paused;
    }
    for (const endpoint_entry* entry : state_.directory.endpoints_of(pool))
    {
        if (state_.pauses.end(entry->endpoint, state_.now))
        {
            paused.push_back(entry->endpoint);
        }
    }
    return paused;
}

std::vector<endpoint_id> pool_manager::ineligible_endpoints(const pool_id& pool, const region_set& regions) const
{
    std::vector<endpoint_id> ineligible;
    for (const endpoint_entry* entry : state_.directory.endpoints_of(pool))
    {
        if (state_.obstacle_to_start(entry->endpoint, regions) != start_obstacle::none)
        {
            ineligible.push_back(entry->endpoint);
        }
    }
    return ineligible;
}

obstacle_counts pool_manager::count_obstacles(const service_id& service, const region_set& regions) const
{
    obstacle_counts counts;
    for (const pool_id& pool : state_.directory.pools_of(service))
    {
        for (const endpoint_entry* entry : state_.directory.endpoints_of(pool))
        {
            ++counts[obstacle_for(state_.conditions_of(entry->endpoint), regions)];
        }
    }
    return counts;
}

bool pool_manager::is_evacuated(const service_id& service) const
{
    if (state_.evacuated.empty())
    {
        return false;
    }
    bool has_evacuated = false;
    for (const pool_id& pool : state_.directory.pools_of(service))
    {
        for (const endpoint_entry* entry : state_.directory.endpoints_of(pool))
        {
            const bool evacuated = state_.evacuated.contains(entry->availability_zone);
            if (!evacuated && !entry->leaving)
            {
                return false;
            }
            has_evacuated = has_evacuated || evacuated;
        }
    }
    return has_evacuated;
}

void pool_manager::evacuated_zones_changed()
{
    for (const auto& [pool, local_scheduler] : schedulers_)
    {
        for (const endpoint_entry* entry : state_.directory.endpoints_of(pool))
        {
            const bool excluded = state_.evacuated.contains(entry->availability_zone);
            send_decisions(local_scheduler->set_excluded(entry->endpoint, excluded, state_.now));
        }
    }
}

std::optional<time_point> pool_manager::first_pause_end(const service_id& service, const region_set& regions) const
{
    std::optional<time_point> earliest;
    if (state_.pauses.empty())
    {
        return earliest;
    }
    for (const pool_id& pool : state_.directory.pools_of(service))
    {
        for (const endpoint_entry* entry : state_.directory.endpoints_of(pool))
        {
            const start_obstacle obstacle = state_.obstacle_to_start(entry->endpoint, regions);
            if (obstacle == start_obstacle::none)
            {
                return std::nullopt;
            }
            const bool outlasts_pause = is_regional(obstacle) || obstacle == start_obstacle::evacuated;
            const std::optional<time_point> end =
                outlasts_pause ? std::nullopt : state_.pauses.end(entry->endpoint, state_.now);
            earliest = end && (!earliest || *end < *earliest) ? end : earliest;
        }
    }
    return earliest;
}

std::vector<endpoint_notice> pool_manager::known_limits(const pool_id& pool) const
{
    std::vector<endpoint_notice> known;
    for (const endpoint_id& endpoint : state_.cold.recent(state_.now))
    {
        const endpoint_entry* entry = state_.directory.find(endpoint);
        if (entry == nullptr || entry->pool == pool)
        {
            known.push_back(state_.notice_of(endpoint));
        }
    }
    if (state_.start_limits.empty())
    {
        return known;
    }
    for (const endpoint_entry* entry : state_.directory.endpoints_of(pool))
    {
        if (state_.start_limits.limit(entry->endpoint) || state_.start_limits.brittle(entry->endpoint))
        {
            known.push_back(state_.notice_of(entry->endpoint));
        }
    }
    return known;
}

void pool_manager::start_limit_changed(const endpoint_entry& entry, const std::string& source)
{
    const endpoint_notice notice = state_.notice_of(entry.endpoint);
    const std::optional<double> limit = state_.start_limits.limit(entry.endpoint);
    state_.log(log_event::endpoint_limit_changed,
               entry.endpoint.value() +
                   (limit ? " accepts requests_per_s=" + std::to_string(*limit) : std::string{" names no limit"}) +
                   (notice.brittle ? " brittle" : "") + source);
    apply_start_limit(entry);
    tell_peers(entry);
}

void pool_manager::assign_paced_starts()
{
    for (auto& [pool, local_scheduler] : schedulers_)
    {
        local_scheduler->allow_paced_starts(scheduler_instance_of(pool) == state_.self().instance, state_.now);
    }
}

double pool_manager::health_weight(const endpoint_id& endpoint) const
{
    return std::min(state_.health.weight(endpoint, state_.now), state_.reported_health.weight(endpoint, state_.now));
}

void pool_manager::endpoints_changed(const directory_change& change)
{
    for (const auto& entry : change.removed)
    {
        state_.reported_health.remove(entry.endpoint);
        reported_paces_.erase(entry.endpoint);
        plan_moves(entry);
        if (const auto found = schedulers_.find(entry.pool); found != schedulers_.end())
        {
            send_decisions(found->second->remove_endpoint(entry.endpoint, state_.now));
        }
        if (const auto found = local_choosers_.find(entry.pool); found != local_choosers_.end())
        {
            found->second->remove_endpoint(entry.endpoint);
        }
    }
    for (const auto& endpoint : change.added)
    {
        const endpoint_entry* entry = state_.directory.find(endpoint);
        if (entry == nullptr)
        {
            continue;
        }
        if (const auto found = schedulers_.find(entry->pool); found != schedulers_.end())
        {
            send_decisions(found->second->add_endpoint(endpoint, state_.now, restrictions_of(*entry)));
        }
        if (const auto found = local_choosers_.find(entry->pool); found != local_choosers_.end())
        {
            found->second->add_endpoint(endpoint);
            found->second->set_start_limited(endpoint, state_.start_limit(*entry).has_value());
        }
        if (entry->leaving)
        {
            endpoint_leaving(endpoint);
        }
    }
    for (const auto& endpoint : change.leaving)
    {
        endpoint_leaving(endpoint);
    }
    scheduler_instances_.clear();
    assign_paced_starts();
}

void pool_manager::endpoint_leaving(const endpoint_id& endpoint)
{
    const endpoint_entry* entry = state_.directory.find(endpoint);
    if (entry == nullptr || !entry->leaving)
    {
        return;
    }
    plan_moves(*entry);
    if (const auto found = schedulers_.find(entry->pool); found != schedulers_.end())
    {
        found->second->endpoint_leaving(endpoint);
    }
    get_or_make_chooser(entry->pool).set_leaving(endpoint);
}

void pool_manager::plan_moves(const endpoint_entry& leaving)
{
    const auto found = schedulers_.find(leaving.pool);
    if (!moves_enabled_ || found == schedulers_.end())
    {
        return;
    }
    const scheduler& local_scheduler = *found->second;
    const double tokens_per_ms = local_scheduler.decode_rate(leaving.endpoint);
    std::vector<leaving_run> runs;
    for (const active_permit& run : local_scheduler.permits_at(leaving.endpoint, state_.now))
    {
        const std::int64_t remaining_tokens = std::max<std::int64_t>(run.expected_tokens - run.produced_tokens, 1);
        leaving_run described;
        described.permit = run.id;
        described.tokens = run.prompt_tokens + run.produced_tokens;
        described.expected_remaining =
            duration{static_cast<duration::rep>(static_cast<double>(remaining_tokens) / tokens_per_ms)};
        described.value =
            static_cast<double>(run.prompt_tokens) + output_token_weight * static_cast<double>(run.expected_tokens);
        runs.push_back(described);
        leaving_permits_.insert_or_assign(run.id, leaving_permit{leaving.pool, leaving.availability_zone, run});
    }
    move_planner_.start(leaving.endpoint, std::move(runs), state_.now);
}

void pool_manager::offer_move_permits()
{
    while (const auto next = move_planner_.next(state_.now))
    {
        const auto found = leaving_permits_.find(*next);
        if (found == leaving_permits_.end() || !offer_move_permit(found->second))
        {
            move_planner_.postpone(*next, state_.now);
        }
    }
}

bool pool_manager::offer_move_permit(const leaving_permit& leaving)
{
    const auto found = schedulers_.find(leaving.pool);
    if (found == schedulers_.end())
    {
        return false;
    }
    const auto preference = [&](const endpoint_id& endpoint) -> std::optional<double>
    {
        const endpoint_entry* entry = state_.directory.find(endpoint);
        const endpoint_conditions conditions = state_.conditions_of(endpoint);
        // The link between regions is too slow for copying the KV cache of a run.
        if (obstacle_for(conditions, leaving.run.regions) != start_obstacle::none ||
            conditions.region != state_.entries.region_of(leaving.zone))
        {
            return std::nullopt;
        }
        const bool same_zone = entry->availability_zone == leaving.zone;
        return (same_zone ? same_zone_move_preference : 0.0) -
               (move_planner_.is_destination(endpoint) ? receiving_endpoint_penalty : 0.0);
    };
    const auto offer = found->second->grant_move(leaving.run, state_.now, preference);
    if (!offer)
    {
        return false;
    }
    const auto& grant = std::get<permit_grant>(offer->message);
    move_planner_.start_move(leaving.run.id, grant.permit, grant.endpoint, state_.now);
    send_decisions({*offer});
    return true;
}

void pool_manager::load_reported(const load_report& report)
{
    const endpoint_entry* entry = state_.directory.find(report.endpoint);
    if (entry == nullptr)
    {
        return;
    }
    if (const auto found = schedulers_.find(entry->pool); found != schedulers_.end())
    {
        send_decisions(found->second->report(report, state_.now));
    }
    get_or_make_chooser(entry->pool).report(report);
}

void pool_manager::health_changed(const endpoint_id& endpoint)
{
    const endpoint_entry* entry = state_.directory.find(endpoint);
    if (entry == nullptr)
    {
        return;
    }
    const double weight = health_weight(endpoint);
    if (const auto found = schedulers_.find(entry->pool); found != schedulers_.end())
    {
        send_decisions(found->second->set_health(endpoint, weight, state_.now));
    }
    get_or_make_chooser(entry->pool).set_health(endpoint, weight);
}

void pool_manager::forget_health()
{
    for (const endpoint_entry* entry : state_.directory.endpoints())
    {
        state_.health.remove(entry->endpoint);
        state_.health.add(entry->endpoint, entry->pool);
        health_changed(entry->endpoint);
    }
}

void pool_manager::records_changed()
{
    for (auto& [pool, local_scheduler] : schedulers_)
    {
        apply_records(*local_scheduler);
    }
}

void pool_manager::members_changed()
{
    scheduler_instances_.clear();
    assign_paced_starts();
    for (auto& [pool, chooser] : local_choosers_)
    {
        chooser->set_instances(static_cast<std::int64_t>(std::max<std::size_t>(1, state_.members.live_count())));
    }
}

void pool_manager::advance()
{
    if (state_.now - max_advance_interval > last_advance_)
    {
        for (auto& [pool, local_scheduler] : schedulers_)
        {
            local_scheduler->allow_paced_starts(false, state_.now);
        }
        assign_paced_starts();
    }
    last_advance_ = state_.now;
    for (const endpoint_id& endpoint : state_.cold.take_warm(state_.now))
    {
        cold_changed(endpoint, cold_endpoints::change::warm, {});
    }
    if (move_planner_.next_deadline() <= state_.now)
    {
        move_planner_.expire(state_.now);
    }
    offer_move_permits();
    std::erase_if(leaving_permits_, [this](const auto& entry) { return !move_planner_.is_pending(entry.first); });
    for (auto& [pool, local_scheduler] : schedulers_)
    {
        if (local_scheduler->next_deadline() <= state_.now)
        {
            send_decisions(local_scheduler->advance(state_.now));
        }
    }
}

time_point pool_manager::next_deadline() const
{
    time_point next = std::min(move_planner_.next_deadline(), state_.cold.next_end());
    for (const auto& [pool, local_scheduler] : schedulers_)
    {
        next = std::min(next, local_scheduler->next_deadline());
    }
    return next;
}

std::vector<pool_id> pool_manager::scheduled_pools() const
{
    std::vector<pool_id> pools;
    for (const auto& [pool, local_scheduler] : schedulers_)
    {
        pools.push_back(pool);
    }
    return pools;
}

std::size_t pool_manager::waiting() const
{
    std::size_t count = 0;
    for (const auto& [pool, local_scheduler] : schedulers_)
    {
        count += local_scheduler->waiting();
    }
    return count;
}

} // namespace parsleyshift::detail
