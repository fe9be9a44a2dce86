#include "generation.hpp" // generation

#include <parsleyshift/streams/generation_machine.hpp> // generation_machine

#include <algorithm> // min, max
#include <utility>   // move

namespace parsleyshift::detail
{
namespace
{

/// Gaps between tokens above this count as stalls; the target for 95 in 100 gaps is 63 ms.
constexpr duration stall_threshold{500};
/// A refused connection is reported within this time; one that times out takes longer.
constexpr duration longest_refusal{500};
/// Time between two looks at a stream that may have gone silent.
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

generation::generation(core_state& state, pool_manager& pools, generation_request asked, work_description work,
                       limit_charge charge, fingerprint print)
    : state_(state),
      pools_(pools),
      asked_(std::move(asked)),
      work_(std::move(work)),
      charge_(std::move(charge)),
      print_(print),
      name_(generation_name(state.self(), asked_.request)),
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
      resumed_(true),
      arrived_(state.now),
      deadline_(state.now + state.settings.requests.call_timeout)
{
    asked_.request = resume.request;
    asked_.customer = token.customer;
    asked_.service = token.service;
    asked_.work_class = token.work_class;
    asked_.how = delivery::stream;
}

void generation::begin()
{
    machine_->states.start();
    add_timer(timer_kind::check_silence, silence_check_interval, 0);
    if (!resumed_)
    {
        permit_ = std::make_unique<permit_holder>(state_, pools_, work_, print_);
        add_timer(timer_kind::request_timeout, deadline_ - state_.now, 0);
        ask_for_permit();
        return;
    }
    tracker_.attempt_ran();
    permit_grant existing;
    existing.endpoint = endpoint_;
    // The attempt was sent before, so that a failure to reach its engine proves nothing.
    resumes_ = 1;
    machine_->states.process_event(generation_events::permitted{existing});
}

void generation::ask_for_permit()
{
    if (!permit_->ask())
    {
        denied(make_error(error_kind::no_endpoint, "no endpoint of service " + asked_.service.value() + " is known",
                          state_.come_back(duration{1'000})));
    }
}

void generation::scheduler_moved()
{
    if (permit_)
    {
        permit_->scheduler_moved(cursor_.next());
    }
}

void generation::queued()
{
    if (permit_)
    {
        permit_->queued();
    }
}

void generation::permitted(const permit_grant& grant, bool from_scheduler)
{
    if (permit_ && permit_->take(grant, from_scheduler))
    {
        permit_from_scheduler_ = from_scheduler;
        machine_->states.process_event(generation_events::permitted{grant});
    }
}

void generation::denied(const error& why)
{
    if (permit_)
    {
        permit_->denied();
    }
    machine_->states.process_event(generation_events::denied{why});
}

void generation::start_attempt(const permit_grant& grant)
{
    attempt_began_ = state_.now;
    last_progress_ = state_.now;
    if (resumed_)
    {
        state_.attempts.emplace(attempt_, core_state::attempt_entry{attempt_owner::generation, asked_.request});
        send_resume();
        return;
    }
    ++attempts_;
    resumes_ = 0;
    const endpoint_entry* entry = state_.directory.find(grant.endpoint);
    endpoint_ = grant.endpoint;
    address_ = entry->address;
    memory_ = permit_->expected_memory();
    cursor_ = token_cursor{};
    held_.clear();
    attempt_ = state_.next_attempt(attempt_owner::generation, asked_.request);
    state_.ledger.started(endpoint_, memory_, state_.now);
    state_.prefixes.expect(endpoint_, work_.prefixes);
    state_.quarantine.started(attempt_, print_, endpoint_);
    pools_.attempt_started(permit_->pool(), endpoint_, memory_);
    tracker_.attempt_sent();
    state_.emit(start_generation{attempt_, endpoint_, address_, asked_.model, asked_.prompt, work_.max_tokens,
                                 grant.priority, deadline_});
    state_.emit(observe{observed::queue_ms, asked_.work_class, asked_.customer, (state_.now - arrived_).count()});
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

void generation::started()
{
    tracker_.attempt_ran();
    // The engine holds the attempt, however long it has been silent.
    resumes_ = 0;
}

void generation::check_silence()
{
    const duration silent = state_.now - last_progress_;
    const bool streaming = cursor_.next() > 0 && state_.attempts.contains(attempt_) && !detached_;
    if (streaming && silent > stall_threshold)
    {
        state_.health.silent(endpoint_, silent, state_.now);
    }
    if (streaming && silent >= state_.settings.requests.silence_timeout)
    {
        attempt_lost(attempt_failure::link_broken);
    }
    if (!finished_)
    {
        add_timer(timer_kind::check_silence, silence_check_interval, 0);
    }
}

void generation::tokens_arrived(std::int64_t offset, token_list& batch)
{
    switch (cursor_.accept(offset, batch))
    {
    case token_arrival::next:
        machine_->states.process_event(generation_events::tokens{batch});
        break;
    case token_arrival::duplicate:
        break;
    case token_arrival::gap:
        // Reads the missing tokens again from the engine.
        attempt_lost(attempt_failure::link_broken);
        break;
    }
}

void generation::deliver(token_list& batch)
{
    tracker_.attempt_ran();
    note_progress(batch.size());
    resumes_ = 0;
    if (!streams())
    {
        held_.insert(held_.end(), std::make_move_iterator(batch.begin()), std::make_move_iterator(batch.end()));
        return;
    }
    announce_start();
    const std::int64_t offset = delivered_;
    delivered_ += static_cast<std::int64_t>(batch.size());
    if (!detached_)
    {
        state_.emit(stream_tokens{asked_.request, offset, std::move(batch)});
    }
}

void generation::announce_start()
{
    if (!announced_ && !detached_)
    {
        announced_ = true;
        state_.emit(stream_started{asked_.request, name_, continuation()});
    }
}

void generation::note_progress(std::size_t count)
{
    const duration taken = state_.now - last_progress_;
    const bool first = cursor_.next() == static_cast<std::int64_t>(count) && !resumed_;
    if (first)
    {
        state_.health.first_token(endpoint_, state_.now - attempt_began_, state_.now);
        state_.emit(
            observe{observed::first_token_ms, asked_.work_class, asked_.customer, (state_.now - arrived_).count()});
    }
    else
    {
        state_.health.token_gap(endpoint_, taken, state_.now);
        state_.emit(observe{observed::token_gap_ms, asked_.work_class, asked_.customer, taken.count()});
    }
    if (!first && taken > stall_threshold)
    {
        state_.emit(observe{observed::stall_ms, asked_.work_class, asked_.customer, taken.count()});
    }
    state_.health.succeeded(endpoint_);
    last_progress_ = state_.now;
}

void generation::ended(std::int64_t count)
{
    machine_->states.process_event(generation_events::ended{count});
}

bool generation::is_complete(std::int64_t count)
{
    return count == cursor_.next();
}

void generation::attempt_lost(attempt_failure failure)
{
    if (resume_scheduled_)
    {
        // More news of the link that is already given up.
        return;
    }
    const bool engine_fault = failure == attempt_failure::link_broken || failure == attempt_failure::connect_failed ||
                              failure == attempt_failure::endpoint_error;
    if (engine_fault)
    {
        state_.health.failed(endpoint_, state_.now);
    }
    if (failure == attempt_failure::leaving)
    {
        state_.endpoint_leaves(endpoint_);
    }
    note_death(failure);
    // A resume that finds no engine is a broken link of the attempt, not a proof that it did not run.
    if (resumes_ > 0 && failure == attempt_failure::connect_failed)
    {
        failure = attempt_failure::link_broken;
    }
    if (!resumed_)
    {
        tracker_.attempt_failed(failure);
    }
    retry_situation situation;
    situation.failure = failure;
    situation.how = asked_.how;
    situation.delivered = streams() ? delivered_ : 0;
    situation.attempts = std::max(1, attempts_);
    situation.resumes = resumes_;
    const bool no_deadline = streams() && delivered_ > 0;
    situation.time_left = no_deadline ? state_.settings.requests.resume_grace : deadline_ - state_.now;
    decision_ = state_.retry.decide(situation, state_.budget_of(asked_.service), state_.random);
    machine_->states.process_event(generation_events::attempt_lost{failure});
}

void generation::note_death(attempt_failure failure)
{
    // An engine can die and be back before its next load report. A connection that is refused at once, or an engine
    // that has forgotten the attempt, shows the death; a connection that times out may be a cut link.
    const bool refused = failure == attempt_failure::connect_failed && state_.now - last_progress_ < longest_refusal;
    if (resumes_ > 0 && !resumed_ && (refused || failure == attempt_failure::attempt_unknown))
    {
        state_.endpoint_died(endpoint_);
    }
}

bool generation::may_try_again(attempt_failure /*failure*/)
{
    // What a caller resumed elsewhere has no other attempt: it can only be read again.
    const bool may_start_another = decision_.step == retry_step::restart && !resumed_;
    return may_start_another && !detached_;
}

bool generation::may_resume(attempt_failure /*failure*/)
{
    return decision_.step == retry_step::resume;
}

bool generation::may_restart(attempt_failure /*failure*/)
{
    return decision_.step == retry_step::restart && !resumed_;
}

void generation::ask_again(attempt_failure failure)
{
    if (!resumed_)
    {
        cancel_at_engine();
        end_attempt(end_of(failure));
        return_permit(false);
    }
    add_timer(timer_kind::next_attempt, decision_.delay, ++step_);
}

void generation::schedule_resume()
{
    ++resumes_;
    resume_scheduled_ = true;
    add_timer(timer_kind::resume_due, decision_.delay, ++step_);
}

void generation::send_resume()
{
    resume_scheduled_ = false;
    last_progress_ = state_.now;
    state_.emit(resume_generation{attempt_, endpoint_, address_, cursor_.next()});
}

void generation::timer(const core_timer& due)
{
    const bool current = due.step == step_;
    switch (due.what)
    {
    case timer_kind::request_timeout:
        // A stream that has begun has met its deadline.
        if (!streams() || cursor_.next() == 0)
        {
            machine_->states.process_event(generation_events::timed_out{});
        }
        break;
    case timer_kind::permit_wait:
    case timer_kind::try_again:
        if (permit_)
        {
            if (const auto own = permit_->timer(due))
            {
                permitted(*own, false);
            }
        }
        break;
    case timer_kind::next_attempt:
        if (current && resumed_)
        {
            permit_grant existing;
            existing.endpoint = endpoint_;
            machine_->states.process_event(generation_events::permitted{existing});
        }
        else if (current)
        {
            ask_for_permit();
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
    case timer_kind::repeat_takeover:
    case timer_kind::hedge_due:
    case timer_kind::forward_order:
    case timer_kind::handover:
        break;
    }
}

void generation::renew_permit()
{
    permit_->renew(cursor_.next(), duration{});
    add_timer(timer_kind::renew_permit, state_.settings.requests.permit_renewal, static_cast<std::uint64_t>(attempts_));
}

void generation::cancel()
{
    machine_->states.process_event(generation_events::abandoned{});
}

void generation::caller_gone()
{
    // Only a stream that has begun can be resumed by its caller.
    if (!streams() || delivered_ == 0)
    {
        cancel();
        return;
    }
    detached_ = true;
    state_.emit(set_attempt_reading{attempt_, false});
    add_timer(timer_kind::resume_grace_over, state_.settings.requests.resume_grace, step_);
}

void generation::caller_reading(bool enabled)
{
    if (state_.attempts.contains(attempt_))
    {
        state_.emit(set_attempt_reading{attempt_, enabled});
    }
}

void generation::add_timer(timer_kind what, duration wait, std::uint64_t step)
{
    state_.timers.add(state_.now + wait, core_timer{what, asked_.request, step});
}

std::string generation::continuation() const
{
    continuation_token token;
    token.instance = state_.self().instance;
    token.started = state_.self().started;
    token.endpoint = endpoint_;
    token.endpoint_address = address_;
    token.service = asked_.service;
    token.attempt = attempt_;
    token.generation = name_;
    token.customer = asked_.customer;
    token.work_class = asked_.work_class;
    token.highest = state_.configuration.highest();
    token.expires = state_.now + state_.settings.requests.continuation_lifetime;
    token.how = asked_.how;
    const auto text = state_.tokens.encode(token);
    return text.has_value() ? text.value() : std::string{};
}

} // namespace parsleyshift::detail
