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

/// @brief One HTTP request of a client.
struct client_request
{
    std::string method = "GET";
    /// Path and query, already escaped.
    std::string target;
    std::string body;
    /// Sent as a bearer token in the Authorization header; empty: no such header.
    std::string bearer;
};

/// @brief Answer with its whole body.
struct client_response
{
    int status = 0;
    std::string body;
};

/// @brief Receives pieces of a body as they arrive; false ends the call and closes the connection.
using body_sink = std::function<bool(std::string_view piece)>;

/// @brief Blocking HTTP/1.1 client for one address that keeps its connection open between calls.
///
/// Every step has a time limit. Errors: error_kind::no_endpoint when no byte was sent, since no connection could be
/// made; error_kind::link_broken when the connection broke or stalled after that, so that the call may have run.
class client_connection
{
  public:
    /// Bytes of a body that call() accepts.
    static constexpr std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;

    /// @param address "ip:port"
    /// @param stall longest time without any progress of a connect, a write or a read
    client_connection(std::string address, duration stall);
    ~client_connection();
    client_connection(client_connection&&) noexcept;
    client_connection& operator=(client_connection&&) noexcept;
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /// @brief Sends a request and reads the whole answer.
    result<client_response> call(const client_request& request);
    /// @brief Sends a request and hands over the body of an answer with status 200 as it arrives.
    /// @return the status; the body is set only for a status other than 200
    result<client_response> stream(const client_request& request, const body_sink& sink);

    [[nodiscard]] const std::string& address() const noexcept;

  private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

/// @brief Escapes a text for use in a query or path segment (RFC 3986). Linear.
std::string url_escape(std::string_view text);

} // namespace parsleyshift
