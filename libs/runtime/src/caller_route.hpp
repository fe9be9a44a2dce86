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

/// @brief A call that the server answers itself, without the decision thread.
enum class local_call
{
    /// GET /metrics.
    metrics,
    /// POST /v1/stop.
    stop,
};

/// @brief An event for the decision thread, or a local call.
using caller_call = std::variant<event, local_call>;

/// @brief Settings of route_call().
struct call_context
{
    body_bounds bounds;
    /// Lower-case hex SHA-256 of the operator key; when empty, all operator calls are refused.
    std::string operator_sha256;
};

/// @brief The parts of an HTTP request that route_call() reads.
struct caller_message
{
    boost::beast::http::verb method = boost::beast::http::verb::unknown;
    std::string_view target;
    std::string_view body;
    /// Lower-case hex SHA-256 of the presented key; empty when the request has none.
    std::string_view key_sha256;
};

/// @brief Converts an HTTP request into an event without a request id, or into a local call. Checks the operator key,
/// but no customer key.
/// @return errors not_found, unauthenticated, malformed_request, invalid_field, unknown_field, body_too_large
result<caller_call> route_call(const caller_message& message, const call_context& context);

/// @brief Sets the request id of an event. Events without that field are left unchanged.
void set_request(event& caller_event, request_id request);

/// @brief Returns the key in an Authorization header: the value without the scheme "Bearer".
std::string_view presented_key(std::string_view authorization) noexcept;

} // namespace parsleyshift
