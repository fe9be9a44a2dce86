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

/// @brief Timeouts in milliseconds and limits of the endpoint client.
struct endpoint_client_options
{
    /// Pause between the end of one poll of an endpoint and the start of the next.
    duration load_interval{250};
    /// Longest time without a byte from an endpoint before an attempt fails.
    duration silence_timeout{10'000};
    duration connect_timeout{2'000};
    /// Size limit of an incomplete line in a stream of tokens.
    std::size_t max_line_bytes = std::size_t{1024} * 1024;
    /// Limits of every other response: size in bytes and JSON depth.
    body_bounds response_bounds{std::size_t{16} * 1024 * 1024, 64};
};

/// @brief Sends attempts to endpoints, and receives their results, load reports and cache events as events for the
/// decision thread. All members run on the I/O thread for endpoints.
class endpoint_client
{
  public:
    endpoint_client(asio::io_context& context, endpoint_client_options options, channel<inbound_event>& events,
                    metrics& registry);
    ~endpoint_client();
    endpoint_client(const endpoint_client&) = delete;
    endpoint_client& operator=(const endpoint_client&) = delete;
    endpoint_client(endpoint_client&&) = delete;
    endpoint_client& operator=(endpoint_client&&) = delete;

    /// @brief Starts the exchange of an action, or changes one in progress. Ignores actions for other targets.
    void handle(action& requested);
    /// @brief Resumes reading responses if the channel to the decision thread has room again.
    void resume_reading();
    /// @brief Cancels all exchanges and polls without further events, and closes all connections.
    void close();

  private:
    friend class generation_sink;

    /// An endpoint whose load report and cache events are polled.
    struct watch
    {
        watch(asio::io_context& context, watch_endpoint watched) : target(std::move(watched)), timer(context) {}

        watch_endpoint target;
        steady_timer timer;
        /// Position in the cache events: `next` of the last page, sent as `after` in the next poll.
        std::uint64_t cache_cursor = 0;
    };

    void perform(start_generation& requested);
    void perform(resume_generation& requested);
    void perform(cancel_attempt& requested);
    void perform(set_attempt_reading& requested);
    void perform(start_call& requested);
    void perform(watch_endpoint& requested);
    void perform(send_placement_order& requested);
    void begin_generation(attempt_id attempt, http_call call, bool resumed);
    void handle_call_response(attempt_id attempt, http_result result);
    void poll_load(const std::shared_ptr<watch>& watched);
    void poll_cache_events(const std::shared_ptr<watch>& watched);
    void schedule_poll(const std::shared_ptr<watch>& watched);
    void handle_load_response(const std::shared_ptr<watch>& watched, http_result result);
    void handle_cache_response(const std::shared_ptr<watch>& watched, http_result result);
    void handle_order_response(const placement_order& order, const http_result& result);
    void emit(event emitted);
    void count_malformed(error_kind kind);
    void schedule_announce();

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
