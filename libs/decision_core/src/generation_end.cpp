// The ends of a generation: what its caller, its engine, its permit and its limit are told.

#include "generation.hpp" // generation

#include <string>  // string, to_string
#include <utility> // move

namespace parsleyshift::detail
{

void generation::complete()
{
    const std::int64_t count = cursor_.next();
    end_attempt(run_end::completed);
    state_.budget_of(asked_.service).succeeded();
    const bool scheduled_here =
        permit_ && permit_->permit() && pools_.host_of(permit_->pool()) == state_.self().instance;
    if (!scheduled_here)
    {
        // A scheduler on this instance learns the length from the returned permit.
        state_.lengths.record(asked_.work_class, asked_.customer, count, state_.now);
    }
    return_permit(true);
    state_.emit(observe{observed::length_tokens, asked_.work_class, asked_.customer, count});
    state_.emit(observe{observed::answer_ms, asked_.work_class, asked_.customer, (state_.now - arrived_).count()});
    if (!streams())
    {
        state_.emit(whole_answer{asked_.request, name_, std::move(held_)});
    }
    else if (!detached_)
    {
        announce_start();
        state_.emit(stream_ended{asked_.request, count});
    }
    finish(outcome::completed, std::nullopt);
}

void generation::return_permit(bool completed)
{
    if (permit_)
    {
        permit_->give_back(cursor_.next(), completed);
    }
}

void generation::end_attempt(run_end how)
{
    if (resumed_)
    {
        state_.attempts.erase(attempt_);
        return;
    }
    state_.attempt_over(attempt_, endpoint_, memory_, how);
    pools_.attempt_ended(permit_->pool(), endpoint_, memory_);
}

void generation::cancel_at_engine()
{
    state_.emit(cancel_attempt{attempt_, endpoint_, address_});
}

void generation::reject(const error& why)
{
    give_up(tracker_.without_answer(), why);
}

void generation::reject_late()
{
    const bool at_engine = state_.attempts.contains(attempt_);
    if (at_engine)
    {
        cancel_at_engine();
        end_attempt(run_end::stopped);
    }
    return_permit(false);
    const char* what = at_engine ? "the engine did not answer in time" : "no endpoint had room in time";
    give_up(tracker_.without_answer(),
            make_error(error_kind::deadline_unreachable, what, state_.come_back(duration{1'000})));
}

void generation::fail(attempt_failure failure)
{
    if (resumed_ || failure == attempt_failure::link_broken)
    {
        cancel_at_engine();
    }
    end_attempt(end_of(failure));
    return_permit(false);
    const auto kind = decision_.budget_spent                    ? error_kind::retry_budget_spent
                      : failure == attempt_failure::link_broken ? error_kind::link_broken
                                                                : error_kind::endpoint_failed;
    give_up(tracker_.without_answer(),
            make_error(kind, "endpoint " + endpoint_.value() + ": " + std::string{name_of(failure)}));
}

void generation::fail_incomplete(std::int64_t count)
{
    end_attempt(run_end::stopped);
    return_permit(false);
    tracker_.attempt_ran();
    give_up(tracker_.without_answer(),
            make_error(error_kind::incomplete_answer,
                       "received " + std::to_string(cursor_.next()) + " of " + std::to_string(count) + " tokens"));
}

void generation::abandon()
{
    if (state_.attempts.contains(attempt_))
    {
        cancel_at_engine();
        end_attempt(run_end::stopped);
    }
    return_permit(false);
    give_up(tracker_.without_answer(), make_error(error_kind::cancelled, "cancelled by the caller"));
}

void generation::taken_over()
{
    if (!detached_)
    {
        state_.reject(asked_.request, outcome::failed,
                      make_error(error_kind::link_broken, "the stream was resumed on another connection"), delivered_);
    }
    taken_over_ = true;
    end_attempt(run_end::stopped);
    return_permit(false);
    // The stream goes on elsewhere; here it has only run in part.
    finish(outcome::failed, make_error(error_kind::link_broken, "resumed elsewhere"));
}

void generation::hand_over()
{
    if (!streams() || delivered_ == 0 || detached_)
    {
        return;
    }
    state_.reject(asked_.request, outcome::failed,
                  make_error(error_kind::shutting_down, "resume at another instance with the continuation token"),
                  delivered_);
    detached_ = true;
    taken_over();
}

void generation::give_up(outcome what, error why)
{
    if (!detached_)
    {
        state_.reject(asked_.request, what, why, delivered_);
    }
    finish(what, std::move(why));
}

void generation::finish(outcome what, std::optional<error> why)
{
    finished_ = true;
    if (!resumed_)
    {
        // What ran is paid for, also when it was in vain; what did not run costs nothing.
        const bool ran = what == outcome::completed || what == outcome::failed;
        state_.limits.settle(charge_, ran ? work_.prompt_tokens + cursor_.next() : 0, state_.now);
    }
    request_finished end;
    end.work_class = asked_.work_class;
    end.customer = asked_.customer;
    end.what = what;
    if (why)
    {
        end.why = why->kind;
    }
    state_.emit(end);
}

} // namespace parsleyshift::detail
