#pragma once

#include <parsleyshift/core/clock.hpp>        // duration, time_point
#include <parsleyshift/core/ids.hpp>          // request_id, service_id
#include <parsleyshift/core/name_table.hpp>   // enum_names
#include <parsleyshift/messages/endpoint.hpp> // attempt_failure

#include <array>    // array
#include <cstdint>  // int64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace parsleyshift
{

/// @brief What may be repeated on a route, and how its answers arrive.
enum class route_kind
{
    /// May run more than once.
    idempotent,
    /// Runs at most once for each request.
    once,
    /// Runs at most once; the answer is a stream of events.
    stream,
};

template <>
struct enum_names<route_kind>
{
    static constexpr std::array rows{enum_name<route_kind>{route_kind::idempotent, "idempotent"},
                                     enum_name<route_kind>{route_kind::once, "once"},
                                     enum_name<route_kind>{route_kind::stream, "stream"}};
};

/// @brief A service that a route sends to, with its share of the requests.
struct route_target
{
    service_id service;
    /// Relative to the other targets of the route.
    double weight = 1.0;

    friend bool operator==(const route_target&, const route_target&) = default;
};

/// @brief A route of forwarded requests: the host and the longest path prefix select it.
struct route
{
    std::string name;
    std::string host;
    std::string path_prefix;
    route_kind kind = route_kind::once;
    std::vector<route_target> targets;
    /// Longest time that a caller is kept waiting for the whole answer.
    duration timeout{60'000};
    /// Time within which the answer, or the first event of a stream, is on time.
    duration objective{1'000};
    /// Longest pause between two events of a stream that is on time.
    duration gap_objective{1'000};
    /// 0 is the most urgent.
    int priority = 0;
    /// Endpoints that may run one request.
    int most_attempts = 1;
    /// Requests need no key.
    bool anonymous = false;

    friend bool operator==(const route&, const route&) = default;
};

/// @brief Size of each engine of a service.
struct engine_capacity
{
    std::int64_t slots = 0;
    /// Tokens of context and output that fit.
    std::int64_t memory_tokens = 0;
    /// Tokens in one event of a stream.
    std::int64_t tokens_per_event = 1;
    /// A run can move to another engine with its memory.
    bool moves_runs = false;

    friend bool operator==(const engine_capacity&, const engine_capacity&) = default;
};

/// @brief A service that forwarded requests run at.
struct forwarding_service
{
    service_id name;
    /// Connections that one endpoint accepts from all instances together.
    std::int64_t most_connections = 0;
    /// Set for services of engines.
    std::optional<engine_capacity> engine;

    friend bool operator==(const forwarding_service&, const forwarding_service&) = default;
};

/// @brief A customer with the keys that its callers present.
struct customer_keys
{
    customer_id customer;
    std::vector<std::string> keys;
    /// Takes precedence over the route's priority.
    std::optional<int> priority;

    friend bool operator==(const customer_keys&, const customer_keys&) = default;
};

/// @brief Bounds on what callers send.
struct forwarding_bounds
{
    std::int64_t max_header_bytes = 16'384;
    std::int64_t max_body_bytes = 4'194'304;
    duration header_timeout{3'000};
    duration idle_timeout{15'000};

    friend bool operator==(const forwarding_bounds&, const forwarding_bounds&) = default;
};

/// @brief Everything that the operators configure for forwarded requests, in one version.
struct forwarding_configuration
{
    std::int64_t version = 0;
    std::vector<route> routes;
    std::vector<forwarding_service> services;
    /// Empty: no request needs a key.
    std::vector<customer_keys> customers;
    forwarding_bounds bounds;

    friend bool operator==(const forwarding_configuration&, const forwarding_configuration&) = default;
};

/// @brief A caller's request whose method, path, headers and body pass through unread; the bytes stay with the I/O.
struct forward_request
{
    request_id request;
    /// The caller's own id of the request, for the log.
    std::string caller_id;
    std::string host;
    /// Path without the query.
    std::string path;
    /// Key that the caller presented; empty when there is none.
    std::string key;
    /// Time for which the caller waits.
    std::optional<duration> timeout;
    model_id model;
    std::int64_t prompt_tokens = 0;
    /// Upper bound of the output; 0 when the caller names none.
    std::int64_t max_tokens = 0;
    /// The caller's estimate of the output; 0 when there is none.
    std::int64_t expected_tokens = 0;
    /// Shared parts of the prompt, the longest run of parts first.
    std::vector<std::uint64_t> prefixes;
    /// Hash of method, path and body, which recognises a resend.
    std::uint64_t content = 0;
};

/// @brief What the head of an endpoint's answer says.
enum class answer_sign
{
    /// The endpoint ran the request to a success.
    success,
    /// The endpoint ran the request and reports a failure, or rejects it for good; the answer is the caller's.
    failure,
    /// The endpoint ran the request and failed by its own fault.
    fault,
};

template <>
struct enum_names<answer_sign>
{
    static constexpr std::array rows{enum_name<answer_sign>{answer_sign::success, "success"},
                                     enum_name<answer_sign>{answer_sign::failure, "failure"},
                                     enum_name<answer_sign>{answer_sign::fault, "fault"}};
};

/// @brief An endpoint's answer is there: the whole of it, or for streams its head. The core delivers or drops it.
struct forward_answered
{
    attempt_id attempt;
    answer_sign sign = answer_sign::success;
    /// The whole answer is there; false for the head of a stream, whose events follow.
    bool whole = true;
};

/// @brief Events of a delivered stream have been passed on.
struct forward_progress
{
    attempt_id attempt;
    /// Events passed on so far.
    std::int64_t events = 0;
};

/// @brief A delivered answer is complete.
struct forward_completed
{
    attempt_id attempt;
    std::int64_t events = 0;
};

/// @brief The operators' configuration for forwarded requests was read.
struct forwarding_configured
{
    forwarding_configuration configuration;
};

/// @brief The configuration service answered: what was read reflects its state at `as_of` or later.
struct configuration_confirmed
{
    time_point as_of;
};

/// @brief Where a run goes on: an engine holds its memory under a handle.
struct run_continuation
{
    /// "ip:port" of the engine that the run was copied from.
    std::string source;
    std::string handle;
    /// Id of the last event that the caller has received; set by the I/O, which sees the events.
    std::string last_event;

    friend bool operator==(const run_continuation&, const run_continuation&) = default;
};

/// @brief How a call to copy a run ended.
enum class copy_result
{
    /// The copy is complete; for a stopping call the run stands still at its engine.
    complete,
    /// Nothing was copied, and the run goes on as before.
    refused,
    /// The run has stopped, but the other engine does not hold all of it; it can go on at the engine where it was.
    stopped_in_place,
    /// It cannot be told what happened.
    unknown,
};

template <>
struct enum_names<copy_result>
{
    static constexpr std::array rows{enum_name<copy_result>{copy_result::complete, "complete"},
                                     enum_name<copy_result>{copy_result::refused, "refused"},
                                     enum_name<copy_result>{copy_result::stopped_in_place, "stopped_in_place"},
                                     enum_name<copy_result>{copy_result::unknown, "unknown"}};
};

/// @brief A copy of a run was asked for, and this became of it.
struct run_copied
{
    attempt_id attempt;
    copy_result result = copy_result::unknown;
    /// Names the memory of the run.
    std::string handle;
    /// Events that the run has produced.
    std::int64_t events = 0;
};

/// @brief Copy the memory of a run to another engine.
struct copy_run
{
    attempt_id attempt;
    request_id request;
    /// "ip:port" of the engine that runs it, and of the one that gets the copy.
    std::string source;
    std::string destination;
    /// Stop the run first; without it the run goes on while it is copied.
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
    time_point not_after = never;
    /// When the caller ceases to wait; passed to the endpoint as the time that is left.
    time_point deadline = never;
    /// Set for a run that goes on from another engine.
    std::optional<run_continuation> continuation;
};

/// @brief Give up an attempt: its connection is closed, and nothing more of it is reported.
struct drop_forward
{
    attempt_id attempt;
};

/// @brief Pass the answer of an attempt on to the caller.
struct deliver_forward
{
    request_id request;
    attempt_id attempt;
};

} // namespace parsleyshift
