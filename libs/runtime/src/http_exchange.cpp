#include "http_exchange.hpp" // http_exchange

#include <parsleyshift/core/http_status.hpp> // is_valid_status, max_interim_responses

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
#include <cstddef>     // size_t
#include <optional>    // optional
#include <string>      // string, to_string
#include <string_view> // string_view
#include <utility>     // move

namespace parsleyshift
{

namespace http = boost::beast::http;

namespace
{

/// Safety margin before the idle timeout that a server announces. A request sent close to the timeout can arrive after
/// the server has closed the connection; the margin covers a round trip between regions.
constexpr duration idle_margin{300};
constexpr std::string_view timeout_parameter = "timeout=";
/// Responses to other requests that are dropped before an exchange fails.
constexpr int max_skipped_responses = 4;
/// Their total size, that of the largest response which an instance passes on.
constexpr std::size_t max_skipped_bytes = std::size_t{8} * 1024 * 1024;

/// Returns the timeout parameter of a Keep-Alive field, limited to one day, or nothing when it is missing or invalid.
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
    // Without a limit, the conversion to milliseconds could overflow.
    return std::chrono::duration_cast<duration>(std::chrono::seconds{std::min<std::int64_t>(seconds, 86'400)});
}

} // namespace

http_connection::http_connection(asio::io_context& context, http_client& owning_client, std::string remote_address)
    : socket(context),
      client(owning_client),
      address(std::move(remote_address)),
      idle_limit(owning_client.options_.idle_timeout)
{
}

void http_connection::read()
{
    if (read_pending || input_size == input.size())
    {
        return;
    }
    read_pending = true;
    const auto free_space = asio::buffer(input.data() + input_size, input.size() - input_size);
    socket.async_read_some(free_space,
                           [self = shared_from_this()](const boost::system::error_code& failure, std::size_t size)
                           {
                               self->read_pending = false;
                               self->input_size += size;
                               if (self->exchange)
                               {
                                   self->exchange->on_read(failure);
                               }
                               else
                               {
                                   // The server closed an idle connection, or sent data without a request.
                                   self->client.remove_idle(self);
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
    if (call_.text.has_error())
    {
        fail(attempt_failure::invalid_head, call_.text.error().detail);
        return;
    }
    if (!call_.fresh_connection)
    {
        connection_ = client_.take_idle(call_.address);
    }
    if (connection_)
    {
        connection_->exchange = shared_from_this();
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
    connection_->exchange = shared_from_this();
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
        set_socket_options(socket);
    }
    if (!parser_)
    {
        make_parser();
    }
    for (std::string_view rest = unwritten(); !rest.empty(); rest = unwritten())
    {
        if (written_ == 0 && millisecond_clock::now() > call_.send_deadline)
        {
            fail(attempt_failure::deadline_passed, "the send deadline passed before the request was written");
            return;
        }
        if (written_ == 0 && call_.may_send && !call_.may_send())
        {
            fail(attempt_failure::not_sent, "the server must not get the request any more");
            return;
        }
        written_ += socket.write_some(asio::buffer(rest), failure);
        if (failure == asio::error::would_block)
        {
            socket.async_wait(tcp_socket::wait_write,
                              [self = shared_from_this()](const boost::system::error_code& wait_failure)
                              {
                                  if (!self->ended_ && !wait_failure)
                                  {
                                      self->write();
                                      self->client_.options_.batch_done();
                                  }
                              });
            // A server may respond before it has read the whole request.
            read();
            return;
        }
        if (failure && written_ == 0 && connection_->reused)
        {
            release_connection(false);
            parser_.reset();
            connect();
            return;
        }
        if (failure)
        {
            fail(connection_failure(), failure.message());
            return;
        }
    }
    last_progress_ = millisecond_clock::now();
    // Frees the request, which can contain a long prompt.
    std::string{}.swap(call_.text.value());
    call_.body.reset();
    written_ = 0;
    sent_ = true;
    read();
}

std::string_view http_exchange::unwritten() const noexcept
{
    const std::string_view text = call_.text.value();
    if (written_ < text.size() || !call_.body)
    {
        return text.substr(written_);
    }
    return std::string_view(*call_.body).substr(written_ - text.size());
}

void http_exchange::make_parser()
{
    parser_ = std::make_unique<parser>();
    framing_ = {};
    if (call_.body_limit)
    {
        parser_->body_limit(*call_.body_limit);
    }
    else
    {
        parser_->body_limit(boost::none);
    }
}

void http_exchange::set_socket_options(tcp_socket& socket) const
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    const duration timeout = client_.options_.unacknowledged_timeout;
    if (timeout <= duration{})
    {
        return;
    }
    const auto milliseconds = static_cast<unsigned>(timeout.count());
    const int seconds =
        std::max(1, static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(timeout).count()));
    // The connection breaks after this number of unanswered keepalive probes.
    constexpr int max_unanswered_probes = 2;
    // Serves twice: as the flag that enables SO_KEEPALIVE, and as the interval of the probes in seconds.
    const int one = 1;
    const int descriptor = socket.native_handle();
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &one, sizeof one);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &max_unanswered_probes, sizeof max_unanswered_probes);
}

void http_exchange::apply_announced_idle_time()
{
    const auto field = parser_->get()[http::field::keep_alive];
    if (const auto announced = announced_idle_time({field.data(), field.size()}))
    {
        connection_->idle_limit = std::min(connection_->idle_limit, *announced - idle_margin);
    }
}

attempt_failure http_exchange::connection_failure() const noexcept
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
        fail(connection_failure(), failure.message());
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
        if (!feed_parser() || (skipping_ && parser_->is_done() && !drop_skipped_response()))
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
        complete(answer_end::framed);
        return;
    }
    if (connection_->input_size == connection_->input.size())
    {
        fail(attempt_failure::endpoint_error, "the response header is too large");
        return;
    }
    read();
}

bool http_exchange::feed_parser()
{
    http_connection& connection = *connection_;
    // Keeps the sink alive when one of its calls cancels the exchange.
    const auto sink = sink_;
    if (const auto fault = framing_.scan({connection.input.data(), connection.input_size}))
    {
        fail_framing(*fault);
        return false;
    }
    const bool had_head = parser_->is_header_done();
    boost::system::error_code failure;
    parser_->eager(had_head);
    const std::size_t consumed = parser_->put(asio::buffer(connection.input.data(), connection.input_size), failure);
    framing_.consumed(consumed);
    std::copy(connection.input.begin() + consumed, connection.input.begin() + connection.input_size,
              connection.input.begin());
    connection.input_size -= consumed;
    if (failure && failure != http::error::need_more)
    {
        fail(attempt_failure::endpoint_error, "HTTP: " + failure.message());
        return false;
    }
    if (!had_head && parser_->is_header_done())
    {
        if (!check_head())
        {
            return false;
        }
        if (http::to_status_class(parser_->get().result_int()) == http::status_class::informational)
        {
            return drop_interim_response();
        }
    }
    if (parser_->is_header_done() && !head_reported_)
    {
        head_reported_ = true;
        apply_announced_idle_time();
        if (!report_head(*sink))
        {
            return false;
        }
    }
    if (skipping_)
    {
        parser_->get().body().clear();
        skipped_bytes_ += consumed;
        if (skipped_bytes_ > max_skipped_bytes)
        {
            fail(attempt_failure::endpoint_error, "the responses to other requests are too large");
            return false;
        }
        return consumed > 0 && !failure;
    }
    if (!ended_ && head_reported_ && !parser_->get().body().empty() && !sink->on_body(parser_->get().body()))
    {
        cancel();
    }
    return !ended_ && consumed > 0 && !failure;
}

bool http_exchange::check_head()
{
    const auto& head = parser_->get().base();
    const unsigned status = head.result_int();
    if (!is_valid_status(status))
    {
        // The parser accepts any three digits.
        fail(attempt_failure::endpoint_error, "HTTP: the response has the invalid status " + std::to_string(status));
        return false;
    }
    const framing_result framing = response_body_framing(head, head.version(), status);
    if (framing.has_error())
    {
        fail_framing(framing.error());
        return false;
    }
    if (framing.value().end == body_end::chunks)
    {
        framing_.expect_chunks();
    }
    return true;
}

void http_exchange::fail_framing(framing_fault fault)
{
    fail(attempt_failure::endpoint_error, "HTTP: the response has " + std::string{name_of(fault)});
}

bool http_exchange::drop_interim_response()
{
    if (parser_->get().result() == http::status::switching_protocols)
    {
        fail(attempt_failure::endpoint_error, "HTTP: the response switches to a protocol that was not requested");
        return false;
    }
    if (++interim_responses_ > max_interim_responses)
    {
        fail(attempt_failure::endpoint_error, "HTTP: too many interim responses");
        return false;
    }
    make_parser();
    return true;
}

bool http_exchange::report_head(exchange_sink& sink)
{
    const head_verdict verdict = sink.on_head(parser_->get().base(), connection_->reused);
    if (ended_)
    {
        return false;
    }
    if (verdict == head_verdict::reject ||
        (verdict == head_verdict::skip && ++skipped_responses_ > max_skipped_responses))
    {
        fail(attempt_failure::endpoint_error, "the response header was rejected");
        return false;
    }
    skipping_ = verdict == head_verdict::skip;
    return true;
}

bool http_exchange::drop_skipped_response()
{
    if (!parser_->keep_alive())
    {
        fail(attempt_failure::link_broken, "the connection ended with a response to another request");
        return false;
    }
    skipping_ = false;
    head_reported_ = false;
    make_parser();
    return true;
}

void http_exchange::on_end_of_input()
{
    if (skipping_)
    {
        fail(attempt_failure::link_broken, "the connection ended with a response to another request");
        return;
    }
    boost::system::error_code failure;
    // Beast treats the end of an empty input as a complete message.
    const bool has_head = parser_->is_header_done();
    if (has_head)
    {
        parser_->put_eof(failure);
    }
    if (!has_head || failure || !parser_->is_done())
    {
        fail(attempt_failure::link_broken, "the connection was closed before the response was complete");
        return;
    }
    complete(answer_end::connection_closed);
}

void http_exchange::complete(answer_end end)
{
    const auto self = shared_from_this();
    // When the response came before the whole request was written, the server still expects the rest of the request.
    const bool keep =
        parser_->keep_alive() && connection_->input_size == 0 && sent_ && connection_->idle_limit > duration{};
    ended_ = true;
    client_.exchanges_.erase(self);
    release_connection(keep);
    const auto sink = std::move(sink_);
    sink->on_done(parser_->get().body(), end);
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
    // After these nothing was sent, so the connection can be reused.
    release_connection(failure == attempt_failure::deadline_passed || failure == attempt_failure::not_sent);
    const auto sink = std::move(sink_);
    sink->on_failed(failure, std::move(message));
}

void http_exchange::cancel()
{
    if (ended_)
    {
        return;
    }
    const auto self = shared_from_this();
    ended_ = true;
    client_.exchanges_.erase(self);
    release_connection(false);
    sink_.reset();
}

void http_exchange::release_connection(bool keep)
{
    if (!connection_)
    {
        return;
    }
    const auto connection = std::move(connection_);
    connection->exchange.reset();
    if (keep)
    {
        client_.add_idle(connection);
    }
    else
    {
        connection->close();
    }
}

void http_exchange::check_timeouts(time_point now)
{
    if (connecting_ && now - last_progress_ > client_.options_.connect_timeout)
    {
        fail(attempt_failure::connect_failed, "timed out while connecting");
    }
    else if (now > call_.response_deadline)
    {
        fail(connection_failure(), "the response was not complete by the response deadline");
    }
    else if (!head_reported_ && now > call_.start_deadline)
    {
        fail(connection_failure(), "the response had not begun by the start deadline");
    }
    else if (!connecting_ && reading_enabled_ && client_.options_.may_read() &&
             now - last_progress_ > silence_timeout())
    {
        fail(connection_failure(), "no data received within the silence timeout");
    }
}

duration http_exchange::silence_timeout() const noexcept
{
    return head_reported_ && call_.stall_timeout ? *call_.stall_timeout : client_.options_.silence_timeout;
}

} // namespace parsleyshift
