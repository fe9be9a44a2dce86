#pragma once

#include <parsleyshift/core/name_table.hpp>   // enum_names
#include <parsleyshift/messages/endpoint.hpp> // attempt_failure, endpoint_statement, load_report
#include <parsleyshift/messages/forward.hpp>  // forward_request
#include <parsleyshift/messages/peer.hpp>     // peer_envelope
#include <parsleyshift/messages/platform.hpp> // raw_record, listed_instance
#include <parsleyshift/messages/request.hpp>  // generation_request

#include <array>    // array
#include <cstdint>  // int64_t
#include <optional> // optional
#include <string>   // string
#include <variant>  // variant
#include <vector>   // vector

namespace parsleyshift
{

/// The caller's connection was closed.
struct caller_disconnected
{
    request_id request;
};

/// The caller reads more slowly than tokens arrive, and its send buffer has reached its limit.
struct caller_stalled
{
    request_id request;
};

/// The send buffer of a stalled caller has drained; tokens can be sent again.
struct caller_drained
{
    request_id request;
};

/// The endpoint has accepted the attempt to run a generation.
struct attempt_started
{
    attempt_id attempt;
};

/// Tokens of a generation; `offset` is the position of the first token in the output.
struct attempt_tokens
{
    attempt_id attempt;
    std::int64_t offset = 0;
    token_list tokens;
};

/// End marker of a generation; `count` is the endpoint's count of all its tokens.
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
    /// As in forward_answered; nothing unless the head of an answer to this attempt has arrived.
    std::optional<endpoint_statement> statement{};
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
    /// As in endpoint_probed.
    endpoint_statement statement{};
};

/// The load report of an endpoint could not be read.
struct load_unavailable
{
    endpoint_id endpoint;
    /// As in endpoint_probed.
    endpoint_statement statement{};
};

/// @brief Whether the process of an endpoint accepts connections.
enum class probe_result
{
    /// It responded.
    alive,
    /// The connection was refused: no process listens at the address.
    refused,
    /// Bytes that are no valid response: the address can be reached, but nothing tells which process uses it.
    malformed,
    /// None of these within the time of the probe.
    unknown,
};

template <>
struct enum_names<probe_result>
{
    static constexpr std::array rows{enum_name<probe_result>{probe_result::alive, "alive"},
                                     enum_name<probe_result>{probe_result::refused, "refused"},
                                     enum_name<probe_result>{probe_result::malformed, "malformed"},
                                     enum_name<probe_result>{probe_result::unknown, "unknown"}};
};

/// A probe of an endpoint has ended.
struct endpoint_probed
{
    endpoint_id endpoint;
    probe_result result = probe_result::unknown;
    /// As in forward_answered; its limits are not used.
    endpoint_statement statement{};
    /// As in probe_endpoint.
    attempt_id attempt{};
};

/// Cache events of an engine were read.
struct cache_reported
{
    endpoint_id endpoint;
    std::vector<cache_event> events;
};

/// An engine has accepted or rejected a placement order.
struct placement_answered
{
    placement_order order;
    bool accepted = false;
    /// Highest fencing number that the engine has accepted.
    fencing_number fence;
};

/// The configuration service answered a read or a watch request.
struct configuration_received
{
    /// Revision up to which the records are current.
    revision highest_revision;
    std::vector<raw_record> records;
    /// True if `records` holds all records: a record that is not listed does not exist at this revision.
    bool complete = false;
};

/// The configuration service did not answer a request.
struct configuration_unavailable
{
};

/// The platform's instance list was read.
struct instances_listed
{
    /// Time at which the list was current.
    time_point as_of;
    std::vector<listed_instance> instances;
};

/// A message from a peer was received.
struct peer_received
{
    peer_envelope envelope;
};

/// A planned stop of this instance was requested.
struct stop_requested
{
};

/// The time returned by next_deadline() has been reached.
struct timer_expired
{
};

/// @brief Any input of a decision core.
using event =
    std::variant<generation_request, resume_request, cancel_request, call_request, key_request, order_request,
                 order_query, entry_query, caller_disconnected, caller_stalled, caller_drained, attempt_started,
                 attempt_tokens, attempt_ended, attempt_failed, call_answered, load_reported, load_unavailable,
                 cache_reported, placement_answered, configuration_received, configuration_unavailable,
                 instances_listed, peer_received, stop_requested, timer_expired, operator_query, forward_request,
                 forward_answered, forward_progress, forward_completed, forwarding_configured, zones_evacuated,
                 configuration_confirmed, run_copied, endpoint_probed>;

} // namespace parsleyshift
