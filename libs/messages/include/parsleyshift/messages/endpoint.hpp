#pragma once

#include <parsleyshift/core/clock.hpp>      // time_point
#include <parsleyshift/core/ids.hpp>        // endpoint_id
#include <parsleyshift/core/name_table.hpp> // enum_names

#include <array>   // array
#include <cstdint> // int64_t
#include <string>  // string
#include <vector>  // vector

namespace parsleyshift
{

/// @brief What an endpoint says about its load; it lags behind the true state.
struct load_report
{
    endpoint_id endpoint;
    /// When the endpoint measured it, by the endpoint's clock.
    time_point as_of;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t slots = 0;
    /// Tokens of context and output held in memory, and the most that fit.
    std::int64_t memory_used = 0;
    std::int64_t memory_capacity = 0;
    bool leaving = false;
    std::vector<model_id> models;
    std::string role;
    fencing_number fence;
};

/// @brief An engine began or ceased to hold a prompt prefix; arrives late and with gaps in the sequence.
struct cache_event
{
    std::uint64_t sequence = 0;
    /// stable_hash of the prompt prefix.
    std::uint64_t prefix = 0;
    bool cached = true;
};

/// @brief Why an attempt did not complete, ordered by what it proves.
enum class attempt_failure
{
    /// The deadline had passed immediately before the write; no byte was sent.
    deadline_passed,
    /// No connection; no byte was sent.
    connect_failed,
    /// The endpoint answered that it did not start.
    not_started,
    /// The endpoint answered that it did not start because it is leaving.
    leaving,
    /// Bytes were sent, then the link broke or went silent; the endpoint may still run the attempt.
    link_broken,
    /// The endpoint answered that the run failed.
    endpoint_error,
    /// The endpoint does not know the attempt that should be resumed.
    attempt_unknown,
};

template <>
struct enum_names<attempt_failure>
{
    static constexpr std::array rows{enum_name<attempt_failure>{attempt_failure::deadline_passed, "deadline_passed"},
                                     enum_name<attempt_failure>{attempt_failure::connect_failed, "connect_failed"},
                                     enum_name<attempt_failure>{attempt_failure::not_started, "not_started"},
                                     enum_name<attempt_failure>{attempt_failure::leaving, "leaving"},
                                     enum_name<attempt_failure>{attempt_failure::link_broken, "link_broken"},
                                     enum_name<attempt_failure>{attempt_failure::endpoint_error, "endpoint_error"},
                                     enum_name<attempt_failure>{attempt_failure::attempt_unknown, "attempt_unknown"}};
};

/// @brief True when the failure proves that the endpoint did not run the attempt.
constexpr bool proves_not_run(attempt_failure failure) noexcept
{
    return failure == attempt_failure::deadline_passed || failure == attempt_failure::connect_failed ||
           failure == attempt_failure::not_started || failure == attempt_failure::leaving;
}

/// @brief What an endpoint is ordered to do.
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

/// @brief An order to an engine about models, adapters, versions and roles.
struct placement_order
{
    endpoint_id endpoint;
    placement_action action = placement_action::load_model;
    model_id model;
    std::string adapter;
    std::string version;
    std::string role;
    fencing_number fence;

    friend bool operator==(const placement_order&, const placement_order&) = default;
};

} // namespace parsleyshift
