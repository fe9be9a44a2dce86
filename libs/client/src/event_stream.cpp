#include <parsleyshift/client/event_stream.hpp> // event_stream_parser

#include <utility> // exchange

namespace parsleyshift
{

bool event_stream_parser::feed(std::string_view piece, const event_sink& sink)
{
    while (!piece.empty())
    {
        const std::size_t end = piece.find('\n');
        line_ += piece.substr(0, end);
        if (line_.size() + event_.data.size() > max_event_bytes)
        {
            return false;
        }
        if (end == std::string_view::npos)
        {
            return true;
        }
        piece.remove_prefix(end + 1);
        const std::string line = std::exchange(line_, {});
        if (!parse_line(line, sink))
        {
            return false;
        }
    }
    return true;
}

bool event_stream_parser::parse_line(std::string_view line, const event_sink& sink)
{
    if (line.ends_with('\r'))
    {
        line.remove_suffix(1);
    }
    if (line.empty())
    {
        const stream_event event = std::exchange(event_, {});
        return event.data.empty() || sink(event);
    }
    const std::size_t colon = line.find(':');
    const std::string_view field = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view{} : line.substr(colon + 1);
    if (value.starts_with(' '))
    {
        value.remove_prefix(1);
    }
    if (field == "event")
    {
        event_.name = value;
    }
    else if (field == "data")
    {
        event_.data += event_.data.empty() ? "" : "\n";
        event_.data += value;
    }
    return true;
}

} // namespace parsleyshift
