#pragma once

#include "record_view.hpp"  // record_view, parsing_acceptor
#include "zone_traffic.hpp" // zone_traffic

#include <parsleyshift/configuration/configuration_store.hpp> // configuration_store
#include <parsleyshift/core/random_source.hpp>                // random_source
#include <parsleyshift/core/timer_queue.hpp>                  // timer_queue
#include <parsleyshift/decision_core/core_settings.hpp>       // core_settings
#include <parsleyshift/entry/entry_selector.hpp>              // entry_selector
#include <parsleyshift/entry/token_codec.hpp>                 // token_codec
#include <parsleyshift/limits/customer_limits.hpp>            // customer_limits
#include <parsleyshift/membership/membership.hpp>             // membership
#include <parsleyshift/messages/action.hpp>                   // action
#include <parsleyshift/quarantine/crash_quarantine.hpp>       // crash_quarantine
#include <parsleyshift/quarantine/part_quarantine.hpp>        // part_quarantine
#include <parsleyshift/routing/cold_endpoints.hpp>            // cold_endpoints
#include <parsleyshift/routing/endpoint_candidates.hpp>       // endpoint_candidates
#include <parsleyshift/routing/endpoint_costs.hpp>            // endpoint_chooser
#include <parsleyshift/routing/endpoint_directory.hpp>        // endpoint_directory
#include <parsleyshift/routing/endpoint_eligibility.hpp>      // obstacle_for
#include <parsleyshift/routing/endpoint_health.hpp>           // endpoint_health
#include <parsleyshift/routing/endpoint_pauses.hpp>           // endpoint_pauses
#include <parsleyshift/routing/endpoint_reachability.hpp>     // endpoint_reachability
#include <parsleyshift/routing/endpoint_start_limits.hpp>     // endpoint_start_limits
#include <parsleyshift/routing/evacuated_zones.hpp>           // evacuated_zones
#include <parsleyshift/routing/in_flight_tracker.hpp>         // in_flight_tracker
#include <parsleyshift/routing/peer_health.hpp>               // peer_health
#include <parsleyshift/routing/prefix_index.hpp>              // prefix_index
#include <parsleyshift/routing/retry_policy.hpp>              // budgeted_retry
#include <parsleyshift/routing/run_durations.hpp>             // run_durations
#include <parsleyshift/routing/stated_departures.hpp>         // stated_departures
#include <parsleyshift/scheduling/length_estimator.hpp>       // length_estimator

#include <deque>         // deque
#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map
#include <unordered_set> // unordered_set
#include <utility>       // move
#include <vector>        // vector

namespace parsleyshift::detail
{

/// @brief Kind of request that an attempt belongs to.
enum class attempt_owner
{
    generation,
    call,
    order,
    forward,
};

/// @brief Kinds of deadlines of a core.
enum class timer_kind
{
    /// The timeout of the request has passed.
    request_timeout,
    /// The pool scheduler has not answered in time, or the next keepalive to it is due.
    permit_reply_due,
    /// For calls and orders: the wait before another attempt is over. For a permit_holder: the permit must be requested
    /// again, because the last grant could not be used.
    retry_due,
    /// For generations and forwarded requests, whose permit_holder uses retry_due: the backoff before the request for
    /// another permit is over.
    attempt_due,
    /// For generations: the backoff before the stream is resumed from its engine is over. For forwarded requests: the
    /// wait for the last events of a run that was stopped in order to be moved is over.
    resume_due,
    /// Whether the endpoint of a stream without framing still runs must be asked again, or is asked no longer.
    end_check_due,
    /// The permit in use must be renewed.
    renew_permit,
    /// The time since the last token of a stream must be checked.
    check_silence,
    /// The time in which a disconnected caller can resume its stream is over.
    resume_grace_over,
    /// The previous owner of a resumed stream must be notified again.
    repeat_takeover,
    /// The delay before the hedge of a call is over.
    hedge_due,
    /// A forwarded order without a reply must be forwarded again.
    forward_order,
    /// Streams that still run during a planned stop must be handed over.
    handover,
};

/// @brief A deadline of a request. `step` is a value that the handler compares with its current one, so that timers of
/// an earlier wait are ignored: a counter of waits, for renew_permit the number of the attempt, or for end_check_due
/// its id; 0 where it is not used.
struct core_timer
{
    timer_kind kind = timer_kind::request_timeout;
    request_id request;
    std::uint64_t step = 0;
};

/// @brief State shared by the parts of a decision core: settings, views of the fleet, estimators, timers and output.
struct core_state
{
    core_state(core_settings initial_settings, token_codec codec);

    core_settings settings;
    random_source random;
    token_codec tokens;
    record_view records;
    membership members;
    configuration_store<parsing_acceptor> configuration;
    endpoint_directory directory;
    endpoint_health health;
    peer_health reported_health;
    endpoint_start_limits start_limits;
    cold_endpoints cold;
    endpoint_pauses pauses;
    evacuated_zones evacuated;
    stated_departures departures;
    /// Endpoints whose statements could not be read, each logged once.
    std::unordered_set<endpoint_id> rejected_statements;
    endpoint_reachability reachability;
    /// The links to all endpoints were lost, and the requests in progress have not been notified.
    bool links_lost = false;
    in_flight_tracker ledger;
    prefix_index prefixes;
    endpoint_candidates candidates;
    endpoint_chooser chooser;
    zone_traffic zones;
    budgeted_retry retry;
    crash_quarantine quarantine;
    /// Parts of prompts that crash engines.
    part_quarantine blocked_parts;
    /// Deaths were recorded there that the requests in progress have not been checked against.
    bool blocked_parts_changed = false;
    customer_limits limits;
    length_estimator lengths;
    entry_selector entries;
    timer_queue<core_timer> timers;
    /// Messages of this instance to itself, handled after the event that caused them.
    std::deque<peer_message> loopback;
    /// Time of the event that is being handled.
    time_point now;
    /// True from the start of a planned stop, or once a later process has taken this instance's id.
    bool stopping = false;
    /// When a planned stop ends the requests that are still in progress.
    time_point stop_end = never;
    run_durations durations;

    [[nodiscard]] const member_update& self() const
    {
        return settings.self;
    }
    /// @brief Appends an action to the output of the event that is being handled.
    void emit(action&& added)
    {
        out->push_back(std::move(added));
    }
    void log(log_event event, std::string detail)
    {
        emit(write_log{event, std::move(detail)});
    }
    /// @brief Sends to a peer, or queues in `loopback` when `to` is this instance. Without an address the message is
    /// dropped.
    void send(const instance_id& to, const std::string& peer_address, peer_message message);
    /// @brief Sends to a member, or to this instance; drops the message when `to` is not in the member list.
    void send(const instance_id& to, peer_message message);
    /// @brief Allocates an attempt id and registers the request that owns it.
    attempt_id next_attempt(attempt_owner owner, request_id request);
    /// @brief Retry budget of a service, created on first use.
    retry_budget& budget_of(const service_id& service);
    /// @brief Retry-after time for an expected wait, randomized so that rejected callers do not return together.
    /// @param wait estimated time until a retry can succeed
    duration draw_retry_after(duration wait);
    /// @brief Emits the rejection of a request.
    /// @param delivered tokens that the caller has received
    void reject(request_id request, outcome result, error cause, std::int64_t delivered = 0);
    /// @brief Records the end of an attempt in ledger and quarantine and sends a resulting quarantine notice to peers.
    /// @param memory KV cache that the ledger has reserved for the attempt, in tokens; 0 for plain services
    void record_attempt_end(attempt_id attempt, const endpoint_id& endpoint, std::int64_t memory, run_end end);
    /// @brief Sends notices to randomly chosen live peers, which forward them when they are new to them.
    void spread(const std::vector<peer_message>& notices);
    /// @brief Sends what endpoints have stated about themselves to a peer, which may have missed notices or be new.
    void synchronize_endpoint_notices();
    /// @brief What an endpoint has stated about itself, for peers.
    [[nodiscard]] endpoint_notice notice_of(const endpoint_id& endpoint) const;
    /// @brief The conditions of an endpoint that apply to requests of all instances: all but the pause that it has
    /// requested of this instance.
    [[nodiscard]] endpoint_conditions conditions_of(const endpoint_id& endpoint) const;
    /// @brief Whether an endpoint may get a request of any instance, as far as conditions_of() decides that.
    /// @param regions regions in which the request may be served
    [[nodiscard]] bool may_serve(const endpoint_id& endpoint, const region_set& regions) const
    {
        return obstacle_for(conditions_of(endpoint), regions) == start_obstacle::none;
    }
    /// @brief Decides whether an endpoint may get a request of this instance now, from all that is known about it but
    /// limits that are counted over all instances.
    /// @param regions regions in which the request may be served
    [[nodiscard]] start_obstacle obstacle_to_start(const endpoint_id& endpoint, const region_set& regions) const;
    /// @brief Requests per second that an endpoint bears from all instances together: the lower of what it names and of
    /// what its service names for cold endpoints while it is cold; nothing without either.
    [[nodiscard]] std::optional<double> start_limit(const endpoint_entry& entry) const;
    /// @brief Whether the zone of a listed endpoint is evacuated; false for an unlisted endpoint.
    [[nodiscard]] bool is_evacuated(const endpoint_id& endpoint) const;
    /// @brief Sends quarantine notices to randomly chosen live peers.
    void send_quarantine_notices(const std::vector<quarantine_notice>& notices);
    /// @brief Handles the death of an endpoint's process: quarantines the requests that ran there and sends the
    /// notices to peers.
    void endpoint_died(const endpoint_id& endpoint);
    /// @brief Requests a probe of an endpoint unless one is in progress.
    void probe(const endpoint_id& endpoint, const std::string& address);
    /// @brief Records that something arrived from an endpoint.
    void endpoint_answered();
    /// @brief Counts a failure against an endpoint, unless it may be this instance that has lost its links.
    void record_endpoint_failure(const endpoint_id& endpoint);
    /// @brief Probes some endpoints to find out whether this instance reaches any.
    void probe_links();
    /// @brief Whether a request may be passed on to another instance: one in an allowed region, or in this one, which
    /// counts as the caller's, since the caller connected here.
    /// @param regions regions in which the request may be served
    [[nodiscard]] bool may_relay_to(const member_update& member, const region_set& regions) const;
    /// @brief Chooses another instance that reaches endpoints, in this region if there is one.
    ///
    /// Instances in allowed regions are preferred to those for which only may_relay_to() holds.
    /// @param excluded instances that are not chosen
    /// @param regions regions in which the request may be served
    /// @return nullptr when there is none
    const member_update* draw_relay(const std::vector<instance_id>& excluded, const region_set& regions);
    /// @brief Handles the result of a probe.
    void handle(const endpoint_probed& probed);
    /// @brief Merges a peer's quarantine notice and forwards it when it was new.
    void merge(const quarantine_notice& notice);
    /// @brief Whether this instance may run one request with a blocked part, to find out whether the part still crashes
    /// engines. One instance may, and another one after some seconds.
    [[nodiscard]] bool may_try(fingerprint part) const;
    /// @brief Sends the latest deaths to a peer, which may have missed notices or be new.
    void synchronize_quarantine();
    /// @brief Marks an endpoint that reported its planned stop as leaving.
    void mark_endpoint_leaving(const endpoint_id& endpoint);
    /// @brief Applies the latest instance list to directory, health, ledger and prefix index. An endpoint that is no
    /// longer listed, was not leaving and has no attempts of this instance in flight counts as dead.
    directory_change apply_instance_list(const instances_listed& list);

    /// The request that an attempt belongs to.
    struct attempt_entry
    {
        attempt_owner owner = attempt_owner::generation;
        request_id request;
    };
    std::unordered_map<attempt_id, attempt_entry> attempts;
    std::unordered_map<service_id, retry_budget> budgets;
    /// Receives the actions of the event that is being handled; null between events.
    std::vector<action>* out = nullptr;

  private:
    /// A peer chosen at random; null when there is none or the chosen one is not alive.
    const member_update* draw_live_peer();

    /// Endpoints with a probe in progress because a run there has lost its connection.
    std::unordered_set<endpoint_id> probed_;
    /// Endpoints that refused such a probe while it was in doubt whether this instance reaches any.
    std::vector<endpoint_id> refused_in_doubt_;
    std::uint64_t attempt_prefix_;
    std::uint64_t attempt_count_ = 0;
};

/// @brief Converts the failure of an attempt to the kind of end that the quarantine records.
run_end run_end_of(attempt_failure failure) noexcept;

} // namespace parsleyshift::detail
