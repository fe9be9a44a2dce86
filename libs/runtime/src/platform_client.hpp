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

/// @brief Addresses and intervals of the platform's services.
struct platform_client_options
{
    /// "ip:port"; empty: not read.
    std::string configuration_service;
    std::string instance_list;
    duration list_interval{1'000};
};

/// @brief Reads the configuration service when asked and polls the instance list; all members run on the platform's
/// I/O thread.
class platform_client
{
  public:
    platform_client(asio::io_context& context, platform_client_options options, channel<inbound_event>& events,
                    metrics& figures);

    /// @brief Begins to poll the instance list.
    void start();
    void handle(action& what);
    void resume_reading();
    void close();

  private:
    void read(const read_configuration& what);
    void end_read(const read_configuration& what, const http_result& answer);
    void poll_list();
    void end_poll(const http_result& answer);
    void emit(event what);

    platform_client_options options_;
    channel<inbound_event>& events_;
    metrics& metrics_;
    http_client http_;
    steady_timer list_timer_;
    bool closed_ = false;
};

} // namespace parsleyshift
