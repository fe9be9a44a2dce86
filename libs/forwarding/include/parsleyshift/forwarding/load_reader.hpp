#pragma once

#include <parsleyshift/core/clock.hpp>                     // millisecond_clock
#include <parsleyshift/forwarding/forwarding_protocol.hpp> // forwarding_protocol
#include <parsleyshift/messages/action.hpp>                // watch_endpoint, probe_endpoint
#include <parsleyshift/messages/event.hpp>                 // event, load_reported, load_unavailable
#include <parsleyshift/runtime/http_client.hpp>            // http_client

#include <boost/asio/steady_timer.hpp> // steady_timer

#include <functional>    // function
#include <string>        // string
#include <unordered_map> // unordered_map
#include <utility>       // move

namespace parsleyshift
{

/// @brief Polls watched endpoints for their load reports at a fixed interval and feeds the results to the core.
///
/// All members run on the thread of the I/O context.
/// @tparam P the endpoints' protocol
template <forwarding_protocol P>
class load_reader
{
  public:
    /// @param feed passes load_reported and load_unavailable events to the core
    /// @param batch_done called after each batch of events
    load_reader(asio::io_context& context, const P& protocol, std::function<void(event)> feed,
                std::function<void()> batch_done)
        : protocol_(protocol),
          feed_(std::move(feed)),
          client_(context, client_options(std::move(batch_done))),
          timer_(context)
    {
    }
    /// @brief Starts or ends the polling of an endpoint; the first report is requested immediately.
    void handle(const watch_endpoint& watch)
    {
        if (!watch.enabled)
        {
            watched_.erase(watch.endpoint);
            return;
        }
        watched_.insert_or_assign(watch.endpoint, watch.address);
        request_report(watch.endpoint, watch.address);
        if (!scheduled_)
        {
            schedule_poll();
        }
    }
    /// @brief Requests one report of an endpoint, to find out whether its process runs; endpoint_probed follows.
    void handle(const probe_endpoint& probe)
    {
        client_.start(report_request(probe.address),
                      [this, endpoint = probe.endpoint, attempt = probe.attempt](const http_result& received) {
                          feed_(endpoint_probed{endpoint, result_of(received), statement_of(received), attempt});
                      });
    }
    /// @brief Stops all polling; no events follow.
    void close()
    {
        watched_.clear();
        timer_.cancel();
        client_.close();
    }

  private:
    /// Endpoints measure about every half second; shortening the interval detects a change earlier by half the
    /// difference.
    static constexpr duration poll_interval{300};
    /// A response that takes longer is older than the next one.
    static constexpr duration response_timeout{600};
    static constexpr std::size_t max_report_bytes = std::size_t{256} * 1024;

    /// Other failures to connect, like a time-out or a missing route, do not tell whether the process runs.
    static probe_result result_of(const http_result& received)
    {
        static const std::string refusal = make_error_code(asio::error::connection_refused).message();
        if (received.has_value())
        {
            return probe_result::alive;
        }
        if (received.error().failure == attempt_failure::endpoint_error)
        {
            return probe_result::malformed;
        }
        return received.error().message == refusal ? probe_result::refused : probe_result::unknown;
    }
    [[nodiscard]] endpoint_statement statement_of(const http_result& received) const
    {
        return received.has_value() ? protocol_.read_statement(received.value().head) : endpoint_statement{};
    }
    static http_client_options client_options(std::function<void()> batch_done)
    {
        http_client_options options;
        options.connect_timeout = response_timeout;
        options.sweep_interval = poll_interval;
        options.batch_done = std::move(batch_done);
        return options;
    }
    void schedule_poll()
    {
        scheduled_ = true;
        timer_.expires_after(poll_interval);
        timer_.async_wait(
            [this](const boost::system::error_code& failure)
            {
                scheduled_ = false;
                if (!failure && !watched_.empty())
                {
                    request_all();
                    schedule_poll();
                }
            });
    }
    void request_all()
    {
        for (const auto& [endpoint, address] : watched_)
        {
            request_report(endpoint, address);
        }
    }
    http_call report_request(const std::string& address) const
    {
        const endpoint_call report_call = protocol_.load_call();
        http_call call;
        call.address = address;
        call.text = request_text(report_call.method, report_call.target, address, report_call.body);
        call.response_deadline = millisecond_clock::now() + response_timeout;
        call.body_limit = max_report_bytes;
        return call;
    }
    void request_report(const endpoint_id& endpoint, const std::string& address)
    {
        client_.start(report_request(address),
                      [this, endpoint](const http_result& received) { on_response(endpoint, received); });
    }
    void on_response(const endpoint_id& endpoint, const http_result& received)
    {
        if (!watched_.contains(endpoint))
        {
            return;
        }
        if (received.has_value())
        {
            auto report = protocol_.read_load(received.value().status, received.value().body);
            if (report.has_value())
            {
                report.value().endpoint = endpoint;
                report.value().leaving = report.value().leaving || statement_of(received).leaving;
                feed_(load_reported{std::move(report).value(), statement_of(received)});
                return;
            }
        }
        feed_(load_unavailable{endpoint, statement_of(received)});
    }

    const P& protocol_;
    std::function<void(event)> feed_;
    http_client client_;
    steady_timer timer_;
    std::unordered_map<endpoint_id, std::string> watched_;
    bool scheduled_ = false;
};

} // namespace parsleyshift
