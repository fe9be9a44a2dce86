// The ways in which a generation ends: messages to the caller and the engine, return of the permit, settling of the
// limit.

#include "generation.hpp" // generation

#include <string>  // string, to_string
#include <utility> // move

namespace parsleyshift::detail
{

void generation::complete()
{
    const std::int64_t count = cursor_.next();
    end_attempt(run_end::completed);
    state_.budget_of(request_.service).record_success();
    const bool scheduled_here =
        permit_ && permit_->permit() && pools_.scheduler_instance_of(permit_->pool()) == state_.self().instance;
    if (!scheduled_here)
    {
        // A scheduler on this instance records the length when the permit is returned.
        state_.lengths.record(request_.work_class, request_.customer, count, state_.now);
    }
    return_permit(true);
    state_.emit(record_sample{histogram::length_tokens, request_.work_class, request_.customer, count});
    state_.emit(
        record_sample{histogram::answer_ms, request_.work_class, request_.customer, (state_.now - arrived_).count()});
    if (!streams())
    {
        state_.emit(whole_answer{request_.request, name_, std::move(buffered_tokens_)});
    }
    else if (!detached_)
    {
        emit_stream_started();
        state_.emit(stream_ended{request_.request, count});
    }
    finish(outcome::completed, std::nullopt);
}

void generation::return_permit(bool completed)
{
    if (permit_)
    {
        permit_->release(cursor_.next(), completed);
    }
}

void generation::end_attempt(run_end end)
{
    if (continues_earlier_)
    {
        state_.attempts.erase(attempt_);
        return;
    }
    state_.record_attempt_end(attempt_, endpoint_, memory_, end);
    pools_.attempt_ended(permit_->pool(), endpoint_, memory_);
}

void generation::cancel_at_engine()
{
    state_.emit(cancel_attempt{attempt_, endpoint_, address_});
}

void generation::reject(const error& cause)
{
    reject_and_finish(tracker_.without_answer(), cause);
}

void generation::finish_timed_out()
{
    const bool at_engine = state_.attempts.contains(attempt_);
    if (at_engine)
    {
        cancel_at_engine();
        end_attempt(run_end::stopped);
    }
    return_permit(false);
    const char* message =
        at_engine ? "the engine did not answer within the timeout" : "no endpoint had room within the timeout";
    reject_and_finish(tracker_.without_answer(),
                      make_error(error_kind::deadline_unreachable, message, state_.draw_retry_after(duration{1'000})));
}

void generation::fail(attempt_failure failure)
{
    if (continues_earlier_ || failure == attempt_failure::link_broken)
    {
        cancel_at_engine();
    }
    end_attempt(run_end_of(failure));
    return_permit(false);
    const auto kind = decision_.budget_exhausted                ? error_kind::retry_budget_spent
                      : failure == attempt_failure::link_broken ? error_kind::link_broken
                                                                : error_kind::endpoint_failed;
    reject_and_finish(tracker_.without_answer(),
                      make_error(kind, "endpoint " + endpoint_.value() + ": " + std::string{name_of(failure)}));
}

void generation::fail_incomplete(std::int64_t count)
{
    end_attempt(run_end::stopped);
    return_permit(false);
    tracker_.attempt_ran();
    reject_and_finish(tracker_.without_answer(),
                      make_error(error_kind::incomplete_answer, "received " + std::to_string(cursor_.next()) + " of " +
                                                                    std::to_string(count) + " tokens from the engine"));
}

void generation::finish_cancelled()
{
    if (state_.attempts.contains(attempt_))
    {
        cancel_at_engine();
        end_attempt(run_end::stopped);
    }
    return_permit(false);
    reject_and_finish(tracker_.without_answer(), make_error(error_kind::cancelled, "cancelled by the caller"));
}

void generation::on_taken_over()
{
    if (!detached_)
    {
        state_.reject(request_.request, outcome::failed,
                      make_error(error_kind::link_broken, "the stream was resumed on another connection"), delivered_);
    }
    taken_over_ = true;
    end_attempt(run_end::stopped);
    return_permit(false);
    // The stream continues on another connection; only part of it ran here.
    finish(outcome::failed, make_error(error_kind::link_broken, "the stream was resumed on another connection"));
}

void generation::hand_over()
{
    if (!streams() || delivered_ == 0 || detached_)
    {
        return;
    }
    state_.reject(
        request_.request, outcome::failed,
        make_error(error_kind::shutting_down,
                   "the instance is stopping; resume the stream at another instance with the continuation token"),
        delivered_);
    detached_ = true;
    on_taken_over();
}

void generation::reject_and_finish(outcome result, error cause)
{
    if (!detached_)
    {
        state_.reject(request_.request, result, cause, delivered_);
    }
    finish(result, std::move(cause));
}

void generation::finish(outcome result, std::optional<error> cause)
{
    finished_ = true;
    if (!continues_earlier_)
    {
        // Attempts that ran are charged even if the generation failed; a generation that did not run is free.
        const bool ran = result == outcome::completed || result == outcome::failed;
        state_.limits.settle(charge_, ran ? work_.prompt_tokens + cursor_.next() : 0, state_.now);
    }
    request_finished finished;
    finished.work_class = request_.work_class;
    finished.customer = request_.customer;
    finished.what = result;
    if (cause)
    {
        finished.why = cause->kind;
    }
    state_.emit(finished);
}

} // namespace parsleyshift::detail
