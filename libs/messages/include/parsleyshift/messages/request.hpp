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

/// @brief How the caller wants a generation.
enum class delivery
{
    stream,
    whole,
};

template <>
struct enum_names<delivery>
{
    static constexpr std::array rows{enum_name<delivery>{delivery::stream, "stream"},
                                     enum_name<delivery>{delivery::whole, "whole"}};
};

/// @brief The closed set of results of a request.
enum class outcome
{
    completed,
    /// No byte was sent to an endpoint, or the endpoint proved that it did not start.
    not_run,
    /// The request ran, in part.
    failed,
    /// It cannot be told whether the request ran.
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

/// @brief A caller asks for a generation of unknown length.
struct generation_request
{
    request_id request;
    customer_id customer;
    service_id service;
    model_id model;
    /// Empty: the service's default class.
    class_id work_class;
    std::string prompt;
    /// Upper bound in tokens; 0: the service's bound.
    std::int64_t max_tokens = 0;
    delivery how = delivery::stream;
    /// Time that the caller allows for the first token (stream) or the whole answer (whole).
    std::optional<duration> timeout;
    std::string entry_token;
};

/// @brief A caller continues a generation at a token offset, at this or another instance.
struct resume_request
{
    request_id request;
    std::string continuation;
    std::int64_t offset = 0;
};

/// @brief A caller gives up a generation that runs here or at another instance.
struct cancel_request
{
    request_id request;
    std::string continuation;
};

/// @brief A caller calls a plain service; whether the call is idempotent is said by the service's record.
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

/// @brief A caller asks for an order key.
struct key_request
{
    request_id request;
    customer_id customer;
    service_id service;
};

/// @brief A caller places a non-idempotent order under a key.
struct order_request
{
    request_id request;
    customer_id customer;
    service_id service;
    std::string operation;
    /// JSON text, passed through unchanged.
    std::string payload;
    std::string key;
};

/// @brief A caller asks what became of an order.
struct order_query
{
    request_id request;
    std::string key;
};

/// @brief A caller asks which addresses to use.
struct entry_query
{
    request_id request;
    customer_id customer;
    zone_id availability_zone;
};

/// @brief What an operator asks an instance about itself.
enum class operator_view
{
    /// State of the instance and its view of the deployment.
    status,
    /// How a request of one customer to one service would be handled now, and why.
    explain,
    /// The records in force, with their revisions.
    records,
};

template <>
struct enum_names<operator_view>
{
    static constexpr std::array rows{enum_name<operator_view>{operator_view::status, "status"},
                                     enum_name<operator_view>{operator_view::explain, "explain"},
                                     enum_name<operator_view>{operator_view::records, "records"}};
};

/// @brief An operator asks for a view; answered with operator_answer.
struct operator_query
{
    request_id request;
    operator_view what = operator_view::status;
    /// For explain.
    customer_id customer;
    /// For explain.
    service_id service;
};

} // namespace parsleyshift
