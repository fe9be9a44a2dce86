#pragma once

#include "caller_route.hpp" // call_context

#include <parsleyshift/messages/action.hpp>       // action
#include <parsleyshift/records/settings.hpp>      // caller_bounds
#include <parsleyshift/runtime/channel.hpp>       // channel
#include <parsleyshift/runtime/http_server.hpp>   // http_server
#include <parsleyshift/runtime/inbound_event.hpp> // inbound_event
#include <parsleyshift/runtime/metrics.hpp>       // metrics

#include <cstdint>    // uint16_t
#include <functional> // function
#include <memory>     // shared_ptr
#include <string>     // string

namespace parsleyshift
{

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
class caller_server : private http_handler
{
  public:
    /// @param metrics_text makes the body of GET /metrics
    caller_server(asio::io_context& context, caller_server_options options, channel<inbound_event>& events,
                  metrics& figures, std::function<std::string()> metrics_text);
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
    void on_request(const std::shared_ptr<http_session>& session, http_request&& request) override;
    void on_malformed(http_session& session, const error& why, unsigned status) override;
    void on_disconnected(request_id request) override;
    void on_stalled(request_id request, bool stalled) override;
    [[nodiscard]] bool may_read() const override;
    void batch_done() override;
    void on_connections(std::size_t count) override;
    void on_refused() override;
    void answer_locally(http_session& session, local_call call);
    void reject(http_session& session, const error& why, unsigned status);
    void complete(request_id request, unsigned status, const std::string& body);

    caller_server_options options_;
    call_context call_context_;
    channel<inbound_event>& events_;
    metrics& metrics_;
    std::function<std::string()> metrics_text_;
    http_server server_;
};

} // namespace parsleyshift
