#pragma once

#include <parsleyshift/core/clock.hpp>            // time_point
#include <parsleyshift/core/error.hpp>            // error
#include <parsleyshift/core/ids.hpp>              // request_id
#include <parsleyshift/runtime/body_framing.hpp>  // framing_scanner
#include <parsleyshift/runtime/memory_budget.hpp> // memory_share
#include <parsleyshift/runtime/net.hpp>           // tcp_socket

#include <boost/beast/core/flat_buffer.hpp> // flat_buffer
#include <boost/beast/http/message.hpp>     // request
#include <boost/beast/http/parser.hpp>      // request_parser
#include <boost/beast/http/string_body.hpp> // string_body

#include <cstddef>     // size_t
#include <memory>      // enable_shared_from_this, unique_ptr
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift
{

class http_server;

/// @brief A complete request with its body.
using http_request = boost::beast::http::request<boost::beast::http::string_body>;

/// @brief Server side of one connection: reads requests one after the other and writes the responses of the handler.
///
/// Runs on the I/O thread of its server, which must outlive it.
class http_session : public std::enable_shared_from_this<http_session>
{
  public:
    http_session(tcp_socket socket, http_server& server);
    ~http_session();
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;
    http_session(http_session&&) = delete;
    http_session& operator=(http_session&&) = delete;

    /// @brief Starts or resumes reading from the socket. Does nothing while a read is pending or the session is closed.
    void read();
    /// @brief Queues a complete response after the output that is already queued, and ends the request.
    void answer(unsigned status, std::string_view content_type, std::string_view body);
    /// @brief Queues a complete response whose header the caller of this function has composed, and ends the request.
    void answer_raw(std::string_view head, std::string_view body);
    /// @brief The same without a copy of a large body.
    void answer_raw(std::string_view head, std::string&& body);
    /// @brief Starts a streamed response with the given header, which must contain `Transfer-Encoding: chunked` if
    /// accepts_chunks(), and `Connection: close` otherwise.
    void begin_stream(std::string_view head);
    /// @brief Returns the output buffer to which stream events are appended. Unless begin_stream() was called, the
    /// first call queues a header with status 200 and type text/event-stream.
    std::string& stream();
    /// @brief Reports a stall when the unsent bytes of a stream have reached max_backlog_bytes, and disconnects at 16
    /// times as many. The amount of a complete response does not matter.
    void check_backlog();
    /// @brief Queues the end of the streamed body and ends the request.
    void end_stream();
    /// @brief Ends the request without completing its response: queued output is written, then the connection closes.
    /// The receiver of a chunked response sees that it is incomplete, because the last chunk is missing. A stream
    /// without chunks ends with its connection, which is reset at once.
    void abort();
    /// @brief Returns true when the client of the current request can read a chunked response, which HTTP/1.0 lacks.
    [[nodiscard]] bool accepts_chunks() const noexcept
    {
        return chunked_;
    }
    /// @brief Returns true when the connection stays open after the current response.
    [[nodiscard]] bool keeps_alive() const noexcept;
    /// @brief Starts writing the queued output unless a write is pending.
    void flush();
    /// @brief Closes the connection when a write, lingering or idle timeout has passed, and rejects a request that was
    /// not received within the request timeout.
    void check_timeouts(time_point now);
    /// @brief Closes the connection once the response in progress and the queued output are written.
    void finish();
    /// @brief Closes the connection if no request has arrived, not even in part.
    void finish_idle();
    /// @brief Closes the connection at once; a request in progress is reported as disconnected.
    void disconnect();

    /// @brief Identifies the customer of the current request towards the memory budget.
    [[nodiscard]] customer_hash customer() const noexcept
    {
        return customer_;
    }
    /// @brief Id of the request in progress; 0 when none has been assigned.
    [[nodiscard]] request_id request() const noexcept
    {
        return request_;
    }
    /// @brief True from the time that the unsent bytes reach max_backlog_bytes until all are written.
    [[nodiscard]] bool stalled() const noexcept
    {
        return stalled_;
    }
    /// @brief True between the receipt of a request and the end of its response.
    [[nodiscard]] bool in_progress() const noexcept
    {
        return state_ == state::waiting || state_ == state::streaming;
    }
    /// @brief True while a streamed response is in progress.
    [[nodiscard]] bool is_streaming() const noexcept
    {
        return state_ == state::streaming;
    }
    /// @brief Marks the session as scheduled for flush().
    /// @return true when it was not scheduled before
    [[nodiscard]] bool mark_flush_scheduled() noexcept
    {
        const bool first = !flush_scheduled_;
        flush_scheduled_ = true;
        return first;
    }

  private:
    friend class http_server;

    enum class state
    {
        /// Between requests, or while one is being received.
        reading,
        /// The handler has the request and has not responded yet.
        waiting,
        /// A streamed response is in progress.
        streaming,
        /// The last response is queued; input is discarded until the client closes the connection.
        closing,
        closed,
    };
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// Size of the next read.
    [[nodiscard]] std::size_t read_size() const;
    /// Reads from the socket, which has bytes or has failed.
    void on_readable(boost::system::error_code failure);
    void on_read(const boost::system::error_code& failure, std::size_t size);
    void parse();
    bool feed_parser();
    /// Rejects a request whose end is uncertain, once its head is complete.
    /// @return false when the request is rejected
    bool check_framing();
    void reject_framing(framing_fault fault);
    bool reserve_body_bytes();
    /// Takes a share of the budget for the body, or waits for one.
    /// @return false while there is none, or when the request was rejected
    bool reserve_from_budget();
    /// Continues the receipt of a body once there is room for it, or rejects the request.
    void on_room(std::optional<memory_share> share);
    void reject_for_room(std::size_t bytes);
    void send_continue();
    void release_body_bytes();
    /// Counts the memory of the queued output.
    void count_output();
    void dispatch_request();
    void reject(const error& why, unsigned status);
    void end_request();
    /// Removes the request in progress from the server without reporting a disconnect.
    void forget_request();
    /// Queues a header. Ignores `size` for a stream.
    void append_head(unsigned status, std::string_view content_type, std::size_t size, bool chunked);
    void finish_chunk();
    void write_some();
    /// Counts it as progress when the client has acknowledged bytes since the last call.
    void note_acknowledged(time_point now);
    void on_written(const boost::system::error_code& failure, std::size_t size);
    void output_written();
    [[nodiscard]] std::size_t backlog() const noexcept;
    /// True when the next request has arrived at least in part.
    [[nodiscard]] bool has_unread_input() const;

    tcp_socket socket_;
    http_server& server_;
    boost::beast::flat_buffer input_;
    std::unique_ptr<parser> parser_;
    framing_scanner framing_;
    /// Head of a request with a chunked body, as it was before the trailer section.
    std::unique_ptr<boost::beast::http::request_header<>> chunked_head_;
    /// Output that is being written, and the number of its bytes that are written.
    std::string writing_;
    std::size_t written_ = 0;
    /// Output queued behind the current write.
    std::string output_;
    /// Position in output_ at which the open chunk begins, or npos.
    std::size_t chunk_begin_ = std::string::npos;
    time_point request_start_;
    time_point last_progress_;
    /// Bytes that the client had not acknowledged at the last call of note_acknowledged().
    int unacknowledged_ = 0;
    /// Share of http_server::reserved_body_bytes_ that this session holds.
    std::size_t reserved_body_ = 0;
    /// Shares of the memory budget that the body and the output hold.
    memory_share body_share_;
    memory_share output_share_;
    customer_hash customer_ = 0;
    /// Set while reading is paused until there is room for the body.
    std::optional<memory_budget::waiter_id> waiter_;
    request_id request_;
    state state_ = state::reading;
    bool read_pending_ = false;
    bool write_pending_ = false;
    bool flush_scheduled_ = false;
    bool stalled_ = false;
    bool keep_alive_ = true;
    bool chunked_ = true;
    bool continue_sent_ = false;
};

} // namespace parsleyshift
