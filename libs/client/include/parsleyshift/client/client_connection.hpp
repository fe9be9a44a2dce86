#pragma once

#include <parsleyshift/core/clock.hpp> // duration
#include <parsleyshift/core/error.hpp> // result

#include <cstddef>     // size_t
#include <functional>  // function
#include <memory>      // unique_ptr
#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief An HTTP request.
struct client_request
{
    std::string method = "GET";
    /// Path and query, percent-encoded.
    std::string target;
    /// JSON text; empty: no body.
    std::string body;
    /// Bearer token of the Authorization header; empty: the header is omitted.
    std::string bearer;
};

/// @brief An HTTP response with its complete body.
struct client_response
{
    /// HTTP status code.
    int status = 0;
    std::string body;
};

/// @brief Receives pieces of a body as they arrive. Returns false to end the call and close the connection.
using body_sink = std::function<bool(std::string_view piece)>;

/// @brief Blocking HTTP/1.1 client for one address. It keeps its connection open between calls.
///
/// Each connect, write and read has a time limit. Errors: error_kind::no_endpoint if the connection to the address
/// could not be established, so that nothing was sent; error_kind::link_broken if the connection broke or timed out
/// later, or the head of the response is invalid, so that the request may have run. Interim responses (1xx) are
/// dropped.
class client_connection
{
  public:
    /// Largest response body that call() accepts.
    static constexpr std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;

    /// @param address "ip:port"
    /// @param operation_timeout time limit of each connect, write and read
    client_connection(std::string address, duration operation_timeout);
    ~client_connection();
    client_connection(client_connection&&) noexcept;
    client_connection& operator=(client_connection&&) noexcept;
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /// @brief Sends a request and reads the complete response.
    result<client_response> call(const client_request& request);
    /// @brief Sends a request and passes the body of a response with status 200 to `sink` as it arrives.
    /// @return the response; its body is set only if the status is not 200
    result<client_response> stream(const client_request& request, const body_sink& sink);

    [[nodiscard]] const std::string& address() const noexcept;

  private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

/// @brief Percent-encodes a text for use in a query or path segment (RFC 3986). Linear in the length.
std::string url_escape(std::string_view text);

} // namespace parsleyshift
