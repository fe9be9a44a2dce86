#include <parsleyshift/runtime/http_session.hpp> // http_session

#include <parsleyshift/runtime/http_server.hpp> // http_server

#include <boost/asio/buffer.hpp>              // buffer
#include <boost/beast/core/buffers_range.hpp> // buffers_range_ref
#include <boost/beast/http/empty_body.hpp>    // empty_body
#include <boost/beast/http/error.hpp>         // error
#include <boost/beast/http/message.hpp>       // response
#include <boost/beast/http/serializer.hpp>    // response_serializer

#include <linux/sockios.h> // SIOCOUTQ
#include <sys/ioctl.h>     // ioctl

#include <algorithm>  // clamp
#include <array>      // array
#include <functional> // hash
#include <utility>    // exchange, move

namespace parsleyshift
{

namespace
{

namespace http = boost::beast::http;

// Sizes of one read. Every open connection holds a buffer for the next header, so that one is small.
constexpr std::size_t header_read_bytes = 1024;
constexpr std::size_t body_read_bytes = std::size_t{64} * 1024;
constexpr std::size_t discard_read_bytes = 4096;
// Larger buffers are freed between requests and writes, which limits the memory of each open stream.
constexpr std::size_t max_kept_capacity_bytes = 4096;
// Limit of pipelined input that is buffered while a request is in progress.
constexpr std::size_t max_pipelined_bytes = std::size_t{16} * 1024;
// The client of a stream that does not read is disconnected when its backlog reaches max_backlog_bytes times this
// factor. The gap holds the output that still arrives after on_stalled().
constexpr std::size_t backlog_limit_factor = 16;
// Limit of the request bodies that all connections of a server receive at the same time.
constexpr std::size_t max_total_body_bytes = std::size_t{256} * 1024 * 1024;
// Default idle timeout, in multiples of the request timeout.
constexpr int idle_timeout_factor = 6;
// Time for which input is discarded after the last response, until the client closes the connection.
constexpr duration linger_timeout{2'000};
// Chunk size line of fixed width; finish_chunk() overwrites the digits once the size is known.
constexpr std::string_view chunk_placeholder = "00000000\r\n";

error_kind error_kind_of(const boost::system::error_code& failure)
{
    return failure == http::error::body_limit ? error_kind::body_too_large : error_kind::malformed_request;
}

unsigned http_status_of(const boost::system::error_code& failure)
{
    if (failure == http::error::body_limit)
    {
        return static_cast<unsigned>(http::status::payload_too_large);
    }
    const bool header_too_large = failure == http::error::header_limit;
    return static_cast<unsigned>(header_too_large ? http::status::request_header_fields_too_large
                                                  : http::status::bad_request);
}

} // namespace

http_session::http_session(tcp_socket socket, http_server& server)
    : socket_(std::move(socket)), server_(server), last_progress_(millisecond_clock::now())
{
}

http_session::~http_session() = default;

void http_session::read()
{
    if (read_pending_ || waiter_ || state_ == state::closed)
    {
        return;
    }
    if (!server_.handler_.may_read() && state_ == state::reading)
    {
        server_.paused_.push_back(shared_from_this());
        return;
    }
    // Pipelined input is not counted in the budget, so less of it is buffered when there is one.
    const std::size_t pipelined_limit =
        server_.options_.budget != nullptr ? max_kept_capacity_bytes : max_pipelined_bytes;
    if (in_progress() && input_.size() >= pipelined_limit)
    {
        return;
    }
    read_pending_ = true;
    // Waits without a buffer: input_ may be consumed and shrunk before the next bytes arrive.
    socket_.async_wait(tcp_socket::wait_read,
                       [self = shared_from_this()](const auto& failure) { self->on_readable(failure); });
}

std::size_t http_session::read_size() const
{
    if (state_ == state::closing)
    {
        return discard_read_bytes;
    }
    if (!parser_ || !parser_->is_header_done())
    {
        return header_read_bytes;
    }
    const auto remaining = parser_->content_length_remaining();
    return remaining ? std::clamp(static_cast<std::size_t>(*remaining), header_read_bytes, body_read_bytes)
                     : body_read_bytes;
}

void http_session::on_readable(boost::system::error_code failure)
{
    read_pending_ = false;
    if (state_ == state::closed)
    {
        return;
    }
    std::size_t size = 0;
    if (!failure)
    {
        size = socket_.read_some(input_.prepare(read_size()), failure);
    }
    if (failure == asio::error::would_block)
    {
        read();
        return;
    }
    on_read(failure, size);
}

void http_session::on_read(const boost::system::error_code& failure, std::size_t size)
{
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
    server_.handler_.batch_done();
}

void http_session::parse()
{
    // The next request is parsed only after the previous response is written, so that responses cannot accumulate.
    while (state_ == state::reading && !waiter_ && input_.size() > 0 && output_.empty() && !write_pending_)
    {
        if (!feed_parser())
        {
            return;
        }
    }
}

bool http_session::feed_parser()
{
    const auto& bounds = server_.options_.bounds;
    if (!parser_)
    {
        parser_ = std::make_unique<parser>();
        parser_->header_limit(static_cast<std::uint32_t>(bounds.max_header_bytes));
        parser_->body_limit(bounds.max_body_bytes);
        request_start_ = millisecond_clock::now();
        continue_sent_ = false;
        framing_ = {};
        chunked_head_.reset();
    }
    const auto unparsed = input_.data();
    if (const auto fault = framing_.scan({static_cast<const char*>(unparsed.data()), unparsed.size()}))
    {
        reject_framing(*fault);
        return false;
    }
    const bool had_head = parser_->is_header_done();
    boost::system::error_code failure;
    const std::size_t used = parser_->put(unparsed, failure);
    framing_.consumed(used);
    input_.consume(used);
    if (failure && failure != http::error::need_more)
    {
        reject(make_error(error_kind_of(failure), "HTTP: " + failure.message()), http_status_of(failure));
        return false;
    }
    if (!had_head && parser_->is_header_done() && !check_framing())
    {
        return false;
    }
    if (parser_->is_header_done() && !reserve_body_bytes())
    {
        return false;
    }
    if (parser_->is_done())
    {
        dispatch_request();
        return true;
    }
    // put() parses the header and the body in separate calls.
    parser_->eager(true);
    return used > 0 && !failure;
}

bool http_session::check_framing()
{
    const auto& head = parser_->get().base();
    const framing_result framing = request_framing(head, head.version());
    if (framing.has_error())
    {
        reject_framing(framing.error());
        return false;
    }
    if (framing.value().end == body_end::chunks)
    {
        framing_.expect_chunks();
        chunked_head_ = std::make_unique<http::request_header<>>(head);
    }
    return true;
}

void http_session::reject_framing(framing_fault fault)
{
    reject(make_error(error_kind::malformed_request, "HTTP: the request has " + std::string{name_of(fault)}),
           static_cast<unsigned>(http::status::bad_request));
}

bool http_session::reserve_body_bytes()
{
    if (server_.options_.budget != nullptr)
    {
        return reserve_from_budget();
    }
    if (reserved_body_ > 0 || parser_->is_done())
    {
        return true;
    }
    const auto length = parser_->content_length();
    const std::size_t body_bytes = length ? static_cast<std::size_t>(*length) : server_.options_.bounds.max_body_bytes;
    if (server_.reserved_body_bytes_ + body_bytes > max_total_body_bytes)
    {
        reject(make_error(error_kind::queue_full, "body: the server is receiving too many request bodies",
                          /*retry_after=*/duration{1000}),
               static_cast<unsigned>(http::status::service_unavailable));
        return false;
    }
    reserved_body_ = body_bytes;
    server_.reserved_body_bytes_ += body_bytes;
    send_continue();
    return true;
}

void http_session::send_continue()
{
    if (!continue_sent_ && parser_->get()[http::field::expect] == "100-continue")
    {
        continue_sent_ = true;
        // The client waits for this line before it sends the body, so the send buffer is empty and the write completes.
        boost::system::error_code ignored;
        socket_.write_some(asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ignored);
    }
}

bool http_session::reserve_from_budget()
{
    memory_budget& budget = *server_.options_.budget;
    const std::size_t received = parser_->get().body().size();
    if (body_share_.bytes() == 0)
    {
        const auto key = parser_->get()[http::field::authorization];
        customer_ = std::hash<std::string_view>{}({key.data(), key.size()});
    }
    if (parser_->is_done())
    {
        if (body_share_.bytes() == 0 && received > 0)
        {
            // The whole body came with the header, so it is small.
            body_share_ = budget.charge({memory_use::request_body, customer_, received});
        }
        return true;
    }
    // A chunked body does not state its length: it counts as small until it is not.
    const auto length = parser_->content_length();
    const std::size_t unannounced =
        received <= memory_budget::small_bytes ? memory_budget::small_bytes : server_.options_.bounds.max_body_bytes;
    const std::size_t body_bytes = length ? static_cast<std::size_t>(*length) : unannounced;
    if (body_share_.bytes() >= body_bytes)
    {
        return true;
    }
    const memory_request wanted{memory_use::request_body, customer_, body_bytes};
    if (!budget.can_hold(wanted.use, wanted.bytes))
    {
        reject(make_error(error_kind::body_too_large, "body: larger than the memory for bodies of this instance"),
               static_cast<unsigned>(http::status::payload_too_large));
        return false;
    }
    if (auto share = budget.take(wanted))
    {
        body_share_ = std::move(*share);
        send_continue();
        return true;
    }
    if (!budget.may_wait())
    {
        reject_for_room(body_bytes);
        return false;
    }
    waiter_ = budget.wait(wanted, millisecond_clock::now() + memory_budget::max_body_wait,
                          [self = shared_from_this()](std::optional<memory_share> share)
                          { self->on_room(std::move(share)); });
    return false;
}

void http_session::on_room(std::optional<memory_share> share)
{
    waiter_.reset();
    if (!share)
    {
        const auto length = parser_->content_length();
        reject_for_room(length ? static_cast<std::size_t>(*length) : server_.options_.bounds.max_body_bytes);
        return;
    }
    body_share_ = std::move(*share);
    // The time of the wait is not the client's.
    request_start_ = millisecond_clock::now();
    send_continue();
    parse();
    read();
}

void http_session::reject_for_room(std::size_t bytes)
{
    reject(make_error(error_kind::queue_full, "body: the memory for request bodies is in use",
                      server_.options_.budget->retry_after(bytes, millisecond_clock::now())),
           static_cast<unsigned>(http::status::service_unavailable));
}

void http_session::release_body_bytes()
{
    if (memory_budget* budget = server_.options_.budget; budget != nullptr && waiter_)
    {
        budget->cancel(*waiter_);
        waiter_.reset();
    }
    body_share_.release();
    server_.reserved_body_bytes_ -= reserved_body_;
    reserved_body_ = 0;
}

void http_session::dispatch_request()
{
    http_request message = parser_->release();
    parser_.reset();
    if (chunked_head_)
    {
        // The parser appends the fields of the trailer section to those of the head.
        message.base() = std::move(*chunked_head_);
        chunked_head_.reset();
    }
    // With a budget, the body counts until the request ends.
    body_share_.resize(message.body().size());
    server_.reserved_body_bytes_ -= std::exchange(reserved_body_, 0);
    if (input_.capacity() > max_kept_capacity_bytes)
    {
        input_.shrink_to_fit();
    }
    keep_alive_ = message.keep_alive();
    chunked_ = message.version() >= 11;
    state_ = state::waiting;
    server_.handler_.on_request(shared_from_this(), std::move(message));
}

void http_session::reject(const error& why, unsigned status)
{
    parser_.reset();
    release_body_bytes();
    input_.clear();
    input_.shrink_to_fit();
    keep_alive_ = false;
    state_ = state::waiting;
    server_.handler_.on_malformed(*this, why, status);
    flush();
}

bool http_session::keeps_alive() const noexcept
{
    return keep_alive_ && !server_.on_finished_ && !server_.close_after_responses_;
}

void http_session::answer_raw(std::string_view head, std::string_view body)
{
    output_ += head;
    output_ += body;
    end_request();
}

void http_session::answer_raw(std::string_view head, std::string&& body)
{
    if (output_.empty())
    {
        body.insert(0, head);
        output_ = std::move(body);
    }
    else
    {
        output_.append(head).append(body);
    }
    end_request();
}

void http_session::begin_stream(std::string_view head)
{
    output_ += head;
    keep_alive_ = keep_alive_ && chunked_;
    state_ = state::streaming;
}

void http_session::abort()
{
    if (state_ == state::streaming && !chunked_)
    {
        forget_request();
        disconnect();
        return;
    }
    finish_chunk();
    keep_alive_ = false;
    end_request();
}

void http_session::answer(unsigned status, std::string_view content_type, std::string_view body)
{
    append_head(status, content_type, body.size(), false);
    output_ += body;
    end_request();
}

std::string& http_session::stream()
{
    if (state_ != state::streaming)
    {
        keep_alive_ = keep_alive_ && chunked_;
        append_head(200, "text/event-stream", 0, chunked_);
        state_ = state::streaming;
    }
    if (chunk_begin_ == std::string::npos && chunked_)
    {
        chunk_begin_ = output_.size();
        output_ += chunk_placeholder;
    }
    return output_;
}

void http_session::end_stream()
{
    finish_chunk();
    if (chunked_)
    {
        output_ += "0\r\n\r\n";
    }
    end_request();
}

void http_session::forget_request()
{
    if (request_ != request_id{})
    {
        server_.requests_.erase(request_);
        request_ = request_id{};
    }
}

void http_session::end_request()
{
    forget_request();
    count_output();
    body_share_.release();
    stalled_ = false;
    state_ = keeps_alive() ? state::reading : state::closing;
}

void http_session::append_head(unsigned status, std::string_view content_type, std::size_t size, bool chunked)
{
    http::response<http::empty_body> head;
    head.result(status);
    head.set(http::field::content_type, boost::beast::string_view(content_type.data(), content_type.size()));
    head.keep_alive(keeps_alive());
    if (chunked)
    {
        head.set(http::field::cache_control, "no-store");
        head.chunked(true);
    }
    else if (state_ != state::streaming && content_type != "text/event-stream")
    {
        // A stream to an HTTP/1.0 client has neither a length nor chunks: it ends when the connection closes.
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

void http_session::finish_chunk()
{
    if (chunk_begin_ == std::string::npos)
    {
        return;
    }
    std::size_t size = output_.size() - chunk_begin_ - chunk_placeholder.size();
    for (std::size_t digit = 8; digit > 0; --digit)
    {
        output_[chunk_begin_ + digit - 1] = "0123456789abcdef"[size & 0xfU];
        size >>= 4U;
    }
    output_ += "\r\n";
    chunk_begin_ = std::string::npos;
}

std::size_t http_session::backlog() const noexcept
{
    return output_.size() + writing_.size() - written_;
}

void http_session::count_output()
{
    if (server_.options_.budget == nullptr)
    {
        return;
    }
    // What is written of a buffer stays in memory until all of it is.
    const std::size_t held = output_.size() + writing_.size();
    if (held < memory_budget::min_counted_output_bytes)
    {
        output_share_.release();
    }
    else if (output_share_.bytes() == 0)
    {
        output_share_ = server_.options_.budget->charge({memory_use::response, customer_, held});
    }
    else
    {
        output_share_.resize(held);
    }
}

void http_session::check_backlog()
{
    count_output();
    const std::size_t bound = server_.options_.bounds.max_backlog_bytes;
    const memory_budget* budget = server_.options_.budget;
    const std::size_t stall_bound = budget != nullptr ? budget->stream_backlog_bytes(bound) : bound;
    if (!stalled_ && state_ == state::streaming && backlog() >= stall_bound)
    {
        stalled_ = true;
        server_.handler_.on_stalled(request_, true);
    }
    // A complete response is in memory as a whole: only a client that takes nothing of it is disconnected.
    if (state_ == state::streaming && backlog() >= bound * backlog_limit_factor)
    {
        disconnect();
    }
}

void http_session::flush()
{
    flush_scheduled_ = false;
    if (state_ == state::closing && output_.empty() && !write_pending_)
    {
        // cut() ended the response and no output is queued.
        output_written();
        return;
    }
    if (write_pending_ || output_.empty() || state_ == state::closed)
    {
        return;
    }
    finish_chunk();
    writing_.swap(output_);
    written_ = 0;
    last_progress_ = millisecond_clock::now();
    write_some();
}

void http_session::write_some()
{
    write_pending_ = true;
    const auto rest = asio::buffer(writing_.data() + written_, writing_.size() - written_);
    socket_.async_write_some(rest, [self = shared_from_this()](const auto& failure, std::size_t count)
                             { self->on_written(failure, count); });
}

void http_session::on_written(const boost::system::error_code& failure, std::size_t size)
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
    if (writing_.capacity() > max_kept_capacity_bytes)
    {
        std::string{}.swap(writing_);
    }
    count_output();
    if (!output_.empty())
    {
        flush();
        return;
    }
    output_written();
    server_.handler_.batch_done();
}

void http_session::output_written()
{
    if (output_.capacity() > max_kept_capacity_bytes)
    {
        std::string{}.swap(output_);
    }
    if (stalled_)
    {
        stalled_ = false;
        server_.handler_.on_stalled(request_, false);
    }
    if (state_ == state::closing)
    {
        // Closing a socket with unread input resets the connection, and the client could lose the response.
        boost::system::error_code ignored;
        socket_.shutdown(tcp_socket::shutdown_send, ignored);
        read();
        return;
    }
    if (server_.on_finished_ && !in_progress() && server_.late_requests_ == late_requests::dropped)
    {
        disconnect();
        return;
    }
    parse();
    read();
}

bool http_session::has_unread_input() const
{
    boost::system::error_code ignored;
    return parser_ || input_.size() > 0 || socket_.available(ignored) > 0;
}

void http_session::finish()
{
    keep_alive_ = false;
    if (server_.late_requests_ == late_requests::answered)
    {
        // finish_idle() follows once late requests have had time to arrive.
        return;
    }
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

void http_session::note_acknowledged(time_point now)
{
    // The socket accepts no further bytes until a third of its buffer is free, which takes a slow client longer than
    // the write timeout.
    int unacknowledged = 0;
    if (!write_pending_ || ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) != 0)
    {
        return;
    }
    if (unacknowledged < unacknowledged_)
    {
        last_progress_ = now;
    }
    unacknowledged_ = unacknowledged;
}

void http_session::check_timeouts(time_point now)
{
    const auto& bounds = server_.options_.bounds;
    note_acknowledged(now);
    const duration since_progress = now - last_progress_;
    const bool write_timed_out = write_pending_ && since_progress > bounds.write_timeout;
    const bool linger_timed_out = state_ == state::closing && !write_pending_ && since_progress > linger_timeout;
    const duration idle_timeout = server_.options_.idle_timeout > duration{}
                                      ? server_.options_.idle_timeout
                                      : bounds.request_timeout * idle_timeout_factor;
    const bool idle_timed_out = state_ == state::reading && !parser_ && since_progress > idle_timeout;
    if (write_timed_out || linger_timed_out || idle_timed_out)
    {
        disconnect();
    }
    else if (state_ == state::reading && parser_ && !waiter_ && now - request_start_ > bounds.request_timeout)
    {
        reject(
            make_error(error_kind::malformed_request, "HTTP: the request was not received within the request timeout"),
            static_cast<unsigned>(http::status::request_timeout));
    }
}

void http_session::finish_idle()
{
    const bool is_idle = state_ == state::reading && !write_pending_ && output_.empty();
    if (is_idle && !has_unread_input())
    {
        disconnect();
    }
}

void http_session::disconnect()
{
    if (state_ == state::closed)
    {
        return;
    }
    // Without chunks, a close would mark the end of a stream that is not complete.
    const bool cuts_off_stream = state_ == state::streaming && !chunked_;
    state_ = state::closed;
    release_body_bytes();
    output_share_.release();
    if (request_ != request_id{})
    {
        server_.requests_.erase(request_);
        server_.handler_.on_disconnected(request_);
    }
    boost::system::error_code ignored;
    if (cuts_off_stream)
    {
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    socket_.close(ignored);
    server_.remove(shared_from_this());
}

} // namespace parsleyshift
