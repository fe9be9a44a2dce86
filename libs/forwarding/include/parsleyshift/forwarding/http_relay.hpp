#pragma once

#include <parsleyshift/runtime/http_client.hpp>  // response_head
#include <parsleyshift/runtime/http_session.hpp> // http_request

#include <cstddef>     // size_t
#include <cstdint>     // int64_t
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

/// @brief Splits a text/event-stream into whole events.
///
/// Only whole events are passed on, so that a run can go on elsewhere after a piece that ends inside of one.
class event_splitter
{
  public:
    /// @brief Takes a piece.
    /// @return the text of the events that are whole now; valid until the next call
    std::string_view take(std::string_view piece);
    /// @brief What is held of an event that is not whole.
    [[nodiscard]] const std::string& rest() const noexcept
    {
        return held_;
    }
    /// @brief Whole events so far.
    [[nodiscard]] std::int64_t events() const noexcept
    {
        return events_;
    }
    /// @brief Id of the last whole event that has one.
    [[nodiscard]] const std::string& last_id() const noexcept
    {
        return last_id_;
    }

  private:
    void note_line(std::string_view line);

    std::string held_;
    std::string whole_;
    std::string last_id_;
    /// Id of the event that is not whole yet.
    std::string next_id_;
    /// Bytes of held_ whose lines have been looked at.
    std::size_t scanned_ = 0;
    std::int64_t events_ = 0;
};

} // namespace parsleyshift
