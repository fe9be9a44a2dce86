#include <parsleyshift/decision_core/forwarding_core.hpp> // forwarding_core

#include "core_state.hpp"      // core_state
#include "forward_manager.hpp" // forward_manager
#include "outage_filter.hpp"   // outage_filter
#include "pool_manager.hpp"    // pool_manager
#include "source_watch.hpp"    // source_watch

#include <parsleyshift/configuration/reader_ranking.hpp> // readers_for_rank
#include <parsleyshift/core/hash.hpp>                    // rendezvous_score

#include <algorithm>  // count_if, max, min, sort
#include <cstddef>    // ptrdiff_t, size_t
#include <functional> // greater
#include <utility>    // exchange, move, pair
#include <variant>    // visit

namespace parsleyshift
{
namespace
{

constexpr duration purge_interval{5'000};
/// Interval at which the latest deaths of the quarantine are sent to a random peer.
constexpr duration quarantine_exchange_interval{1'000};
/// Busy percentage at which an instance is left out of entry answers; reported while the instance is not ready.
constexpr int unavailable_percent = 100;
/// Time after the start of a planned stop from which new streams are refused. A stream takes 8 s on average, so one
/// that starts later would be aborted at the end of the grace period; the platform tolerates this for streams that were
/// sent within 3 s.
constexpr duration refuse_streams_after_stop{2'500};

} // namespace

core_settings forwarding_settings_of(core_settings settings)
{
    settings.scheduling.permit_lifetime = duration{6'000};
    settings.scheduling.slow_start = duration{300};
    // Engines process 14 prompt tokens per millisecond, and half as many while they generate output for other runs.
    settings.scheduling.prefill_tokens_per_ms = 7.0;
    // An engine that is slower by one third is treated as two thirds busier.
    settings.scheduling.slowness_penalty = 2.0;
    settings.requests.permit_renewal = duration{2'000};
    // Retries up to 0.1 of the successes, and 2 saved ones at each instance, stay below the fleet-wide bound of 0.2 and
    // 5 for each instance.
    settings.retries.refill_per_success = 0.1;
    settings.retries.capacity = 2;
    // While the list's source is down, the list still contains engines that have crashed; one request may reach up to
    // four of them.
    settings.backoff.connect_failures_exempt_from_budget = true;
    settings.membership.join_retry_interval = duration{300};
    settings.membership.second_view_delay = duration{3'000};
    settings.membership.max_view_answers_per_second = 16;
    settings.membership.min_busy_announce_interval = duration{500};
    settings.entry.overloaded_percent = unavailable_percent - 1;
    return settings;
}

/// @brief Owns the parts of a core and passes each event to the part that handles it.
class forwarding_core::implementation
{
  public:
    implementation(core_settings settings, token_codec tokens, bootstrap_settings hints)
        : state_(std::move(settings), std::move(tokens)),
          pools_(state_),
          forwards_(state_, pools_),
          outage_filter_(state_.settings.forwarding.missing_endpoint_grace),
          source_watch_(state_, pools_)
    {
        pools_.enable_moves();
        set_bootstrap(std::move(hints));
    }

    void set_bootstrap(bootstrap_settings hints)
    {
        hints_ = std::move(hints);
        for (const auto& zone : hints_.zones)
        {
            state_.entries.set_zone_region(zone.name, zone.region);
        }
        join_pending_ = true;
    }
    void handle(const event& input, time_point now, std::vector<action>& out)
    {
        state_.now = std::max(now, state_.now);
        state_.out = &out;
        std::visit([this](const auto& each) { on(each); }, input);
        run_due_work();
        finish_stop_if_idle();
        state_.out = nullptr;
    }
    [[nodiscard]] time_point next_deadline() const
    {
        return std::min({state_.members.next_deadline(), state_.health.next_evaluation(), pools_.next_deadline(),
                         state_.timers.next(), state_.reachability.next_round(), outage_filter_.next_deadline(),
                         source_watch_.next_deadline(), forwards_.next_deadline(), next_purge_,
                         next_quarantine_exchange_, next_readiness_check_, next_stop_check_});
    }
    [[nodiscard]] bool ready(time_point now) const
    {
        return forwards_.is_fresh(now) && !state_.stopping;
    }
    [[nodiscard]] bool stopping() const
    {
        return state_.stopping;
    }
    [[nodiscard]] bool may_send(attempt_id attempt) const
    {
        return forwards_.may_send(attempt);
    }
    [[nodiscard]] core_levels levels() const
    {
        core_levels current;
        current.evacuated_zones = state_.evacuated.zones().size();
        current.cold_endpoints = state_.cold.size();
        for (const zone_id& zone : state_.evacuated.zones())
        {
            current.requests_in_evacuated_zones += requests_in(zone);
        }
        return current;
    }
    [[nodiscard]] source_readers reading_peers()
    {
        return state_.members.joined() ? ranked_readers() : seed_readers();
    }
    [[nodiscard]] revision configuration_version() const
    {
        return forwards_.routes() ? revision{static_cast<std::uint64_t>(forwards_.routes()->configuration().version)}
                                  : revision{};
    }
    [[nodiscard]] const forwarding_limits& bounds() const
    {
        static const forwarding_limits defaults;
        return forwards_.routes() ? forwards_.routes()->configuration().bounds : defaults;
    }

  private:
    /// Ignores events that only decision_core handles.
    template <class Event>
    void on(const Event& /*ignored*/)
    {
    }
    void on(const forward_request& request)
    {
        forwards_.handle(request);
    }
    void on(const caller_disconnected& disconnected)
    {
        forwards_.update(disconnected.request,
                         [](detail::forwarded_request& active) { active.on_caller_disconnected(); });
    }
    void on(const forward_answered& answer)
    {
        forwards_.update(answer.attempt, [&](detail::forwarded_request& active) { active.on_answer(answer); });
    }
    void on(const forward_progress& progress)
    {
        forwards_.update(progress.attempt,
                         [&](detail::forwarded_request& active) { active.on_progress(progress.events); });
    }
    void on(const forward_completed& completed)
    {
        forwards_.update(completed.attempt, [&](detail::forwarded_request& active) { active.on_completed(completed); });
    }
    void on(const run_copied& copy)
    {
        forwards_.update(copy.attempt, [&](detail::forwarded_request& active) { active.on_run_copied(copy); });
    }
    void on(const attempt_failed& failed)
    {
        forwards_.update(failed.attempt, [&](detail::forwarded_request& active) { active.on_attempt_failed(failed); });
    }
    void on(const entry_query& query)
    {
        const auto& settings = state_.settings.forwarding;
        entry_answer answer;
        answer.request = query.request;
        answer.entries =
            state_.entries.select_for_zone(query.availability_zone, 2, settings.max_entries, state_.random);
        answer.ttl = settings.entry_ttl;
        state_.emit(std::move(answer));
    }
    void on(const forwarding_configured& configured)
    {
        if (!forwards_.configure(configured.configuration))
        {
            return;
        }
        configure_zone_traffic(configured.configuration);
        state_.log(log_event::configuration_accepted,
                   "version=" + std::to_string(configured.configuration.version) +
                       " zone_traffic=" + (state_.zones.active() ? "adaptive" : "constant") +
                       " routes=" + std::to_string(configured.configuration.routes.size()) + " customers=" +
                       (configured.configuration.customers ? std::to_string(configured.configuration.customers->size())
                                                           : std::string{"none listed, no keys required"}));
        pools_.set_cold_starts(configured.configuration.services);
        apply_endpoint_list(outage_filter_.in_force());
        set_capacities();
        forwards_.apply_regions();
    }
    void on(const zones_evacuated& listed)
    {
        const evacuated_zones::change change = state_.evacuated.replace(listed.zones);
        if (change.begun.empty() && change.ended.empty())
        {
            return;
        }
        pools_.evacuated_zones_changed();
        forwards_.on_evacuated_zones_changed();
        for (const zone_id& zone : change.begun)
        {
            state_.log(log_event::evacuation_began, "zone=" + zone.value() +
                                                        " gets no new work of this instance from now on, in_progress=" +
                                                        std::to_string(requests_in(zone)));
            not_quiet_.push_back(zone);
        }
        for (const zone_id& zone : change.ended)
        {
            state_.log(log_event::evacuation_ended, "zone=" + zone.value());
            std::erase(not_quiet_, zone);
        }
        topology_changed_ = true;
    }
    void configure_zone_traffic(const forwarding_configuration& configuration)
    {
        std::vector<zone_place> places;
        for (const auto& zone : hints_.zones)
        {
            places.push_back({zone.name, zone.region});
        }
        state_.zones.configure(configuration, std::move(places));
    }
    void on(const configuration_confirmed& confirmed)
    {
        forwards_.confirm(confirmed.as_of);
        source_watch_.source_answered();
        if (outage_filter_.source_answered(state_.now))
        {
            state_.log(log_event::dependency_regained, "the configuration service answers again");
        }
    }
    void on(const configuration_unavailable& /*unavailable*/)
    {
        if (!outage_filter_.lost())
        {
            state_.log(log_event::dependency_lost, "the configuration service does not answer");
        }
        outage_filter_.source_lost();
        source_watch_.source_failed();
    }
    /// Uses only whether the endpoint is leaving and what its answer states: its size is configured, and its load
    /// follows from the permits.
    void on(const load_reported& reported)
    {
        const endpoint_entry* entry = state_.directory.find(reported.report.endpoint);
        if (entry != nullptr && !entry->leaving && reported.report.leaving)
        {
            state_.mark_endpoint_leaving(reported.report.endpoint);
            pools_.endpoint_leaving(reported.report.endpoint);
        }
        pools_.record_availability(reported.report.endpoint, reported.statement);
    }
    void on(const load_unavailable& unavailable)
    {
        pools_.record_availability(unavailable.endpoint, unavailable.statement);
    }
    void on(const endpoint_probed& probed)
    {
        state_.handle(probed);
        pools_.record_availability(probed.endpoint, probed.statement);
        forwards_.update(probed.attempt,
                         [&](detail::forwarded_request& active) { active.on_end_probed(probed.result); });
    }
    void on(const instances_listed& listed)
    {
        apply_endpoint_list(outage_filter_.filter(listed, state_.now));
    }
    void on(const stop_requested& /*planned*/)
    {
        if (state_.stopping)
        {
            return;
        }
        state_.stopping = true;
        stop_started_at_ = state_.now;
        forwards_.refuse_from(stop_started_at_ + refuse_streams_after_stop,
                              stop_started_at_ + state_.settings.forwarding.stop_reject_after);
        state_.stop_end = stop_started_at_ + state_.settings.forwarding.stop_end_after;
        forwards_.begin_stop();
        state_.log(log_event::stop_began, "waiting for requests in progress");
        membership_output members;
        state_.members.leave(state_.now, members);
        apply(members);
        state_.entries.update(state_.members.self());
    }
    void on(const peer_received& received)
    {
        forwards_.record_peer_version(static_cast<std::int64_t>(received.envelope.highest_revision.value()));
        membership_output members;
        state_.members.handle(received.envelope, state_.now, members);
        apply(members);
        const instance_id& from = received.envelope.sender;
        std::visit([&](const auto& message) { on_peer(from, message); }, received.envelope.message);
    }

    template <class Message>
    void on_peer(const instance_id& /*from*/, const Message& /*message*/)
    {
    }
    template <class Message>
    void on_peer(const instance_id& from, const Message& message) requires requires(detail::pool_manager& pools)
    {
        pools.handle(from, message);
    }
    {
        pools_.handle(from, message);
    }
    void on_peer(const instance_id& from, const permit_grant& grant)
    {
        forwards_.handle(grant, from);
    }
    void on_peer(const instance_id& /*from*/, const permit_denial& denial)
    {
        forwards_.update(denial.request,
                         [&](detail::forwarded_request& active) { active.on_permit_denied(denial.why); });
    }
    void on_peer(const instance_id& /*from*/, const permit_queued& queued)
    {
        forwards_.update(queued.request, [](detail::forwarded_request& active) { active.on_permit_queued(); });
    }
    void on_peer(const instance_id& /*from*/, const quarantine_notice& notice)
    {
        state_.merge(notice);
    }

    /// Requests of this instance in progress at endpoints of a zone.
    [[nodiscard]] std::size_t requests_in(const zone_id& zone) const
    {
        std::size_t count = 0;
        for (const endpoint_entry* entry : state_.directory.endpoints())
        {
            const bool is_inside = entry->availability_zone == zone;
            count += is_inside ? static_cast<std::size_t>(state_.ledger.in_flight(entry->endpoint)) : 0;
        }
        return count;
    }
    void log_quiet_zones()
    {
        std::erase_if(not_quiet_,
                      [this](const zone_id& zone)
                      {
                          if (requests_in(zone) > 0)
                          {
                              return false;
                          }
                          state_.log(log_event::evacuation_quiet,
                                     "zone=" + zone.value() + " no request of this instance is in progress there");
                          return true;
                      });
    }

    void apply_endpoint_list(const instances_listed& list)
    {
        instances_listed pooled = list;
        merge_engine_pools(pooled.instances);
        const directory_change change = state_.apply_instance_list(pooled);
        pools_.record_cold_endpoints(pooled);
        if (change.added.empty() && change.removed.empty() && change.leaving.empty())
        {
            return;
        }
        for (const auto& removed : change.removed)
        {
            state_.log(log_event::endpoint_leaving, removed.endpoint.value() + " is no longer listed");
        }
        pools_.endpoints_changed(change);
        set_capacities();
        forwards_.on_endpoints_changed();
        topology_changed_ = true;
    }
    /// Puts all engines of a service into one pool: one region has too few engines to take over the runs of leaving
    /// ones, and a permit from another region costs only 60 ms of the second within which the first event is due. Plain
    /// services have no schedulers and keep their regions.
    void merge_engine_pools(std::vector<listed_instance>& listed) const
    {
        for (listed_instance& row : listed)
        {
            const forwarding_service* service = forwards_.routes() ? forwards_.routes()->service(row.service) : nullptr;
            if (service != nullptr && service->engine)
            {
                row.region = home_region(row.service);
            }
        }
    }
    /// Region whose instances schedule a service's engines: one with the most zones, chosen alike at all instances.
    region_id home_region(const service_id& service) const
    {
        region_id best = state_.self().region;
        std::pair<std::ptrdiff_t, std::uint64_t> highest_score{0, 0};
        for (const auto& candidate : hints_.zones)
        {
            const auto zones = std::count_if(hints_.zones.begin(), hints_.zones.end(),
                                             [&](const auto& zone) { return zone.region == candidate.region; });
            const std::pair score{zones, rendezvous_score(service.value(), candidate.region.value())};
            if (score > highest_score)
            {
                best = candidate.region;
                highest_score = score;
            }
        }
        return best;
    }
    /// Sets the capacities of engines from the configuration instead of from load reports; the load follows from the
    /// pool's permits.
    void set_capacities()
    {
        if (!forwards_.routes())
        {
            return;
        }
        for (const forwarding_service& service : forwards_.routes()->configuration().services)
        {
            for (const pool_id& pool : state_.directory.pools_of(service.name))
            {
                const std::vector<const endpoint_entry*> members = state_.directory.endpoints_of(pool);
                for (const endpoint_entry* entry : members)
                {
                    set_capacity(service, *entry);
                }
            }
        }
    }
    void set_capacity(const forwarding_service& service, const endpoint_entry& entry)
    {
        const bool unchanged = entry.load && service.engine && entry.load->slots == service.engine->slots &&
                               entry.load->memory_capacity == service.engine->memory_tokens;
        if (!service.engine || unchanged)
        {
            return;
        }
        load_report report;
        report.endpoint = entry.endpoint;
        report.as_of = state_.now;
        report.slots = service.engine->slots;
        report.memory_capacity = service.engine->memory_tokens;
        state_.directory.handle_load(report, state_.now);
        pools_.load_reported(report);
    }

    void apply(membership_output& output)
    {
        for (auto& message : output.messages)
        {
            state_.emit(std::move(message));
        }
        for (const member_probe& probed : output.probes)
        {
            state_.zones.record_probe(state_, probed);
        }
        for (const auto& change : output.changes)
        {
            state_.log(log_event::member_changed, change.instance.value() + " is " + std::string{name_of(change.now)});
            if (const member_update* member = state_.members.find(change.instance))
            {
                state_.entries.update(*member);
            }
        }
        if (!output.changes.empty())
        {
            pools_.members_changed();
            topology_changed_ = true;
            ranking_outdated_ = true;
        }
    }
    /// Readers by rank among the members of the region.
    source_readers ranked_readers()
    {
        if (std::exchange(ranking_outdated_, false))
        {
            rank_region();
        }
        return readers_for_rank(ranking_, own_rank_, state_.settings.forwarding.source_readers);
    }
    void rank_region()
    {
        using scored_member = std::pair<std::uint64_t, const member_update*>;
        std::vector<scored_member> scored;
        for (const member_update& member : state_.members.members())
        {
            if (member.state == member_state::alive && member.region == state_.self().region)
            {
                scored.emplace_back(rendezvous_score("source reader", member.instance.value()), &member);
            }
        }
        std::sort(scored.begin(), scored.end(), std::greater<>{});
        ranking_.clear();
        own_rank_ = scored.size();
        for (const auto& [score, member] : scored)
        {
            own_rank_ = member->instance == state_.self().instance ? ranking_.size() : own_rank_;
            ranking_.push_back({member->instance, member->peer_address});
        }
    }
    /// Readers before this instance knows the members of its region: the seeds, which read the source themselves, each
    /// instance beginning with another one.
    [[nodiscard]] source_readers seed_readers() const
    {
        source_readers readers;
        for (const std::string& address : hints_.seeds)
        {
            if (address == state_.self().peer_address)
            {
                return {};
            }
            readers.preferred.push_back({seed_name(address), address});
        }
        std::sort(readers.preferred.begin(), readers.preferred.end(),
                  [this](const source_peer& left, const source_peer& right)
                  {
                      const std::string& self = state_.self().instance.value();
                      return rendezvous_score(self, left.address) > rendezvous_score(self, right.address);
                  });
        return readers;
    }
    static instance_id seed_name(const std::string& address)
    {
        return instance_id{"seed " + address};
    }
    /// Joins the fleet through the seeds, which are named by their addresses until they have sent their own ids.
    void join()
    {
        std::vector<listed_instance> seeds;
        for (const std::string& address : hints_.seeds)
        {
            listed_instance seed;
            seed.id = seed_name(address).value();
            seed.peer_address = address;
            seed.region = state_.self().region;
            if (address != state_.self().peer_address)
            {
                seeds.push_back(std::move(seed));
            }
        }
        membership_output members;
        state_.members.handle_list(seeds, state_.now, members);
        apply(members);
    }

    void run_due_work()
    {
        if (std::exchange(join_pending_, false))
        {
            join();
        }
        deliver_loopback();
        advance();
        detail::core_timer due;
        while (state_.timers.take_due(state_.now, due))
        {
            forwards_.update(due.request, [&](detail::forwarded_request& active) { active.on_timer(due); });
        }
        if (std::exchange(topology_changed_, false))
        {
            forwards_.on_schedulers_changed();
        }
        if (std::exchange(state_.links_lost, false))
        {
            pools_.forget_health();
            forwards_.on_links_lost();
            state_.members.set_busy(unavailable_percent);
        }
        if (std::exchange(state_.blocked_parts_changed, false))
        {
            forwards_.reject_blocked();
        }
        deliver_loopback();
    }
    void advance()
    {
        if (state_.members.next_deadline() <= state_.now)
        {
            membership_output members;
            state_.members.expire(state_.now, members);
            apply(members);
        }
        if (const auto list = outage_filter_.expire(state_.now))
        {
            apply_endpoint_list(*list);
        }
        if (state_.health.next_evaluation() <= state_.now)
        {
            for (const auto& change : state_.health.evaluate(state_.now))
            {
                const bool ejected = change.state == health_state::ejected;
                state_.log(ejected ? log_event::endpoint_ejected : log_event::endpoint_restored,
                           change.endpoint.value() + " is " + std::string{name_of(change.state)});
                pools_.health_changed(change.endpoint);
            }
        }
        if (state_.reachability.round_due(state_.now))
        {
            state_.probe_links();
        }
        pools_.advance();
        forwards_.advance();
        source_watch_.update();
        if (next_readiness_check_ <= state_.now)
        {
            next_readiness_check_ = state_.now + state_.settings.forwarding.readiness_check_interval;
            const bool serves = ready(state_.now) && !state_.reachability.lost();
            state_.members.set_busy(serves ? 0 : unavailable_percent);
        }
        if (next_quarantine_exchange_ <= state_.now)
        {
            state_.synchronize_quarantine();
            state_.synchronize_endpoint_notices();
            log_quiet_zones();
            next_quarantine_exchange_ = state_.now + quarantine_exchange_interval;
        }
        if (next_purge_ <= state_.now)
        {
            state_.quarantine.purge(state_.now);
            state_.blocked_parts.purge(state_.now);
            state_.reported_health.purge(state_.now);
            state_.pauses.purge(state_.now);
            state_.cold.purge([this](const endpoint_id& endpoint)
                              { return state_.directory.find(endpoint) != nullptr; });
            state_.zones.purge(state_.now);
            next_purge_ = state_.now + purge_interval;
        }
    }
    void deliver_loopback()
    {
        while (!state_.loopback.empty())
        {
            const peer_message message = std::move(state_.loopback.front());
            state_.loopback.pop_front();
            const instance_id self = state_.self().instance;
            std::visit([&](const auto& each) { on_peer(self, each); }, message);
        }
    }
    void finish_stop_if_idle()
    {
        if (!state_.stopping || stop_completed_)
        {
            return;
        }
        if (state_.now >= state_.stop_end)
        {
            forwards_.end_stop();
        }
        const auto& settings = state_.settings.forwarding;
        const time_point refuse_all_at = stop_started_at_ + settings.stop_reject_after;
        const time_point quiet_at =
            std::max(stop_started_at_ + settings.min_stop_duration, forwards_.last_arrival() + settings.stop_idle_time);
        const time_point earliest_end = std::min(quiet_at, refuse_all_at);
        if (forwards_.active_count() > 0 || state_.now < earliest_end)
        {
            // The end of the last request causes an event, so no timer is needed for it.
            const time_point next = state_.now < refuse_all_at ? refuse_all_at : state_.stop_end;
            next_stop_check_ = state_.now < earliest_end ? earliest_end : next;
            return;
        }
        next_stop_check_ = never;
        stop_completed_ = true;
        // Requests that still arrive on open connections are refused while the last answers are written.
        forwards_.refuse_from(state_.now, state_.now);
        state_.log(log_event::stop_finished, "nothing is in progress");
        state_.emit(stop_complete{});
    }

    detail::core_state state_;
    detail::pool_manager pools_;
    detail::forward_manager forwards_;
    detail::outage_filter outage_filter_;
    detail::source_watch source_watch_;
    bootstrap_settings hints_;
    /// Evacuated zones whose endpoints had requests of this instance in progress when that was last checked.
    std::vector<zone_id> not_quiet_;
    bool join_pending_ = true;
    bool topology_changed_ = false;
    /// The alive instances of the region, highest rank as a reader of the source first, and the rank of this one.
    std::vector<source_peer> ranking_;
    std::size_t own_rank_ = 0;
    bool ranking_outdated_ = true;
    bool stop_completed_ = false;
    time_point stop_started_at_;
    time_point next_stop_check_ = never;
    time_point next_purge_;
    time_point next_quarantine_exchange_;
    time_point next_readiness_check_;
};

result<forwarding_core> forwarding_core::make(core_settings settings, bootstrap_settings hints)
{
    auto tokens = token_codec::make(settings.token_keys);
    if (!tokens.has_value())
    {
        return tokens.error();
    }
    return forwarding_core{
        std::make_unique<implementation>(std::move(settings), std::move(tokens).value(), std::move(hints))};
}

forwarding_core::forwarding_core(std::unique_ptr<implementation> impl) : implementation_(std::move(impl)) {}

forwarding_core::forwarding_core(forwarding_core&& other) noexcept = default;
forwarding_core& forwarding_core::operator=(forwarding_core&& other) noexcept = default;
forwarding_core::~forwarding_core() = default;

void forwarding_core::handle(const event& input, time_point now, std::vector<action>& out)
{
    implementation_->handle(input, now, out);
}

time_point forwarding_core::next_deadline() const
{
    return implementation_->next_deadline();
}

bool forwarding_core::ready(time_point now) const
{
    return implementation_->ready(now);
}

bool forwarding_core::stopping() const
{
    return implementation_->stopping();
}

bool forwarding_core::may_send(attempt_id attempt) const
{
    return implementation_->may_send(attempt);
}

core_levels forwarding_core::levels() const
{
    return implementation_->levels();
}

source_readers forwarding_core::reading_peers() const
{
    return implementation_->reading_peers();
}

revision forwarding_core::highest_revision() const
{
    return implementation_->configuration_version();
}

const forwarding_limits& forwarding_core::bounds() const
{
    return implementation_->bounds();
}

void forwarding_core::set_bootstrap(bootstrap_settings hints)
{
    implementation_->set_bootstrap(std::move(hints));
}

} // namespace parsleyshift
