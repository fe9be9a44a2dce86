// The members of forwarded_request that move a run to another engine.
#include "forwarded_request.hpp" // forwarded_request

#include <string>  // string, to_string
#include <utility> // move

namespace parsleyshift::detail
{

bool forwarded_request::can_move_to(const permit_grant& grant) const
{
    const bool is_running = permit_ && permit_->permit() && attempt_ != attempt_id{};
    const bool is_other_engine = is_running && grant.endpoint != endpoint_ && permit_->permit()->permit != grant.permit;
    return is_other_engine && !move_ && !copy_pending_ && !unconfirmed_end_ && admission_.capacity &&
           admission_.capacity->supports_run_moves && permit_->is_for_pool(grant) &&
           state_.obstacle_to_start(grant.endpoint, admission_.regions) == start_obstacle::none;
}

void forwarded_request::start_move(const permit_grant& grant)
{
    move_.emplace();
    move_->new_permit = grant;
    move_->source_address = endpoint_address_;
    const endpoint_entry* destination = state_.directory.find(grant.endpoint);
    move_->destination_address = destination->address;
    move_->destination_zone = destination->availability_zone;
    state_.log(log_event::run_moving, "id=" + request_.caller_id + " from=" + endpoint_.value() +
                                          " to=" + grant.endpoint.value() + " events=" + std::to_string(event_count_));
    copy_run_to_destination(false);
}

void forwarded_request::copy_run_to_destination(bool stop)
{
    copy_pending_ = true;
    state_.emit(copy_run{attempt_, request_.request, move_->source_address, move_->destination_address, stop});
}

void forwarded_request::cancel_move()
{
    if (move_)
    {
        permit_->decline(move_->new_permit);
        move_.reset();
    }
}

void forwarded_request::cancel_move_outside_regions()
{
    if (move_ && !move_->stop_requested &&
        !admission_.regions.allows(state_.entries.region_of(move_->destination_zone)))
    {
        state_.log(log_event::run_moving, "id=" + request_.caller_id + " not moved: endpoint=" + endpoint_.value() +
                                              " result=" + std::string{name_of(start_obstacle::other_region)});
        cancel_move();
    }
}

bool forwarded_request::may_resume(const run_move& stopped) const
{
    const zone_id& zone = stopped.resumes_in_place ? endpoint_zone_ : stopped.destination_zone;
    return admission_.regions.allows(state_.entries.region_of(zone));
}

bool forwarded_request::may_use_destination(const run_move& stopped) const
{
    // The destination may have been evacuated or have begun to leave while the run was copied.
    const endpoint_entry* destination = state_.directory.find(stopped.new_permit.endpoint);
    return destination != nullptr && !destination->leaving && !state_.is_evacuated(destination->endpoint);
}

void forwarded_request::on_run_copied(const run_copied& copy)
{
    copy_pending_ = false;
    if (!move_)
    {
        return;
    }
    if (copy.result == copy_result::complete && !move_->stop_requested)
    {
        move_->stop_requested = true;
        copy_run_to_destination(true);
        return;
    }
    const bool has_stopped = copy.result == copy_result::complete || copy.result == copy_result::stopped_not_copied;
    if (!has_stopped)
    {
        state_.log(log_event::run_moving, "id=" + request_.caller_id + " not moved: endpoint=" + endpoint_.value() +
                                              " result=" + std::string{name_of(copy.result)});
        // The engine may have stopped the run, or still have the call in a queue.
        may_be_stopped_ = may_be_stopped_ || (move_->stop_requested && copy.result == copy_result::unknown);
        const bool stream_lost = move_->stream_ended;
        const auto possible_completion = move_->possible_completion;
        cancel_move();
        if (possible_completion && copy.result == copy_result::refused)
        {
            conclude_stream(*possible_completion);
        }
        else if (stream_lost)
        {
            state_.emit(cancel_forward{attempt_});
            on_attempt_failed(
                {attempt_, attempt_failure::link_broken, "the stream ended while its run was being moved"});
        }
        return;
    }
    move_->stopped = true;
    move_->resumes_in_place = copy.result == copy_result::stopped_not_copied;
    move_->handle = copy.handle;
    move_->events = copy.events;
    add_timer(timer_kind::resume_due, state_.settings.forwarding.last_events_wait,
              static_cast<std::uint64_t>(move_count_));
    resume_run_if_ready();
}

void forwarded_request::resume_run_if_ready()
{
    // Events that the run produced before it stopped may still be in transit.
    if (move_ && move_->stopped && (move_->stream_ended || event_count_ >= move_->events))
    {
        resume_run();
    }
}

void forwarded_request::resume_run()
{
    if (!may_resume(*move_))
    {
        // The regions were restricted after the run had been stopped, and resuming it would send the request again.
        tracker_.attempt_ran();
        reject(make_error(error_kind::incomplete_answer,
                          "the run was stopped for a move, and its engines are outside " + region_names()));
        return;
    }
    const run_move finished_move = std::move(*move_);
    move_.reset();
    const bool resumes_in_place = finished_move.resumes_in_place || !may_use_destination(finished_move);
    tracker_.attempt_ran();
    if (resumes_in_place && state_.is_evacuated(endpoint_))
    {
        permit_->decline(finished_move.new_permit);
        reject(make_error(error_kind::incomplete_answer,
                          "the run was stopped to be moved, its copy is incomplete or cannot be used, and the zone of "
                          "engine " +
                              endpoint_.value() + " is evacuated"));
        return;
    }
    ++move_count_;
    state_.emit(cancel_forward{attempt_});
    state_.record_attempt_end(attempt_, endpoint_, expected_memory_, run_end::stopped);
    pools_.attempt_ended(permit_->pool(), endpoint_, expected_memory_);
    if (resumes_in_place)
    {
        permit_->decline(finished_move.new_permit);
    }
    else
    {
        permit_->replace(finished_move.new_permit, output_tokens());
        endpoint_ = finished_move.new_permit.endpoint;
        endpoint_address_ = finished_move.destination_address;
        endpoint_zone_ = finished_move.destination_zone;
        if (const endpoint_entry* entry = state_.directory.find(endpoint_))
        {
            endpoint_process_ = entry->started;
        }
        tried_endpoints_.push_back(endpoint_);
    }
    gap_count_ = 0;
    unregistered_gap_ = duration{};
    gap_spans_move_ = true;
    send_attempt(run_continuation{finished_move.source_address, finished_move.handle, {}});
}

} // namespace parsleyshift::detail
