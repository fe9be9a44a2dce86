#include "http_server.hpp" // serve

#include <boost/asio/io_context.hpp>        // io_context
#include <boost/asio/signal_set.hpp>        // signal_set
#include <boost/asio/write.hpp>             // write
#include <boost/beast/core/flat_buffer.hpp> // flat_buffer

#include <poll.h> // poll

#include <atomic>   // atomic
#include <charconv> // from_chars
#include <chrono>   // system_clock
#include <csignal>  // SIGTERM
#include <cstdlib>  // quick_exit
#include <iostream> // cout
#include <memory>   // shared_ptr
#include <sstream>  // ostringstream
#include <thread>   // thread
#include <utility>  // move

namespace parsleyshift::standins
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr int max_connections = 256;
constexpr int idle_ms = 60'000;
constexpr std::uint64_t max_body_bytes = std::uint64_t{8} * 1024 * 1024;
constexpr std::uint32_t max_header_bytes = 16 * 1024;

std::string unescape(const std::string& text)
{
    std::string plain;
    for (std::size_t index = 0; index < text.size(); ++index)
    {
        unsigned byte = 0;
        const char* digits = text.data() + index + 1;
        if (text[index] == '%' && index + 2 < text.size() &&
            std::from_chars(digits, digits + 2, byte, 16).ec == std::errc{})
        {
            plain += static_cast<char>(byte);
            index += 2;
            continue;
        }
        plain += text[index] == '+' ? ' ' : text[index];
    }
    return plain;
}

bool readable_in_time(tcp::socket& socket)
{
    pollfd watched{socket.native_handle(), POLLIN, 0};
    return ::poll(&watched, 1, idle_ms) == 1;
}

void serve_connection(tcp::socket socket, const std::function<void(exchange&)>& handle)
{
    boost::beast::flat_buffer buffer;
    bool usable = true;
    while (usable && (buffer.size() > 0 || readable_in_time(socket)))
    {
        http::request_parser<http::string_body> parser;
        parser.header_limit(max_header_bytes);
        parser.body_limit(max_body_bytes);
        error_code failed;
        http::read(socket, buffer, parser, failed);
        if (failed)
        {
            return;
        }
        const bool keep = parser.keep_alive();
        exchange current{socket, parser.release()};
        handle(current);
        usable = current.usable() && keep;
    }
}

/// Accepts until the context stops.
class listener
{
  public:
    listener(asio::io_context& context, tcp::endpoint endpoint, std::function<void(exchange&)> handle)
        : acceptor_(context, endpoint), handle_(std::move(handle))
    {
    }
    [[nodiscard]] std::string address() const
    {
        std::ostringstream text;
        text << acceptor_.local_endpoint();
        return text.str();
    }
    void accept()
    {
        acceptor_.async_accept(
            [this](error_code failed, tcp::socket socket)
            {
                if (!failed && open_ < max_connections)
                {
                    start(std::move(socket));
                }
                accept();
            });
    }

  private:
    void start(tcp::socket socket)
    {
        error_code ignored;
        socket.set_option(tcp::no_delay{true}, ignored);
        ++open_;
        std::thread{[this, moved = std::make_shared<tcp::socket>(std::move(socket))]
                    {
                        serve_connection(std::move(*moved), handle_);
                        --open_;
                    }}
            .detach();
    }

    tcp::acceptor acceptor_;
    std::function<void(exchange&)> handle_;
    std::atomic<int> open_ = 0;
};

void await_leave(asio::signal_set& signals, const std::function<void()>& leave)
{
    signals.async_wait(
        [&signals, &leave](error_code failed, int)
        {
            if (!failed)
            {
                leave();
                await_leave(signals, leave);
            }
        });
}

} // namespace

exchange::exchange(tcp::socket& socket, request_type request) : socket_(socket), request_(std::move(request))
{
    const std::string target{request_.target()};
    path_ = target.substr(0, target.find('?'));
}

std::string exchange::method() const
{
    return std::string{request_.method_string()};
}

std::string exchange::path_after(const std::string& prefix) const
{
    return path_.starts_with(prefix) ? unescape(path_.substr(prefix.size())) : "";
}

std::string exchange::query(const std::string& name, const std::string& fallback) const
{
    const std::string target{request_.target()};
    std::size_t start = target.find('?');
    while (start != std::string::npos)
    {
        const std::size_t end = target.find('&', start + 1);
        const std::string part = target.substr(start + 1, end == std::string::npos ? end : end - start - 1);
        if (part.starts_with(name + "="))
        {
            return unescape(part.substr(name.size() + 1));
        }
        start = end;
    }
    return fallback;
}

std::int64_t exchange::query_number(const std::string& name, std::int64_t fallback) const
{
    const std::string text = query(name);
    std::int64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc{} && !text.empty() ? number : fallback;
}

nlohmann::json exchange::body() const
{
    nlohmann::json parsed = nlohmann::json::parse(request_.body(), nullptr, false);
    return parsed.is_object() ? parsed : nlohmann::json{};
}

void exchange::reply(unsigned status, const nlohmann::json& body)
{
    http::response<http::string_body> answer{static_cast<http::status>(status), 11};
    answer.set(http::field::content_type, "application/json");
    answer.keep_alive(request_.keep_alive());
    answer.body() = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    answer.prepare_payload();
    error_code failed;
    http::write(socket_, answer, failed);
    usable_ = usable_ && !failed;
}

bool exchange::begin_lines()
{
    return write("HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n");
}

bool exchange::line(const nlohmann::json& value)
{
    const std::string text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    std::ostringstream chunk;
    chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
    return write(chunk.str());
}

void exchange::end_lines()
{
    write("0\r\n\r\n");
}

void exchange::drop()
{
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    usable_ = false;
}

bool exchange::write(const std::string& text)
{
    error_code failed;
    asio::write(socket_, asio::buffer(text), failed);
    usable_ = usable_ && !failed;
    return usable_;
}

int serve(const std::string& name, const std::string& address, const server_hooks& hooks)
{
    const std::size_t colon = address.rfind(':');
    unsigned short port = 0;
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    error_code failed;
    const auto ip = asio::ip::make_address(address.substr(0, colon), failed);
    if (failed || colon == std::string::npos)
    {
        std::cerr << "standins: " << address << " is not an address; write ip:port\n";
        return 2;
    }
    asio::io_context context;
    listener accepting{context, {ip, port}, hooks.handle};
    asio::signal_set ending{context, SIGTERM, SIGINT};
    ending.async_wait([&context](error_code, int) { context.stop(); });
    asio::signal_set leaving{context, SIGUSR1};
    await_leave(leaving, hooks.leave);
    accepting.accept();
    hooks.ready(accepting.address());
    std::cout << name << " listening on " << accepting.address() << std::endl;
    context.run();
    // Threads of connections still run, so that static objects must not be destroyed under them.
    std::quick_exit(0);
}

std::int64_t now_ms()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

} // namespace parsleyshift::standins
