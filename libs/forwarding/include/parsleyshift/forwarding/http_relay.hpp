#pragma once

#include <parsleyshift/runtime/http_client.hpp>  // response_head
#include <parsleyshift/runtime/http_session.hpp> // http_request

#include <cstddef>     // size_t
#include <functional>  // function
#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief Says whether a field is passed on.
using field_filter = std::function<bool(std::string_view)>;

/// @brief True for fields that concern one connection only: the hop-by-hop fields of RFC 9110, and the framing, which
/// each connection has of its own.
[[nodiscard]] bool concerns_one_connection(std::string_view field);

/// @brief Start line and fields of a forwarded request, without the blank line. The body always gets a length.
/// @param forwards decides about the remaining fields
[[nodiscard]] std::string forwarded_request_head(const http_request& asked, const field_filter& forwards);

/// @brief How the body of an answer is framed.
struct answer_framing
{
    bool chunked = false;
    std::size_t size = 0;
    bool keep_alive = true;
};

/// @brief Head of a forwarded answer with its blank line.
[[nodiscard]] std::string forwarded_answer_head(const response_head& head, const answer_framing& framing);

/// @brief Counts the events of a text/event-stream over pieces of any size.
class event_counter
{
  public:
    /// @return events that end in the piece
    std::size_t count(std::string_view piece) noexcept;

  private:
    /// Line ends in a row at the end of the last piece.
    int line_ends_ = 1;
};

} // namespace parsleyshift
