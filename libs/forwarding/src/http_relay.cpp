#include <parsleyshift/forwarding/http_relay.hpp> // forwarded_request_head

#include <boost/beast/core/string.hpp>  // iequals
#include <boost/beast/http/rfc7230.hpp> // token_list

#include <algorithm> // any_of
#include <array>     // array
#include <utility>   // exchange, move

namespace parsleyshift
{
namespace
{

namespace beast = boost::beast;

constexpr std::array<std::string_view, 9> connection_specific{
    "connection",        "content-length", "keep-alive", "proxy-connection", "te", "trailer",
    "transfer-encoding", "upgrade",        "expect"};

std::string_view to_string_view(beast::string_view text)
{
    return {text.data(), text.size()};
}

bool equal_ignoring_case(std::string_view left, std::string_view right)
{
    return beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

/// Returns true when the value of a Connection field lists another field.
bool is_listed(std::string_view connection, std::string_view field)
{
    for (const auto& token : beast::http::token_list{{connection.data(), connection.size()}})
    {
        if (equal_ignoring_case(to_string_view(token), field))
        {
            return true;
        }
    }
    return false;
}

} // namespace

bool is_connection_specific(std::string_view field)
{
    return std::any_of(connection_specific.begin(), connection_specific.end(),
                       [field](std::string_view listed) { return equal_ignoring_case(listed, field); });
}

http_head_builder forwarded_request_head(const http_request& request, const field_filter& filter)
{
    http_head_builder head;
    head.request_line(to_string_view(request.method_string()), to_string_view(request.target()));
    const std::string_view connection = to_string_view(request[beast::http::field::connection]);
    for (const auto& field : request)
    {
        const std::string_view name = to_string_view(field.name_string());
        if (!is_connection_specific(name) && !is_listed(connection, name) && filter(name))
        {
            head.field(name, to_string_view(field.value()));
        }
    }
    const bool may_have_body =
        request.method() != beast::http::verb::get && request.method() != beast::http::verb::head;
    if (!request.body().empty() || may_have_body)
    {
        head.field("Content-Length", std::to_string(request.body().size()));
    }
    return head;
}

result<std::string> forwarded_response_head(const response_head& head, const response_framing& framing)
{
    http_head_builder out;
    out.status_line(
        head.result_int(),
        to_string_view(head.reason().empty() ? beast::http::obsolete_reason(head.result()) : head.reason()));
    const std::string_view connection = to_string_view(head[beast::http::field::connection]);
    for (const auto& field : head)
    {
        const std::string_view name = to_string_view(field.name_string());
        if (!is_connection_specific(name) && !is_listed(connection, name))
        {
            out.field(name, to_string_view(field.value()));
        }
    }
    if (framing.chunked)
    {
        out.field("Transfer-Encoding", "chunked");
    }
    else if (framing.body_size)
    {
        out.field("Content-Length", std::to_string(*framing.body_size));
    }
    if (!framing.keep_alive)
    {
        out.field("Connection", "close");
    }
    return std::move(out).finish();
}

std::string_view event_splitter::append(std::string_view chunk)
{
    // Searches new bytes only: a line can arrive in many chunks.
    const std::size_t searched = buffer_.size();
    buffer_.append(chunk);
    std::size_t complete_size = 0;
    for (auto end = buffer_.find('\n', searched); end != std::string::npos; end = buffer_.find('\n', parsed_))
    {
        std::string_view line{buffer_.data() + parsed_, end - parsed_};
        parsed_ = end + 1;
        if (line.ends_with('\r'))
        {
            line.remove_suffix(1);
        }
        if (!line.empty())
        {
            parse_line(line);
            continue;
        }
        complete_size = parsed_;
        ++event_count_;
        if (!pending_id_.empty())
        {
            last_event_id_ = std::exchange(pending_id_, {});
        }
    }
    complete_.assign(buffer_, 0, complete_size);
    buffer_.erase(0, complete_size);
    parsed_ -= complete_size;
    return complete_;
}

void event_splitter::parse_line(std::string_view line)
{
    constexpr std::string_view prefix = "id:";
    if (!line.starts_with(prefix))
    {
        return;
    }
    line.remove_prefix(prefix.size());
    pending_id_ = line.starts_with(' ') ? line.substr(1) : line;
}

} // namespace parsleyshift
