#pragma once

#include <parsleyshift/core/clock.hpp>        // time_point
#include <parsleyshift/core/error.hpp>        // result
#include <parsleyshift/messages/endpoint.hpp> // attempt_failure
#include <parsleyshift/messages/forward.hpp>  // answer_end
#include <parsleyshift/runtime/net.hpp>       // tcp_socket, steady_timer

#include <boost/beast/http/fields.hpp>  // fields
#include <boost/beast/http/message.hpp> // response_header

#include <cstddef>       // size_t
#include <functional>    // function
#include <memory>        // shared_ptr, unique_ptr
#include <optional>      // optional
#include <string>        // string
#include <string_view>   // string_view
#include <unordered_map> // unordered_map
#include <unordered_set> // unordered_set
#include <vector>        // vector

namespace parsleyshift
{

class http_connection;
class http_exchange;

/// @brief One request to a server, with its deadlines and limits.
struct http_call
{
    /// "ip:port".
    std::string address;
    /// The request as sent: request line, header fields and body. See request_text() and http_head_builder. With an
    /// error, the exchange fails with invalid_head and nothing is sent.
    result<std::string> text = std::string{};
    /// Bytes sent after the text; null when there are none. Saves the copy of a large body.
    std::shared_ptr<const std::string> body{};
    /// Send deadline, checked immediately before the first byte is written. After it the exchange fails with
    /// deadline_passed and nothing is sent.
    time_point send_deadline = never;
    /// Called immediately before the first byte is written; unless it returns true, the exchange fails with not_sent
    /// and nothing is sent. Empty: always allowed.
    std::function<bool()> may_send;
    /// Response deadline: the exchange fails when it has not ended by then.
    time_point response_deadline = never;
    /// Start deadline: the exchange fails when no complete response header has been received by then.
    time_point start_deadline = never;
    /// Longest time without a byte from the server after the header; the client's silence timeout when empty.
    std::optional<duration> stall_timeout;
    /// Opens a new connection instead of reusing an idle one. A server may close an idle connection while the request
    /// is being written; it would then be unknown whether the request ran.
    bool fresh_connection = false;
    /// Maximum size of the response body in bytes; unlimited when empty, for streams that the sink consumes as they
    /// arrive.
    std::optional<std::size_t> body_limit;
};

/// @brief Status and header fields of a response.
using response_head = boost::beast::http::response_header<boost::beast::http::fields>;

/// @brief Composes an HTTP/1.1 request with a JSON body.
/// @param address value of the Host field
/// @param body empty for requests without a body
/// @return error invalid_field for a target or an address that cannot be part of a head
result<std::string> request_text(std::string_view method, std::string_view target, std::string_view address,
                                 std::string_view body);

/// @brief What a sink does with a response whose header it has received.
enum class head_verdict
{
    accept,
    /// The response belongs to an earlier request on the connection: it is dropped, and the next one is awaited.
    skip,
    /// The connection is closed; on_failed() follows with endpoint_error.
    reject,
};

/// @brief Receives the response of one exchange. No call follows on_done() or on_failed().
class exchange_sink
{
  public:
    exchange_sink() = default;
    virtual ~exchange_sink() = default;
    exchange_sink(const exchange_sink&) = delete;
    exchange_sink& operator=(const exchange_sink&) = delete;
    exchange_sink(exchange_sink&&) = delete;
    exchange_sink& operator=(exchange_sink&&) = delete;

    /// @brief The header of a final response has been received; called once more after each response that was skipped.
    /// Interim responses (1xx) are dropped, and one with an invalid status or framing ends with on_failed().
    /// @param reused_connection the connection has carried earlier requests, to one of which the response may belong
    virtual head_verdict on_head(const response_head& head, bool reused_connection) = 0;
    /// @brief Further bytes of the body have been received.
    /// @param body bytes received and not yet consumed; the sink may erase them from the front
    /// @return false to close the connection; no call follows
    virtual bool on_body(std::string& body) = 0;
    /// @brief The response is complete.
    /// @param body bytes that the sink has not consumed
    /// @param end what marked the end of the response
    virtual void on_done(std::string& body, answer_end end) = 0;
    /// @brief The exchange failed before the response was complete.
    virtual void on_failed(attempt_failure failure, std::string message) = 0;
};

/// @brief A complete response.
struct http_answer
{
    unsigned status = 0;
    std::string body;
    /// Status line and header fields.
    response_head head{};
};

/// @brief Reason why no complete response was received.
struct http_failure
{
    attempt_failure failure = attempt_failure::link_broken;
    std::string message;
    /// Bytes of the body that had arrived.
    std::size_t received_bytes = 0;
};

/// @brief A complete response, or the reason why there is none.
using http_result = boost::outcome_v2::basic_result<http_answer, http_failure, boost::outcome_v2::policy::terminate>;

/// @brief Timeouts in milliseconds, pool limit and callbacks of the client.
struct http_client_options
{
    duration connect_timeout{2'000};
    /// Longest time without a byte from the server before an exchange fails.
    duration silence_timeout{10'000};
    /// Longest time for which an idle connection is kept; a Keep-Alive field of the server can shorten it.
    duration idle_timeout{30'000};
    std::size_t max_idle_per_address = 64;
    /// Interval at which timeouts are checked.
    duration sweep_interval{100};
    /// TCP_USER_TIMEOUT and TCP_KEEPIDLE of new connections: a connection breaks when sent data stays unacknowledged
    /// this long, and keepalive probes start after this time without traffic. 0 keeps the system defaults, which are
    /// minutes or more.
    duration unacknowledged_timeout{};
    /// False while no response may be read, because the channel to the decision thread is full.
    std::function<bool()> may_read = []
    {
        return true;
    };
    /// Called after each batch of sink calls, so that their results can be passed on together.
    std::function<void()> batch_done = [] {
    };
};

/// @brief HTTP/1.1 client with a pool of idle connections; all members run on the thread of one io_context.
class http_client
{
  public:
    http_client(asio::io_context& context, http_client_options options);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// @brief Starts an exchange. The sink is called later, never from within this call.
    std::shared_ptr<http_exchange> start(http_call call, std::shared_ptr<exchange_sink> sink);
    /// @brief Starts an exchange and passes the complete response, or the failure, to `done`.
    void start(http_call call, std::function<void(http_result)> done);
    /// @brief Cancels an exchange: closes its connection and makes no further call to its sink.
    void cancel(const std::shared_ptr<http_exchange>& exchange);
    /// @brief Pauses or resumes reading the response of one exchange. The silence timeout is off while it is paused.
    void set_reading(const std::shared_ptr<http_exchange>& exchange, bool enabled);
    /// @brief Resumes the exchanges that stopped reading because may_read() returned false.
    void resume_reading();
    /// @brief Cancels all exchanges without calling their sinks, and closes all connections.
    void close();

    /// @brief Number of exchanges in progress.
    [[nodiscard]] std::size_t exchanges() const noexcept
    {
        return exchanges_.size();
    }

  private:
    friend class http_exchange;
    friend class http_connection;

    std::shared_ptr<http_connection> take_idle(const std::string& address);
    void add_idle(const std::shared_ptr<http_connection>& connection);
    void remove_idle(const std::shared_ptr<http_connection>& connection);
    void schedule_sweep();
    void sweep();

    asio::io_context& context_;
    http_client_options options_;
    steady_timer sweep_timer_;
    bool sweeping_ = false;
    std::unordered_set<std::shared_ptr<http_exchange>> exchanges_;
    std::unordered_map<std::string, std::vector<std::shared_ptr<http_connection>>> idle_;
    std::vector<std::shared_ptr<http_exchange>> paused_;
};

} // namespace parsleyshift
