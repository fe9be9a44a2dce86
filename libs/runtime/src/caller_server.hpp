#pragma once

#include "caller_route.hpp" // call_context
#include "net.hpp"          // tcp_acceptor, steady_timer

#include <parsleyshift/messages/action.hpp>       // action
#include <parsleyshift/records/settings.hpp>      // caller_bounds
#include <parsleyshift/runtime/channel.hpp>       // channel
#include <parsleyshift/runtime/inbound_event.hpp> // inbound_event
#include <parsleyshift/runtime/metrics.hpp>       // metrics

#include <cstdint>       // uint16_t
#include <functional>    // function
#include <memory>        // shared_ptr
#include <string>        // string
#include <unordered_map> // unordered_map
#include <unordered_set> // unordered_set
#include <vector>        // vector

namespace parsleyshift
{

class caller_connection;

/// @brief Settings of the callers' HTTP server.
struct caller_server_options
{
    /// "ip:port"; port 0 takes any free port.
    std::string address;
    instance_id instance;
    std::string operator_key;
    caller_bounds bounds;
};

/// @brief HTTP/1.1 server for callers and operators; all members run on the callers' I/O thread.
class caller_server
{
  public:
    /// @param metrics_text makes the body of GET /metrics
    caller_server(asio::io_context& context, caller_server_options options, channel<inbound_event>& events,
                  metrics& figures, std::function<std::string()> metrics_text);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;
    caller_server(caller_server&&) = delete;
    caller_server& operator=(caller_server&&) = delete;

    /// @brief Binds the address and begins to accept. @return error invalid_field
    result<void> listen();
    [[nodiscard]] std::uint16_t port() const;

    /// @brief Applies an answer; its bytes are written by flush(). Constant time.
    void handle(action& what);
    /// @brief Writes what handle() has added, one write for each connection.
    void flush();
    /// @brief The decision thread has room again: goes on reading from the paused connections.
    void resume_reading();
    /// @brief Stops accepting and closes each connection once its answers are written.
    /// @param done called when the last one is closed, or after a second
    void finish(std::function<void()> done);

  private:
    friend class caller_connection;

    void accept();
    void sweep();
    void schedule_sweep();
    void remove(const std::shared_ptr<caller_connection>& connection);
    /// The connection of a request in progress, or nullptr when it has closed.
    std::shared_ptr<caller_connection> find(request_id request) const;
    void complete(request_id request, unsigned status, std::string body);

    caller_server_options options_;
    call_context call_context_;
    channel<inbound_event>& events_;
    metrics& metrics_;
    std::function<std::string()> metrics_text_;
    asio::io_context& context_;
    tcp_acceptor acceptor_;
    steady_timer sweep_timer_;
    std::unordered_set<std::shared_ptr<caller_connection>> connections_;
    std::unordered_map<request_id, std::shared_ptr<caller_connection>> requests_;
    std::vector<std::shared_ptr<caller_connection>> dirty_;
    std::vector<std::shared_ptr<caller_connection>> paused_;
    std::function<void()> finished_;
    time_point finish_by_ = never;
    request_id next_request_{1};
    /// Bytes of request bodies that connections may receive now.
    std::size_t reserved_body_bytes_ = 0;
};

} // namespace parsleyshift
