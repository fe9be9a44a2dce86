#pragma once

#include <parsleyshift/core/clock.hpp>                     // millisecond_clock
#include <parsleyshift/forwarding/forwarding_protocol.hpp> // forwarding_protocol
#include <parsleyshift/messages/action.hpp>                // watch_endpoint
#include <parsleyshift/messages/event.hpp>                 // event, load_reported, load_unavailable
#include <parsleyshift/runtime/http_client.hpp>            // http_client

#include <boost/asio/steady_timer.hpp> // steady_timer

#include <functional>    // function
#include <string>        // string
#include <unordered_map> // unordered_map
#include <utility>       // move

namespace parsleyshift
{

/// @brief Asks watched endpoints for their load reports at a fixed interval and feeds what they say to the core.
/// @tparam P the endpoints' protocol
template <forwarding_protocol P>
class load_reader
{
  public:
    load_reader(asio::io_context& context, const P& protocol, std::function<void(event)> feed,
                std::function<void()> batch_done)
        : protocol_(protocol), feed_(std::move(feed)), client_(context, options(std::move(batch_done))), timer_(context)
    {
    }
    /// @brief Begins or ends the watch of an endpoint; the first report is asked for at once.
    void handle(const watch_endpoint& wanted)
    {
        if (!wanted.enabled)
        {
            watched_.erase(wanted.endpoint);
            return;
        }
        watched_.insert_or_assign(wanted.endpoint, wanted.address);
        ask(wanted.endpoint, wanted.address);
        if (!armed_)
        {
            arm();
        }
    }
    void close()
    {
        watched_.clear();
        timer_.cancel();
        client_.close();
    }

  private:
    /// Endpoints measure about every half second; a shorter interval finds a change sooner by half of the difference.
    static constexpr duration interval{300};
    /// An answer that takes longer is older than the next one.
    static constexpr duration answer_within{600};
    static constexpr std::size_t max_report = std::size_t{256} * 1024;

    static http_client_options options(std::function<void()> batch_done)
    {
        http_client_options made;
        made.connect_timeout = answer_within;
        made.sweep_interval = interval;
        made.batch_done = std::move(batch_done);
        return made;
    }
    void arm()
    {
        armed_ = true;
        timer_.expires_after(interval);
        timer_.async_wait(
            [this](const boost::system::error_code& failure)
            {
                armed_ = false;
                if (!failure && !watched_.empty())
                {
                    ask_all();
                    arm();
                }
            });
    }
    void ask_all()
    {
        for (const auto& [endpoint, address] : watched_)
        {
            ask(endpoint, address);
        }
    }
    void ask(const endpoint_id& endpoint, const std::string& address)
    {
        const endpoint_call wanted = protocol_.load_call();
        http_call call;
        call.address = address;
        call.text = request_text(wanted.method, wanted.target, address, wanted.body);
        call.answer_by = millisecond_clock::now() + answer_within;
        call.body_limit = max_report;
        client_.start(std::move(call), [this, endpoint](const http_result& answer) { take(endpoint, answer); });
    }
    void take(const endpoint_id& endpoint, const http_result& answer)
    {
        if (!watched_.contains(endpoint))
        {
            return;
        }
        if (answer.has_value())
        {
            auto report = protocol_.read_load(answer.value().status, answer.value().body);
            if (report.has_value())
            {
                report.value().endpoint = endpoint;
                feed_(load_reported{std::move(report).value()});
                return;
            }
        }
        feed_(load_unavailable{endpoint});
    }

    const P& protocol_;
    std::function<void(event)> feed_;
    http_client client_;
    steady_timer timer_;
    std::unordered_map<endpoint_id, std::string> watched_;
    bool armed_ = false;
};

} // namespace parsleyshift
