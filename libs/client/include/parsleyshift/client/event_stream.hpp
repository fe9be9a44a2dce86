#pragma once

#include <cstddef>     // size_t
#include <functional>  // function
#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief An event of a text/event-stream body.
struct stream_event
{
    std::string name;
    /// Values of the data lines, joined by line feeds.
    std::string data;
};

/// @brief Incremental parser of a text/event-stream body. The body may be split into pieces at any byte.
class event_stream_parser
{
  public:
    /// Largest event that is accepted.
    static constexpr std::size_t max_event_bytes = std::size_t{4} * 1024 * 1024;

    /// Receives the events. Returns false to end parsing.
    using event_sink = std::function<bool(const stream_event&)>;

    /// @brief Parses a piece of the body and passes each completed event to `sink`. Linear in the size of the piece.
    /// @return false if the sink returned false or an event exceeds max_event_bytes; do not use the parser after that
    bool feed(std::string_view piece, const event_sink& sink);

  private:
    bool parse_line(std::string_view line, const event_sink& sink);

    std::string line_;
    stream_event event_;
};

} // namespace parsleyshift
