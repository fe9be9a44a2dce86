#pragma once

#include <parsleyshift/core/error.hpp>        // error
#include <parsleyshift/messages/endpoint.hpp> // placement_order
#include <parsleyshift/messages/forward.hpp>  // start_forward
#include <parsleyshift/messages/peer.hpp>     // peer_message
#include <parsleyshift/messages/request.hpp>  // outcome, token_list

#include <cstdint> // int64_t
#include <string>  // string
#include <variant> // variant
#include <vector>  // vector

namespace parsleyshift
{

/// Start a generation at an engine.
struct start_generation
{
    attempt_id attempt;
    endpoint_id endpoint;
    std::string address;
    model_id model;
    std::string prompt;
    std::int64_t max_tokens = 0;
    int priority = 0;
    /// Checked immediately before the write; once passed, the attempt fails with deadline_passed and nothing is sent.
    time_point not_after = never;
};

/// Continue reading a generation at an engine from a token offset.
struct resume_generation
{
    attempt_id attempt;
    endpoint_id endpoint;
    std::string address;
    std::int64_t offset = 0;
};

/// Cancel a generation at its engine and forget the attempt.
struct cancel_attempt
{
    attempt_id attempt;
    endpoint_id endpoint;
    std::string address;
};

/// Stop reading an attempt's tokens from its socket, or go on.
struct set_attempt_reading
{
    attempt_id attempt;
    bool enabled = true;
};

/// Call a plain service.
struct start_call
{
    attempt_id attempt;
    endpoint_id endpoint;
    std::string address;
    std::string operation;
    std::string payload;
    /// Order key, empty for calls without one; endpoints that check keys reject a key that they have run.
    std::string key;
    /// Checked immediately before the write, and passed to the endpoint.
    time_point not_after = never;
    /// Time after which the attempt counts as failed with link_broken.
    time_point answer_by = never;
};

/// First message of a stream to a caller.
struct stream_started
{
    request_id request;
    std::string generation;
    /// Token with which the caller can resume at any instance.
    std::string continuation;
};

/// Tokens to a caller, at an offset that continues exactly where the last message ended.
struct stream_tokens
{
    request_id request;
    std::int64_t offset = 0;
    token_list tokens;
};

/// End of a complete stream.
struct stream_ended
{
    request_id request;
    std::int64_t count = 0;
};

/// A complete answer of a generation delivered whole.
struct whole_answer
{
    request_id request;
    std::string generation;
    token_list tokens;
};

/// Answer of a plain service or of an order.
struct call_answer
{
    request_id request;
    std::string result;
};

/// A request ended without a complete answer. Ends a stream that has started.
struct request_rejected
{
    request_id request;
    outcome what = outcome::not_run;
    error why;
    /// Tokens delivered before the end.
    std::int64_t delivered = 0;
    /// For unknown orders: no send can happen after this time.
    time_point settled_after = never;
};

/// One address in an entry answer.
struct entry_choice
{
    instance_id instance;
    std::string address;
    zone_id availability_zone;
};

/// Answer to an entry query.
struct entry_answer
{
    request_id request;
    std::vector<entry_choice> entries;
    duration keep{};
    std::string token;
};

/// Answer to a key request.
struct key_answer
{
    request_id request;
    std::string key;
    time_point send_deadline;
    time_point expires;
};

/// Answer to a cancel request: the engine was told.
struct cancel_answer
{
    request_id request;
};

/// Send a message to a peer.
struct send_to_peer
{
    instance_id to;
    std::string peer_address;
    peer_message message;
};

/// Read the configuration service: records changed after a revision, waiting for a change for at most `wait`.
struct read_configuration
{
    revision after;
    duration wait{};
};

/// Read load reports and cache events of an endpoint at an interval, or cease to.
struct watch_endpoint
{
    endpoint_id endpoint;
    std::string address;
    bool engine = true;
    bool enabled = true;
};

/// Send a placement order to an engine.
struct send_placement_order
{
    std::string address;
    placement_order order;
};

/// Quantities that the daemon shows as histograms by class and customer.
enum class observed
{
    queue_ms,
    first_token_ms,
    token_gap_ms,
    length_tokens,
    stall_ms,
    answer_ms,
};

template <>
struct enum_names<observed>
{
    static constexpr std::array rows{enum_name<observed>{observed::queue_ms, "queue_ms"},
                                     enum_name<observed>{observed::first_token_ms, "first_token_ms"},
                                     enum_name<observed>{observed::token_gap_ms, "token_gap_ms"},
                                     enum_name<observed>{observed::length_tokens, "length_tokens"},
                                     enum_name<observed>{observed::stall_ms, "stall_ms"},
                                     enum_name<observed>{observed::answer_ms, "answer_ms"}};
};

/// One measured value.
struct observe
{
    observed quantity = observed::queue_ms;
    class_id work_class;
    customer_id customer;
    std::int64_t value = 0;
};

/// The end of a request, for the counters.
struct request_finished
{
    class_id work_class;
    customer_id customer;
    outcome what = outcome::completed;
    std::optional<error_kind> why;
};

/// What happened in the system, for the log.
enum class log_event
{
    configuration_accepted,
    configuration_rejected,
    member_changed,
    endpoint_ejected,
    endpoint_restored,
    endpoint_leaving,
    request_quarantined,
    scheduler_changed,
    placement_ordered,
    stop_began,
    stop_finished,
    request_failed,
    /// The daemon listens on its addresses.
    instance_started,
    /// Input from outside was malformed or exceeded a bound.
    input_rejected,
    /// A forwarded request was sent to an endpoint.
    request_sent,
    /// A run moves to another engine, or stays after all.
    run_moving,
    /// A forwarded request ended.
    request_ended,
    /// The configuration service does not answer, or answers again.
    dependency_lost,
    dependency_regained,
    /// The settings file has changed and was read again.
    settings_reloaded,
};

template <>
struct enum_names<log_event>
{
    static constexpr std::array rows{enum_name<log_event>{log_event::configuration_accepted, "configuration_accepted"},
                                     enum_name<log_event>{log_event::configuration_rejected, "configuration_rejected"},
                                     enum_name<log_event>{log_event::member_changed, "member_changed"},
                                     enum_name<log_event>{log_event::endpoint_ejected, "endpoint_ejected"},
                                     enum_name<log_event>{log_event::endpoint_restored, "endpoint_restored"},
                                     enum_name<log_event>{log_event::endpoint_leaving, "endpoint_leaving"},
                                     enum_name<log_event>{log_event::request_quarantined, "request_quarantined"},
                                     enum_name<log_event>{log_event::scheduler_changed, "scheduler_changed"},
                                     enum_name<log_event>{log_event::placement_ordered, "placement_ordered"},
                                     enum_name<log_event>{log_event::stop_began, "stop_began"},
                                     enum_name<log_event>{log_event::stop_finished, "stop_finished"},
                                     enum_name<log_event>{log_event::request_failed, "request_failed"},
                                     enum_name<log_event>{log_event::instance_started, "instance_started"},
                                     enum_name<log_event>{log_event::input_rejected, "input_rejected"},
                                     enum_name<log_event>{log_event::request_sent, "request_sent"},
                                     enum_name<log_event>{log_event::run_moving, "run_moving"},
                                     enum_name<log_event>{log_event::request_ended, "request_ended"},
                                     enum_name<log_event>{log_event::dependency_lost, "dependency_lost"},
                                     enum_name<log_event>{log_event::dependency_regained, "dependency_regained"},
                                     enum_name<log_event>{log_event::settings_reloaded, "settings_reloaded"}};
};

/// One line for the structured log.
struct write_log
{
    log_event what = log_event::request_failed;
    std::string detail;
};

/// The planned stop is complete: nothing is in progress and the process may exit.
struct stop_complete
{
};

/// Answer to an operator query.
struct operator_answer
{
    request_id request;
    /// JSON text.
    std::string json;
};

/// @brief Everything that a decision core can ask of its surroundings.
using action = std::variant<start_generation, resume_generation, cancel_attempt, set_attempt_reading, start_call,
                            stream_started, stream_tokens, stream_ended, whole_answer, call_answer, request_rejected,
                            entry_answer, key_answer, cancel_answer, send_to_peer, read_configuration, watch_endpoint,
                            send_placement_order, observe, request_finished, write_log, stop_complete, operator_answer,
                            start_forward, drop_forward, deliver_forward, copy_run>;

} // namespace parsleyshift
