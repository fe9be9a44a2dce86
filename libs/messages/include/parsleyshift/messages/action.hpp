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
    /// 0 is the most urgent.
    int priority = 0;
    /// Checked immediately before the write; once passed, the attempt fails with deadline_passed and nothing is sent.
    time_point send_deadline = never;
};

/// Resume reading the tokens of a generation from its engine at a token offset.
struct resume_generation
{
    attempt_id attempt;
    endpoint_id endpoint;
    std::string address;
    std::int64_t offset = 0;
};

/// Cancel a generation at its engine and discard the state of the attempt.
struct cancel_attempt
{
    attempt_id attempt;
    endpoint_id endpoint;
    std::string address;
};

/// Pause or resume reading an attempt's tokens from its socket.
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
    /// JSON text, passed through unchanged.
    std::string payload;
    /// Order key; empty if the call is not an order. Endpoints that check order keys reject an order whose key was
    /// already used.
    std::string key;
    /// Checked immediately before the write and sent to the endpoint.
    time_point send_deadline = never;
    /// Time after which an attempt without an answer fails with link_broken.
    time_point response_deadline = never;
};

/// First message of a stream to a caller.
struct stream_started
{
    request_id request;
    std::string generation;
    /// Token with which the caller can resume the generation at any instance.
    std::string continuation;
};

/// Tokens for a caller. `offset` follows the last token of the previous message, without gap or overlap.
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
    /// Number of all tokens of the generation.
    std::int64_t count = 0;
};

/// Complete output of a generation that is not streamed.
struct whole_answer
{
    request_id request;
    std::string generation;
    token_list tokens;
};

/// Answer to a call of a plain service or to an order.
struct call_answer
{
    request_id request;
    /// JSON text.
    std::string result;
};

/// A request ended without a complete answer. Also ends a stream that has started.
struct request_rejected
{
    request_id request;
    outcome what = outcome::not_run;
    error why;
    /// Tokens delivered to the caller before the end.
    std::int64_t delivered = 0;
    /// For orders with the outcome unknown: the order is not sent to an endpoint after this time.
    time_point settled_after = never;
};

/// One instance of an entry answer.
struct entry_candidate
{
    instance_id instance;
    std::string address;
    zone_id availability_zone;
};

/// Answer to an entry query: the instances that the caller should use, best first.
struct entry_answer
{
    request_id request;
    std::vector<entry_candidate> entries;
    /// Time for which the caller may cache the answer.
    duration ttl{};
    /// Entry token, to be sent with generation requests.
    std::string token;
};

/// Answer to a key request.
struct key_answer
{
    request_id request;
    std::string key;
    /// Time after which an order with this key is not sent to an endpoint.
    time_point send_deadline;
    /// Time after which the key is rejected.
    time_point expires;
};

/// Answer to a cancel request: the cancellation was passed on to the engine.
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

/// Read the records that changed after a revision from the configuration service. If there are none, wait for a change
/// for at most `wait`.
struct read_configuration
{
    revision after;
    duration wait{};
};

/// Start or stop polling the load reports and cache events of an endpoint.
struct watch_endpoint
{
    endpoint_id endpoint;
    std::string address;
    /// False for endpoints of plain services.
    bool engine = true;
    bool enabled = true;
};

/// Find out whether the process of an endpoint still runs; endpoint_probed follows.
struct probe_endpoint
{
    endpoint_id endpoint;
    std::string address;
    /// The attempt whose end the probe is to judge, for endpoint_probed; zero for none.
    attempt_id attempt{};
};

/// Send a placement order to an engine.
struct send_placement_order
{
    std::string address;
    placement_order order;
};

/// Measured quantities that the daemon exports as histograms by work class and customer.
enum class histogram
{
    /// From the arrival of a request until an attempt is sent to an engine.
    queue_ms,
    /// From the arrival of a request until its first token or event.
    first_token_ms,
    /// Between two consecutive messages of a stream from an engine.
    token_gap_ms,
    /// Output tokens of a completed request.
    length_tokens,
    /// As token_gap_ms, but only gaps longer than the stall threshold of the decision core.
    stall_ms,
    /// From the arrival of a request until its answer is complete.
    answer_ms,
    /// Estimated time between two events of an engine that reads no prompt, a value for each change of the estimate.
    engine_gap_ms,
};

template <>
struct enum_names<histogram>
{
    static constexpr std::array rows{enum_name<histogram>{histogram::queue_ms, "queue_ms"},
                                     enum_name<histogram>{histogram::first_token_ms, "first_token_ms"},
                                     enum_name<histogram>{histogram::token_gap_ms, "token_gap_ms"},
                                     enum_name<histogram>{histogram::length_tokens, "length_tokens"},
                                     enum_name<histogram>{histogram::stall_ms, "stall_ms"},
                                     enum_name<histogram>{histogram::answer_ms, "answer_ms"},
                                     enum_name<histogram>{histogram::engine_gap_ms, "engine_gap_ms"}};
};

/// Add a measured value to a histogram.
struct record_sample
{
    histogram quantity = histogram::queue_ms;
    class_id work_class;
    customer_id customer;
    std::int64_t value = 0;
};

/// Count a finished request in the metrics.
struct request_finished
{
    class_id work_class;
    customer_id customer;
    outcome what = outcome::completed;
    std::optional<error_kind> why;
    /// The request might be served in some regions only.
    bool region_restricted = false;
};

/// Why a request was sent to an endpoint of its caller's zone or of another one.
enum class zone_choice_reason
{
    /// The endpoint is in the caller's zone.
    home,
    /// The other zone is expected to serve the request sooner, in spite of the path.
    sooner,
    /// The caller's zone has no endpoint with room.
    home_full,
    /// The caller's zone has no endpoint of the service.
    home_empty,
};

template <>
struct enum_names<zone_choice_reason>
{
    static constexpr std::array rows{enum_name<zone_choice_reason>{zone_choice_reason::home, "home"},
                                     enum_name<zone_choice_reason>{zone_choice_reason::sooner, "sooner"},
                                     enum_name<zone_choice_reason>{zone_choice_reason::home_full, "home_full"},
                                     enum_name<zone_choice_reason>{zone_choice_reason::home_empty, "home_empty"}};
};

/// Count a request that is sent to an endpoint, by the zones of the caller and of the endpoint.
struct record_zone_choice
{
    service_id service;
    zone_id from;
    zone_id to;
    zone_choice_reason reason = zone_choice_reason::home;
};

/// Events written to the structured log.
enum class log_event
{
    configuration_accepted,
    configuration_rejected,
    /// A field of an accepted configuration cannot be read; the line says how it is interpreted.
    configuration_field_unreadable,
    member_changed,
    endpoint_ejected,
    endpoint_restored,
    endpoint_leaving,
    /// No endpoint answers this instance any more; its requests are passed on to other instances.
    links_lost,
    /// Endpoints answer this instance again.
    links_regained,
    /// The number of requests per second that an endpoint accepts has changed, or whether it is brittle.
    endpoint_limit_changed,
    /// The scheduler's estimate of an engine's performance has changed.
    endpoint_pace_changed,
    /// An endpoint accepts no requests of this instance for a time.
    endpoint_paused,
    /// An endpoint is cold: it gets few requests per second for a time.
    endpoint_cold,
    /// An endpoint is no longer cold.
    endpoint_warm,
    /// This instance starts no new work at the endpoints of a zone any more.
    evacuation_began,
    /// No request of this instance is in progress at an endpoint of an evacuated zone any more.
    evacuation_quiet,
    /// The endpoints of a zone get new work again.
    evacuation_ended,
    /// An endpoint has stated something about itself that cannot be read.
    endpoint_statement_rejected,
    /// A permit for an endpoint was returned, because the endpoint must not get a request now.
    permit_declined,
    request_quarantined,
    scheduler_changed,
    placement_ordered,
    stop_began,
    stop_finished,
    request_failed,
    /// The daemon listens on its addresses.
    instance_started,
    /// An address is in use; the instance tries again.
    listen_delayed,
    /// Input from outside the process was malformed or exceeded a limit.
    input_rejected,
    /// A forwarded request was sent to an endpoint.
    request_sent,
    /// Moving a run to another engine (copy_run, then a new attempt) started or was given up.
    run_moving,
    /// A forwarded request ended.
    request_ended,
    /// The configuration service does not answer.
    dependency_lost,
    /// The configuration service answers again.
    dependency_regained,
    /// The settings file changed and was reloaded.
    settings_reloaded,
    /// A read of the configuration service, directly or from a peer, ended with changes.
    configuration_read,
    /// A read of the configuration service failed.
    configuration_read_failed,
    /// The items of the configuration service are those of another era.
    source_era_changed,
    /// The zones that get a substantial share of the requests of another zone's callers have changed.
    zone_direction_changed,
};

template <>
struct enum_names<log_event>
{
    static constexpr std::array rows{
        enum_name<log_event>{log_event::configuration_accepted, "configuration_accepted"},
        enum_name<log_event>{log_event::configuration_rejected, "configuration_rejected"},
        enum_name<log_event>{log_event::configuration_field_unreadable, "configuration_field_unreadable"},
        enum_name<log_event>{log_event::member_changed, "member_changed"},
        enum_name<log_event>{log_event::endpoint_ejected, "endpoint_ejected"},
        enum_name<log_event>{log_event::endpoint_restored, "endpoint_restored"},
        enum_name<log_event>{log_event::endpoint_leaving, "endpoint_leaving"},
        enum_name<log_event>{log_event::links_lost, "links_lost"},
        enum_name<log_event>{log_event::links_regained, "links_regained"},
        enum_name<log_event>{log_event::endpoint_limit_changed, "endpoint_limit_changed"},
        enum_name<log_event>{log_event::endpoint_pace_changed, "endpoint_pace_changed"},
        enum_name<log_event>{log_event::endpoint_paused, "endpoint_paused"},
        enum_name<log_event>{log_event::endpoint_cold, "endpoint_cold"},
        enum_name<log_event>{log_event::endpoint_warm, "endpoint_warm"},
        enum_name<log_event>{log_event::evacuation_began, "evacuation_began"},
        enum_name<log_event>{log_event::evacuation_quiet, "evacuation_quiet"},
        enum_name<log_event>{log_event::evacuation_ended, "evacuation_ended"},
        enum_name<log_event>{log_event::endpoint_statement_rejected, "endpoint_statement_rejected"},
        enum_name<log_event>{log_event::permit_declined, "permit_declined"},
        enum_name<log_event>{log_event::request_quarantined, "request_quarantined"},
        enum_name<log_event>{log_event::scheduler_changed, "scheduler_changed"},
        enum_name<log_event>{log_event::placement_ordered, "placement_ordered"},
        enum_name<log_event>{log_event::stop_began, "stop_began"},
        enum_name<log_event>{log_event::stop_finished, "stop_finished"},
        enum_name<log_event>{log_event::request_failed, "request_failed"},
        enum_name<log_event>{log_event::instance_started, "instance_started"},
        enum_name<log_event>{log_event::listen_delayed, "listen_delayed"},
        enum_name<log_event>{log_event::input_rejected, "input_rejected"},
        enum_name<log_event>{log_event::request_sent, "request_sent"},
        enum_name<log_event>{log_event::run_moving, "run_moving"},
        enum_name<log_event>{log_event::request_ended, "request_ended"},
        enum_name<log_event>{log_event::dependency_lost, "dependency_lost"},
        enum_name<log_event>{log_event::dependency_regained, "dependency_regained"},
        enum_name<log_event>{log_event::settings_reloaded, "settings_reloaded"},
        enum_name<log_event>{log_event::configuration_read, "configuration_read"},
        enum_name<log_event>{log_event::configuration_read_failed, "configuration_read_failed"},
        enum_name<log_event>{log_event::source_era_changed, "source_era_changed"},
        enum_name<log_event>{log_event::zone_direction_changed, "zone_direction_changed"}};
};

/// Write a line to the structured log.
struct write_log
{
    log_event what = log_event::request_failed;
    std::string detail;
};

/// The planned stop is complete: no request is in progress, and the process may exit.
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

/// @brief Any action that a decision core requests; executed by the runtime, which does all input and output.
using action =
    std::variant<start_generation, resume_generation, cancel_attempt, set_attempt_reading, start_call, stream_started,
                 stream_tokens, stream_ended, whole_answer, call_answer, request_rejected, entry_answer, key_answer,
                 cancel_answer, send_to_peer, read_configuration, watch_endpoint, send_placement_order, record_sample,
                 request_finished, write_log, stop_complete, operator_answer, start_forward, cancel_forward,
                 deliver_forward, copy_run, probe_endpoint, record_zone_choice>;

} // namespace parsleyshift
