#pragma once

#include <parsleyshift/core/clock.hpp>      // duration, time_point
#include <parsleyshift/core/ids.hpp>        // endpoint_id
#include <parsleyshift/core/name_table.hpp> // enum_names

#include <array>    // array
#include <cstdint>  // int64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace parsleyshift
{

/// @brief Load as reported by an endpoint. It lags behind the actual load.
struct load_report
{
    endpoint_id endpoint;
    /// Time of the measurement, by the clock of the endpoint.
    time_point as_of;
    /// Requests that run.
    std::int64_t running = 0;
    /// Requests in the queue of the endpoint.
    std::int64_t waiting = 0;
    /// Requests that can run at the same time.
    std::int64_t slots = 0;
    /// Tokens of context and output held in the KV cache.
    std::int64_t memory_used = 0;
    /// Tokens that fit in the KV cache.
    std::int64_t memory_capacity = 0;
    /// The endpoint is about to stop and accepts no new requests.
    bool leaving = false;
    /// Loaded models.
    std::vector<model_id> models;
    std::string role;
    /// Highest fencing number of a placement order that the endpoint has accepted.
    fencing_number fence;
};

/// @brief What an endpoint states about itself in the head of an answer, besides the answer.
struct endpoint_statement
{
    /// Requests per second, from all instances together, that the endpoint accepts; nothing if it names no limit.
    std::optional<double> starts_per_second{};
    /// Set while the endpoint is brittle: number of requests that it may reject in a second for want of room before it
    /// fails.
    std::optional<std::int64_t> tolerated_rejections{};
    /// The endpoint is about to stop and accepts no new requests.
    bool leaving = false;
    /// Time for which the endpoint accepts no requests of the instance that it has rejected.
    std::optional<duration> pause{};
    /// Time for which the endpoint stays cold, that is, bears only few requests per second, since its process has just
    /// started; 0 if it is not cold, nothing if it does not say.
    std::optional<duration> cold_left{};
    /// The field with that time, if it could not be read or was shortened; without `cold_left`, the endpoint is cold
    /// for an unknown time.
    std::string cold_unreadable{};
    /// Fields with values that could not be read; empty if there is none.
    std::string unreadable{};
};

/// @brief An engine has cached or evicted a prompt prefix. Events arrive late, and some are missing.
struct cache_event
{
    /// Sequence number; a gap shows that events are missing.
    std::uint64_t sequence = 0;
    /// stable_hash of the prompt prefix.
    std::uint64_t prefix = 0;
    /// False: the prefix was evicted.
    bool cached = true;
};

/// @brief Why an attempt did not complete, ordered by what the failure proves; see proves_not_run().
enum class attempt_failure
{
    /// The deadline passed before the write; nothing was sent.
    deadline_passed,
    /// The endpoint must not get the attempt any more, as was noticed before the write; nothing was sent.
    not_sent,
    /// The head of the request would have had a part that HTTP does not allow; nothing was sent.
    invalid_head,
    /// The connection could not be established; nothing was sent.
    connect_failed,
    /// The endpoint answered that it did not start the attempt.
    not_started,
    /// The endpoint answered that it did not start the attempt because it is leaving.
    leaving,
    /// The connection broke or timed out after bytes were sent; the endpoint may still run the attempt.
    link_broken,
    /// The endpoint answered that the run failed.
    endpoint_error,
    /// The endpoint has no state of the attempt to resume.
    attempt_unknown,
};

template <>
struct enum_names<attempt_failure>
{
    static constexpr std::array rows{enum_name<attempt_failure>{attempt_failure::deadline_passed, "deadline_passed"},
                                     enum_name<attempt_failure>{attempt_failure::not_sent, "not_sent"},
                                     enum_name<attempt_failure>{attempt_failure::invalid_head, "invalid_head"},
                                     enum_name<attempt_failure>{attempt_failure::connect_failed, "connect_failed"},
                                     enum_name<attempt_failure>{attempt_failure::not_started, "not_started"},
                                     enum_name<attempt_failure>{attempt_failure::leaving, "leaving"},
                                     enum_name<attempt_failure>{attempt_failure::link_broken, "link_broken"},
                                     enum_name<attempt_failure>{attempt_failure::endpoint_error, "endpoint_error"},
                                     enum_name<attempt_failure>{attempt_failure::attempt_unknown, "attempt_unknown"}};
};

/// @brief Returns true if the failure proves that the endpoint did not run the attempt.
constexpr bool proves_not_run(attempt_failure failure) noexcept
{
    return failure == attempt_failure::deadline_passed || failure == attempt_failure::not_sent ||
           failure == attempt_failure::invalid_head || failure == attempt_failure::connect_failed ||
           failure == attempt_failure::not_started || failure == attempt_failure::leaving;
}

/// @brief Action of a placement order.
enum class placement_action
{
    load_model,
    unload_model,
    load_adapter,
    set_role,
};

template <>
struct enum_names<placement_action>
{
    static constexpr std::array rows{enum_name<placement_action>{placement_action::load_model, "load_model"},
                                     enum_name<placement_action>{placement_action::unload_model, "unload_model"},
                                     enum_name<placement_action>{placement_action::load_adapter, "load_adapter"},
                                     enum_name<placement_action>{placement_action::set_role, "set_role"}};
};

/// @brief Order to an engine to change its models, adapters or role.
struct placement_order
{
    endpoint_id endpoint;
    placement_action action = placement_action::load_model;
    model_id model;
    std::string adapter;
    std::string version;
    std::string role;
    /// An engine that supports fencing rejects an order with a lower number than one it has accepted.
    fencing_number fence;

    friend bool operator==(const placement_order&, const placement_order&) = default;
};

} // namespace parsleyshift
