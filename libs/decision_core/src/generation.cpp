#include "generation.hpp" // generation

#include <parsleyshift/streams/generation_machine.hpp> // generation_machine

#include <algorithm> // min, max
#include <utility>   // move

namespace parsleyshift::detail
{
namespace
{

/// A gap between tokens above this time counts as a stall; about eight times the target for the 95th percentile of
/// gaps, 63 ms.
constexpr duration stall_threshold{500};
/// A refused connection is reported within this time; a connection that times out takes longer.
constexpr duration max_refusal_time{500};
/// Interval at which the time since the last token of a stream is checked.
constexpr duration silence_check_interval{1'000};

std::string generation_name(const member_update& self, request_id request)
{
    return self.instance.value() + "." + std::to_string(self.started.value()) + "." + std::to_string(request.value());
}

} // namespace

struct generation::machine
{
    explicit machine(generation* owner) : states(owner) {}

    generation_machine<generation> states;
};

generation::~generation() = default;

generation::generation(core_state& state, pool_manager& pools, generation_request request, work_description work,
                       limit_charge charge, fingerprint content_fingerprint)
    : state_(state),
      pools_(pools),
      request_(std::move(request)),
      work_(std::move(work)),
      charge_(std::move(charge)),
      content_fingerprint_(content_fingerprint),
      name_(generation_name(state.self(), request_.request)),
      machine_(std::make_unique<machine>(this)),
      arrived_(state.now),
      deadline_(work_.start_by)
{
}

generation::generation(core_state& state, pool_manager& pools, const resume_request& resume,
                       const continuation_token& token)
    : state_(state),
      pools_(pools),
      name_(token.generation),
      machine_(std::make_unique<machine>(this)),
      cursor_(resume.offset),
      attempt_(token.attempt),
      endpoint_(token.endpoint),
      address_(token.endpoint_address),
      delivered_(resume.offset),
      continues_earlier_(true),
      arrived_(state.now),
      deadline_(state.now + state.settings.requests.call_timeout)
{
    request_.request = resume.request;
    request_.customer = token.customer;
    request_.service = token.service;
    request_.work_class = token.work_class;
    request_.delivery_mode = delivery::stream;
}

void generation::begin()
{
    machine_->states.start();
    add_timer(timer_kind::check_silence, silence_check_interval, 0);
    if (!continues_earlier_)
    {
        permit_ = std::make_unique<permit_holder>(state_, pools_, work_, content_fingerprint_);
        add_timer(timer_kind::request_timeout, deadline_ - state_.now, 0);
        request_permit();
        return;
    }
    tracker_.attempt_ran();
    permit_grant existing;
    existing.endpoint = endpoint_;
    // Counts as a resume from the engine, so that connect_failed is handled as link_broken: the attempt was sent
    // earlier and may have run.
    engine_resumes_ = 1;
    machine_->states.process_event(generation_events::granted{existing});
}

void generation::request_permit()
{
    if (!permit_->request_permit())
    {
        on_permit_denied(make_error(error_kind::no_endpoint,
                                    "no endpoint of service " + request_.service.value() + " is available",
                                    state_.draw_retry_after(duration{1'000})));
    }
}

void generation::on_scheduler_changed()
{
    if (permit_)
    {
        permit_->on_scheduler_changed(cursor_.next(), {});
    }
}

void generation::on_permit_queued()
{
    if (permit_)
    {
        permit_->on_permit_queued();
    }
}

void generation::on_permit_granted(const permit_grant& grant, bool from_scheduler)
{
    if (permit_ && permit_->accept(grant, from_scheduler))
    {
        permit_from_scheduler_ = from_scheduler;
        machine_->states.process_event(generation_events::granted{grant});
    }
}

void generation::on_permit_denied(const error& cause)
{
    if (permit_)
    {
        permit_->on_permit_denied();
    }
    machine_->states.process_event(generation_events::denied{cause});
}

void generation::start_attempt(const permit_grant& grant)
{
    attempt_began_ = state_.now;
    last_progress_ = state_.now;
    if (continues_earlier_)
    {
        state_.attempts.emplace(attempt_, core_state::attempt_entry{attempt_owner::generation, request_.request});
        send_resume();
        return;
    }
    ++attempts_;
    engine_resumes_ = 0;
    const endpoint_entry* entry = state_.directory.find(grant.endpoint);
    endpoint_ = grant.endpoint;
    address_ = entry->address;
    memory_ = permit_->expected_memory();
    cursor_ = token_cursor{};
    buffered_tokens_.clear();
    attempt_ = state_.next_attempt(attempt_owner::generation, request_.request);
    state_.ledger.record_start(endpoint_, memory_, state_.now);
    state_.prefixes.add_unconfirmed(endpoint_, work_.prefixes);
    state_.quarantine.run_started(attempt_, content_fingerprint_, endpoint_);
    pools_.attempt_started(permit_->pool(), endpoint_, memory_);
    tracker_.attempt_sent();
    state_.emit(start_generation{attempt_, endpoint_, address_, request_.model, request_.prompt, work_.max_tokens,
                                 grant.priority, deadline_});
    state_.emit(
        record_sample{histogram::queue_ms, request_.work_class, request_.customer, (state_.now - arrived_).count()});
    if (permit_from_scheduler_)
    {
        add_timer(timer_kind::renew_permit, state_.settings.requests.permit_renewal,
                  static_cast<std::uint64_t>(attempts_));
    }
    else
    {
        renew_permit();
    }
}

void generation::on_started()
{
    tracker_.attempt_ran();
    // The engine holds the attempt, even if it sends no tokens for some time.
    engine_resumes_ = 0;
}

void generation::check_silence()
{
    const duration silence = state_.now - last_progress_;
    const bool streaming = cursor_.next() > 0 && state_.attempts.contains(attempt_) && !detached_;
    if (streaming && silence > stall_threshold)
    {
        state_.health.record_open_gap(endpoint_, silence, state_.now);
    }
    if (streaming && silence >= state_.settings.requests.silence_timeout)
    {
        on_attempt_failed(attempt_failure::link_broken);
    }
    if (!finished_)
    {
        add_timer(timer_kind::check_silence, silence_check_interval, 0);
    }
}

void generation::on_tokens(std::int64_t offset, token_list& batch)
{
    switch (cursor_.accept(offset, batch))
    {
    case token_arrival::next:
        machine_->states.process_event(generation_events::tokens_received{batch});
        break;
    case token_arrival::duplicate:
        break;
    case token_arrival::gap:
        // A resume reads the missing tokens from the engine.
        on_attempt_failed(attempt_failure::link_broken);
        break;
    }
}

void generation::deliver(token_list& batch)
{
    tracker_.attempt_ran();
    record_progress(batch.size());
    engine_resumes_ = 0;
    if (!streams())
    {
        buffered_tokens_.insert(buffered_tokens_.end(), std::make_move_iterator(batch.begin()),
                                std::make_move_iterator(batch.end()));
        return;
    }
    emit_stream_started();
    const std::int64_t offset = delivered_;
    delivered_ += static_cast<std::int64_t>(batch.size());
    if (!detached_)
    {
        state_.emit(stream_tokens{request_.request, offset, std::move(batch)});
    }
}

void generation::emit_stream_started()
{
    if (!start_emitted_ && !detached_)
    {
        start_emitted_ = true;
        state_.emit(stream_started{request_.request, name_, continuation()});
    }
}

void generation::record_progress(std::size_t count)
{
    const duration gap = state_.now - last_progress_;
    const bool first = cursor_.next() == static_cast<std::int64_t>(count) && !continues_earlier_;
    if (first)
    {
        state_.health.record_first_token(endpoint_, state_.now - attempt_began_, state_.now);
        state_.emit(record_sample{histogram::first_token_ms, request_.work_class, request_.customer,
                                  (state_.now - arrived_).count()});
    }
    else
    {
        state_.health.record_token_gap(endpoint_, gap, state_.now);
        state_.emit(record_sample{histogram::token_gap_ms, request_.work_class, request_.customer, gap.count()});
    }
    if (!first && gap > stall_threshold)
    {
        state_.emit(record_sample{histogram::stall_ms, request_.work_class, request_.customer, gap.count()});
    }
    state_.health.record_success(endpoint_);
    last_progress_ = state_.now;
}

void generation::on_ended(std::int64_t count)
{
    machine_->states.process_event(generation_events::end_received{count});
}

bool generation::is_complete(std::int64_t count)
{
    return count == cursor_.next();
}

void generation::on_attempt_failed(attempt_failure failure)
{
    if (engine_resume_scheduled_)
    {
        // Another failure of a link for which a resume is already scheduled.
        return;
    }
    const bool engine_fault = failure == attempt_failure::link_broken || failure == attempt_failure::connect_failed ||
                              failure == attempt_failure::endpoint_error;
    if (engine_fault)
    {
        state_.health.record_failure(endpoint_, state_.now);
    }
    if (failure == attempt_failure::leaving)
    {
        state_.mark_endpoint_leaving(endpoint_);
    }
    detect_engine_death(failure);
    // A resume that cannot connect is a broken link of the attempt; it does not prove that the attempt did not run.
    if (engine_resumes_ > 0 && failure == attempt_failure::connect_failed)
    {
        failure = attempt_failure::link_broken;
    }
    if (!continues_earlier_)
    {
        tracker_.attempt_failed(failure);
    }
    retry_conditions situation;
    situation.failure = failure;
    situation.delivery_mode = request_.delivery_mode;
    situation.delivered = streams() ? delivered_ : 0;
    situation.attempts = std::max(1, attempts_);
    situation.resumes = engine_resumes_;
    const bool no_deadline = streams() && delivered_ > 0;
    situation.time_left = no_deadline ? state_.settings.requests.resume_grace : deadline_ - state_.now;
    decision_ = state_.retry.decide(situation, state_.budget_of(request_.service), state_.random);
    machine_->states.process_event(generation_events::attempt_failed{failure});
}

void generation::detect_engine_death(attempt_failure failure)
{
    // An engine can restart before its next load report. A connection that is refused at once, or an engine that does
    // not hold the attempt, proves the restart; a connection that times out may be a network failure.
    const bool refused = failure == attempt_failure::connect_failed && state_.now - last_progress_ < max_refusal_time;
    if (engine_resumes_ > 0 && !continues_earlier_ && (refused || failure == attempt_failure::attempt_unknown))
    {
        state_.endpoint_died(endpoint_);
    }
}

bool generation::may_retry(attempt_failure /*failure*/)
{
    // A generation that continues an earlier one has no prompt to start another attempt with; it can only be resumed.
    const bool may_start_another = decision_.step == retry_step::restart && !continues_earlier_;
    return may_start_another && !detached_;
}

bool generation::may_resume(attempt_failure /*failure*/)
{
    return decision_.step == retry_step::resume;
}

bool generation::may_restart(attempt_failure /*failure*/)
{
    return decision_.step == retry_step::restart && !continues_earlier_;
}

void generation::schedule_retry(attempt_failure failure)
{
    if (!continues_earlier_)
    {
        cancel_at_engine();
        end_attempt(run_end_of(failure));
        return_permit(false);
    }
    add_timer(timer_kind::attempt_due, decision_.delay, ++step_);
}

void generation::schedule_resume()
{
    ++engine_resumes_;
    engine_resume_scheduled_ = true;
    add_timer(timer_kind::resume_due, decision_.delay, ++step_);
}

void generation::send_resume()
{
    engine_resume_scheduled_ = false;
    last_progress_ = state_.now;
    state_.emit(resume_generation{attempt_, endpoint_, address_, cursor_.next()});
}

void generation::on_timer(const core_timer& due)
{
    const bool current = due.step == step_;
    switch (due.kind)
    {
    case timer_kind::request_timeout:
        // The deadline of a stream applies to its first token only.
        if (!streams() || cursor_.next() == 0)
        {
            machine_->states.process_event(generation_events::timed_out{});
        }
        break;
    case timer_kind::permit_reply_due:
    case timer_kind::retry_due:
        if (permit_)
        {
            if (const auto local_grant = permit_->on_timer(due))
            {
                on_permit_granted(*local_grant, false);
            }
        }
        break;
    case timer_kind::attempt_due:
        if (current && continues_earlier_)
        {
            permit_grant existing;
            existing.endpoint = endpoint_;
            machine_->states.process_event(generation_events::granted{existing});
        }
        else if (current)
        {
            request_permit();
        }
        break;
    case timer_kind::resume_due:
        if (current)
        {
            machine_->states.process_event(generation_events::resume_due{});
        }
        break;
    case timer_kind::check_silence:
        check_silence();
        break;
    case timer_kind::renew_permit:
        if (permit_ && permit_->permit() && due.step == static_cast<std::uint64_t>(attempts_))
        {
            renew_permit();
        }
        break;
    case timer_kind::resume_grace_over:
        if (detached_ && !taken_over_)
        {
            cancel();
        }
        break;
    case timer_kind::end_check_due:
    case timer_kind::repeat_takeover:
    case timer_kind::hedge_due:
    case timer_kind::forward_order:
    case timer_kind::handover:
        break;
    }
}

void generation::renew_permit()
{
    permit_->renew(cursor_.next(), {});
    add_timer(timer_kind::renew_permit, state_.settings.requests.permit_renewal, static_cast<std::uint64_t>(attempts_));
}

void generation::cancel()
{
    machine_->states.process_event(generation_events::cancelled{});
}

void generation::on_caller_disconnected()
{
    // A caller can resume a stream only if it has received tokens, and with them the continuation token.
    if (!streams() || delivered_ == 0)
    {
        cancel();
        return;
    }
    detached_ = true;
    state_.emit(set_attempt_reading{attempt_, false});
    add_timer(timer_kind::resume_grace_over, state_.settings.requests.resume_grace, step_);
}

void generation::set_reading_enabled(bool enabled)
{
    if (state_.attempts.contains(attempt_))
    {
        state_.emit(set_attempt_reading{attempt_, enabled});
    }
}

void generation::add_timer(timer_kind kind, duration wait, std::uint64_t step)
{
    state_.timers.add(state_.now + wait, core_timer{kind, request_.request, step});
}

std::string generation::continuation() const
{
    continuation_token token;
    token.instance = state_.self().instance;
    token.started = state_.self().started;
    token.endpoint = endpoint_;
    token.endpoint_address = address_;
    token.service = request_.service;
    token.attempt = attempt_;
    token.generation = name_;
    token.customer = request_.customer;
    token.work_class = request_.work_class;
    token.highest_revision = state_.configuration.highest();
    token.expires = state_.now + state_.settings.requests.continuation_lifetime;
    token.delivery_mode = request_.delivery_mode;
    const auto text = state_.tokens.encode(token);
    return text.has_value() ? text.value() : std::string{};
}

} // namespace parsleyshift::detail
