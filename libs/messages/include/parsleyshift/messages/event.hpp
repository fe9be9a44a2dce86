#pragma once

#include <parsleyshift/messages/endpoint.hpp> // load_report, attempt_failure
#include <parsleyshift/messages/forward.hpp>  // forward_request
#include <parsleyshift/messages/peer.hpp>     // peer_envelope
#include <parsleyshift/messages/platform.hpp> // raw_record, listed_instance
#include <parsleyshift/messages/request.hpp>  // generation_request

#include <cstdint> // int64_t
#include <string>  // string
#include <variant> // variant
#include <vector>  // vector

namespace parsleyshift
{

/// The caller's connection has closed.
struct caller_disconnected
{
    request_id request;
};

/// The caller reads more slowly than tokens arrive; its buffer has reached the bound.
struct caller_stalled
{
    request_id request;
};

/// The buffer of a stalled caller has emptied.
struct caller_drained
{
    request_id request;
};

/// The endpoint has accepted a generation.
struct attempt_started
{
    attempt_id attempt;
};

/// Tokens of a generation; `offset` is the position of the first one.
struct attempt_tokens
{
    attempt_id attempt;
    std::int64_t offset = 0;
    token_list tokens;
};

/// End mark of a generation with the endpoint's own count of all tokens.
struct attempt_ended
{
    attempt_id attempt;
    std::int64_t count = 0;
};

/// An attempt did not complete.
struct attempt_failed
{
    attempt_id attempt;
    attempt_failure failure = attempt_failure::link_broken;
    std::string message;
};

/// Result of a call to a plain service.
struct call_answered
{
    attempt_id attempt;
    /// JSON text.
    std::string result;
};

/// A load report was read.
struct load_reported
{
    load_report report;
};

/// A load report could not be read.
struct load_unavailable
{
    endpoint_id endpoint;
};

/// Cache events were read; `next` is where to continue.
struct cache_reported
{
    endpoint_id endpoint;
    std::vector<cache_event> events;
};

/// An engine answered a placement order.
struct placement_answered
{
    placement_order order;
    bool accepted = false;
    /// The engine's highest fencing number.
    fencing_number fence;
};

/// The configuration service answered a read or a watch.
struct configuration_received
{
    revision highest;
    std::vector<raw_record> records;
    /// True for a read of everything: a record that is missing does not exist at this revision.
    bool complete = false;
};

/// The configuration service did not answer.
struct configuration_unavailable
{
};

/// The platform's list was read.
struct instances_listed
{
    time_point as_of;
    std::vector<listed_instance> instances;
};

/// A message from a peer.
struct peer_received
{
    peer_envelope envelope;
};

/// The operator plans a stop of this instance.
struct stop_planned
{
};

/// A deadline that next_deadline() announced has come.
struct timer_expired
{
};

/// @brief Everything that can happen to a decision core.
using event = std::variant<generation_request, resume_request, cancel_request, call_request, key_request, order_request,
                           order_query, entry_query, caller_disconnected, caller_stalled, caller_drained,
                           attempt_started, attempt_tokens, attempt_ended, attempt_failed, call_answered, load_reported,
                           load_unavailable, cache_reported, placement_answered, configuration_received,
                           configuration_unavailable, instances_listed, peer_received, stop_planned, timer_expired,
                           operator_query, forward_request, forward_answered, forward_progress, forward_completed,
                           forwarding_configured, configuration_confirmed, run_copied>;

} // namespace parsleyshift
