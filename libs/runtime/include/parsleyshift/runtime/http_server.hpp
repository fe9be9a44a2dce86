#pragma once

#include <parsleyshift/core/clock.hpp>           // time_point
#include <parsleyshift/core/error.hpp>           // error, result
#include <parsleyshift/core/ids.hpp>             // request_id
#include <parsleyshift/records/settings.hpp>     // caller_bounds
#include <parsleyshift/runtime/http_session.hpp> // http_request, http_session
#include <parsleyshift/runtime/net.hpp>          // tcp_acceptor, steady_timer

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

/// @brief The protocol spoken over an http_server: takes its requests and gives their answers to the sessions.
class http_handler
{
  public:
    http_handler() = default;
    virtual ~http_handler() = default;
    http_handler(const http_handler&) = delete;
    http_handler& operator=(const http_handler&) = delete;
    http_handler(http_handler&&) = delete;
    http_handler& operator=(http_handler&&) = delete;

    /// @brief A request is complete; the session waits for its answer, at once or later.
    virtual void on_request(const std::shared_ptr<http_session>& session, http_request&& request) = 0;
    /// @brief Input is not a request or exceeds a bound; the handler must answer, and the connection closes then.
    /// @param status HTTP status that fits the fault
    virtual void on_malformed(http_session& session, const error& why, unsigned status) = 0;
    /// @brief The caller of a request in progress has disconnected.
    virtual void on_disconnected(request_id request) = 0;
    /// @brief The unsent text of a stream has reached the bound (true) or has emptied (false).
    virtual void on_stalled(request_id request, bool stalled) = 0;
    /// @brief False while no further request may be read.
    [[nodiscard]] virtual bool may_read() const
    {
        return true;
    }
    /// @brief Called after each batch of calls.
    virtual void batch_done() {}
    /// @brief The number of open connections has changed.
    virtual void on_connections(std::size_t /*count*/) {}
    /// @brief A connection was refused, because the bound on connections is reached.
    virtual void on_refused() {}
};

/// @brief Where a server listens and what it bounds.
struct http_server_options
{
    /// "ip:port"; port 0 takes any free port.
    std::string address;
    /// Name of the address in errors.
    std::string what = "caller_address";
    caller_bounds bounds;
    /// Time after which an idle connection is closed; 0: several times the request timeout.
    duration idle_timeout{};
};

/// @brief HTTP/1.1 server; all members run on one I/O thread.
class http_server
{
  public:
    http_server(asio::io_context& context, http_server_options options, http_handler& handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// @brief Binds the address and begins to accept. @return error invalid_field
    result<void> listen();
    [[nodiscard]] std::uint16_t port() const;
    /// @brief Changes the bounds for requests that arrive from now on.
    void set_bounds(const caller_bounds& bounds, duration idle_timeout);
    /// @brief From now on each answer closes its connection.
    void close_after_answers();

    /// @brief Gives a request an id under which its session is found until its end.
    request_id enroll(const std::shared_ptr<http_session>& session);
    /// @brief The session of a request in progress, or nullptr.
    [[nodiscard]] std::shared_ptr<http_session> find(request_id request) const;
    /// @brief Marks a session with output for the next flush().
    void touch(const std::shared_ptr<http_session>& session);
    /// @brief Writes the output of touched sessions, one write for each connection.
    void flush();
    /// @brief Goes on reading after may_read() was false.
    void resume_reading();
    /// @brief Stops accepting and closes each connection once its answers are written.
    /// @param done called when the last one is closed, or after a second
    void finish(std::function<void()> done);

  private:
    friend class http_session;

    void accept();
    void take(tcp_socket socket);
    void accept_later();
    void sweep();
    void schedule_sweep();
    void remove(const std::shared_ptr<http_session>& session);

    http_server_options options_;
    http_handler& handler_;
    asio::io_context& context_;
    tcp_acceptor acceptor_;
    steady_timer sweep_timer_;
    std::unordered_set<std::shared_ptr<http_session>> sessions_;
    std::unordered_map<request_id, std::shared_ptr<http_session>> requests_;
    std::vector<std::shared_ptr<http_session>> dirty_;
    std::vector<std::shared_ptr<http_session>> paused_;
    std::function<void()> finished_;
    time_point finish_by_ = never;
    request_id next_request_{1};
    /// Bytes of request bodies that connections may receive now.
    std::size_t reserved_body_bytes_ = 0;
    bool closing_ = false;
};

} // namespace parsleyshift
