#pragma once

#include <parsleyshift/runtime/http_client.hpp> // http_client
#include <parsleyshift/runtime/net.hpp>         // steady_timer

#include <parsleyshift/messages/action.hpp>       // start_generation, watch_endpoint
#include <parsleyshift/runtime/channel.hpp>       // channel
#include <parsleyshift/runtime/inbound_event.hpp> // inbound_event
#include <parsleyshift/runtime/metrics.hpp>       // metrics
#include <parsleyshift/wire/endpoint_codec.hpp>   // generation_line

#include <cstdint>       // uint64_t
#include <memory>        // shared_ptr
#include <string>        // string
#include <unordered_map> // unordered_map

namespace parsleyshift
{

/// @brief Bounds of the client of engines and plain services.
struct endpoint_client_options
{
    duration load_interval{250};
    /// Longest time without a byte from an endpoint that runs an attempt.
    duration silence_timeout{10'000};
    duration connect_timeout{2'000};
    std::size_t max_line_bytes = std::size_t{1024} * 1024;
    body_bounds answer_bounds{std::size_t{16} * 1024 * 1024, 64};
};

/// @brief Sends attempts to endpoints and reads their answers, load reports and cache events; all members run on the
/// endpoints' I/O thread.
class endpoint_client
{
  public:
    endpoint_client(asio::io_context& context, endpoint_client_options options, channel<inbound_event>& events,
                    metrics& figures);
    ~endpoint_client();
    endpoint_client(const endpoint_client&) = delete;
    endpoint_client& operator=(const endpoint_client&) = delete;
    endpoint_client(endpoint_client&&) = delete;
    endpoint_client& operator=(endpoint_client&&) = delete;

    void handle(action& what);
    void resume_reading();
    void close();

  private:
    friend class generation_sink;

    struct watch
    {
        watch(asio::io_context& context, watch_endpoint watched) : what(std::move(watched)), timer(context) {}

        watch_endpoint what;
        steady_timer timer;
        std::uint64_t next_event = 0;
    };

    void start(start_generation& what);
    void start(resume_generation& what);
    void start(cancel_attempt& what);
    void start(set_attempt_reading& what);
    void start(start_call& what);
    void start(watch_endpoint& what);
    void start(send_placement_order& what);
    void begin_generation(attempt_id attempt, http_call call, bool resumed);
    void end_call(attempt_id attempt, http_result answer);
    void poll_load(const std::shared_ptr<watch>& watched);
    void poll_cache(const std::shared_ptr<watch>& watched);
    void poll_later(const std::shared_ptr<watch>& watched);
    void read_load(const std::shared_ptr<watch>& watched, http_result answer);
    void read_cache(const std::shared_ptr<watch>& watched, http_result answer);
    void end_order(const placement_order& order, const http_result& answer);
    void emit(event what);
    void malformed(error_kind kind);
    void announce_later();

    asio::io_context& context_;
    endpoint_client_options options_;
    channel<inbound_event>& events_;
    metrics& metrics_;
    http_client http_;
    bool announce_posted_ = false;
    std::unordered_map<attempt_id, std::shared_ptr<http_exchange>> attempts_;
    std::unordered_map<endpoint_id, std::shared_ptr<watch>> watches_;
};

} // namespace parsleyshift
