#include "forward.hpp" // forward

#include "call_manager.hpp" // choose_plain_endpoint

#include <parsleyshift/core/hash.hpp> // mix_hash, stable_hash

#include <algorithm> // max, min
#include <utility>   // move

namespace parsleyshift::detail
{
namespace
{

/// Gaps between events from which the usual one is told: a third of a second of a stream, in which an engine makes at
/// least one step without a prompt beside it.
constexpr int least_gaps = 12;
/// Longest wait that a refused caller is asked for when nothing better is known.
constexpr duration usual_come_back{1'000};

fingerprint fingerprint_of(const forward_request& asked, const customer_id& customer)
{
    return fingerprint{mix_hash(asked.content, stable_hash(customer.value()))};
}

} // namespace

forward::forward(core_state& state, pool_manager& pools, const forward_request& asked, admission admitted)
    : state_(state),
      pools_(pools),
      asked_(asked),
      admitted_(std::move(admitted)),
      print_(fingerprint_of(asked_, admitted_.customer)),
      arrived_(state.now),
      deadline_(state.now + std::min(asked_.timeout.value_or(admitted_.where.timeout), admitted_.where.timeout)),
      attempt_began_(state.now),
      last_progress_(state.now)
{
}

void forward::begin()
{
    if (state_.quarantine.verdict(print_, state_.now) == run_verdict::quarantined)
    {
        give_up(state_.quarantine.rejection(print_, state_.now));
        return;
    }
    add_timer(timer_kind::request_timeout, deadline_ - state_.now, 0);
    if (is_stream())
    {
        add_timer(timer_kind::check_silence, state_.settings.forwarding.silence_check, 0);
    }
    if (admitted_.engine)
    {
        permit_ = std::make_unique<permit_holder>(state_, pools_, describe_work(), print_);
    }
    find_endpoint();
}

duration forward::abandon_time() const
{
    const auto& settings = state_.settings.forwarding;
    return std::max(settings.abandon_after, admitted_.where.objective * settings.abandon_objectives);
}

work_description forward::describe_work() const
{
    const double share = state_.settings.forwarding.start_share;
    const auto start_within = duration{static_cast<duration::rep>(static_cast<double>(abandon_time().count()) * share)};
    work_description work;
    work.request = asked_.request;
    work.customer = admitted_.customer;
    work.service = admitted_.service;
    work.model = asked_.model;
    work.work_class = admitted_.work_class;
    work.prompt_tokens = asked_.prompt_tokens;
    work.max_tokens = asked_.max_tokens;
    work.expected_tokens = asked_.expected_tokens;
    work.prefixes = asked_.prefixes;
    work.start_by = std::min(deadline_, arrived_ + start_within);
    return work;
}

std::int64_t forward::tokens() const
{
    return admitted_.engine ? events_ * admitted_.engine->tokens_per_event : 0;
}

void forward::find_endpoint()
{
    if (permit_)
    {
        if (!permit_->ask())
        {
            give_up(make_error(error_kind::no_endpoint, "no engine of " + admitted_.service.value() + " is known",
                               state_.come_back(usual_come_back)));
        }
        return;
    }
    const auto chosen = choose_plain_endpoint(state_, admitted_.service, tried_);
    if (!chosen)
    {
        give_up(make_error(error_kind::no_endpoint, "no endpoint of " + admitted_.service.value() + " is known",
                           state_.come_back(usual_come_back)));
        return;
    }
    if (!state_.quarantine.may_run(print_, *chosen, state_.now))
    {
        // A suspect waits until it would run alone; the deadline bounds the wait.
        add_timer(timer_kind::next_attempt, state_.settings.requests.local_retry, ++step_);
        return;
    }
    start_attempt(*chosen);
}

void forward::permitted(const permit_grant& grant, bool from_scheduler)
{
    if (can_move_to(grant))
    {
        begin_move(grant);
        return;
    }
    if (permit_ && permit_->take(grant, from_scheduler))
    {
        start_attempt(grant.endpoint);
        add_timer(timer_kind::renew_permit, from_scheduler ? state_.settings.requests.permit_renewal : duration{0},
                  static_cast<std::uint64_t>(attempts_));
    }
}

void forward::denied(const error& why)
{
    if (permit_ && permit_->waiting())
    {
        permit_->denied();
        give_up(why);
    }
}

void forward::queued()
{
    if (permit_)
    {
        permit_->queued();
    }
}

void forward::start_attempt(const endpoint_id& endpoint)
{
    const endpoint_entry* entry = state_.directory.find(endpoint);
    ++attempts_;
    ++runs_;
    endpoint_ = endpoint;
    address_ = entry->address;
    tried_.push_back(endpoint);
    send_attempt(std::nullopt);
    state_.emit(observe{observed::queue_ms, admitted_.work_class, admitted_.customer, (state_.now - arrived_).count()});
}

void forward::send_attempt(std::optional<run_continuation> continuation)
{
    attempt_ = state_.next_attempt(attempt_owner::forward, asked_.request);
    attempt_began_ = state_.now;
    last_progress_ = state_.now;
    memory_ = permit_ ? permit_->expected_memory() : 0;
    tracker_.attempt_sent();
    state_.ledger.started(endpoint_, memory_, state_.now);
    state_.quarantine.started(attempt_, print_, endpoint_);
    if (permit_)
    {
        pools_.attempt_started(permit_->pool(), endpoint_, memory_);
    }
    start_forward start;
    start.attempt = attempt_;
    start.request = asked_.request;
    start.endpoint = endpoint_;
    start.address = address_;
    start.customer = admitted_.customer;
    start.priority = admitted_.priority;
    start.kind = admitted_.where.kind;
    // A run that goes on elsewhere was sent while its key was valid.
    start.not_after = continuation ? deadline_ : std::min(deadline_, admitted_.key_valid_until);
    start.deadline = deadline_;
    start.continuation = std::move(continuation);
    state_.emit(std::move(start));
    state_.log(log_event::request_sent, "id=" + asked_.caller_id + " endpoint=" + endpoint_.value() + " attempt=" +
                                            std::to_string(attempts_) + " moves=" + std::to_string(moves_) +
                                            " waited_ms=" + std::to_string((state_.now - arrived_).count()));
}

void forward::end_attempt(run_end how, bool completed)
{
    if (attempt_ == attempt_id{})
    {
        return;
    }
    state_.attempt_over(attempt_, endpoint_, memory_, how);
    end_move();
    if (permit_)
    {
        pools_.attempt_ended(permit_->pool(), endpoint_, memory_);
        permit_->give_back(tokens(), completed);
    }
    attempt_ = attempt_id{};
}

bool forward::can_move_to(const permit_grant& grant) const
{
    const endpoint_entry* entry = state_.directory.find(grant.endpoint);
    const bool has_run = permit_ && permit_->permit() && attempt_ != attempt_id{};
    const bool is_other = has_run && grant.endpoint != endpoint_ && permit_->permit()->permit != grant.permit;
    return is_other && !move_ && admitted_.engine->moves_runs && entry != nullptr && !entry->leaving;
}

void forward::begin_move(const permit_grant& grant)
{
    move_.emplace();
    move_->to = grant;
    move_->source = address_;
    move_->destination = state_.directory.find(grant.endpoint)->address;
    state_.log(log_event::run_moving, "id=" + asked_.caller_id + " from=" + endpoint_.value() +
                                          " to=" + grant.endpoint.value() + " events=" + std::to_string(events_));
    state_.emit(copy_run{attempt_, asked_.request, move_->source, move_->destination, false});
}

void forward::end_move()
{
    if (move_)
    {
        permit_->decline(move_->to);
        move_.reset();
    }
}

void forward::copied(const run_copied& copy)
{
    if (!move_)
    {
        return;
    }
    if (copy.result == copy_result::complete && !move_->stopping)
    {
        move_->stopping = true;
        state_.emit(copy_run{attempt_, asked_.request, move_->source, move_->destination, true});
        return;
    }
    const bool has_stopped = copy.result == copy_result::complete || copy.result == copy_result::stopped_in_place;
    if (!has_stopped)
    {
        state_.log(log_event::run_moving, "id=" + asked_.caller_id + " stays at " + endpoint_.value() + ": " +
                                              std::string{name_of(copy.result)});
        const bool lost = move_->stream_ended;
        end_move();
        if (lost)
        {
            attempt_failed(attempt_failure::link_broken, "the stream ended while its run moved");
        }
        return;
    }
    move_->stopped = true;
    move_->in_place = copy.result == copy_result::stopped_in_place;
    move_->handle = copy.handle;
    move_->events = copy.events;
    add_timer(timer_kind::resume_due, state_.settings.forwarding.last_events_wait, static_cast<std::uint64_t>(moves_));
    go_on_if_stopped();
}

void forward::go_on_if_stopped()
{
    // The events that the run has made before it stopped may still be on their way.
    if (move_ && move_->stopped && (move_->stream_ended || events_ >= move_->events))
    {
        go_on();
    }
}

void forward::go_on()
{
    const run_move moved = std::move(*move_);
    move_.reset();
    ++moves_;
    tracker_.attempt_ran();
    state_.emit(drop_forward{attempt_});
    state_.attempt_over(attempt_, endpoint_, memory_, run_end::stopped);
    pools_.attempt_ended(permit_->pool(), endpoint_, memory_);
    if (moved.in_place)
    {
        permit_->decline(moved.to);
    }
    else
    {
        permit_->replace(moved.to, tokens());
        endpoint_ = moved.to.endpoint;
        address_ = moved.destination;
        tried_.push_back(endpoint_);
    }
    gaps_seen_ = 0;
    send_attempt(run_continuation{moved.source, moved.handle, {}});
}

void forward::answered(const forward_answered& answer)
{
    tracker_.attempt_ran();
    if (delivered_)
    {
        // The stream of a run that goes on here.
        last_progress_ = state_.now;
        if (answer.sign == answer_sign::success && !answer.whole)
        {
            state_.emit(deliver_forward{asked_.request, attempt_});
            return;
        }
        give_up(
            make_error(error_kind::incomplete_answer, "endpoint " + endpoint_.value() + " did not go on with a run"));
        return;
    }
    first_answer_ = state_.now - attempt_began_;
    last_progress_ = state_.now;
    state_.health.first_token(endpoint_, first_answer_, state_.now);
    const bool may_repeat = answer.sign == answer_sign::fault && admitted_.where.kind == route_kind::idempotent &&
                            runs_ < admitted_.where.most_attempts;
    if (answer.sign == answer_sign::fault)
    {
        state_.health.failed(endpoint_, state_.now);
    }
    else
    {
        state_.health.succeeded(endpoint_);
    }
    if (may_repeat && state_.budget_of(admitted_.service).try_spend())
    {
        state_.emit(drop_forward{attempt_});
        end_attempt(run_end::stopped, false);
        find_endpoint();
        return;
    }
    delivered_ = true;
    state_.emit(deliver_forward{asked_.request, attempt_});
    state_.emit(
        observe{observed::first_token_ms, admitted_.work_class, admitted_.customer, (state_.now - arrived_).count()});
    if (answer.whole)
    {
        end_attempt(answer.sign == answer_sign::success ? run_end::completed : run_end::stopped, false);
        succeed();
    }
}

duration forward::usual_gap() const
{
    return gaps_seen_ < least_gaps ? duration{} : duration{static_cast<duration::rep>(usual_gap_)};
}

void forward::note_gap(duration gap)
{
    // Begins with the shortest gap and follows the lower fifth: the others have a prompt read in between, or wait for
    // the network.
    constexpr double share = 0.2;
    const auto measured = static_cast<double>(gap.count());
    if (gaps_seen_ < least_gaps)
    {
        usual_gap_ = gaps_seen_ == 0 ? measured : std::min(usual_gap_, measured);
    }
    else
    {
        usual_gap_ += measured < usual_gap_ ? share - 1.0 : share;
    }
    if (++gaps_seen_ == least_gaps && permit_)
    {
        // The scheduler hears at once of an engine that is slow.
        permit_->renew(tokens(), usual_gap());
    }
}

void forward::progressed(std::int64_t events)
{
    if (events_ > 0)
    {
        const duration gap = state_.now - last_event_;
        if (events == events_ + 1)
        {
            note_gap(gap);
        }
        longest_gap_ = std::max(longest_gap_, gap);
        state_.health.token_gap(endpoint_, gap, state_.now);
        state_.emit(observe{observed::token_gap_ms, admitted_.work_class, admitted_.customer, gap.count()});
    }
    events_ = events;
    last_event_ = state_.now;
    last_progress_ = state_.now;
    go_on_if_stopped();
}

void forward::completed(std::int64_t events)
{
    events_ = events;
    const bool scheduled_here = permit_ && pools_.host_of(permit_->pool()) == state_.self().instance;
    if (!scheduled_here)
    {
        // A scheduler on this instance learns the length from the returned permit.
        state_.lengths.record(admitted_.work_class, admitted_.customer, tokens(), state_.now);
    }
    state_.emit(observe{observed::length_tokens, admitted_.work_class, admitted_.customer, tokens()});
    end_attempt(run_end::completed, true);
    succeed();
}

void forward::succeed()
{
    state_.budget_of(admitted_.service).succeeded();
    state_.emit(
        observe{observed::answer_ms, admitted_.work_class, admitted_.customer, (state_.now - arrived_).count()});
    finish(outcome::completed, std::nullopt);
}

void forward::attempt_failed(attempt_failure failure, const std::string& message)
{
    if (move_ && move_->stopping && failure == attempt_failure::link_broken)
    {
        // A run that stops to move ends its stream without an end mark.
        move_->stream_ended = true;
        go_on_if_stopped();
        return;
    }
    tracker_.attempt_failed(failure);
    runs_ -= proves_not_run(failure) ? 1 : 0;
    // The end of an engine that was taken away is no sign of a request that kills engines.
    const endpoint_entry* entry = state_.directory.find(endpoint_);
    const bool has_left = entry == nullptr || entry->leaving;
    end_attempt(has_left ? run_end::stopped : end_of(failure), false);
    if (failure == attempt_failure::leaving)
    {
        state_.endpoint_leaves(endpoint_);
        pools_.endpoint_leaving(endpoint_);
    }
    else if (failure != attempt_failure::not_started && failure != attempt_failure::deadline_passed)
    {
        state_.health.failed(endpoint_, state_.now);
    }
    if (delivered_)
    {
        give_up(make_error(error_kind::incomplete_answer, "endpoint " + endpoint_.value() + ": " + message));
        return;
    }
    if (failure == attempt_failure::deadline_passed && state_.now < deadline_)
    {
        give_up(make_error(error_kind::configuration_missing,
                           "the configuration is too old to tell whether the key holds",
                           state_.come_back(usual_come_back)));
        return;
    }
    try_again(failure);
}

void forward::try_again(attempt_failure failure)
{
    retry_situation situation;
    situation.failure = failure;
    situation.kind = service_kind::plain;
    situation.idempotent = admitted_.where.kind == route_kind::idempotent;
    situation.attempts = attempts_;
    situation.time_left = deadline_ - state_.now;
    // A run that moved has run, whatever the engine that was to go on with it proves.
    const bool may_run = moves_ == 0 && runs_ < std::max(1, admitted_.where.most_attempts);
    retry_decision decision;
    if (may_run)
    {
        decision = state_.retry.decide(situation, state_.budget_of(admitted_.service), state_.random);
    }
    if (decision.step == retry_step::restart)
    {
        add_timer(timer_kind::next_attempt, decision.delay, ++step_);
        return;
    }
    const auto kind = decision.budget_spent ? error_kind::retry_budget_spent : error_kind::endpoint_failed;
    give_up(make_error(kind, "endpoint " + endpoint_.value() + ": " + std::string{name_of(failure)},
                       state_.come_back(usual_come_back)));
}

void forward::timer(const core_timer& due)
{
    switch (due.what)
    {
    case timer_kind::request_timeout:
        give_up(make_error(attempt_ == attempt_id{} ? error_kind::deadline_unreachable : error_kind::deadline_passed,
                           "no answer in time", state_.come_back(usual_come_back)));
        break;
    case timer_kind::check_silence:
        check_silence();
        break;
    case timer_kind::renew_permit:
        if (permit_ && attempt_ != attempt_id{} && due.step == static_cast<std::uint64_t>(attempts_))
        {
            permit_->renew(tokens(), usual_gap());
            add_timer(timer_kind::renew_permit, state_.settings.requests.permit_renewal, due.step);
        }
        break;
    case timer_kind::resume_due:
        if (move_ && move_->stopped && due.step == static_cast<std::uint64_t>(moves_))
        {
            go_on();
        }
        break;
    case timer_kind::next_attempt:
        if (due.step == step_ && attempt_ == attempt_id{})
        {
            find_endpoint();
        }
        break;
    case timer_kind::try_again:
    case timer_kind::permit_wait:
        if (permit_)
        {
            if (const auto own = permit_->timer(due))
            {
                permitted(*own, false);
            }
        }
        break;
    default:
        break;
    }
}

void forward::check_silence()
{
    const duration silent = state_.now - last_progress_;
    if (attempt_ != attempt_id{} && silent > abandon_time())
    {
        // The caller has given up or is about to; the link may be dead without a sign.
        state_.health.failed(endpoint_, state_.now);
        give_up(make_error(error_kind::link_broken, "endpoint " + endpoint_.value() + " has been silent for " +
                                                        std::to_string(silent.count()) + " ms"));
        return;
    }
    if (delivered_ && silent > admitted_.where.gap_objective)
    {
        state_.health.silent(endpoint_, silent, state_.now);
    }
    add_timer(timer_kind::check_silence, state_.settings.forwarding.silence_check, 0);
}

void forward::caller_gone()
{
    if (attempt_ != attempt_id{})
    {
        state_.emit(drop_forward{attempt_});
    }
    const outcome what = tracker_.without_answer();
    end_attempt(run_end::stopped, false);
    finish(what, make_error(error_kind::cancelled, "the caller disconnected"));
}

void forward::confirm_key(time_point valid_until)
{
    admitted_.key_valid_until = valid_until;
}

void forward::scheduler_moved()
{
    if (permit_)
    {
        permit_->scheduler_moved(tokens());
    }
}

void forward::give_up(error why)
{
    const outcome what = tracker_.without_answer();
    if (attempt_ != attempt_id{})
    {
        state_.emit(drop_forward{attempt_});
        end_attempt(run_end::stopped, false);
    }
    state_.reject(asked_.request, what, why, events_);
    finish(what, why);
}

void forward::finish(outcome what, const std::optional<error>& why)
{
    if (permit_)
    {
        permit_->give_back(tokens(), false);
    }
    request_finished ended;
    ended.work_class = admitted_.work_class;
    ended.customer = admitted_.customer;
    ended.what = what;
    if (why)
    {
        ended.why = why->kind;
    }
    state_.emit(ended);
    log_end(what, why);
    finished_ = true;
}

void forward::log_end(outcome what, const std::optional<error>& why)
{
    std::string line =
        "id=" + asked_.caller_id + " route=" + admitted_.where.name + " service=" + admitted_.service.value() +
        " customer=" + admitted_.customer.value() + " config=" + std::to_string(admitted_.version) +
        " config_age_ms=" + std::to_string(admitted_.configuration_age.count()) + " endpoint=" + endpoint_.value() +
        " attempts=" + std::to_string(attempts_) + " moves=" + std::to_string(moves_) +
        " first_ms=" + std::to_string(first_answer_.count()) + " events=" + std::to_string(events_) +
        " longest_gap_ms=" + std::to_string(longest_gap_.count()) +
        " took_ms=" + std::to_string((state_.now - arrived_).count()) + " outcome=";
    line += name_of(what);
    if (why)
    {
        line += " why=";
        line += name_of(why->kind);
        line += " detail=" + why->detail;
        if (why->retry_after)
        {
            line += " retry_after_ms=" + std::to_string(why->retry_after->count());
        }
    }
    state_.log(log_event::request_ended, std::move(line));
}

void forward::add_timer(timer_kind what, duration wait, std::uint64_t step)
{
    state_.timers.add(state_.now + wait, core_timer{what, asked_.request, step});
}

} // namespace parsleyshift::detail
