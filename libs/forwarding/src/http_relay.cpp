#include <parsleyshift/forwarding/http_relay.hpp> // forwarded_request_head

#include <boost/beast/core/string.hpp>  // iequals
#include <boost/beast/http/rfc7230.hpp> // token_list

#include <algorithm> // any_of
#include <array>     // array
#include <utility>   // exchange

namespace parsleyshift
{
namespace
{

namespace beast = boost::beast;

constexpr std::array<std::string_view, 9> hop_by_hop{
    "connection",        "content-length", "keep-alive", "proxy-connection", "te", "trailer",
    "transfer-encoding", "upgrade",        "expect"};

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

bool equal(std::string_view left, std::string_view right)
{
    return beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

/// True when a Connection field names another field as one of its connection.
bool is_named(std::string_view connection, std::string_view field)
{
    for (const auto& token : beast::http::token_list{{connection.data(), connection.size()}})
    {
        if (equal(view(token), field))
        {
            return true;
        }
    }
    return false;
}

void append_field(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

bool concerns_one_connection(std::string_view field)
{
    return std::any_of(hop_by_hop.begin(), hop_by_hop.end(),
                       [field](std::string_view known) { return equal(known, field); });
}

std::string forwarded_request_head(const http_request& asked, const field_filter& forwards)
{
    std::string out;
    out.append(view(asked.method_string())).append(" ").append(view(asked.target())).append(" HTTP/1.1\r\n");
    const std::string_view connection = view(asked[beast::http::field::connection]);
    for (const auto& field : asked)
    {
        const std::string_view name = view(field.name_string());
        if (!concerns_one_connection(name) && !is_named(connection, name) && forwards(name))
        {
            append_field(out, name, view(field.value()));
        }
    }
    const bool may_have_body = asked.method() != beast::http::verb::get && asked.method() != beast::http::verb::head;
    if (!asked.body().empty() || may_have_body)
    {
        append_field(out, "Content-Length", std::to_string(asked.body().size()));
    }
    return out;
}

std::string forwarded_answer_head(const response_head& head, const answer_framing& framing)
{
    std::string out = "HTTP/1.1 " + std::to_string(head.result_int()) + ' ';
    out.append(view(head.reason().empty() ? beast::http::obsolete_reason(head.result()) : head.reason()));
    out.append("\r\n");
    const std::string_view connection = view(head[beast::http::field::connection]);
    for (const auto& field : head)
    {
        const std::string_view name = view(field.name_string());
        if (!concerns_one_connection(name) && !is_named(connection, name))
        {
            append_field(out, name, view(field.value()));
        }
    }
    if (framing.chunked)
    {
        append_field(out, "Transfer-Encoding", "chunked");
    }
    else
    {
        append_field(out, "Content-Length", std::to_string(framing.size));
    }
    if (!framing.keep_alive)
    {
        append_field(out, "Connection", "close");
    }
    out.append("\r\n");
    return out;
}

std::string_view event_splitter::take(std::string_view piece)
{
    held_.append(piece);
    std::size_t whole = 0;
    for (auto end = held_.find('\n', scanned_); end != std::string::npos; end = held_.find('\n', scanned_))
    {
        std::string_view line{held_.data() + scanned_, end - scanned_};
        scanned_ = end + 1;
        if (line.ends_with('\r'))
        {
            line.remove_suffix(1);
        }
        if (!line.empty())
        {
            note_line(line);
            continue;
        }
        whole = scanned_;
        ++events_;
        if (!next_id_.empty())
        {
            last_id_ = std::exchange(next_id_, {});
        }
    }
    whole_.assign(held_, 0, whole);
    held_.erase(0, whole);
    scanned_ -= whole;
    return whole_;
}

void event_splitter::note_line(std::string_view line)
{
    constexpr std::string_view name = "id:";
    if (!line.starts_with(name))
    {
        return;
    }
    line.remove_prefix(name.size());
    next_id_ = line.starts_with(' ') ? line.substr(1) : line;
}

} // namespace parsleyshift
