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

/// @brief Settings of the HTTP server for callers.
struct caller_server_options
{
    /// "ip:port"; port 0 selects any free port.
    std::string address;
    /// Instance id that the start event of each stream contains.
    instance_id instance;
    /// When empty, all operator calls are refused.
    std::string operator_key;
    caller_bounds bounds;
};

/// @brief HTTP/1.1 server for callers and operators. Sends requests as events to the decision thread and writes the
/// responses that come back as actions. All members run on the I/O thread for callers.
class caller_server : private http_handler
{
  public:
    /// @param registry counts malformed input and connections
    /// @param metrics_text returns the body of GET /metrics
    caller_server(asio::io_context& context, caller_server_options options, channel<inbound_event>& events,
                  metrics& registry, std::function<std::string()> metrics_text);
    /// @brief Binds the address and starts accepting connections.
    /// @return error invalid_field when the address is malformed or cannot be bound
    result<void> listen();
    /// @brief Port that the server listens on. Requires a successful listen().
    [[nodiscard]] std::uint16_t port() const;

    /// @brief Queues the output of an action for its caller; flush() writes it. Ignores actions for ended requests.
    /// Constant time.
    void handle(action& requested);
    /// @brief Writes the output that handle() has queued, with one write per connection.
    void flush();
    /// @brief Resumes reading from the paused connections if the channel to the decision thread has room again.
    void resume_reading();
    /// @brief Stops accepting and closes each connection once its responses are written.
    /// @param done called once, when the last connection is closed or one second has passed
    void finish(std::function<void()> done);

  private:
    void on_request(const std::shared_ptr<http_session>& session, http_request&& request) override;
    void on_malformed(http_session& session, const error& why, unsigned status) override;
    void on_disconnected(request_id request) override;
    void on_stalled(request_id request, bool stalled) override;
    [[nodiscard]] bool may_read() const override;
    void batch_done() override;
    void on_connections(std::size_t count) override;
    void on_connection_refused() override;
    void respond_locally(http_session& session, local_call call);
    void reject(http_session& session, const error& why, unsigned status);
    void respond(request_id request, unsigned status, const std::string& body);

    caller_server_options options_;
    call_context call_context_;
    channel<inbound_event>& events_;
    metrics& metrics_;
    std::function<std::string()> metrics_text_;
    http_server server_;
};

} // namespace parsleyshift
