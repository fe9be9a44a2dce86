#include "caller_connection.hpp" // caller_connection

#include "caller_server.hpp" // caller_server
#include "sha256.hpp"        // hex_sha256

#include <parsleyshift/wire/caller_codec.hpp> // answer_body, http_status

#include <boost/asio/buffer.hpp>              // buffer
#include <boost/beast/core/buffers_range.hpp> // buffers_range_ref
#include <boost/beast/http/empty_body.hpp>    // empty_body
#include <boost/beast/http/error.hpp>         // error
#include <boost/beast/http/message.hpp>       // response
#include <boost/beast/http/serializer.hpp>    // response_serializer

#include <array>   // array
#include <utility> // move

namespace parsleyshift
{

namespace
{

namespace http = boost::beast::http;

constexpr std::size_t small_read = 1024;
constexpr std::size_t body_read = std::size_t{64} * 1024;
// Buffers above this size are given back between requests and writes, so that open streams stay small.
constexpr std::size_t kept_capacity = 4096;
// Requests that arrive while one is in progress wait in the buffer up to this size.
constexpr std::size_t max_early_input = std::size_t{16} * 1024;
// A caller that ignores its stall costs at most this many times the backlog bound before it is disconnected.
constexpr std::size_t backlog_limit_factor = 16;
// Bodies that all callers together may be sending.
constexpr std::size_t max_body_bytes_in_arrival = std::size_t{256} * 1024 * 1024;
constexpr int idle_factor = 6;
constexpr duration linger{2'000};
// Hexadecimal size of a chunk with a fixed width, so that it can be filled in when the chunk is complete.
constexpr std::string_view chunk_placeholder = "00000000\r\n";
constexpr std::string_view json_type = "application/json";

error_kind kind_of(const boost::system::error_code& failure)
{
    return failure == http::error::body_limit ? error_kind::body_too_large : error_kind::malformed_request;
}

} // namespace

caller_connection::caller_connection(tcp_socket socket, caller_server& server)
    : socket_(std::move(socket)), server_(server), last_progress_(millisecond_clock::now())
{
}

caller_connection::~caller_connection() = default;

void caller_connection::read()
{
    if (read_pending_ || state_ == state::closed)
    {
        return;
    }
    if (server_.events_.congested() && state_ == state::reading)
    {
        server_.paused_.push_back(shared_from_this());
        return;
    }
    if (in_progress() && input_.size() >= max_early_input)
    {
        return;
    }
    read_pending_ = true;
    const std::size_t size = parser_ && parser_->is_header_done() ? body_read : small_read;
    socket_.async_read_some(input_.prepare(size), [self = shared_from_this()](const auto& failure, std::size_t count)
                            { self->on_read(failure, count); });
}

void caller_connection::on_read(const boost::system::error_code& failure, std::size_t size)
{
    read_pending_ = false;
    if (state_ == state::closed)
    {
        return;
    }
    if (failure)
    {
        disconnect();
        return;
    }
    input_.commit(size);
    if (state_ == state::closing)
    {
        input_.clear();
    }
    parse();
    read();
    server_.events_.announce();
}

void caller_connection::parse()
{
    // The next request waits until the answer to the last one is written, so that answers cannot pile up.
    while (state_ == state::reading && input_.size() > 0 && output_.empty() && !write_pending_)
    {
        if (!feed_parser())
        {
            return;
        }
    }
}

bool caller_connection::feed_parser()
{
    const auto& bounds = server_.options_.bounds;
    if (!parser_)
    {
        parser_ = std::make_unique<parser>();
        parser_->header_limit(static_cast<std::uint32_t>(bounds.max_header_bytes));
        parser_->body_limit(bounds.max_body_bytes);
        request_began_ = millisecond_clock::now();
        continue_sent_ = false;
    }
    boost::system::error_code failure;
    const std::size_t used = parser_->put(input_.data(), failure);
    input_.consume(used);
    if (failure && failure != http::error::need_more)
    {
        reject(make_error(kind_of(failure), "HTTP: " + failure.message()));
        return false;
    }
    if (parser_->is_header_done() && !reserve_body())
    {
        return false;
    }
    if (parser_->is_done())
    {
        take_request();
        return true;
    }
    // The body is parsed after the header in a further step.
    parser_->eager(true);
    return used > 0 && !failure;
}

bool caller_connection::reserve_body()
{
    if (reserved_body_ > 0 || parser_->is_done())
    {
        return true;
    }
    const auto length = parser_->content_length();
    const std::size_t wanted = length ? static_cast<std::size_t>(*length) : server_.options_.bounds.max_body_bytes;
    if (server_.reserved_body_bytes_ + wanted > max_body_bytes_in_arrival)
    {
        reject(make_error(error_kind::queue_full, "body: too many bodies are arriving", duration{1000}));
        return false;
    }
    reserved_body_ = wanted;
    server_.reserved_body_bytes_ += wanted;
    if (!continue_sent_ && parser_->get()[http::field::expect] == "100-continue")
    {
        continue_sent_ = true;
        // Written at once: the caller sends nothing before it arrives, so the socket is empty.
        boost::system::error_code ignored;
        socket_.write_some(asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ignored);
    }
    return true;
}

void caller_connection::release_body()
{
    server_.reserved_body_bytes_ -= reserved_body_;
    reserved_body_ = 0;
}

void caller_connection::take_request()
{
    const auto message = parser_->release();
    parser_.reset();
    release_body();
    if (input_.capacity() > kept_capacity)
    {
        input_.shrink_to_fit();
    }
    keep_alive_ = message.keep_alive();
    chunked_ = message.version() >= 11;
    const std::string_view key = presented_key(message[http::field::authorization]);
    const std::string key_sha256 = key.empty() ? std::string{} : hex_sha256(key);
    const caller_message call{message.method(), message.target(), message.body(), key_sha256};
    auto routed = route_call(call, server_.call_context_);
    state_ = state::waiting;
    if (routed.has_error())
    {
        const error& why = routed.error();
        server_.metrics_.count_malformed(input_source::caller, why.kind);
        answer(http_status(why.kind), json_type, answer_body(request_rejected{{}, outcome::not_run, why, 0, never}));
        flush();
        return;
    }
    if (const auto* local = std::get_if<local_call>(&routed.value()))
    {
        if (*local == local_call::stop)
        {
            server_.events_.send({stop_planned{}, {}});
            answer(202, json_type, "{\"outcome\":\"completed\"}");
        }
        else
        {
            answer(200, "text/plain; version=0.0.4", server_.metrics_text_());
        }
        flush();
        return;
    }
    request_ = server_.next_request_;
    server_.next_request_ = request_.next();
    server_.requests_.emplace(request_, shared_from_this());
    event& what = std::get<event>(routed.value());
    set_request(what, request_);
    server_.events_.send({std::move(what), key_sha256});
}

void caller_connection::reject(const error& why, unsigned status)
{
    server_.metrics_.count_malformed(input_source::caller, why.kind);
    parser_.reset();
    release_body();
    keep_alive_ = false;
    state_ = state::waiting;
    answer(status != 0 ? status : http_status(why.kind), json_type,
           answer_body(request_rejected{{}, outcome::not_run, why, 0, never}));
    flush();
}

void caller_connection::answer(unsigned status, std::string_view content_type, std::string_view body)
{
    append_head(status, content_type, body.size(), false);
    output_ += body;
    end_request();
}

std::string& caller_connection::stream()
{
    if (state_ != state::streaming)
    {
        keep_alive_ = keep_alive_ && chunked_;
        append_head(200, "text/event-stream", 0, chunked_);
        state_ = state::streaming;
    }
    if (chunk_ == std::string::npos && chunked_)
    {
        chunk_ = output_.size();
        output_ += chunk_placeholder;
    }
    return output_;
}

void caller_connection::end_stream()
{
    seal_chunk();
    if (chunked_)
    {
        output_ += "0\r\n\r\n";
    }
    end_request();
}

void caller_connection::end_request()
{
    if (request_ != request_id{})
    {
        server_.requests_.erase(request_);
        request_ = request_id{};
    }
    stalled_ = false;
    state_ = keep_alive_ && !server_.finished_ ? state::reading : state::closing;
}

void caller_connection::append_head(unsigned status, std::string_view content_type, std::size_t size, bool chunked)
{
    http::response<http::empty_body> head;
    head.result(status);
    head.set(http::field::content_type, boost::beast::string_view(content_type.data(), content_type.size()));
    head.keep_alive(keep_alive_);
    if (chunked)
    {
        head.set(http::field::cache_control, "no-store");
        head.chunked(true);
    }
    else if (state_ != state::streaming && content_type != "text/event-stream")
    {
        head.content_length(size);
    }
    http::response_serializer<http::empty_body> serializer(head);
    serializer.split(true);
    boost::system::error_code failure;
    serializer.next(failure,
                    [this, &serializer](boost::system::error_code&, const auto& buffers)
                    {
                        for (const auto buffer : boost::beast::buffers_range_ref(buffers))
                        {
                            output_.append(static_cast<const char*>(buffer.data()), buffer.size());
                        }
                        serializer.consume(boost::beast::buffer_bytes(buffers));
                    });
}

void caller_connection::seal_chunk()
{
    if (chunk_ == std::string::npos)
    {
        return;
    }
    std::size_t size = output_.size() - chunk_ - chunk_placeholder.size();
    for (std::size_t digit = 8; digit > 0; --digit)
    {
        output_[chunk_ + digit - 1] = "0123456789abcdef"[size & 0xfU];
        size >>= 4U;
    }
    output_ += "\r\n";
    chunk_ = std::string::npos;
}

std::size_t caller_connection::backlog() const noexcept
{
    return output_.size() + writing_.size() - written_;
}

void caller_connection::check_backlog()
{
    const std::size_t bound = server_.options_.bounds.max_backlog_bytes;
    if (!stalled_ && state_ == state::streaming && backlog() >= bound)
    {
        stalled_ = true;
        server_.events_.send({caller_stalled{request_}, {}});
    }
    if (backlog() >= bound * backlog_limit_factor)
    {
        disconnect();
    }
}

void caller_connection::flush()
{
    dirty_ = false;
    if (write_pending_ || output_.empty() || state_ == state::closed)
    {
        return;
    }
    seal_chunk();
    writing_.swap(output_);
    written_ = 0;
    last_progress_ = millisecond_clock::now();
    write_some();
}

void caller_connection::write_some()
{
    write_pending_ = true;
    const auto rest = asio::buffer(writing_.data() + written_, writing_.size() - written_);
    socket_.async_write_some(rest, [self = shared_from_this()](const auto& failure, std::size_t count)
                             { self->on_written(failure, count); });
}

void caller_connection::on_written(const boost::system::error_code& failure, std::size_t size)
{
    write_pending_ = false;
    if (state_ == state::closed)
    {
        return;
    }
    if (failure)
    {
        disconnect();
        return;
    }
    written_ += size;
    last_progress_ = millisecond_clock::now();
    if (written_ < writing_.size())
    {
        write_some();
        return;
    }
    writing_.clear();
    written_ = 0;
    if (writing_.capacity() > kept_capacity)
    {
        std::string{}.swap(writing_);
    }
    if (!output_.empty())
    {
        flush();
        return;
    }
    output_written();
    server_.events_.announce();
}

void caller_connection::output_written()
{
    if (output_.capacity() > kept_capacity)
    {
        std::string{}.swap(output_);
    }
    if (stalled_)
    {
        stalled_ = false;
        server_.events_.send({caller_drained{request_}, {}});
    }
    if (state_ == state::closing)
    {
        // Closing with unread input would reset the connection and could destroy the answer on its way.
        boost::system::error_code ignored;
        socket_.shutdown(tcp_socket::shutdown_send, ignored);
        read();
        return;
    }
    if (server_.finished_ && !in_progress())
    {
        disconnect();
        return;
    }
    parse();
    read();
}

void caller_connection::finish()
{
    keep_alive_ = false;
    const bool has_output = write_pending_ || !output_.empty();
    if (!in_progress() && !has_output)
    {
        disconnect();
    }
    else if (state_ == state::reading)
    {
        state_ = state::closing;
    }
}

void caller_connection::check_time(time_point now)
{
    const auto& bounds = server_.options_.bounds;
    const duration quiet = now - last_progress_;
    const bool stuck = write_pending_ && quiet > bounds.write_timeout;
    const bool lingers = state_ == state::closing && !write_pending_ && quiet > linger;
    const bool idle = state_ == state::reading && !parser_ && quiet > bounds.request_timeout * idle_factor;
    if (stuck || lingers || idle)
    {
        disconnect();
    }
    else if (state_ == state::reading && parser_ && now - request_began_ > bounds.request_timeout)
    {
        reject(make_error(error_kind::malformed_request, "HTTP: the request did not arrive in time"), 408);
    }
}

void caller_connection::disconnect()
{
    if (state_ == state::closed)
    {
        return;
    }
    state_ = state::closed;
    release_body();
    if (request_ != request_id{})
    {
        server_.events_.send({caller_disconnected{request_}, {}});
        server_.requests_.erase(request_);
    }
    boost::system::error_code ignored;
    socket_.close(ignored);
    server_.remove(shared_from_this());
}

} // namespace parsleyshift
