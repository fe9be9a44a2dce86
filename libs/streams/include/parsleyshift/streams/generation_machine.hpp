#pragma once

#include <parsleyshift/core/error.hpp>        // error
#include <parsleyshift/messages/endpoint.hpp> // attempt_failure
#include <parsleyshift/messages/peer.hpp>     // permit_grant
#include <parsleyshift/messages/request.hpp>  // token_list

#include <boost/msm/back/state_machine.hpp>      // state_machine
#include <boost/msm/front/functor_row.hpp>       // Row, none
#include <boost/msm/front/state_machine_def.hpp> // state_machine_def

#include <concepts> // same_as
#include <cstdint>  // int64_t

namespace parsleyshift
{

/// @brief Events of the state machine of one generation. Events of an attempt must belong to the attempt in progress.
namespace generation_events
{

/// An endpoint was assigned, by the pool scheduler or by the local fallback.
struct granted
{
    const permit_grant& grant;
};

/// The pool scheduler rejected the request.
struct denied
{
    const error& reason;
};

/// New tokens that continue the stream, already checked by a token_cursor.
struct tokens_received
{
    token_list& batch;
};

/// The engine ended the stream and reported how many tokens it generated.
struct end_received
{
    std::int64_t count;
};

/// The attempt in progress failed.
struct attempt_failed
{
    attempt_failure failure;
};

/// The backoff before a resume is over.
struct resume_due
{
};

/// The request's deadline passed.
struct timed_out
{
};

/// The caller cancelled or disconnected.
struct cancelled
{
};

} // namespace generation_events

/// @brief Requirements on the type that a generation_machine drives: guards that select a transition, and actions.
///
/// Guards:
/// - `may_retry`: an attempt without a token may be followed by one on another endpoint.
/// - `may_resume`: the rest of the stream may be requested from the engine, which may still hold the generation.
/// - `may_restart`: a generation with tokens may be run again from its start.
/// - `is_complete`: the stream holds as many tokens as the engine reported.
///
/// Actions during the generation:
/// - `start_attempt` sends the request to the granted endpoint.
/// - `deliver` passes new tokens on to the caller.
/// - `schedule_retry` schedules the request for another endpoint, for a retry as well as for a restart.
/// - `schedule_resume` starts the backoff before a resume, `send_resume` requests the rest of the stream.
///
/// Actions that end the generation:
/// - `complete`: with the whole answer.
/// - `reject`: with the scheduler's error, as no endpoint was granted.
/// - `finish_timed_out`: with an error, as the deadline passed, before or after tokens arrived.
/// - `fail`: with the failure of the attempt, which is neither resumed nor followed by another one.
/// - `fail_incomplete`: with an error, as the number of tokens differs from the one that the engine reported.
/// - `abandon`: as cancelled by the caller.
template <class Flow>
concept generation_flow = requires(Flow& flow, const permit_grant& grant, const error& reason, token_list& batch,
                                   attempt_failure failure, std::int64_t count)
{
    {
        flow.may_retry(failure)
        } -> std::same_as<bool>;
    {
        flow.may_resume(failure)
        } -> std::same_as<bool>;
    {
        flow.may_restart(failure)
        } -> std::same_as<bool>;
    {
        flow.is_complete(count)
        } -> std::same_as<bool>;
    flow.start_attempt(grant);
    flow.schedule_retry(failure);
    flow.deliver(batch);
    flow.complete();
    flow.schedule_resume();
    flow.send_resume();
    flow.reject(reason);
    flow.finish_timed_out();
    flow.fail(failure);
    flow.fail_incomplete(count);
    flow.finish_cancelled();
};

namespace detail
{

namespace front = boost::msm::front;

/// @brief Transition table of a generation, from admission to its end.
template <generation_flow Flow>
struct generation_transitions : front::state_machine_def<generation_transitions<Flow>>
{
    // The names are switches of Boost.MSM; the type does not matter. Without a message queue the machine, of which
    // there is one per request, allocates no memory; without exception handling, exceptions pass through
    // process_event().
    using no_message_queue = int;
    using no_exception_thrown = int;

    explicit generation_transitions(Flow* owner) : flow(owner) {}

    Flow* flow;

    /// Waiting for an endpoint.
    struct admission : front::state<>
    {
    };
    /// An attempt was sent and no token has arrived.
    struct starting : front::state<>
    {
    };
    /// Tokens arrive.
    struct streaming : front::state<>
    {
    };
    /// The connection was lost after the attempt was sent; the engine may still hold the generation.
    struct resuming : front::state<>
    {
    };
    struct finished : front::state<>
    {
    };
    using initial_state = admission;

    // clang-format off
    struct may_retry { template <class E, class F, class S, class T> bool operator()(const E& e, F& f, S&, T&) const { return f.flow->may_retry(e.failure); } };
    struct may_resume { template <class E, class F, class S, class T> bool operator()(const E& e, F& f, S&, T&) const { return f.flow->may_resume(e.failure); } };
    struct may_restart { template <class E, class F, class S, class T> bool operator()(const E& e, F& f, S&, T&) const { return f.flow->may_restart(e.failure); } };
    struct is_complete { template <class E, class F, class S, class T> bool operator()(const E& e, F& f, S&, T&) const { return f.flow->is_complete(e.count); } };

    struct start_attempt { template <class E, class F, class S, class T> void operator()(const E& e, F& f, S&, T&) const { f.flow->start_attempt(e.grant); } };
    struct schedule_retry { template <class E, class F, class S, class T> void operator()(const E& e, F& f, S&, T&) const { f.flow->schedule_retry(e.failure); } };
    struct deliver { template <class E, class F, class S, class T> void operator()(const E& e, F& f, S&, T&) const { f.flow->deliver(e.batch); } };
    struct complete { template <class E, class F, class S, class T> void operator()(const E&, F& f, S&, T&) const { f.flow->complete(); } };
    struct schedule_resume { template <class E, class F, class S, class T> void operator()(const E&, F& f, S&, T&) const { f.flow->schedule_resume(); } };
    struct send_resume { template <class E, class F, class S, class T> void operator()(const E&, F& f, S&, T&) const { f.flow->send_resume(); } };
    struct reject { template <class E, class F, class S, class T> void operator()(const E& e, F& f, S&, T&) const { f.flow->reject(e.reason); } };
    struct finish_timed_out { template <class E, class F, class S, class T> void operator()(const E&, F& f, S&, T&) const { f.flow->finish_timed_out(); } };
    struct fail { template <class E, class F, class S, class T> void operator()(const E& e, F& f, S&, T&) const { f.flow->fail(e.failure); } };
    struct fail_incomplete { template <class E, class F, class S, class T> void operator()(const E& e, F& f, S&, T&) const { f.flow->fail_incomplete(e.count); } };
    struct finish_cancelled { template <class E, class F, class S, class T> void operator()(const E&, F& f, S&, T&) const { f.flow->finish_cancelled(); } };

    template <class S, class E, class T, class A = front::none, class G = front::none>
    using row = front::Row<S, E, T, A, G>;

    // Boost.MSM tries the rows of one state and event from the last to the first, so that a row without a guard comes first.
    struct transition_table : boost::mpl::vector<
        //  state      event                              next       action           guard
        row<admission, generation_events::granted,      starting,  start_attempt>,
        row<admission, generation_events::denied,         finished,  reject>,
        row<admission, generation_events::timed_out,      finished,  finish_timed_out>,
        row<admission, generation_events::cancelled,      finished,  finish_cancelled>,

        row<starting,  generation_events::tokens_received,         streaming, deliver>,
        row<starting,  generation_events::end_received,          finished,  fail_incomplete>,
        row<starting,  generation_events::end_received,          finished,  complete,        is_complete>,
        row<starting,  generation_events::attempt_failed,   finished,  fail>,
        row<starting,  generation_events::attempt_failed,   admission, schedule_retry,       may_retry>,
        row<starting,  generation_events::attempt_failed,   resuming,  schedule_resume, may_resume>,
        row<starting,  generation_events::timed_out,      finished,  finish_timed_out>,
        row<starting,  generation_events::cancelled,      finished,  finish_cancelled>,

        row<streaming, generation_events::tokens_received,         streaming, deliver>,
        row<streaming, generation_events::end_received,          finished,  fail_incomplete>,
        row<streaming, generation_events::end_received,          finished,  complete,        is_complete>,
        row<streaming, generation_events::attempt_failed,   finished,  fail>,
        row<streaming, generation_events::attempt_failed,   admission, schedule_retry,       may_restart>,
        row<streaming, generation_events::attempt_failed,   resuming,  schedule_resume, may_resume>,
        // Tokens sent before the connection was lost arrived after the failure was reported; the resume is still due.
        row<streaming, generation_events::resume_due,     resuming,  send_resume>,
        row<streaming, generation_events::timed_out,      finished,  finish_timed_out>,
        row<streaming, generation_events::cancelled,      finished,  finish_cancelled>,

        row<resuming,  generation_events::resume_due,     resuming,  send_resume>,
        row<resuming,  generation_events::tokens_received,         streaming, deliver>,
        row<resuming,  generation_events::end_received,          finished,  fail_incomplete>,
        row<resuming,  generation_events::end_received,          finished,  complete,        is_complete>,
        row<resuming,  generation_events::attempt_failed,   finished,  fail>,
        row<resuming,  generation_events::attempt_failed,   admission, schedule_retry,       may_restart>,
        row<resuming,  generation_events::attempt_failed,   resuming,  schedule_resume, may_resume>,
        row<resuming,  generation_events::timed_out,      finished,  finish_timed_out>,
        row<resuming,  generation_events::cancelled,      finished,  finish_cancelled>
    > {};
    // clang-format on

    /// Ignores an event without a transition: it was sent before the state changed.
    template <class Fsm, class Event>
    void no_transition(const Event& /*late*/, Fsm& /*machine*/, int /*state*/)
    {
    }
};

} // namespace detail

/// @brief State machine of one generation, driving a generation_flow.
///
/// @code
/// generation_machine<my_flow> machine{&flow};
/// machine.start();
/// machine.process_event(generation_events::granted{grant});
/// @endcode
template <generation_flow Flow>
using generation_machine = boost::msm::back::state_machine<detail::generation_transitions<Flow>>;

} // namespace parsleyshift
