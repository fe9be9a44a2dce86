#pragma once

#include <parsleyshift/configuration/store_watch.hpp>      // store_watch
#include <parsleyshift/core/clock.hpp>                     // millisecond_clock
#include <parsleyshift/forwarding/forwarding_protocol.hpp> // store_protocol
#include <parsleyshift/messages/event.hpp>                 // event
#include <parsleyshift/runtime/http_client.hpp>            // http_client

#include <functional> // function
#include <map>        // map
#include <string>     // string
#include <utility>    // move

namespace parsleyshift
{

/// @brief Reads a store and tells the core what its items mean; store_watch decides which call comes next.
/// @tparam P the store's protocol
template <store_protocol P>
class store_reader
{
  public:
    /// @param region_of names the region of a zone
    /// @param rejected takes a description of each item or answer that cannot be read
    store_reader(asio::io_context& context, std::string address, const P& protocol, std::uint64_t seed,
                 std::function<region_id(const zone_id&)> region_of, std::function<void(event)> feed,
                 std::function<void(const error&)> rejected, std::function<void()> batch_done)
        : address_(std::move(address)),
          protocol_(protocol),
          watch_(store_watch_settings{}, seed),
          region_of_(std::move(region_of)),
          feed_(std::move(feed)),
          rejected_(std::move(rejected)),
          client_(context, options(std::move(batch_done))),
          retry_timer_(context)
    {
    }
    void start()
    {
        call();
    }
    void close()
    {
        closed_ = true;
        retry_timer_.cancel();
        client_.close();
    }

  private:
    static http_client_options options(std::function<void()> batch_done)
    {
        http_client_options made;
        made.connect_timeout = duration{700};
        // A watch is silent for its whole wait, which answer_by bounds.
        made.silence_timeout = duration{60'000};
        made.sweep_interval = duration{250};
        made.unacknowledged_timeout = duration{1'500};
        made.batch_done = std::move(batch_done);
        return made;
    }
    void call()
    {
        const time_point now = millisecond_clock::now();
        const store_call wanted = watch_.next(now);
        const bool lists = wanted.what == store_call::kind::list;
        http_call request;
        request.address = address_;
        request.text = request_text(
            "GET", lists ? protocol_.list_target(wanted.after_key) : protocol_.watch_target(wanted.after, wanted.wait),
            address_, {});
        request.answer_by = now + wanted.timeout;
        request.body_limit = max_answer;
        client_.start(std::move(request),
                      [this, lists](http_result answer)
                      {
                          if (!closed_)
                          {
                              take(lists, answer);
                          }
                      });
    }
    void take(bool lists, const http_result& answer)
    {
        constexpr unsigned ok = 200;
        if (!answer.has_value())
        {
            retry();
            return;
        }
        if (!lists && protocol_.says_history_dropped(answer.value().status))
        {
            watch_.history_dropped();
            call();
            return;
        }
        if (answer.value().status != ok || !(lists ? take_page(answer.value()) : take_changes(answer.value())))
        {
            retry();
            return;
        }
        report();
        call();
    }
    bool take_page(const http_answer& answer)
    {
        auto page = protocol_.read_page(answer.body);
        if (page.has_error())
        {
            rejected_(page.error());
            return false;
        }
        watch_.take(std::move(page).value());
        return true;
    }
    bool take_changes(const http_answer& answer)
    {
        const auto changes = protocol_.read_changes(answer.body);
        if (changes.has_error())
        {
            rejected_(changes.error());
            return false;
        }
        watch_.take(changes.value());
        return true;
    }
    void retry()
    {
        feed_(configuration_unavailable{});
        retry_timer_.expires_after(watch_.failed());
        retry_timer_.async_wait(
            [this](const boost::system::error_code& failure)
            {
                if (!failure && !closed_)
                {
                    call();
                }
            });
    }
    void report()
    {
        bool endpoints_changed = false;
        for (const std::string& key : watch_.take_changed())
        {
            endpoints_changed = update(key) || endpoints_changed;
        }
        if (watch_.confirmed() == time_point::min())
        {
            return;
        }
        feed_(configuration_confirmed{watch_.confirmed()});
        if (endpoints_changed)
        {
            report_endpoints();
        }
    }
    /// @return true when the item is or was an endpoint
    bool update(const std::string& key)
    {
        const bool was_endpoint = endpoints_.erase(key) > 0;
        const auto item = watch_.items().find(key);
        if (item == watch_.items().end())
        {
            return was_endpoint;
        }
        auto read = protocol_.read_item(item->second);
        if (read.has_error())
        {
            rejected_(read.error());
            return was_endpoint;
        }
        if (auto* configuration = std::get_if<forwarding_configuration>(&read.value()))
        {
            feed_(forwarding_configured{std::move(*configuration)});
        }
        else if (auto* endpoint = std::get_if<listed_instance>(&read.value()))
        {
            endpoint->region = region_of_(endpoint->availability_zone);
            endpoints_.insert_or_assign(key, std::move(*endpoint));
            return true;
        }
        return was_endpoint;
    }
    void report_endpoints()
    {
        instances_listed listed;
        listed.as_of = watch_.confirmed();
        for (const auto& [key, endpoint] : endpoints_)
        {
            listed.instances.push_back(endpoint);
        }
        feed_(std::move(listed));
    }

    /// Items of 1 MB, a page of 1 MB or so, with their encoding.
    static constexpr std::size_t max_answer = std::size_t{8} * 1024 * 1024;

    std::string address_;
    const P& protocol_;
    store_watch watch_;
    std::function<region_id(const zone_id&)> region_of_;
    std::function<void(event)> feed_;
    std::function<void(const error&)> rejected_;
    http_client client_;
    steady_timer retry_timer_;
    std::map<std::string, listed_instance> endpoints_;
    bool closed_ = false;
};

} // namespace parsleyshift
