#pragma once

#include <parsleyshift/core/clock.hpp>          // duration, time_point
#include <parsleyshift/core/ids.hpp>            // request_id, service_id, zone_id
#include <parsleyshift/core/name_table.hpp>     // enum_names
#include <parsleyshift/messages/endpoint.hpp>   // endpoint_statement
#include <parsleyshift/messages/region_set.hpp> // region_set

#include <array>    // array
#include <cstdint>  // int64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace parsleyshift
{

/// @brief Whether requests of a route may be retried after they have run, and whether their answers are streamed.
enum class route_kind
{
    /// May run more than once.
    idempotent,
    /// Must run at most once for each request.
    once,
    /// Must run at most once; the answer is a stream of events (text/event-stream).
    stream,
};

template <>
struct enum_names<route_kind>
{
    static constexpr std::array rows{enum_name<route_kind>{route_kind::idempotent, "idempotent"},
                                     enum_name<route_kind>{route_kind::once, "once"},
                                     enum_name<route_kind>{route_kind::stream, "stream"}};
};

/// @brief A destination service of a route and its share of the requests.
struct route_target
{
    service_id service;
    /// Share of the requests, relative to the weights of the other targets of the route.
    double weight = 1.0;

    friend bool operator==(const route_target&, const route_target&) = default;
};

/// @brief A route for forwarded requests, selected by host and longest matching path prefix.
struct route
{
    std::string name;
    std::string host;
    std::string path_prefix;
    route_kind kind = route_kind::once;
    std::vector<route_target> targets;
    /// Time limit in milliseconds for the complete answer.
    duration timeout{60'000};
    /// Latency objective in milliseconds for the answer, or for the first event of a stream.
    duration objective{1'000};
    /// Objective in milliseconds for the time between two events of a stream.
    duration gap_objective{1'000};
    /// 0 is the most urgent.
    int priority = 0;
    /// Maximum number of endpoints that may run one request.
    int max_attempts = 1;
    /// Requests are accepted without a customer key.
    bool anonymous = false;
    /// Regions in which the route's requests may be served.
    region_set regions{};
    /// The configuration names the latency objective; otherwise `objective` is a default, which no request is ordered
    /// or rejected by.
    bool names_objective = false;

    friend bool operator==(const route&, const route&) = default;
};

/// @brief Capacity of each engine of a service.
struct engine_capacity
{
    /// Requests that run at the same time.
    std::int64_t slots = 0;
    /// Tokens of context and output that fit in the KV cache.
    std::int64_t memory_tokens = 0;
    /// Tokens that each event of a stream carries.
    std::int64_t tokens_per_event = 1;
    /// The engines can copy a run to another engine. A run is the execution of a request at an engine with its KV
    /// cache; moved to another engine, it continues there under a new attempt.
    bool supports_run_moves = false;

    friend bool operator==(const engine_capacity&, const engine_capacity&) = default;
};

/// @brief How the endpoints of a service behave after the start of their processes.
struct cold_start
{
    /// Time for which an endpoint is cold after its process has started, unless it states another time.
    duration lasts{};
    /// Requests per second, from all instances together, that a cold endpoint bears; 0 for any number.
    double starts_per_second = 0.0;

    friend bool operator==(const cold_start&, const cold_start&) = default;
};

/// @brief A service that runs forwarded requests.
struct forwarding_service
{
    service_id name;
    /// Connections that one endpoint accepts, summed over all instances.
    std::int64_t max_connections = 0;
    /// Set if the endpoints of the service are engines.
    std::optional<engine_capacity> engine;
    cold_start cold{};

    friend bool operator==(const forwarding_service&, const forwarding_service&) = default;
};

/// @brief A customer and the keys that authenticate its callers.
struct customer_keys
{
    customer_id customer;
    std::vector<std::string> keys;
    /// Takes precedence over the route's priority.
    std::optional<int> priority;
    /// Regions in which the customer's requests may be served; the route's regions apply as well.
    region_set regions{};

    friend bool operator==(const customer_keys&, const customer_keys&) = default;
};

/// @brief Limits on the size and timing of callers' requests.
struct forwarding_limits
{
    std::int64_t max_header_bytes = 16'384;
    std::int64_t max_body_bytes = 4'194'304;
    /// Time limit in milliseconds for receiving the request header.
    duration header_timeout{3'000};
    /// Time in milliseconds after which a connection without a request is closed.
    duration idle_timeout{15'000};

    friend bool operator==(const forwarding_limits&, const forwarding_limits&) = default;
};

/// @brief One version of the operators' whole configuration for forwarded requests.
struct forwarding_configuration
{
    std::int64_t version = 0;
    std::vector<route> routes;
    std::vector<forwarding_service> services;
    /// The customers whose keys are accepted. With an empty list, no key is; without a list, requests need none.
    std::optional<std::vector<customer_keys>> customers;
    forwarding_limits bounds;
    /// What could not be read but does not invalidate the configuration: one line for each field, which names it.
    std::vector<std::string> notes{};

    friend bool operator==(const forwarding_configuration&, const forwarding_configuration&) = default;
};

/// @brief A caller's request that is forwarded unchanged. The runtime keeps its bytes; this message holds only the
/// properties that routing needs.
struct forward_request
{
    request_id request;
    /// Request id that the caller chose; written to the log.
    std::string caller_id;
    std::string host;
    /// Path without the query string.
    std::string path;
    /// Customer key sent by the caller; empty if it sent none.
    std::string key;
    /// Time after which the caller stops waiting.
    std::optional<duration> timeout;
    model_id model;
    std::int64_t prompt_tokens = 0;
    /// Limit on the output tokens; 0 if the caller set none.
    std::int64_t max_tokens = 0;
    /// The caller's estimate of the output tokens; 0 if it gave none.
    std::int64_t expected_tokens = 0;
    /// Hashes of the prompt's prefixes, longest first; matched with the prefixes in the engines' KV caches.
    std::vector<std::uint64_t> prefixes;
    /// Ids of the parts of the prompt that other requests may share, in their order. The last part of a prompt belongs
    /// to one request or session and is left out.
    std::vector<std::string> prompt_parts;
    /// Hash of method, path and body; identifies a resent request.
    std::uint64_t content_hash = 0;
    /// Another instance, which does not reach endpoints, has passed the request on; it is not passed on again.
    bool relayed = false;
};

/// @brief Classification of an endpoint's answer by its status line and headers.
enum class answer_sign
{
    /// The endpoint ran the request successfully.
    success,
    /// The endpoint ran the request and reports a failure, or rejects it permanently; the answer goes to the caller.
    failure,
    /// The endpoint ran the request and failed because of a fault of its own.
    fault,
};

template <>
struct enum_names<answer_sign>
{
    static constexpr std::array rows{enum_name<answer_sign>{answer_sign::success, "success"},
                                     enum_name<answer_sign>{answer_sign::failure, "failure"},
                                     enum_name<answer_sign>{answer_sign::fault, "fault"}};
};

/// @brief An endpoint's answer has arrived, complete or, for a stream, its header. The decision core replies with
/// deliver_forward or cancel_forward.
struct forward_answered
{
    attempt_id attempt;
    answer_sign sign = answer_sign::success;
    /// True for a complete answer; false for the header of a stream, whose events follow.
    bool complete = true;
    /// What the endpoint states about itself.
    endpoint_statement statement{};
};

/// @brief Events of a delivered stream have been passed on to the caller.
struct forward_progress
{
    attempt_id attempt;
    /// Total number of events passed on so far.
    std::int64_t events = 0;
};

/// @brief What marked the end of an answer.
enum class answer_end
{
    /// Its own framing: its length or its last chunk.
    framed,
    /// Only the close of the connection. An endpoint that breaks the answer off may look the same.
    connection_closed,
};

template <>
struct enum_names<answer_end>
{
    static constexpr std::array rows{enum_name<answer_end>{answer_end::framed, "framed"},
                                     enum_name<answer_end>{answer_end::connection_closed, "connection_closed"}};
};

/// @brief All events of a delivered stream have been passed on. The decision core replies with deliver_forward, which
/// ends the caller's stream, or with cancel_forward.
struct forward_completed
{
    attempt_id attempt;
    /// Total number of events of a stream.
    std::int64_t events = 0;
    answer_end end = answer_end::framed;
};

/// @brief A version of the operators' configuration for forwarded requests was read.
struct forwarding_configured
{
    forwarding_configuration configuration;
};

/// @brief The zones that are evacuated: no new work may reach their endpoints. Replaces the zones of the event before.
///
/// Comes before the first forwarding_configured event, so that no request is served before they are known.
struct zones_evacuated
{
    std::vector<zone_id> zones;
};

/// @brief The configuration service answered: the configuration read so far reflects its state at `as_of` or later.
struct configuration_confirmed
{
    time_point as_of;
};

/// @brief State from which a run continues at another engine. The engine holds the copied KV cache under a handle.
struct run_continuation
{
    /// "ip:port" of the engine that the run was copied from.
    std::string source;
    std::string handle;
    /// Id of the last event that the caller has received; set by the runtime, which reads the events.
    std::string last_event;

    friend bool operator==(const run_continuation&, const run_continuation&) = default;
};

/// @brief Result of copying a run to another engine.
enum class copy_result
{
    /// The copy is complete; if copy_run::stop was set, the run is stopped at its engine.
    complete,
    /// Nothing was copied, and the run continues at its engine.
    refused,
    /// The run is stopped, but the copy is incomplete; the run can continue at its engine.
    stopped_not_copied,
    /// The result could not be determined.
    unknown,
};

template <>
struct enum_names<copy_result>
{
    static constexpr std::array rows{enum_name<copy_result>{copy_result::complete, "complete"},
                                     enum_name<copy_result>{copy_result::refused, "refused"},
                                     enum_name<copy_result>{copy_result::stopped_not_copied, "stopped_in_place"},
                                     enum_name<copy_result>{copy_result::unknown, "unknown"}};
};

/// @brief Result of a copy_run action.
struct run_copied
{
    attempt_id attempt;
    copy_result result = copy_result::unknown;
    /// Handle of the copied KV cache.
    std::string handle;
    /// Events that the run has produced so far.
    std::int64_t events = 0;
};

/// @brief Copy the KV cache of a run to another engine.
struct copy_run
{
    attempt_id attempt;
    request_id request;
    /// "ip:port" of the engine that runs the request.
    std::string source;
    /// "ip:port" of the engine that receives the copy.
    std::string destination;
    /// Stop the run before copying; false: the run continues while it is copied.
    bool stop = false;
};

/// @brief Send a forwarded request to an endpoint.
struct start_forward
{
    attempt_id attempt;
    request_id request;
    endpoint_id endpoint;
    std::string address;
    customer_id customer;
    /// 0 is the most urgent.
    int priority = 0;
    route_kind kind = route_kind::once;
    /// Checked immediately before the write; once passed, the attempt fails with deadline_passed and nothing is sent.
    time_point send_deadline = never;
    /// Time at which the caller stops waiting; sent to the endpoint as the remaining time.
    time_point deadline = never;
    /// Set if the attempt continues a run that was copied from another engine.
    std::optional<run_continuation> continuation;
    /// `address` is that of another instance, which handles the request like a caller's.
    bool relayed = false;
};

/// @brief Cancel an attempt: its connection is closed and no further events of it are reported.
struct cancel_forward
{
    attempt_id attempt;
};

/// @brief Pass an attempt's answer on to the caller: a complete one, the head of a stream, or the end of a stream.
struct deliver_forward
{
    request_id request;
    attempt_id attempt;
};

} // namespace parsleyshift
