#pragma once

#include <parsleyshift/core/error.hpp>       // result
#include <parsleyshift/core/ids.hpp>         // request_id
#include <parsleyshift/messages/event.hpp>   // event
#include <parsleyshift/wire/body_bounds.hpp> // body_bounds

#include <boost/beast/http/verb.hpp> // verb

#include <string>      // string
#include <string_view> // string_view
#include <variant>     // variant

namespace parsleyshift
{

/// @brief A call that the server answers without a decision.
enum class local_call
{
    metrics,
    stop,
};

using caller_call = std::variant<event, local_call>;

/// @brief What the server needs to know to route a call.
struct call_context
{
    body_bounds bounds;
    /// Hex SHA-256 of the operators' key; empty: operator calls are refused.
    std::string operator_sha256;
};

/// @brief A call as it arrived.
struct caller_message
{
    boost::beast::http::verb method = boost::beast::http::verb::unknown;
    std::string_view target;
    std::string_view body;
    /// Hex SHA-256 of the presented key, or empty.
    std::string_view key_sha256;
};

/// @brief Turns an HTTP request into an event without a request id, or into a local call.
/// @return errors not_found, unauthenticated, malformed_request, invalid_field, unknown_field, body_too_large
result<caller_call> route_call(const caller_message& message, const call_context& context);

/// @brief Sets the request id of a caller's event.
void set_request(event& what, request_id request);

/// @brief The key in an Authorization header: the value without the scheme "Bearer".
std::string_view presented_key(std::string_view authorization) noexcept;

} // namespace parsleyshift
