#include "forwarded_request.hpp" // forwarded_request

#include "call_manager.hpp" // choose_plain_endpoint

#include <parsleyshift/core/hash.hpp>                      // mix_hash, stable_hash
#include <parsleyshift/quarantine/request_fingerprint.hpp> // prompt_part_fingerprint

#include <algorithm> // find, max, min
#include <utility>   // exchange, move

namespace parsleyshift::detail
{
namespace
{

/// Number of gaps between events needed for an estimate of the usual gap. At 28 ms per event, 12 gaps take a third of a
/// second, in which an engine makes at least one step that processes no prompt.
constexpr int min_gap_samples = 12;
/// Part of a plain request's latency objective for which it may wait for a start at a limited endpoint.
constexpr int plain_start_wait_divisor = 2;

std::string joined(const std::vector<std::string>& parts)
{
    std::string text;
    for (const std::string& part : parts)
    {
        text += (text.empty() ? "" : ",") + part;
    }
    return text;
}

std::vector<fingerprint> fingerprints_of(const std::vector<std::string>& parts)
{
    std::vector<fingerprint> fingerprints;
    for (const std::string& part : parts)
    {
        fingerprints.push_back(prompt_part_fingerprint(part));
    }
    return fingerprints;
}

fingerprint fingerprint_of(const forward_request& request, const customer_id& customer)
{
    return fingerprint{mix_hash(request.content_hash, stable_hash(customer.value()))};
}

} // namespace

forwarded_request::forwarded_request(core_state& state, pool_manager& pools, const forward_request& request,
                                     admission admitted)
    : state_(state),
      pools_(pools),
      request_(request),
      admission_(std::move(admitted)),
      fingerprint_(fingerprint_of(request_, admission_.customer)),
      parts_(fingerprints_of(request_.prompt_parts)),
      arrived_at_(state.now),
      deadline_(state.now + std::min(request_.timeout.value_or(admission_.matched_route.timeout),
                                     admission_.matched_route.timeout)),
      attempt_started_at_(state.now),
      run_started_at_(state.now),
      last_progress_at_(state.now)
{
}

void forwarded_request::start()
{
    if (state_.quarantine.state_of(fingerprint_, state_.now) == quarantine_state::quarantined)
    {
        reject(state_.quarantine.rejection(fingerprint_, state_.now));
        return;
    }
    const part_verdict verdict = state_.blocked_parts.verdict_of(parts_, state_.now);
    const bool is_trial = verdict.state == part_state::on_trial && state_.may_try(verdict.part);
    if (verdict.state != part_state::clear && !is_trial)
    {
        reject_for_part(verdict);
        return;
    }
    if (reject_if_too_large())
    {
        return;
    }
    add_timer(timer_kind::request_timeout, deadline_ - state_.now, 0);
    if (is_stream())
    {
        add_timer(timer_kind::check_silence, state_.settings.forwarding.silence_check_interval, 0);
    }
    if (admission_.capacity)
    {
        permit_ = std::make_unique<permit_holder>(state_, pools_, describe_work(), fingerprint_);
    }
    select_endpoint();
}

bool forwarded_request::reject_if_too_large()
{
    if (!admission_.capacity || admission_.capacity->memory_tokens <= 0)
    {
        return false;
    }
    const std::int64_t memory = admission_.capacity->memory_tokens;
    // Subtracted from the memory, since a caller may state any number of prompt tokens.
    if (request_.prompt_tokens <= memory - admission_.capacity->tokens_per_event)
    {
        return false;
    }
    // No retry time: the same request fails again unless the configuration states a larger memory.
    reject(make_error(error_kind::no_endpoint, "a prompt of " + std::to_string(request_.prompt_tokens) +
                                                   " tokens and the first event exceed the memory of each engine of " +
                                                   admission_.service.value() + ", " + std::to_string(memory) +
                                                   " tokens; send a shorter prompt"));
    return true;
}

void forwarded_request::reject_if_blocked()
{
    if (event_count_ > 0)
    {
        return;
    }
    const part_verdict verdict = state_.blocked_parts.verdict_of(parts_, state_.now);
    if (verdict.state == part_state::blocked)
    {
        reject_for_part(verdict);
    }
}

void forwarded_request::reject_for_part(const part_verdict& verdict)
{
    const auto position = std::find(parts_.begin(), parts_.end(), verdict.part) - parts_.begin();
    reject(make_error(error_kind::quarantined,
                      "engines crash when they begin an answer on part " +
                          request_.prompt_parts[static_cast<std::size_t>(position)] +
                          " of the prompt; send the request without this part, or later",
                      std::max(verdict.until - state_.now, default_expected_wait)));
}

duration forwarded_request::silence_limit() const
{
    // Callers disconnect after a pause of this length.
    const auto& settings = state_.settings.forwarding;
    const route& matched = admission_.matched_route;
    return std::max({settings.min_silence, matched.objective * settings.silence_objective_multiple,
                     matched.gap_objective * settings.silence_gap_multiple});
}

work_description forwarded_request::describe_work() const
{
    // An engine must start the work within this share of the silence limit, so that time is left for the first token.
    const double start_share_of_silence_limit = state_.settings.forwarding.start_share_of_silence_limit;
    const auto max_start_delay = duration{
        static_cast<duration::rep>(static_cast<double>(silence_limit().count()) * start_share_of_silence_limit)};
    work_description work;
    work.request = request_.request;
    work.customer = admission_.customer;
    work.service = admission_.service;
    work.model = request_.model;
    work.work_class = admission_.work_class;
    work.prompt_tokens = request_.prompt_tokens;
    work.max_tokens = request_.max_tokens;
    work.expected_tokens = request_.expected_tokens;
    work.prefixes = request_.prefixes;
    work.plain = !admission_.capacity;
    work.regions = admission_.regions;
    work.gap_objective = admission_.capacity ? admission_.matched_route.gap_objective : duration{};
    work.start_by = std::min(deadline_, arrived_at_ + max_start_delay);
    if (!admission_.capacity || !admission_.matched_route.names_objective)
    {
        return work;
    }
    work.timely_start = latest_timely_start();
    const duration late_limit = admission_.matched_route.objective * state_.settings.forwarding.late_service_multiple;
    if (deadline_ - arrived_at_ < late_limit)
    {
        work.start_by = std::min(work.start_by, work.timely_start);
    }
    return work;
}

time_point forwarded_request::latest_timely_start() const
{
    const duration objective = admission_.matched_route.objective;
    const double tokens_per_ms = state_.settings.scheduling.prefill_tokens_per_ms;
    const double prefill_ms = tokens_per_ms > 0.0 ? static_cast<double>(request_.prompt_tokens) / tokens_per_ms : 0.0;
    // At most half of the objective: a prompt that takes longer to read must not be rejected for its size alone.
    const auto longest_ms = static_cast<double>(objective.count()) / 2.0;
    const double needed_ms = prefill_ms + static_cast<double>(state_.settings.forwarding.first_event_path_time.count());
    return arrived_at_ + objective - duration{static_cast<duration::rep>(std::min(needed_ms, longest_ms))};
}

std::int64_t forwarded_request::output_tokens() const
{
    return admission_.capacity ? event_count_ * admission_.capacity->tokens_per_event : 0;
}

void forwarded_request::select_endpoint()
{
    if (reject_if_outlasting_stop())
    {
        return;
    }
    if (reject_if_evacuated() || reject_outside_regions())
    {
        return;
    }
    if (needs_relay() && start_relay())
    {
        return;
    }
    if (state_.reachability.lost())
    {
        const std::string where =
            admission_.regions.restricted() ? " in this region or in " + region_names() : std::string{};
        reject(make_error(error_kind::no_endpoint,
                          "this instance reaches no endpoint, and no other instance" + where +
                              " can take the request; send it later",
                          state_.draw_retry_after(default_expected_wait)));
        return;
    }
    if (reject_if_all_pause())
    {
        return;
    }
    if (!admission_.capacity)
    {
        select_plain_endpoint();
        return;
    }
    if (!permit_->request_permit())
    {
        reject(make_error(error_kind::no_endpoint, "service " + admission_.service.value() + " has no known engine",
                          state_.draw_retry_after(default_expected_wait)));
    }
}

bool forwarded_request::reject_if_outlasting_stop()
{
    const std::optional<duration> learned = state_.durations.expected(admission_.matched_route.name);
    // Without experience, a plain request may take until its deadline. A stream that is cut off loses only its rest.
    const bool is_unknown = !learned && is_stream();
    const duration expected = std::min(learned.value_or(duration::max()), deadline_ - state_.now);
    if (state_.stop_end == never || is_unknown || state_.now + expected <= state_.stop_end)
    {
        return false;
    }
    reject(make_error(error_kind::shutting_down, "the instance stops before the request can be expected to end",
                      duration{0}));
    return true;
}

bool forwarded_request::reject_if_evacuated()
{
    if (!pools_.is_evacuated(admission_.service))
    {
        return false;
    }
    // No time to return: the operators end an evacuation when they see fit.
    reject(make_error(error_kind::no_endpoint,
                      "all zones with endpoints of service " + admission_.service.value() +
                          " are evacuated; use another service, or send the request again once the operators have "
                          "ended an evacuation"));
    return true;
}

void forwarded_request::on_evacuated_zones_changed()
{
    if (attempt_ == attempt_id{})
    {
        reject_if_evacuated();
        return;
    }
    if (move_ && !move_->stop_requested && state_.is_evacuated(move_->new_permit.endpoint))
    {
        cancel_move();
    }
}

bool forwarded_request::may_send() const
{
    if (relaying_)
    {
        const member_update* relay = state_.members.find(relays_.back());
        return !admission_.regions.restricted() ||
               (relay != nullptr && state_.may_relay_to(*relay, admission_.regions));
    }
    if (continuing_)
    {
        // A run may continue at an engine that is leaving, where it has run before.
        return !state_.is_evacuated(endpoint_) && admission_.regions.allows(state_.entries.region_of(endpoint_zone_));
    }
    return state_.obstacle_to_start(endpoint_, admission_.regions) == start_obstacle::none;
}

bool forwarded_request::reject_if_all_pause()
{
    const std::optional<time_point> end = pools_.first_pause_end(admission_.service, admission_.regions);
    if (!end)
    {
        return false;
    }
    reject(make_error(error_kind::no_endpoint,
                      "all endpoints of service " + admission_.service.value() +
                          " accept no requests of this instance for a time; send the request again after it",
                      state_.draw_retry_after(*end - state_.now)));
    return true;
}

void forwarded_request::select_plain_endpoint()
{
    std::vector<endpoint_id> excluded = denied_endpoints_;
    for (const pool_id& pool : state_.directory.pools_of(admission_.service))
    {
        const std::vector<endpoint_id> ineligible = pools_.ineligible_endpoints(pool, admission_.regions);
        excluded.insert(excluded.end(), ineligible.begin(), ineligible.end());
    }
    const auto chosen = choose_plain_endpoint(state_, admission_.service, tried_endpoints_, excluded);
    if (!chosen)
    {
        reject(denial_.value_or(make_error(error_kind::no_endpoint,
                                           "service " + admission_.service.value() + " has no known endpoint",
                                           state_.draw_retry_after(default_expected_wait))));
        return;
    }
    if (pools_.needs_grant(*state_.directory.find(*chosen)))
    {
        if (!permit_)
        {
            permit_ = std::make_unique<permit_holder>(state_, pools_, describe_work(), fingerprint_);
        }
        const duration longest_wait = admission_.matched_route.objective / plain_start_wait_divisor;
        permit_->request_permit_of(state_.directory.find(*chosen)->pool,
                                   std::min(deadline_, state_.now + longest_wait));
        return;
    }
    if (!state_.quarantine.may_run(fingerprint_, *chosen, state_.now))
    {
        // The quarantine lets a suspect request run only alone at an endpoint; the deadline bounds the wait.
        add_timer(timer_kind::attempt_due, state_.settings.requests.retry_interval, ++retry_timer_step_);
        return;
    }
    start_attempt(*chosen);
}

void forwarded_request::select_unlimited_endpoint(const error& denial)
{
    denial_ = denial;
    for (const endpoint_entry* entry : state_.directory.endpoints_of(permit_->pool()))
    {
        if (pools_.needs_grant(*entry))
        {
            denied_endpoints_.push_back(entry->endpoint);
        }
    }
    select_plain_endpoint();
}

void forwarded_request::on_permit_granted(const permit_grant& grant, bool from_scheduler)
{
    if (can_move_to(grant))
    {
        start_move(grant);
        return;
    }
    if (permit_ && permit_->accept(grant, from_scheduler))
    {
        start_attempt(grant.endpoint);
        add_timer(timer_kind::renew_permit, from_scheduler ? state_.settings.requests.permit_renewal : duration{0},
                  static_cast<std::uint64_t>(attempt_count_));
    }
}

void forwarded_request::on_permit_denied(const error& denial)
{
    if (permit_ && permit_->waiting())
    {
        permit_->on_permit_denied();
        if (!admission_.capacity)
        {
            select_unlimited_endpoint(denial);
            return;
        }
        reject(denial);
    }
}

void forwarded_request::on_permit_timer(const core_timer& due)
{
    if (!permit_ || !permit_->is_current(due))
    {
        return;
    }
    if (!admission_.capacity && permit_->is_unanswered(due))
    {
        permit_->release(0, false);
        select_unlimited_endpoint(make_error(error_kind::no_endpoint,
                                             "the scheduler of pool " + permit_->pool().value() + " does not answer",
                                             state_.draw_retry_after(default_expected_wait)));
        return;
    }
    const bool needs_permit = permit_->waiting() || due.kind == timer_kind::retry_due;
    if (needs_permit && (reject_if_evacuated() || reject_if_all_pause()))
    {
        return;
    }
    if (const auto local_grant = permit_->on_timer(due))
    {
        on_permit_granted(*local_grant, false);
    }
}

void forwarded_request::on_permit_queued()
{
    if (permit_)
    {
        permit_->on_permit_queued();
    }
}

void forwarded_request::start_attempt(const endpoint_id& endpoint)
{
    // A stop may have begun while the request waited for its permit.
    if (reject_if_outlasting_stop())
    {
        return;
    }
    // The last check before the bytes leave: a permit may be older than the configuration in force.
    if (const auto obstacle = state_.obstacle_to_start(endpoint, admission_.regions); obstacle != start_obstacle::none)
    {
        state_.log(log_event::permit_declined,
                   "endpoint=" + endpoint.value() + " why=" + std::string{name_of(obstacle)});
        if (permit_)
        {
            permit_->release(0, false);
        }
        add_timer(timer_kind::attempt_due, state_.settings.requests.retry_interval, ++retry_timer_step_);
        return;
    }
    const endpoint_entry* entry = state_.directory.find(endpoint);
    ++attempt_count_;
    ++possible_runs_;
    endpoint_ = endpoint;
    endpoint_address_ = entry->address;
    endpoint_zone_ = entry->availability_zone;
    endpoint_process_ = entry->started;
    tried_endpoints_.push_back(endpoint);
    run_started_at_ = state_.now;
    send_attempt(std::nullopt);
    state_.emit(record_sample{histogram::queue_ms, admission_.work_class, admission_.customer,
                              (state_.now - arrived_at_).count()});
}

void forwarded_request::begin_attempt()
{
    attempt_ = state_.next_attempt(attempt_owner::forward, request_.request);
    copy_pending_ = false;
    may_be_stopped_ = false;
    attempt_started_at_ = state_.now;
    last_progress_at_ = state_.now;
    tracker_.attempt_sent();
}

void forwarded_request::send_attempt(std::optional<run_continuation> continuation)
{
    begin_attempt();
    expected_memory_ = permit_ ? permit_->expected_memory() : 0;
    state_.ledger.record_start(endpoint_, expected_memory_, state_.now);
    state_.quarantine.run_started(attempt_, fingerprint_, endpoint_);
    if (event_count_ == 0)
    {
        state_.blocked_parts.run_started(attempt_, parts_, endpoint_);
    }
    if (permit_)
    {
        pools_.attempt_started(permit_->pool(), endpoint_, expected_memory_);
    }
    state_.reachability.record_sent(state_.now);
    emit_attempt(std::move(continuation), "endpoint=" + endpoint_.value());
}

void forwarded_request::emit_attempt(std::optional<run_continuation> continuation, const std::string& receiver)
{
    continuing_ = continuation.has_value();
    start_forward command;
    command.relayed = relaying_;
    command.attempt = attempt_;
    command.request = request_.request;
    command.endpoint = endpoint_;
    command.address = endpoint_address_;
    command.customer = admission_.customer;
    command.priority = admission_.priority;
    command.kind = admission_.matched_route.kind;
    // The key was valid when a resumed run was first sent, so only the deadline applies to it.
    command.send_deadline = continuation ? deadline_ : std::min(deadline_, admission_.key_valid_until);
    command.deadline = deadline_;
    command.continuation = std::move(continuation);
    state_.emit(std::move(command));
    state_.log(log_event::request_sent, "id=" + request_.caller_id + " " + receiver + " attempt=" +
                                            std::to_string(attempt_count_) + " moves=" + std::to_string(move_count_) +
                                            " waited_ms=" + std::to_string((state_.now - arrived_at_).count()));
}

void forwarded_request::end_attempt(run_end ending, bool completed)
{
    if (attempt_ == attempt_id{})
    {
        return;
    }
    if (std::exchange(relaying_, false))
    {
        state_.attempts.erase(attempt_);
        attempt_ = attempt_id{};
        return;
    }
    state_.record_attempt_end(attempt_, endpoint_, expected_memory_, ending);
    cancel_move();
    unconfirmed_end_.reset();
    if (permit_)
    {
        pools_.attempt_ended(permit_->pool(), endpoint_, expected_memory_);
        permit_->release(output_tokens(), completed);
    }
    attempt_ = attempt_id{};
}

void forwarded_request::on_answer(const forward_answered& answer)
{
    tracker_.attempt_ran();
    if (!relaying_)
    {
        state_.endpoint_answered();
        pools_.record_answer(endpoint_, endpoint_process_, answer.statement, attempt_started_at_);
    }
    if (answer_delivered_)
    {
        // The head of the caller's answer was delivered before the move; only the stream is resumed.
        last_progress_at_ = state_.now;
        if (answer.sign == answer_sign::success && !answer.complete)
        {
            state_.emit(deliver_forward{request_.request, attempt_});
            return;
        }
        reject(make_error(error_kind::incomplete_answer,
                          "endpoint " + endpoint_.value() + " failed to resume a moved run"));
        return;
    }
    first_answer_latency_ = state_.now - attempt_started_at_;
    last_progress_at_ = state_.now;
    state_.health.record_first_token(endpoint_, first_answer_latency_, state_.now);
    if (!admission_.capacity && !relaying_)
    {
        state_.zones.record_plain_answer(state_, endpoint_, first_answer_latency_);
    }
    if (answer.sign == answer_sign::fault)
    {
        state_.record_endpoint_failure(endpoint_);
    }
    else
    {
        state_.health.record_success(endpoint_);
    }
    if (answer.sign == answer_sign::fault && !relaying_ && repeat_attempt())
    {
        return;
    }
    answer_delivered_ = true;
    state_.emit(deliver_forward{request_.request, attempt_});
    state_.emit(record_sample{histogram::first_token_ms, admission_.work_class, admission_.customer,
                              (state_.now - arrived_at_).count()});
    if (answer.complete)
    {
        end_attempt(answer.sign == answer_sign::success ? run_end::completed : run_end::stopped, false);
        succeed();
    }
}

bool forwarded_request::repeat_attempt()
{
    const bool may_repeat = admission_.matched_route.kind == route_kind::idempotent &&
                            possible_runs_ < admission_.matched_route.max_attempts;
    if (!may_repeat || !state_.budget_of(admission_.service).try_spend())
    {
        return false;
    }
    state_.emit(cancel_forward{attempt_});
    end_attempt(run_end::stopped, false);
    select_endpoint();
    return true;
}

std::string forwarded_request::receiver() const
{
    return endpoint_.empty() ? "instance " + relays_.back().value() : "endpoint " + endpoint_.value();
}

duration forwarded_request::usual_gap() const
{
    return gap_count_ < min_gap_samples ? duration{} : duration{static_cast<duration::rep>(usual_gap_ms_)};
}

void forwarded_request::record_gap(duration gap)
{
    // Starts at the shortest gap, then tracks the 0.2 quantile by stochastic approximation with steps of 1 ms: longer
    // gaps include prompt processing or network delay.
    constexpr double quantile = 0.2;
    const auto gap_ms = static_cast<double>(gap.count());
    if (gap_count_ < min_gap_samples)
    {
        usual_gap_ms_ = gap_count_ == 0 ? gap_ms : std::min(usual_gap_ms_, gap_ms);
    }
    else
    {
        usual_gap_ms_ += gap_ms < usual_gap_ms_ ? quantile - 1.0 : quantile;
    }
    if (++gap_count_ == min_gap_samples)
    {
        // Reports a slow engine to the scheduler without waiting for the next renewal.
        renew_permit();
    }
}

void forwarded_request::renew_permit()
{
    if (permit_)
    {
        permit_->renew(output_tokens(), take_timing());
    }
}

stream_timing forwarded_request::take_timing()
{
    // A run that has moved has read no prompt at its present engine.
    return {usual_gap(), std::exchange(unregistered_gap_, duration{}),
            move_count_ == 0 ? first_event_latency_ : duration{}};
}

void forwarded_request::on_progress(std::int64_t events)
{
    if (event_count_ > 0)
    {
        const duration gap = state_.now - last_event_at_;
        if (events == event_count_ + 1)
        {
            record_gap(gap);
        }
        longest_gap_ = std::max(longest_gap_, gap);
        // The gap in which a run moves belongs to neither engine.
        unregistered_gap_ = std::exchange(gap_spans_move_, false) ? duration{} : std::max(unregistered_gap_, gap);
        state_.health.record_token_gap(endpoint_, gap, state_.now);
        state_.emit(record_sample{histogram::token_gap_ms, admission_.work_class, admission_.customer, gap.count()});
    }
    if (!relaying_)
    {
        state_.endpoint_answered();
    }
    const bool is_first = event_count_ == 0 && events > 0;
    count_events(events);
    if (is_first && admission_.matched_route.gap_objective > duration{})
    {
        first_event_latency_ = state_.now - attempt_started_at_;
        // Streams of a few events are never renewed, yet show how fast an engine reads.
        renew_permit();
    }
    last_event_at_ = state_.now;
    last_progress_at_ = state_.now;
    resume_run_if_ready();
}

void forwarded_request::count_events(std::int64_t events)
{
    if (event_count_ == 0 && events > 0)
    {
        state_.send_quarantine_notices(state_.blocked_parts.answer_began(attempt_, state_.now));
    }
    event_count_ = events;
}

void forwarded_request::on_completed(const forward_completed& completed)
{
    count_events(completed.events);
    if (move_ && move_->stop_requested && completed.end == answer_end::connection_closed)
    {
        // An engine that stops a run closes its stream in the same way.
        move_->stream_ended = true;
        move_->possible_completion = completed;
        resume_run_if_ready();
        return;
    }
    conclude_stream(completed);
}

void forwarded_request::complete_stream(const forward_completed& completed)
{
    ending_ = " end=" + std::string{name_of(completed.end)};
    state_.emit(deliver_forward{request_.request, attempt_});
    const bool scheduled_here = permit_ && pools_.scheduler_instance_of(permit_->pool()) == state_.self().instance;
    if (!scheduled_here)
    {
        // A scheduler on this instance records the length when the permit is returned.
        state_.lengths.record(admission_.work_class, admission_.customer, output_tokens(), state_.now);
    }
    state_.emit(record_sample{histogram::length_tokens, admission_.work_class, admission_.customer, output_tokens()});
    end_attempt(run_end::completed, true);
    succeed();
}

void forwarded_request::succeed()
{
    state_.durations.record(admission_.matched_route.name, state_.now - run_started_at_);
    state_.budget_of(admission_.service).record_success();
    state_.emit(record_sample{histogram::answer_ms, admission_.work_class, admission_.customer,
                              (state_.now - arrived_at_).count()});
    finish(outcome::completed, std::nullopt);
}

void forwarded_request::on_attempt_failed(const attempt_failed& failed)
{
    const attempt_failure failure = failed.failure;
    if (relaying_)
    {
        on_relay_failed(failed);
        return;
    }
    record_link_evidence(failure);
    // An endpoint of another process has answered with attempt_failure::leaving.
    if (failed.statement && failure != attempt_failure::leaving)
    {
        pools_.record_answer(endpoint_, endpoint_process_, *failed.statement, attempt_started_at_);
    }
    if (failure == attempt_failure::not_started)
    {
        pools_.reject_for_room(endpoint_);
    }
    if (move_ && move_->stop_requested && failure == attempt_failure::link_broken)
    {
        // A run that is stopped for a move ends its stream without an end mark.
        move_->stream_ended = true;
        resume_run_if_ready();
        return;
    }
    tracker_.attempt_failed(failure);
    possible_runs_ -= proves_not_run(failure) ? 1 : 0;
    // The end of a leaving or removed engine is no evidence that the request crashed it.
    const endpoint_entry* entry = state_.directory.find(endpoint_);
    const bool is_leaving_or_removed = entry == nullptr || entry->leaving;
    const run_end ending = is_leaving_or_removed ? run_end::stopped : run_end_of(failure);
    end_attempt(ending, false);
    if (admission_.capacity && ending == run_end::connection_lost)
    {
        state_.probe(endpoint_, endpoint_address_);
    }
    if (failure == attempt_failure::leaving)
    {
        state_.mark_endpoint_leaving(endpoint_);
        pools_.endpoint_leaving(endpoint_);
    }
    else if (failure != attempt_failure::not_started && failure != attempt_failure::deadline_passed &&
             failure != attempt_failure::not_sent && failure != attempt_failure::invalid_head)
    {
        state_.record_endpoint_failure(endpoint_);
    }
    if (answer_delivered_)
    {
        reject(make_error(error_kind::incomplete_answer, "endpoint " + endpoint_.value() + ": " + failed.message));
        return;
    }
    if (failure == attempt_failure::not_sent)
    {
        // No endpoint has got the attempt, so it costs no retry.
        select_endpoint();
        return;
    }
    if (reject_if_unsendable(failed))
    {
        return;
    }
    if (failure == attempt_failure::deadline_passed && state_.now < deadline_)
    {
        // `not_after` was the earlier of the deadline and `key_valid_until`, so the latter has passed.
        reject(make_error(error_kind::configuration_missing, "the configuration is too old to verify the key",
                          state_.draw_retry_after(default_expected_wait)));
        return;
    }
    retry_or_reject(failure);
}

bool forwarded_request::reject_if_unsendable(const attempt_failed& failed)
{
    if (failed.failure != attempt_failure::invalid_head)
    {
        return false;
    }
    // Another attempt would write the same text.
    reject(make_error(error_kind::internal, failed.message));
    return true;
}

void forwarded_request::retry_or_reject(attempt_failure failure)
{
    retry_conditions situation;
    situation.failure = failure;
    // Streams are not resumed by a retry here; the plain kind excludes that step.
    situation.kind = service_kind::plain;
    situation.idempotent = admission_.matched_route.kind == route_kind::idempotent;
    situation.attempts = attempt_count_;
    situation.time_left = deadline_ - state_.now;
    // A moved run has already run, even if the destination engine proves that it did not start it.
    const bool may_retry = move_count_ == 0 && possible_runs_ < std::max(1, admission_.matched_route.max_attempts);
    retry_decision decision;
    if (may_retry)
    {
        decision = state_.retry.decide(situation, state_.budget_of(admission_.service), state_.random);
    }
    if (decision.step == retry_step::restart)
    {
        add_timer(timer_kind::attempt_due, decision.delay, ++retry_timer_step_);
        return;
    }
    const auto kind = decision.budget_exhausted ? error_kind::retry_budget_spent : error_kind::endpoint_failed;
    reject(make_error(kind, receiver() + ": " + std::string{name_of(failure)},
                      state_.draw_retry_after(default_expected_wait)));
}

void forwarded_request::on_timer(const core_timer& due)
{
    switch (due.kind)
    {
    case timer_kind::request_timeout:
        reject(make_error(attempt_ == attempt_id{} ? error_kind::deadline_unreachable : error_kind::deadline_passed,
                          "no answer before the deadline", state_.draw_retry_after(default_expected_wait)));
        break;
    case timer_kind::check_silence:
        check_silence();
        break;
    case timer_kind::renew_permit:
        if (permit_ && attempt_ != attempt_id{} && due.step == static_cast<std::uint64_t>(attempt_count_))
        {
            renew_permit();
            add_timer(timer_kind::renew_permit, state_.settings.requests.permit_renewal, due.step);
        }
        break;
    case timer_kind::resume_due:
        if (move_ && move_->stopped && due.step == static_cast<std::uint64_t>(move_count_))
        {
            resume_run();
        }
        break;
    case timer_kind::end_check_due:
        check_end(due);
        break;
    case timer_kind::attempt_due:
        if (due.step == retry_timer_step_ && attempt_ == attempt_id{})
        {
            select_endpoint();
        }
        break;
    case timer_kind::retry_due:
    case timer_kind::permit_reply_due:
        on_permit_timer(due);
        break;
    default:
        break;
    }
}

void forwarded_request::check_silence()
{
    const duration silent = unconfirmed_end_ ? duration{} : state_.now - last_progress_at_;
    if (attempt_ != attempt_id{} && silent > silence_limit())
    {
        // A broken link may cause no error, so it is assumed after this time. The caller has disconnected or soon will.
        state_.record_endpoint_failure(endpoint_);
        reject(make_error(error_kind::link_broken, "endpoint " + endpoint_.value() + " sent nothing for " +
                                                       std::to_string(silent.count()) + " ms"));
        return;
    }
    if (answer_delivered_ && silent > admission_.matched_route.gap_objective)
    {
        state_.health.record_open_gap(endpoint_, silent, state_.now);
    }
    add_timer(timer_kind::check_silence, state_.settings.forwarding.silence_check_interval, 0);
}

void forwarded_request::on_caller_disconnected()
{
    if (attempt_ != attempt_id{})
    {
        state_.emit(cancel_forward{attempt_});
    }
    const outcome final_outcome = tracker_.without_answer();
    end_attempt(run_end::stopped, false);
    finish(final_outcome, make_error(error_kind::cancelled, "the caller disconnected"));
}

void forwarded_request::on_stop_began()
{
    if (attempt_ == attempt_id{})
    {
        reject_if_outlasting_stop();
    }
}

void forwarded_request::on_stop_ending()
{
    const bool may_have_run = tracker_.without_answer() != outcome::not_run;
    reject(make_error(may_have_run ? error_kind::result_unknown : error_kind::shutting_down,
                      "the instance stops before the request has ended", duration{0}));
}

void forwarded_request::set_key_valid_until(time_point valid_until)
{
    admission_.key_valid_until = valid_until;
}

void forwarded_request::on_scheduler_changed()
{
    if (permit_)
    {
        permit_->on_scheduler_changed(output_tokens(), take_timing());
    }
}

void forwarded_request::reject(error reason)
{
    const outcome final_outcome = tracker_.without_answer();
    if (attempt_ != attempt_id{})
    {
        state_.emit(cancel_forward{attempt_});
        end_attempt(run_end::stopped, false);
    }
    state_.reject(request_.request, final_outcome, reason, event_count_);
    finish(final_outcome, reason);
}

void forwarded_request::finish(outcome final_outcome, const std::optional<error>& reason)
{
    if (permit_)
    {
        permit_->release(output_tokens(), false);
    }
    request_finished ended;
    ended.work_class = admission_.work_class;
    ended.customer = admission_.customer;
    ended.what = final_outcome;
    ended.region_restricted = admission_.regions.restricted();
    if (reason)
    {
        ended.why = reason->kind;
    }
    state_.emit(ended);
    log_end(final_outcome, reason);
    finished_ = true;
}

void forwarded_request::log_end(outcome final_outcome, const std::optional<error>& reason)
{
    std::string line =
        "id=" + request_.caller_id + " route=" + admission_.matched_route.name +
        " service=" + admission_.service.value() + " customer=" + admission_.customer.value() +
        " config=" + std::to_string(admission_.configuration_version) +
        " config_age_ms=" + std::to_string(admission_.configuration_age.count()) + " endpoint=" + endpoint_.value() +
        " attempts=" + std::to_string(attempt_count_) + " moves=" + std::to_string(move_count_) +
        " first_ms=" + std::to_string(first_answer_latency_.count()) + " events=" + std::to_string(event_count_) +
        " longest_gap_ms=" + std::to_string(longest_gap_.count()) +
        " took_ms=" + std::to_string((state_.now - arrived_at_).count()) + ending_ + " outcome=";
    line += name_of(final_outcome);
    line += region_note(final_outcome);
    if (reason)
    {
        line += " why=";
        line += name_of(reason->kind);
        line += " parts=" + joined(request_.prompt_parts);
        line += " detail=" + reason->detail;
        if (reason->retry_after)
        {
            line += " retry_after_ms=" + std::to_string(reason->retry_after->count());
        }
    }
    state_.log(log_event::request_ended, std::move(line));
}

void forwarded_request::add_timer(timer_kind kind, duration wait, std::uint64_t step)
{
    state_.timers.add(state_.now + wait, core_timer{kind, request_.request, step});
}

} // namespace parsleyshift::detail
