#pragma once

#include <parsleyshift/runtime/http_client.hpp> // http_client
#include <parsleyshift/runtime/net.hpp>         // steady_timer

#include <parsleyshift/messages/action.hpp>       // read_configuration
#include <parsleyshift/runtime/channel.hpp>       // channel
#include <parsleyshift/runtime/inbound_event.hpp> // inbound_event
#include <parsleyshift/runtime/metrics.hpp>       // metrics

#include <string> // string

namespace parsleyshift
{

/// @brief Addresses of the platform's services and the polling interval.
struct platform_client_options
{
    /// "ip:port"; if empty, every read is answered with configuration_unavailable.
    std::string configuration_service;
    /// "ip:port"; if empty, the list is not polled.
    std::string instance_list;
    /// Time from one response to the next poll.
    duration list_interval{1'000};
};

/// @brief Reads the configuration service on read_configuration and polls the instance list. All members run on the
/// I/O thread for the platform.
class platform_client
{
  public:
    platform_client(asio::io_context& context, platform_client_options options, channel<inbound_event>& events,
                    metrics& process_metrics);

    /// @brief Starts to poll the instance list.
    void start();
    /// @brief Performs read_configuration; other actions are ignored.
    void handle(action& requested);
    /// @brief Resumes reading if the event channel has space again.
    void resume_reading();
    /// @brief Stops polling and closes all connections.
    void close();

  private:
    void read_records(const read_configuration& query);
    void on_records_response(const read_configuration& query, const http_result& response);
    void poll_instances();
    void on_instances_response(const http_result& response);
    void emit(event emitted);

    platform_client_options options_;
    channel<inbound_event>& events_;
    metrics& metrics_;
    http_client http_;
    steady_timer poll_timer_;
    bool closed_ = false;
};

} // namespace parsleyshift
