#pragma once

#include <parsleyshift/runtime/body_framing.hpp> // framing_scanner
#include <parsleyshift/runtime/http_client.hpp>  // http_call, exchange_sink

#include <boost/beast/http/parser.hpp>      // response_parser
#include <boost/beast/http/string_body.hpp> // string_body

#include <array>       // array
#include <cstddef>     // size_t
#include <memory>      // enable_shared_from_this, weak_ptr
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief A connection to a server. Reads also while idle, to detect that the server closes it.
class http_connection : public std::enable_shared_from_this<http_connection>
{
  public:
    http_connection(asio::io_context& context, http_client& client, std::string address);

    /// @brief Starts reading unless a read is pending or the input buffer is full.
    void read();
    /// @brief Closes the socket; pending operations end with an error.
    void close();

    tcp_socket socket;
    http_client& client;
    std::string address;
    /// The exchange that uses the connection; null while the connection is idle.
    std::shared_ptr<http_exchange> exchange;
    /// Input that the parser has not consumed. A response header must fit.
    std::array<char, 4096> input{};
    std::size_t input_size = 0;
    time_point idle_since;
    /// Longest idle time after which the connection is still reused.
    duration idle_limit;
    bool reused = false;
    bool read_pending = false;
};

/// @brief One request and its response. Fails or completes once; afterwards its members do nothing.
class http_exchange : public std::enable_shared_from_this<http_exchange>
{
  public:
    http_exchange(http_client& client, http_call call, std::shared_ptr<exchange_sink> sink);

    /// @brief Takes an idle connection or opens one, and writes the request.
    void begin();
    /// @brief Pauses or resumes reading the response.
    void set_reading(bool enabled);
    /// @brief Cancels the exchange without calling the sink.
    void cancel();
    /// @brief Fails the exchange when its connect timeout, silence timeout or one of its deadlines has passed.
    void check_timeouts(time_point now);
    /// @brief Handles the end of a read on the connection.
    void on_read(const boost::system::error_code& failure);
    /// @brief Continues reading unless the exchange has ended or is paused, or may_read() returns false.
    void read();

  private:
    void connect();
    void write();
    /// @brief Returns the next bytes of the request, without a copy; empty when all are written.
    [[nodiscard]] std::string_view unwritten() const noexcept;
    void set_socket_options(tcp_socket& socket) const;
    void apply_announced_idle_time();
    void make_parser();
    void on_input();
    /// @brief Passes the header on to the sink and applies its verdict.
    /// @return false when the exchange has ended
    bool report_head(exchange_sink& sink);
    /// @brief Drops a complete response that belongs to another request and prepares for the next one.
    /// @return false when the exchange has ended
    bool drop_skipped_response();
    bool feed_parser();
    /// @brief Fails the exchange if the status of its response is invalid or the end uncertain, once the head is
    /// complete.
    /// @return false when the exchange has failed
    bool check_head();
    void fail_framing(framing_fault fault);
    /// @brief Drops an interim response (1xx), which has no body, and prepares for the response that follows.
    /// @return false when the exchange has failed
    bool drop_interim_response();
    void on_end_of_input();
    void complete(answer_end end);
    void fail(attempt_failure failure, std::string message);
    void release_connection(bool keep);
    [[nodiscard]] duration silence_timeout() const noexcept;
    /// @brief Failure kind of a broken connection: connect_failed while no byte of the request was written.
    [[nodiscard]] attempt_failure connection_failure() const noexcept;

    using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    http_client& client_;
    http_call call_;
    std::shared_ptr<exchange_sink> sink_;
    std::shared_ptr<http_connection> connection_;
    std::unique_ptr<parser> parser_;
    framing_scanner framing_;
    std::size_t written_ = 0;
    /// True once the whole request has been written.
    bool sent_ = false;
    time_point last_progress_;
    bool connecting_ = false;
    bool reading_enabled_ = true;
    bool head_reported_ = false;
    /// The response that is being read belongs to another request.
    bool skipping_ = false;
    int interim_responses_ = 0;
    int skipped_responses_ = 0;
    std::size_t skipped_bytes_ = 0;
    bool ended_ = false;
};

} // namespace parsleyshift
