#pragma once

#include <parsleyshift/core/clock.hpp>  // time_point
#include <parsleyshift/core/error.hpp>  // error
#include <parsleyshift/core/ids.hpp>    // request_id
#include <parsleyshift/runtime/net.hpp> // tcp_socket

#include <boost/beast/core/flat_buffer.hpp> // flat_buffer
#include <boost/beast/http/message.hpp>     // request
#include <boost/beast/http/parser.hpp>      // request_parser
#include <boost/beast/http/string_body.hpp> // string_body

#include <cstddef>     // size_t
#include <memory>      // enable_shared_from_this, unique_ptr
#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift
{

class http_server;

using http_request = boost::beast::http::request<boost::beast::http::string_body>;

/// @brief One connection of a caller: reads requests one after the other and writes the answers that a handler gives.
class http_session : public std::enable_shared_from_this<http_session>
{
  public:
    http_session(tcp_socket socket, http_server& server);
    ~http_session();
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;
    http_session(http_session&&) = delete;
    http_session& operator=(http_session&&) = delete;

    /// @brief Begins or goes on reading from the socket.
    void read();
    /// @brief Writes a whole answer after what is already queued and ends the request.
    void answer(unsigned status, std::string_view content_type, std::string_view body);
    /// @brief Queues a whole answer that the caller of this function has composed, head included, and ends the request.
    void answer_raw(std::string_view head, std::string_view body);
    /// @brief Begins a stream with a head of its own, which must name the chunked encoding.
    void begin_stream(std::string_view head);
    /// @brief Text to which events of the stream are appended; the first use begins the stream.
    std::string& stream();
    /// @brief Reports a stall when the unsent text has reached the bound.
    void check_backlog();
    /// @brief Ends the stream and the request.
    void end_stream();
    /// @brief Ends the request without its answer: what is queued is written, then the connection closes. An answer
    /// that has begun does not look complete, since its last chunk is missing.
    void cut();
    /// @brief True when the connection stays open after the answer.
    [[nodiscard]] bool keeps_alive() const noexcept;
    /// @brief Writes what is queued.
    void flush();
    /// @brief Closes connections that exceed a time bound.
    void check_time(time_point now);
    /// @brief Closes the connection as soon as nothing is left to write.
    void finish();
    /// @brief Closes the connection at once; a request in progress is reported as disconnected.
    void disconnect();

    /// @brief Id of the request in progress; 0 when it has none.
    [[nodiscard]] request_id request() const noexcept
    {
        return request_;
    }
    /// @brief True when unsent text has reached the bound.
    [[nodiscard]] bool stalled() const noexcept
    {
        return stalled_;
    }
    /// @brief True between the arrival of a request and the end of its answer.
    [[nodiscard]] bool in_progress() const noexcept
    {
        return state_ == state::waiting || state_ == state::streaming;
    }
    [[nodiscard]] bool is_streaming() const noexcept
    {
        return state_ == state::streaming;
    }
    /// @brief True once the answer has been queued for writing by flush().
    [[nodiscard]] bool mark_dirty() noexcept
    {
        const bool first = !dirty_;
        dirty_ = true;
        return first;
    }

  private:
    friend class http_server;

    enum class state
    {
        /// Between requests, or while one arrives.
        reading,
        /// The decision thread has the request.
        waiting,
        streaming,
        /// The last answer is queued; input is discarded until the caller closes.
        closing,
        closed,
    };
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void on_read(const boost::system::error_code& failure, std::size_t size);
    void parse();
    bool feed_parser();
    bool reserve_body();
    void release_body();
    void take_request();
    void reject(const error& why, unsigned status);
    void end_request();
    void append_head(unsigned status, std::string_view content_type, std::size_t size, bool chunked);
    void seal_chunk();
    void write_some();
    void on_written(const boost::system::error_code& failure, std::size_t size);
    void output_written();
    [[nodiscard]] std::size_t backlog() const noexcept;

    tcp_socket socket_;
    http_server& server_;
    boost::beast::flat_buffer input_;
    std::unique_ptr<parser> parser_;
    /// Text that is being written, and how much of it is.
    std::string writing_;
    std::size_t written_ = 0;
    /// Text that waits for the current write.
    std::string output_;
    /// Position of an unfinished chunk in output_, or npos.
    std::size_t chunk_ = std::string::npos;
    time_point request_began_;
    time_point last_progress_;
    std::size_t reserved_body_ = 0;
    request_id request_;
    state state_ = state::reading;
    bool read_pending_ = false;
    bool write_pending_ = false;
    bool dirty_ = false;
    bool stalled_ = false;
    bool keep_alive_ = true;
    bool chunked_ = true;
    bool continue_sent_ = false;
};

} // namespace parsleyshift
