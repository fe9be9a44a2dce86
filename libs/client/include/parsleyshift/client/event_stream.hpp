#pragma once

#include <cstddef>     // size_t
#include <functional>  // function
#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief One event of a text/event-stream body.
struct stream_event
{
    std::string name;
    std::string data;
};

/// @brief Splits a text/event-stream body into events, however the body is cut into pieces.
class event_stream
{
  public:
    /// Bytes of one event; a longer one is a fault of the server.
    static constexpr std::size_t max_event_bytes = std::size_t{4} * 1024 * 1024;

    using event_sink = std::function<bool(const stream_event&)>;

    /// @brief Takes a piece of the body and hands over the events that it completes. Linear in the piece.
    /// @return false when the sink has returned false or an event is too large; the stream must not be used then
    bool feed(std::string_view piece, const event_sink& sink);

  private:
    bool take_line(std::string_view line, const event_sink& sink);

    std::string line_;
    stream_event event_;
};

} // namespace parsleyshift
