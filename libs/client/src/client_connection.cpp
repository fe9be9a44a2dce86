#include <parsleyshift/client/client_connection.hpp> // client_connection

#include <parsleyshift/core/http_status.hpp> // is_valid_status, max_interim_responses

#include <boost/asio/io_context.hpp>        // io_context
#include <boost/asio/ip/tcp.hpp>            // tcp
#include <boost/beast/core/flat_buffer.hpp> // flat_buffer
#include <boost/beast/core/tcp_stream.hpp>  // tcp_stream
#include <boost/beast/http.hpp>             // request, response_parser, string_body

#include <array>    // array
#include <charconv> // from_chars
#include <chrono>   // milliseconds
#include <cstdint>  // uint64_t
#include <limits>   // numeric_limits
#include <optional> // optional
#include <string>   // string
#include <utility>  // move

namespace parsleyshift
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

class client_connection::implementation
{
  public:
    implementation(std::string address, duration operation_timeout)
        : address_(std::move(address)), operation_timeout_(operation_timeout.count())
    {
    }

    [[nodiscard]] const std::string& address() const noexcept
    {
        return address_;
    }

    result<client_response> run(const client_request& call, const body_sink* sink)
    {
        const auto request = to_request(call);
        const bool reused = tcp_stream_.has_value();
        auto answer = send_once(request, sink);
        // The server may close an idle connection at any time, so an idempotent request is sent again on a new one.
        if (!answer && reused && call.method == "GET" && !header_received_)
        {
            answer = send_once(request, sink);
        }
        return answer;
    }

  private:
    using request_type = http::request<http::string_body>;
    using response_parser = http::response_parser<http::buffer_body>;

    [[nodiscard]] request_type to_request(const client_request& call) const
    {
        // Version 11 is HTTP/1.1.
        request_type request{http::string_to_verb(call.method), call.target, 11};
        request.set(http::field::host, address_);
        if (!call.bearer.empty())
        {
            request.set(http::field::authorization, "Bearer " + call.bearer);
        }
        if (!call.body.empty())
        {
            request.set(http::field::content_type, "application/json");
        }
        request.body() = call.body;
        request.prepare_payload();
        return request;
    }
    result<client_response> send_once(const request_type& request, const body_sink* sink)
    {
        header_received_ = false;
        if (const error_code ec = connect())
        {
            tcp_stream_.reset();
            return make_error(error_kind::no_endpoint, address_ + ": " + ec.message());
        }
        auto answer = exchange(request, sink);
        if (!answer)
        {
            tcp_stream_.reset();
        }
        return answer;
    }
    result<client_response> exchange(const request_type& request, const body_sink* sink)
    {
        if (const error_code ec =
                run_operation([&](auto done) { http::async_write(*tcp_stream_, request, std::move(done)); }))
        {
            return connection_error(ec);
        }
        std::optional<response_parser> parser;
        for (int interim_responses = 0; interim_responses <= max_interim_responses; ++interim_responses)
        {
            parser.emplace();
            parser->body_limit(sink == nullptr ? max_body_bytes : std::numeric_limits<std::uint64_t>::max());
            if (const error_code ec = run_operation(
                    [&](auto done) { http::async_read_header(*tcp_stream_, buffer_, *parser, std::move(done)); }))
            {
                return connection_error(ec);
            }
            header_received_ = true;
            const unsigned status = parser->get().result_int();
            // No request asks for an upgrade.
            if (!is_valid_status(status) || parser->get().result() == http::status::switching_protocols)
            {
                return connection_error("the response has the invalid status " + std::to_string(status));
            }
            if (http::to_status_class(status) != http::status_class::informational)
            {
                return read_body(*parser, sink);
            }
        }
        return connection_error("too many interim responses");
    }
    result<client_response> read_body(response_parser& parser, const body_sink* sink)
    {
        client_response answer;
        answer.status = static_cast<int>(parser.get().result_int());
        const bool streamed = sink != nullptr && answer.status == 200;
        std::array<char, std::size_t{16} * 1024> chunk{};
        while (!parser.is_done())
        {
            parser.get().body().data = chunk.data();
            parser.get().body().size = chunk.size();
            error_code ec = run_operation([&](auto done)
                                          { http::async_read_some(*tcp_stream_, buffer_, parser, std::move(done)); });
            if (ec && ec != http::error::need_buffer)
            {
                return connection_error(ec);
            }
            const std::string_view data{chunk.data(), chunk.size() - parser.get().body().size};
            if (!streamed)
            {
                answer.body += data;
            }
            else if (!data.empty() && !(*sink)(data))
            {
                tcp_stream_.reset();
                return answer;
            }
        }
        if (!parser.keep_alive())
        {
            tcp_stream_.reset();
        }
        return answer;
    }
    error_code connect()
    {
        if (tcp_stream_.has_value())
        {
            return {};
        }
        const std::size_t colon = address_.rfind(':');
        error_code ec;
        const auto ip = asio::ip::make_address(address_.substr(0, colon), ec);
        unsigned short port = 0;
        if (colon != std::string::npos)
        {
            std::from_chars(address_.data() + colon + 1, address_.data() + address_.size(), port);
        }
        if (ec || port == 0)
        {
            return asio::error::make_error_code(asio::error::invalid_argument);
        }
        buffer_.clear();
        tcp_stream_.emplace(context_);
        ec = run_operation([&](auto done) { tcp_stream_->async_connect({ip, port}, std::move(done)); });
        if (!ec)
        {
            tcp_stream_->socket().set_option(asio::ip::tcp::no_delay{true}, ec);
        }
        return ec;
    }
    /// Runs one asynchronous operation to completion or until the time limit.
    template <class Start>
    error_code run_operation(Start start)
    {
        error_code operation_result;
        tcp_stream_->expires_after(operation_timeout_);
        start([&operation_result](error_code ec, auto...) { operation_result = ec; });
        context_.restart();
        context_.run();
        return operation_result;
    }
    [[nodiscard]] error connection_error(const error_code& cause) const
    {
        return connection_error(cause.message());
    }
    [[nodiscard]] error connection_error(const std::string& cause) const
    {
        return make_error(error_kind::link_broken, address_ + ": " + cause);
    }

    std::string address_;
    std::chrono::milliseconds operation_timeout_;
    bool header_received_ = false;
    asio::io_context context_;
    std::optional<beast::tcp_stream> tcp_stream_;
    beast::flat_buffer buffer_;
};

client_connection::client_connection(std::string address, duration operation_timeout)
    : implementation_(std::make_unique<implementation>(std::move(address), operation_timeout))
{
}
client_connection::~client_connection() = default;
client_connection::client_connection(client_connection&&) noexcept = default;
client_connection& client_connection::operator=(client_connection&&) noexcept = default;

result<client_response> client_connection::call(const client_request& request)
{
    return implementation_->run(request, nullptr);
}

result<client_response> client_connection::stream(const client_request& request, const body_sink& sink)
{
    return implementation_->run(request, &sink);
}

const std::string& client_connection::address() const noexcept
{
    return implementation_->address();
}

std::string url_escape(std::string_view text)
{
    constexpr std::string_view unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string escaped;
    for (const char character : text)
    {
        if (unreserved.find(character) != std::string_view::npos)
        {
            escaped += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        escaped += '%';
        escaped += digits[byte >> 4U];
        escaped += digits[byte & 15U];
    }
    return escaped;
}

} // namespace parsleyshift
