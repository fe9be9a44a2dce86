#pragma once

#include <parsleyshift/core/clock.hpp>            // time_point
#include <parsleyshift/core/error.hpp>            // error, result
#include <parsleyshift/core/ids.hpp>              // request_id
#include <parsleyshift/records/settings.hpp>      // caller_bounds
#include <parsleyshift/runtime/http_session.hpp>  // http_request, http_session
#include <parsleyshift/runtime/memory_budget.hpp> // memory_budget
#include <parsleyshift/runtime/net.hpp>           // tcp_acceptor, steady_timer

#include <cstddef>       // size_t
#include <cstdint>       // uint16_t
#include <functional>    // function
#include <memory>        // shared_ptr
#include <string>        // string
#include <unordered_map> // unordered_map
#include <unordered_set> // unordered_set
#include <vector>        // vector

namespace parsleyshift
{

/// @brief Protocol layer above an http_server: receives the requests and writes the responses to the sessions.
///
/// All members are called on the I/O thread of the server.
class http_handler
{
  public:
    http_handler() = default;
    virtual ~http_handler() = default;
    http_handler(const http_handler&) = delete;
    http_handler& operator=(const http_handler&) = delete;
    http_handler(http_handler&&) = delete;
    http_handler& operator=(http_handler&&) = delete;

    /// @brief A request has been received completely. The handler answers through the session, during this call or
    /// later.
    virtual void on_request(const std::shared_ptr<http_session>& session, http_request&& request) = 0;
    /// @brief The input is not valid HTTP, exceeds a limit or was not received in time. The handler must answer during
    /// this call; the connection closes after that response.
    /// @param status HTTP status that matches the error
    virtual void on_malformed(http_session& session, const error& why, unsigned status) = 0;
    /// @brief The connection of a request in progress was closed. Its id is no longer valid.
    virtual void on_disconnected(request_id request) = 0;
    /// @brief A stream has stalled because its unsent bytes have reached max_backlog_bytes (true), or has drained
    /// because all are written (false).
    virtual void on_stalled(request_id request, bool stalled) = 0;
    /// @brief False stops reading new requests until http_server::resume_reading().
    [[nodiscard]] virtual bool may_read() const
    {
        return true;
    }
    /// @brief Called after each batch of the other calls, so that the handler can pass on their results together.
    virtual void batch_done() {}
    /// @brief The number of open connections has changed.
    virtual void on_connections(std::size_t /*count*/) {}
    /// @brief A new connection was closed because max_connections is reached.
    virtual void on_connection_refused() {}
};

/// @brief What http_server::finish() does with requests that have not arrived in whole.
enum class late_requests
{
    /// Their connections are closed, which tells the clients that the requests were not read.
    dropped,
    /// Those that arrive shortly after are read and passed to the handler, which must still respond to them.
    answered,
};

/// @brief Listening address, limits and timeouts of a server.
struct http_server_options
{
    /// "ip:port"; port 0 selects any free port.
    std::string address;
    /// Name of the setting that holds the address, for error messages.
    std::string address_setting = "caller_address";
    caller_bounds bounds;
    /// Time after which an idle connection is closed; 0 selects the default, a multiple of bounds.request_timeout.
    duration idle_timeout{};
    /// Memory for request bodies, buffered responses and unsent output; must outlive the server. Null: only the sum of
    /// the bodies being received is limited.
    memory_budget* budget = nullptr;
};

/// @brief HTTP/1.1 server; all members run on the thread of one io_context.
class http_server
{
  public:
    http_server(asio::io_context& context, http_server_options options, http_handler& handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// @brief Binds the address and starts accepting connections.
    /// @return error invalid_field when the address is malformed or cannot be bound, address_in_use when another
    /// process listens on it
    result<void> listen();
    /// @brief Undoes listen(); it can be called again. Connections that were accepted stay open.
    void stop_listening();
    /// @brief Port that the server listens on. Requires a successful listen().
    [[nodiscard]] std::uint16_t port() const;
    /// @brief Replaces limits and timeouts. A request that is being received keeps its size limits.
    void set_bounds(const caller_bounds& bounds, duration idle_timeout);
    /// @brief Makes every response that ends from now on close its connection.
    void close_after_answers();

    /// @brief Assigns an id to the request of a session, which no earlier process has used; find() returns the session
    /// under it until the response ends.
    request_id register_request(const std::shared_ptr<http_session>& session);
    /// @brief Returns the session of a request in progress, or nullptr when there is none. Constant time.
    [[nodiscard]] std::shared_ptr<http_session> find(request_id request) const;
    /// @brief Schedules a session with pending output for the next flush().
    void schedule_flush(const std::shared_ptr<http_session>& session);
    /// @brief Writes the output of the scheduled sessions, with one write per connection.
    void flush();
    /// @brief Resumes the sessions that stopped reading because http_handler::may_read() returned false.
    void resume_reading();
    /// @brief Stops accepting and closes each connection once its responses are written.
    /// @param late what to do with requests that are not in progress yet
    /// @param done called once, when the last connection is closed, or after one second, so that a client that does not
    /// read cannot hold up the stop
    void finish(late_requests late, std::function<void()> done);

  private:
    friend class http_session;

    void accept();
    void add_session(tcp_socket socket);
    /// Adds the connections that clients have opened but accept() has not returned yet.
    void accept_pending();
    void retry_accept();
    void sweep();
    void schedule_sweep();
    void remove(const std::shared_ptr<http_session>& session);
    /// Schedules memory_budget::serve().
    void schedule_serve();

    http_server_options options_;
    http_handler& handler_;
    asio::io_context& context_;
    tcp_acceptor acceptor_;
    steady_timer sweep_timer_;
    std::unordered_set<std::shared_ptr<http_session>> sessions_;
    std::unordered_map<request_id, std::shared_ptr<http_session>> requests_;
    std::vector<std::shared_ptr<http_session>> unflushed_;
    std::vector<std::shared_ptr<http_session>> paused_;
    std::function<void()> on_finished_;
    late_requests late_requests_ = late_requests::dropped;
    time_point finish_deadline_ = never;
    time_point late_requests_end_ = never;
    request_id next_request_;
    /// Total size of the request bodies that are being received, counted at their announced or maximum size.
    std::size_t reserved_body_bytes_ = 0;
    bool close_after_responses_ = false;
    bool serve_scheduled_ = false;
};

} // namespace parsleyshift
