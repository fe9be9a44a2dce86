#include "http_exchange.hpp" // http_exchange

#include <boost/asio/buffer.hpp>      // buffer
#include <boost/asio/post.hpp>        // post
#include <boost/beast/http/error.hpp> // error
#include <boost/beast/http/read.hpp>  // response_parser
#include <boost/none.hpp>             // none

#include <netinet/tcp.h> // TCP_USER_TIMEOUT
#include <sys/socket.h>  // setsockopt

#include <algorithm>   // copy, max, min
#include <charconv>    // from_chars
#include <chrono>      // seconds
#include <optional>    // optional
#include <string_view> // string_view
#include <utility>     // move

namespace parsleyshift
{

namespace http = boost::beast::http;

namespace
{

/// A server closes an idle connection when the time that it has announced is over; by then it must not be used for a
/// new request any more, which would be on its way for up to a round trip between regions.
constexpr duration idle_margin{300};
constexpr std::string_view timeout_parameter = "timeout=";

/// Seconds of the timeout parameter of a Keep-Alive field, or nothing.
std::optional<duration> announced_idle_time(std::string_view keep_alive)
{
    const auto at = keep_alive.find(timeout_parameter);
    if (at == std::string_view::npos)
    {
        return std::nullopt;
    }
    std::int64_t seconds = 0;
    const char* first = keep_alive.data() + at + timeout_parameter.size();
    const auto parsed = std::from_chars(first, keep_alive.data() + keep_alive.size(), seconds);
    if (parsed.ec != std::errc{} || seconds < 0)
    {
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(std::chrono::seconds{std::min<std::int64_t>(seconds, 86'400)});
}

} // namespace

http_connection::http_connection(asio::io_context& context, http_client& owner, std::string to)
    : socket(context), client(owner), address(std::move(to)), idle_limit(owner.options_.idle_timeout)
{
}

void http_connection::read()
{
    if (read_pending || input_size == input.size())
    {
        return;
    }
    read_pending = true;
    const auto room = asio::buffer(input.data() + input_size, input.size() - input_size);
    socket.async_read_some(room,
                           [self = shared_from_this()](const boost::system::error_code& failure, std::size_t size)
                           {
                               self->read_pending = false;
                               self->input_size += size;
                               if (self->user)
                               {
                                   self->user->on_read(failure);
                               }
                               else
                               {
                                   // The server closed an idle connection, or sent what nobody asked for.
                                   self->client.forget_idle(self);
                                   self->close();
                               }
                           });
}

void http_connection::close()
{
    boost::system::error_code ignored;
    socket.close(ignored);
}

http_exchange::http_exchange(http_client& client, http_call call, std::shared_ptr<exchange_sink> sink)
    : client_(client), call_(std::move(call)), sink_(std::move(sink)), last_progress_(millisecond_clock::now())
{
}

void http_exchange::begin()
{
    if (ended_)
    {
        return;
    }
    if (!call_.fresh_connection)
    {
        connection_ = client_.take_idle(call_.address);
    }
    if (connection_)
    {
        connection_->user = shared_from_this();
        write();
        return;
    }
    connect();
}

void http_exchange::connect()
{
    const auto endpoint = parse_address(call_.address, "endpoint address");
    if (endpoint.has_error())
    {
        fail(attempt_failure::connect_failed, endpoint.error().detail);
        return;
    }
    connecting_ = true;
    last_progress_ = millisecond_clock::now();
    connection_ = std::make_shared<http_connection>(client_.context_, client_, call_.address);
    connection_->user = shared_from_this();
    connection_->socket.async_connect(endpoint.value(),
                                      [self = shared_from_this()](const boost::system::error_code& failure)
                                      {
                                          if (self->ended_)
                                          {
                                              return;
                                          }
                                          self->connecting_ = false;
                                          if (failure)
                                          {
                                              self->fail(attempt_failure::connect_failed, failure.message());
                                          }
                                          else
                                          {
                                              self->write();
                                          }
                                          self->client_.options_.batch_done();
                                      });
}

void http_exchange::write()
{
    auto& socket = connection_->socket;
    boost::system::error_code failure;
    if (written_ == 0 && !connection_->reused)
    {
        prepare(socket);
    }
    if (!parser_)
    {
        parser_ = std::make_unique<parser>();
        if (call_.body_limit)
        {
            parser_->body_limit(*call_.body_limit);
        }
        else
        {
            parser_->body_limit(boost::none);
        }
    }
    while (written_ < call_.text.size())
    {
        if (written_ == 0 && millisecond_clock::now() > call_.not_after)
        {
            fail(attempt_failure::deadline_passed, "the deadline passed before the request was written");
            return;
        }
        written_ +=
            socket.write_some(asio::buffer(call_.text.data() + written_, call_.text.size() - written_), failure);
        if (failure == asio::error::would_block)
        {
            socket.async_wait(tcp_socket::wait_write,
                              [self = shared_from_this()](const boost::system::error_code& broken)
                              {
                                  if (!self->ended_ && !broken)
                                  {
                                      self->write();
                                      self->client_.options_.batch_done();
                                  }
                              });
            // A server may answer before it has read the whole request.
            read();
            return;
        }
        if (failure && written_ == 0 && connection_->reused)
        {
            release(false);
            parser_.reset();
            connect();
            return;
        }
        if (failure)
        {
            fail(broken(), failure.message());
            return;
        }
    }
    last_progress_ = millisecond_clock::now();
    // Prompts are long; the text is not needed any more.
    std::string{}.swap(call_.text);
    written_ = 0;
    sent_ = true;
    read();
}

void http_exchange::prepare(tcp_socket& socket) const
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    const duration bound = client_.options_.unacknowledged_timeout;
    if (bound <= duration{})
    {
        return;
    }
    const auto milliseconds = static_cast<unsigned>(bound.count());
    const int seconds = std::max(1, static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(bound).count()));
    constexpr int probes = 2;
    const int on = 1;
    const int descriptor = socket.native_handle();
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &on, sizeof on);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

void http_exchange::limit_idle_time()
{
    const auto field = parser_->get()[http::field::keep_alive];
    if (const auto announced = announced_idle_time({field.data(), field.size()}))
    {
        connection_->idle_limit = std::min(connection_->idle_limit, *announced - idle_margin);
    }
}

attempt_failure http_exchange::broken() const noexcept
{
    return written_ == 0 && !sent_ ? attempt_failure::connect_failed : attempt_failure::link_broken;
}

void http_exchange::read()
{
    if (ended_ || !parser_ || !reading_enabled_)
    {
        return;
    }
    if (!client_.options_.may_read())
    {
        client_.paused_.push_back(shared_from_this());
        return;
    }
    connection_->read();
}

void http_exchange::set_reading(bool enabled)
{
    reading_enabled_ = enabled;
    if (enabled)
    {
        last_progress_ = millisecond_clock::now();
        read();
    }
}

void http_exchange::on_read(const boost::system::error_code& failure)
{
    const auto self = shared_from_this();
    last_progress_ = millisecond_clock::now();
    if (failure == asio::error::eof && parser_)
    {
        on_end_of_input();
    }
    else if (failure)
    {
        fail(broken(), failure.message());
    }
    else if (parser_)
    {
        on_input();
    }
    client_.options_.batch_done();
}

void http_exchange::on_input()
{
    while (connection_->input_size > 0 && !parser_->is_done())
    {
        if (!feed_parser())
        {
            break;
        }
    }
    if (ended_)
    {
        return;
    }
    if (parser_->is_done())
    {
        complete();
        return;
    }
    if (connection_->input_size == connection_->input.size())
    {
        fail(attempt_failure::endpoint_error, "the head of the answer is too large");
        return;
    }
    read();
}

bool http_exchange::feed_parser()
{
    http_connection& from = *connection_;
    // The sink may drop the exchange, and with it itself.
    const auto sink = sink_;
    boost::system::error_code failure;
    parser_->eager(parser_->is_header_done());
    const std::size_t used = parser_->put(asio::buffer(from.input.data(), from.input_size), failure);
    std::copy(from.input.begin() + used, from.input.begin() + from.input_size, from.input.begin());
    from.input_size -= used;
    if (failure && failure != http::error::need_more)
    {
        fail(attempt_failure::endpoint_error, "HTTP: " + failure.message());
        return false;
    }
    if (parser_->is_header_done() && !head_reported_)
    {
        head_reported_ = true;
        limit_idle_time();
        if (!sink->on_head(parser_->get().base()))
        {
            fail(attempt_failure::endpoint_error, "the answer does not belong to the request");
            return false;
        }
    }
    if (!ended_ && head_reported_ && !parser_->get().body().empty() && !sink->on_body(parser_->get().body()))
    {
        drop();
    }
    return !ended_ && used > 0 && !failure;
}

void http_exchange::on_end_of_input()
{
    boost::system::error_code failure;
    // Beast takes the end of an empty input for a complete message.
    const bool has_head = parser_->is_header_done();
    if (has_head)
    {
        parser_->put_eof(failure);
    }
    if (!has_head || failure || !parser_->is_done())
    {
        fail(attempt_failure::link_broken, "the connection closed before the end of the answer");
        return;
    }
    complete();
}

void http_exchange::complete()
{
    const auto self = shared_from_this();
    // A server that answered early still expects the rest of the request.
    const bool keep =
        parser_->keep_alive() && connection_->input_size == 0 && sent_ && connection_->idle_limit > duration{};
    ended_ = true;
    client_.exchanges_.erase(self);
    release(keep);
    const auto sink = std::move(sink_);
    sink->on_done(parser_->get().body());
}

void http_exchange::fail(attempt_failure failure, std::string message)
{
    if (ended_)
    {
        return;
    }
    const auto self = shared_from_this();
    ended_ = true;
    client_.exchanges_.erase(self);
    // A connection on which nothing was sent can serve the next exchange.
    release(failure == attempt_failure::deadline_passed);
    const auto sink = std::move(sink_);
    sink->on_failed(failure, std::move(message));
}

void http_exchange::drop()
{
    if (ended_)
    {
        return;
    }
    const auto self = shared_from_this();
    ended_ = true;
    client_.exchanges_.erase(self);
    release(false);
    sink_.reset();
}

void http_exchange::release(bool keep)
{
    if (!connection_)
    {
        return;
    }
    const auto connection = std::move(connection_);
    connection->user.reset();
    if (keep)
    {
        client_.keep(connection);
    }
    else
    {
        connection->close();
    }
}

void http_exchange::check_time(time_point now)
{
    if (connecting_ && now - last_progress_ > client_.options_.connect_timeout)
    {
        fail(attempt_failure::connect_failed, "no connection in time");
    }
    else if (now > call_.answer_by)
    {
        fail(broken(), "no answer in time");
    }
    else if (!connecting_ && reading_enabled_ && client_.options_.may_read() &&
             now - last_progress_ > client_.options_.silence_timeout)
    {
        fail(broken(), "silence on the connection");
    }
}

} // namespace parsleyshift
