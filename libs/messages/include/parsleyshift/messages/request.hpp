#pragma once

#include <parsleyshift/core/clock.hpp>      // duration, time_point
#include <parsleyshift/core/ids.hpp>        // request_id, customer_id
#include <parsleyshift/core/name_table.hpp> // enum_names

#include <array>    // array
#include <cstdint>  // int64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace parsleyshift
{

/// @brief How the tokens of a generation are delivered to the caller.
enum class delivery
{
    /// As they are produced.
    stream,
    /// In one answer when the generation is complete.
    whole,
};

template <>
struct enum_names<delivery>
{
    static constexpr std::array rows{enum_name<delivery>{delivery::stream, "stream"},
                                     enum_name<delivery>{delivery::whole, "whole"}};
};

/// @brief Final result of a request.
enum class outcome
{
    completed,
    /// Nothing was sent to an endpoint, or the endpoint reported that it did not start the request.
    not_run,
    /// The request ran but did not complete.
    failed,
    /// Whether the request ran could not be determined.
    unknown,
};

template <>
struct enum_names<outcome>
{
    static constexpr std::array rows{
        enum_name<outcome>{outcome::completed, "completed"}, enum_name<outcome>{outcome::not_run, "not_run"},
        enum_name<outcome>{outcome::failed, "failed"}, enum_name<outcome>{outcome::unknown, "unknown"}};
};

/// @brief Tokens of a generation, in order.
using token_list = std::vector<std::string>;

/// @brief A caller requests a generation, whose output length is not known in advance.
struct generation_request
{
    request_id request;
    customer_id customer;
    service_id service;
    model_id model;
    /// Empty: the service's default class.
    class_id work_class;
    std::string prompt;
    /// Limit on the output tokens; 0: the limit of the service.
    std::int64_t max_tokens = 0;
    delivery delivery_mode = delivery::stream;
    /// Time limit for the first token (stream) or the complete answer (whole).
    std::optional<duration> timeout;
    /// Token of the entry answer that the caller used; empty if it has none.
    std::string entry_token;
};

/// @brief A caller resumes a generation, started at this or another instance, at a token offset.
struct resume_request
{
    request_id request;
    /// Continuation token from stream_started.
    std::string continuation;
    std::int64_t offset = 0;
};

/// @brief A caller cancels a generation that runs at this or another instance.
struct cancel_request
{
    request_id request;
    /// Continuation token from stream_started.
    std::string continuation;
};

/// @brief A caller calls a plain service. The record of the service states whether the call is idempotent.
struct call_request
{
    request_id request;
    customer_id customer;
    service_id service;
    std::string operation;
    /// JSON text, passed through unchanged.
    std::string payload;
    std::optional<duration> timeout;
};

/// @brief A caller requests an order key.
struct key_request
{
    request_id request;
    customer_id customer;
    service_id service;
};

/// @brief A caller places an order, which must run at most once, under an order key.
struct order_request
{
    request_id request;
    customer_id customer;
    service_id service;
    std::string operation;
    /// JSON text, passed through unchanged.
    std::string payload;
    /// Order key from key_answer.
    std::string key;
};

/// @brief A caller queries the state of an order.
struct order_query
{
    request_id request;
    std::string key;
};

/// @brief A caller queries the addresses of the instances to send its requests to.
struct entry_query
{
    request_id request;
    customer_id customer;
    zone_id availability_zone;
};

/// @brief Information that an operator can query from an instance.
enum class operator_view
{
    /// State of the instance and its view of the deployment.
    status,
    /// How the instance would handle a request of a customer to a service now, and why.
    explain,
    /// The active records, with their revisions.
    records,
};

template <>
struct enum_names<operator_view>
{
    static constexpr std::array rows{enum_name<operator_view>{operator_view::status, "status"},
                                     enum_name<operator_view>{operator_view::explain, "explain"},
                                     enum_name<operator_view>{operator_view::records, "records"}};
};

/// @brief An operator queries a view; answered with operator_answer.
struct operator_query
{
    request_id request;
    operator_view what = operator_view::status;
    /// Used only by explain.
    customer_id customer;
    /// Used only by explain.
    service_id service;
};

} // namespace parsleyshift
