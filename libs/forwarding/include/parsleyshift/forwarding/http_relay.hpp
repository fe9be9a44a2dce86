#pragma once

#include <parsleyshift/runtime/http_client.hpp>  // response_head
#include <parsleyshift/runtime/http_head.hpp>    // http_head_builder
#include <parsleyshift/runtime/http_session.hpp> // http_request

#include <cstddef>     // size_t
#include <cstdint>     // int64_t
#include <functional>  // function
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief Returns true for the name of a header field that is forwarded.
using field_filter = std::function<bool(std::string_view)>;

/// @brief Returns true for header fields that apply to one connection only and are never forwarded: the hop-by-hop
/// fields of RFC 9110 and the fields that frame the body. Names are compared without regard to case.
[[nodiscard]] bool is_connection_specific(std::string_view field);

/// @brief Starts a head with the request line and the header fields of a forwarded request.
///
/// Connection-specific fields and the fields that the Connection field names are left out. A request that has a body,
/// or whose method allows one, gets a Content-Length.
/// @param filter returns true for each of the remaining fields that is to be forwarded
[[nodiscard]] http_head_builder forwarded_request_head(const http_request& request, const field_filter& filter);

/// @brief Framing of the response body on the caller's connection.
struct response_framing
{
    bool chunked = false;
    /// Bytes of a body that is not chunked; without it, the body ends with the connection.
    std::optional<std::size_t> body_size;
    bool keep_alive = true;
};

/// @brief Serializes the head of a forwarded response, with the final blank line and without connection-specific
/// fields.
/// @return error invalid_field for a part that a head cannot carry
[[nodiscard]] result<std::string> forwarded_response_head(const response_head& head, const response_framing& framing);

/// @brief Splits a text/event-stream into complete events.
///
/// Only complete events are forwarded: a run that moves to another engine repeats an event that was cut off.
class event_splitter
{
  public:
    /// @brief Appends bytes of the stream.
    /// @return the text of the events that these bytes complete; valid until the next call
    std::string_view append(std::string_view chunk);
    /// @brief Returns the bytes received after the last complete event.
    [[nodiscard]] const std::string& remainder() const noexcept
    {
        return buffer_;
    }
    /// @brief Returns the number of complete events so far.
    [[nodiscard]] std::int64_t event_count() const noexcept
    {
        return event_count_;
    }
    /// @brief Returns the id of the last complete event that has one; empty when there is none.
    [[nodiscard]] const std::string& last_event_id() const noexcept
    {
        return last_event_id_;
    }

  private:
    void parse_line(std::string_view line);

    std::string buffer_;
    std::string complete_;
    std::string last_event_id_;
    /// Id of the event that is not complete yet.
    std::string pending_id_;
    /// Bytes of buffer_ whose lines have been parsed.
    std::size_t parsed_ = 0;
    std::int64_t event_count_ = 0;
};

} // namespace parsleyshift
