// The members of forwarded_request that decide whether a stream without framing is complete.
#include "forwarded_request.hpp" // forwarded_request

#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift::detail
{

void forwarded_request::conclude_stream(const forward_completed& completed)
{
    // An instance that relays a request frames its stream with chunks.
    if (completed.end == answer_end::framed || relaying_ || has_reached_token_limit())
    {
        complete_stream(completed);
        return;
    }
    if (may_be_stopped_)
    {
        // An engine that stops a run closes its stream in the same way, and its process still runs.
        break_off_stream("its run may have been stopped for a move");
        return;
    }
    cancel_move();
    unconfirmed_end_ = completed;
    unconfirmed_since_ = state_.now;
    add_timer(timer_kind::end_check_due, state_.settings.forwarding.end_check_limit, attempt_.value());
    probe_end();
}

bool forwarded_request::has_reached_token_limit() const
{
    return admission_.capacity && request_.max_tokens > 0 && output_tokens() >= request_.max_tokens;
}

void forwarded_request::probe_end()
{
    // An endpoint that has asked for a pause receives nothing until the end of the pause.
    if (state_.pauses.end(endpoint_, state_.now))
    {
        add_timer(timer_kind::end_check_due, state_.settings.forwarding.end_check_interval, attempt_.value());
        return;
    }
    state_.emit(probe_endpoint{endpoint_, endpoint_address_, attempt_});
}

void forwarded_request::check_end(const core_timer& due)
{
    if (!unconfirmed_end_ || due.step != attempt_.value())
    {
        return;
    }
    if (state_.now - unconfirmed_since_ >= state_.settings.forwarding.end_check_limit)
    {
        break_off_stream("nothing tells whether its process still runs");
        return;
    }
    probe_end();
}

void forwarded_request::on_end_probed(probe_result result)
{
    if (!unconfirmed_end_)
    {
        return;
    }
    const endpoint_entry* entry = state_.directory.find(endpoint_);
    const bool is_replaced = entry != nullptr && entry->started != endpoint_process_;
    if (result == probe_result::alive && !is_replaced)
    {
        complete_stream(forward_completed{*unconfirmed_end_});
        return;
    }
    // A refused connection proves nothing while this instance may have lost its links to all endpoints.
    const bool is_dead = result == probe_result::refused && !state_.reachability.in_doubt(state_.now);
    if (is_replaced || is_dead)
    {
        break_off_stream("its process has ended");
        return;
    }
    add_timer(timer_kind::end_check_due, state_.settings.forwarding.end_check_interval, attempt_.value());
}

void forwarded_request::break_off_stream(std::string_view reason)
{
    state_.emit(cancel_forward{attempt_});
    on_attempt_failed({attempt_, attempt_failure::link_broken,
                       "the connection was closed between two events, and " + std::string{reason}});
}

} // namespace parsleyshift::detail
