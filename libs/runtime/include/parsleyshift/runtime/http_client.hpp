#pragma once

#include <parsleyshift/core/clock.hpp>        // time_point
#include <parsleyshift/core/error.hpp>        // result
#include <parsleyshift/messages/endpoint.hpp> // attempt_failure
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

/// @brief One request to a server and the conditions under which it may be sent.
struct http_call
{
    /// "ip:port".
    std::string address;
    /// Head and body as they are sent.
    std::string text;
    /// Checked immediately before the first byte is written.
    time_point not_after = never;
    /// The exchange fails when it has not ended by then.
    time_point answer_by = never;
    /// Never reuses a connection: a server may close an idle one at the moment of the write, which would leave open
    /// whether the request ran.
    bool fresh_connection = false;
    /// Largest body; nothing: no bound, for streams that the sink consumes as they arrive.
    std::optional<std::size_t> body_limit;
};

/// @brief Status and fields of an answer.
using response_head = boost::beast::http::response_header<boost::beast::http::fields>;

/// @brief Makes the text of a request. @param body empty for requests without a body
std::string request_text(std::string_view method, std::string_view target, std::string_view address,
                         std::string_view body);

/// @brief Receives what happens to one exchange. After on_done() or on_failed() nothing follows.
class exchange_sink
{
  public:
    exchange_sink() = default;
    virtual ~exchange_sink() = default;
    exchange_sink(const exchange_sink&) = delete;
    exchange_sink& operator=(const exchange_sink&) = delete;
    exchange_sink(exchange_sink&&) = delete;
    exchange_sink& operator=(exchange_sink&&) = delete;

    /// @return false to close the connection; on_failed() follows with endpoint_error
    virtual bool on_head(const response_head& head) = 0;
    /// @param body what has arrived and not been consumed; the sink may take from its front
    /// @return false to close the connection, without a further call
    virtual bool on_body(std::string& body) = 0;
    /// @param body what the sink has not consumed
    virtual void on_done(std::string& body) = 0;
    virtual void on_failed(attempt_failure failure, std::string message) = 0;
};

/// @brief A whole answer.
struct http_answer
{
    unsigned status = 0;
    std::string body;
};

/// @brief Why there is no whole answer.
struct http_failure
{
    attempt_failure failure = attempt_failure::link_broken;
    std::string message;
};

using http_result = boost::outcome_v2::basic_result<http_answer, http_failure, boost::outcome_v2::policy::terminate>;

/// @brief Time bounds of the client.
struct http_client_options
{
    duration connect_timeout{2'000};
    /// Longest time without a byte from the server.
    duration silence_timeout{10'000};
    duration idle_timeout{30'000};
    std::size_t max_idle_per_address = 64;
    /// Time between two looks at the time bounds.
    duration sweep_interval{100};
    /// Time for which sent data may stay unacknowledged before the connection counts as broken, and after which a
    /// silent peer machine is probed; 0: the system's, which is minutes.
    duration unacknowledged_timeout{};
    /// False while the thread must not read, because the decision thread is behind.
    std::function<bool()> may_read = []
    {
        return true;
    };
    /// Called after each batch of sink calls.
    std::function<void()> batch_done = [] {
    };
};

/// @brief HTTP/1.1 client with a pool of kept connections; all members run on one I/O thread.
class http_client
{
  public:
    http_client(asio::io_context& context, http_client_options options);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// @brief Starts an exchange; the sink is called later, never from within this call.
    std::shared_ptr<http_exchange> start(http_call call, std::shared_ptr<exchange_sink> sink);
    /// @brief Starts an exchange and passes on the whole answer.
    void start(http_call call, std::function<void(http_result)> done);
    /// @brief Drops an exchange without a further call of its sink, and closes its connection.
    void drop(const std::shared_ptr<http_exchange>& exchange);
    /// @brief Stops or goes on reading the answer of one exchange.
    void set_reading(const std::shared_ptr<http_exchange>& exchange, bool enabled);
    /// @brief Goes on reading after may_read() was false.
    void resume_reading();
    /// @brief Drops all exchanges and connections without calling sinks.
    void close();

    [[nodiscard]] std::size_t exchanges() const noexcept
    {
        return exchanges_.size();
    }

  private:
    friend class http_exchange;
    friend class http_connection;

    std::shared_ptr<http_connection> take_idle(const std::string& address);
    void keep(const std::shared_ptr<http_connection>& connection);
    void forget_idle(const std::shared_ptr<http_connection>& connection);
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
