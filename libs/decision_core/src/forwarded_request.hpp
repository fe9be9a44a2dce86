#pragma once

#include "core_state.hpp"    // core_state
#include "permit_holder.hpp" // permit_holder
#include "pool_manager.hpp"  // pool_manager

#include <parsleyshift/messages/forward.hpp>        // forward_request
#include <parsleyshift/streams/outcome_tracker.hpp> // outcome_tracker

#include <memory>      // unique_ptr
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace parsleyshift::detail
{

/// @brief Route, customer and limits that the configuration in force assigned to a forwarded request on arrival.
struct admission
{
    route matched_route;
    service_id service;
    /// Empty for a request without a customer.
    customer_id customer;
    int priority = 0;
    class_id work_class;
    /// Capacity of one engine; set when engines provide the service.
    std::optional<engine_capacity> capacity;
    /// Regions that the customer allows; those of the route are in `matched_route`.
    region_set customer_regions{};
    /// Regions that both allow.
    region_set regions{};
    /// No attempt is sent to an endpoint after this time, since the customer's key may have been removed by then.
    time_point key_valid_until = never;
    /// Version and age of the configuration at arrival, for the log.
    std::int64_t configuration_version = 0;
    duration configuration_age{};
};

/// @brief State of a run that is being moved to another engine. A run is the execution of a request at an engine; it
/// continues in a further attempt when it is moved.
struct run_move
{
    /// Permit for the other engine.
    permit_grant new_permit;
    std::string source_address;
    std::string destination_address;
    zone_id destination_zone;
    /// The run has been requested to stop; from then on its stream may end without an end mark.
    bool stop_requested = false;
    /// The run has stopped; `resumes_in_place`, `handle` and `events` are set.
    bool stopped = false;
    bool stream_ended = false;
    /// Set when the stream ended between two events and only by the close of its connection: the run has completed, or
    /// it was stopped.
    std::optional<forward_completed> possible_completion;
    /// The source engine resumes the run, since the destination does not hold a complete copy.
    bool resumes_in_place = false;
    /// Identifies the copied KV cache of the run to the engine that resumes it.
    std::string handle;
    /// Number of stream events that the run produced before it stopped.
    std::int64_t events = 0;
};

/// @brief State machine of one forwarded request, from admission to its end.
///
/// Handlers for attempts may be called only while the attempt is in progress. After each call the owner checks
/// finished() and destroys the object when it is true.
class forwarded_request
{
  public:
    /// @brief Makes the request; the caller must call start() next.
    forwarded_request(core_state& state, pool_manager& pools, const forward_request& request, admission admitted);

    /// @brief Checks the quarantine, starts the timeouts and selects an endpoint.
    void start();
    /// @brief Handles a permit: for the first attempt, or for another engine that the run may move to.
    /// @param from_scheduler false for a permit from this instance's local share; see pool_manager
    void on_permit_granted(const permit_grant& grant, bool from_scheduler);
    /// @brief Rejects the request with the scheduler's error, if it is still waiting for a permit.
    void on_permit_denied(const error& denial);
    /// @brief Rejects the request if a part of its prompt is blocked and its answer has not begun.
    void reject_if_blocked();
    /// @brief The scheduler has queued the permit request.
    void on_permit_queued();
    /// @brief Handles the head of an answer: delivers it, or repeats an idempotent request after a fault.
    void on_answer(const forward_answered& answer);
    /// @param events number of stream events received so far
    void on_progress(std::int64_t events);
    /// @brief Handles the regular end of a stream.
    void on_completed(const forward_completed& completed);
    /// @brief Handles the result of the probe that was sent when a stream without framing ended.
    void on_end_probed(probe_result result);
    /// @brief Handles the result of a copy_run action.
    void on_run_copied(const run_copied& copy);
    /// @brief Ends the attempt, then retries it or rejects the request.
    void on_attempt_failed(const attempt_failed& failed);
    /// @brief Handles a timer of this request; timers of earlier steps are ignored.
    void on_timer(const core_timer& due);
    /// @brief Drops the attempt in progress and ends the request without an answer.
    void on_caller_disconnected();
    /// @brief This instance has lost its links to all endpoints: passes the request on to another instance, if it has
    /// not been sent or may be repeated.
    void on_links_lost();
    /// @brief The set of evacuated zones has changed: rejects the request if it waits and no zone is left, and gives up
    /// the move of its run into such a zone.
    void on_evacuated_zones_changed();
    /// @brief Whether the attempt in progress may still be sent; asked immediately before its first byte is written.
    [[nodiscard]] bool may_send() const;
    /// @brief A planned stop has begun: rejects the request if it has not been sent and would not end in time.
    void on_stop_began();
    /// @brief The time for a planned stop is over: ends the request with what is known about its outcome.
    void on_stop_ending();
    /// @brief Puts the regions of another configuration in force: a request that waits asks for a start in them or is
    /// rejected; a run in progress stays where it is and is not moved out of them.
    void set_regions(const region_set& route_regions, const region_set& customer_regions);
    /// @brief The list of endpoints has changed: rejects the request if it waits and its regions have none left.
    void on_endpoints_changed();
    /// @brief Requests or registers the permit again, since the pool's scheduler may have moved to another instance.
    void on_scheduler_changed();

    /// @brief True once the request has ended.
    [[nodiscard]] bool finished() const noexcept
    {
        return finished_;
    }
    /// @brief Sets the time until which the key counts as valid.
    void set_key_valid_until(time_point valid_until);
    /// @brief Key that the caller presented; empty when there is none.
    [[nodiscard]] const std::string& key() const noexcept
    {
        return request_.key;
    }
    /// @brief What the caller sent, as far as routing needs it.
    [[nodiscard]] const forward_request& request() const noexcept
    {
        return request_;
    }
    /// @brief What the configuration has assigned to the request.
    [[nodiscard]] const admission& admitted() const noexcept
    {
        return admission_;
    }

  private:
    /// Expected wait from which the retry_after of a rejected request is drawn.
    static constexpr duration default_expected_wait{1'000};

    [[nodiscard]] bool can_move_to(const permit_grant& grant) const;
    void start_move(const permit_grant& grant);
    void cancel_move();
    /// Emits a copy of the run that is being moved. Results name only the attempt, so one copy is made at a time.
    void copy_run_to_destination(bool stop);
    /// Whether the engine that the run was copied to may still continue it.
    [[nodiscard]] bool may_use_destination(const run_move& stopped) const;
    /// Gives a move up whose destination is in a region that is not allowed any more, while the run is not stopped.
    void cancel_move_outside_regions();
    /// Whether the regions in force allow the stopped run to be resumed at the engine that the move has selected.
    [[nodiscard]] bool may_resume(const run_move& stopped) const;
    /// Resumes the run once it has stopped and all events that it produced have arrived.
    void resume_run_if_ready();
    void resume_run();
    void send_attempt(std::optional<run_continuation> continuation);

    [[nodiscard]] bool is_stream() const noexcept
    {
        return admission_.matched_route.kind == route_kind::stream;
    }
    void record_gap(duration gap);
    /// Renews the permit in use, if any, with the latest timing of the stream.
    void renew_permit();
    /// Timing of the stream for a registration; resets the longest gap.
    stream_timing take_timing();
    /// Sets the number of events received in total; the first one proves that the parts of the prompt are sound.
    void count_events(std::int64_t events);
    /// Estimated time between two events while the engine processes no prompt; 0 until there are enough samples.
    [[nodiscard]] duration usual_gap() const;
    /// Time without progress after which the request is rejected.
    [[nodiscard]] duration silence_limit() const;
    [[nodiscard]] std::int64_t output_tokens() const;
    [[nodiscard]] work_description describe_work() const;
    /// Requests a permit for an engine, or starts an attempt at an endpoint of a plain service.
    void select_endpoint();
    /// Records what the end of an attempt says about this instance's links.
    void record_link_evidence(attempt_failure failure);
    void on_relay_failed(const attempt_failed& failed);
    /// Whether the request should be passed on to an instance that reaches endpoints.
    [[nodiscard]] bool needs_relay() const;
    /// Passes the request on to another instance, which handles it like a caller's.
    /// @return false when there is none
    bool start_relay();
    /// Emits the attempt, which is relayed or goes to `endpoint_`.
    void emit_attempt(std::optional<run_continuation> continuation, const std::string& receiver);
    /// Starts an attempt at an endpoint of a plain service, or requests a permit for one that limits its requests per
    /// second.
    void select_plain_endpoint();
    /// The scheduler of the pool has granted no start at its limited endpoints: chooses among the others.
    void select_unlimited_endpoint(const error& denial);
    void on_permit_timer(const core_timer& due);
    /// Gives the next attempt its id and start time.
    void begin_attempt();
    /// Ends an attempt of an idempotent request and selects another endpoint, within the attempts of the route and the
    /// retry budget.
    /// @return false when the request may not be repeated
    bool repeat_attempt();
    /// The endpoint or the instance that the latest attempt was sent to, for messages.
    [[nodiscard]] std::string receiver() const;
    void start_attempt(const endpoint_id& endpoint);
    void end_attempt(run_end ending, bool completed);
    void retry_or_reject(attempt_failure failure);
    /// Rejects the request if it cannot be written as HTTP.
    /// @return true when it was rejected
    bool reject_if_unsendable(const attempt_failed& failed);
    void reject_for_part(const part_verdict& verdict);
    /// Rejects a request whose prompt and first event exceed the memory of the service's engines.
    bool reject_if_too_large();
    /// Latest start at an engine with which the first event still meets the route's objective.
    [[nodiscard]] time_point latest_timely_start() const;
    /// Rejects the request with the time to wait if no endpoint of its service accepts requests of this instance now.
    /// @return true when it was rejected
    bool reject_if_all_pause();
    /// Rejects the request, which is not in progress at an endpoint, if no endpoint of its service is in a region in
    /// which it may be served.
    /// @return true when it was rejected
    bool reject_outside_regions();
    /// The regions in which the request may be served, for messages.
    [[nodiscard]] std::string region_names() const;
    /// Rejects the request, which is not in progress at an endpoint, if all endpoints of its service are in evacuated
    /// zones.
    /// @return true when it was rejected
    bool reject_if_evacuated();
    /// Rejects the request, which is not in progress at an endpoint, if a planned stop would end it before its answer.
    /// @return true when it was rejected
    bool reject_if_outlasting_stop();
    void check_silence();
    void reject(error reason);
    /// Completes a stream whose framing or size shows that it is whole. Otherwise the endpoint is probed, since the
    /// death of its process closes the connection in the same way.
    void conclude_stream(const forward_completed& completed);
    void complete_stream(const forward_completed& completed);
    /// Whether the stream has as many tokens as its request allows.
    [[nodiscard]] bool has_reached_token_limit() const;
    void probe_end();
    void check_end(const core_timer& due);
    /// Ends a stream without framing as incomplete.
    void break_off_stream(std::string_view reason);
    void succeed();
    void finish(outcome final_outcome, const std::optional<error>& reason);
    void add_timer(timer_kind kind, duration wait, std::uint64_t step);
    void log_end(outcome final_outcome, const std::optional<error>& reason);
    /// The regions of a restricted request and, if it was not run, how many endpoints were excluded for which reason.
    [[nodiscard]] std::string region_note(outcome final_outcome) const;

    core_state& state_;
    pool_manager& pools_;
    forward_request request_;
    admission admission_;
    fingerprint fingerprint_;
    /// Fingerprints of the parts of the prompt.
    std::vector<fingerprint> parts_;
    outcome_tracker tracker_;
    /// Set when engines provide the service, or once a start at a limited endpoint of a plain service was requested.
    std::unique_ptr<permit_holder> permit_;
    std::vector<endpoint_id> tried_endpoints_;
    /// Limited endpoints of plain services whose schedulers have granted no start.
    std::vector<endpoint_id> denied_endpoints_;
    /// The latest denial; the request is rejected with it when no other endpoint is left.
    std::optional<error> denial_;
    /// The attempt in progress; default-constructed when there is none.
    attempt_id attempt_;
    endpoint_id endpoint_;
    /// Copies of the endpoint's address, zone and process start number, since the endpoint may be removed from the list
    /// or be replaced during the attempt.
    std::string endpoint_address_;
    zone_id endpoint_zone_;
    incarnation endpoint_process_;
    /// The attempt in progress was passed on to another instance.
    bool relaying_ = false;
    /// The attempt in progress continues a run.
    bool continuing_ = false;
    std::vector<instance_id> relays_;
    /// Attempts for which no connection was established.
    int connect_failures_ = 0;
    std::optional<run_move> move_;
    int move_count_ = 0;
    /// A copy_run action of the attempt in progress has no result yet.
    bool copy_pending_ = false;
    /// The engine may have got a call to stop the run of the attempt in progress, or may still get it: the call has
    /// neither stopped the run nor been proved to have no effect. Later calls do not change this.
    bool may_be_stopped_ = false;
    /// Size of the KV cache that the attempt is expected to need, in tokens.
    std::int64_t expected_memory_ = 0;
    int attempt_count_ = 0;
    /// Number of attempts, except those whose failure proves that the endpoint did not run them.
    int possible_runs_ = 0;
    /// Identifies the latest next_attempt timer; older ones are ignored.
    std::uint64_t retry_timer_step_ = 0;
    std::int64_t event_count_ = 0;
    bool answer_delivered_ = false;
    bool finished_ = false;
    time_point arrived_at_;
    time_point deadline_;
    time_point attempt_started_at_;
    /// Start of the attempt that a run began with; it may have moved since.
    time_point run_started_at_;
    time_point last_progress_at_;
    /// Estimated 0.2 quantile of the milliseconds between two events, which is near the time of an engine step that
    /// processes no prompt; see record_gap().
    double usual_gap_ms_ = 0.0;
    int gap_count_ = 0;
    time_point last_event_at_;
    duration longest_gap_{};
    /// Longest gap at the present engine since the last registration.
    duration unregistered_gap_{};
    /// The run has moved since the last event.
    bool gap_spans_move_ = false;
    duration first_answer_latency_{};
    /// Set while it is not known whether the end of a stream's connection was the end of the stream.
    std::optional<forward_completed> unconfirmed_end_;
    time_point unconfirmed_since_;
    /// From the start of the attempt to its first event; 0 before it, and on routes without a gap objective.
    duration first_event_latency_{};
    /// How the stream ended, for the log; empty when it has not.
    std::string ending_;
};

} // namespace parsleyshift::detail
