#pragma once

#include <parsleyshift/configuration/source_relay.hpp>     // source_relay, source_peer
#include <parsleyshift/configuration/store_watch.hpp>      // store_watch
#include <parsleyshift/core/clock.hpp>                     // millisecond_clock
#include <parsleyshift/forwarding/forwarding_protocol.hpp> // store_protocol
#include <parsleyshift/messages/event.hpp>                 // event
#include <parsleyshift/runtime/http_client.hpp>            // http_client

#include <cstdint>    // uint64_t
#include <functional> // function
#include <map>        // map
#include <optional>   // optional
#include <string>     // string
#include <utility>    // move

namespace parsleyshift
{

/// @brief Reads a store, itself or through a peer, and tells the core what its items mean; store_watch and source_relay
/// decide what comes next.
/// @tparam P the store's protocol
template <store_protocol P>
class store_reader
{
  public:
    /// @brief What the reader needs of the instance that it belongs to.
    struct surroundings
    {
        /// Names the region of a zone.
        std::function<region_id(const zone_id&)> region_of;
        /// The peer that reads the store for this instance; nothing when it reads itself.
        std::function<std::optional<source_peer>()> reader;
        std::function<void(const source_peer&, peer_message)> send;
        std::function<void(event)> feed;
        /// Takes a description of each item or answer that cannot be read.
        std::function<void(const error&)> rejected;
        std::function<void()> batch_done;
    };

    store_reader(asio::io_context& context, std::string address, const P& protocol, std::uint64_t seed,
                 surroundings instance)
        : address_(std::move(address)),
          protocol_(protocol),
          watch_(store_watch_settings{}, seed),
          relay_(watch_),
          instance_(std::move(instance)),
          client_(context, options(instance_.batch_done)),
          retry_timer_(context),
          pull_timer_(context)
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
        pull_timer_.cancel();
        client_.close();
    }
    /// @brief A peer asks for changes.
    void handle(const source_peer& from, const source_pull& pull)
    {
        if (closed_)
        {
            return;
        }
        if (auto answer = relay_.asked(from, pull, millisecond_clock::now()))
        {
            instance_.send(from, std::move(*answer));
        }
    }
    /// @brief A peer has answered.
    void handle(const source_peer& from, const source_answer& answer)
    {
        const auto reception = relay_.take(from.instance, answer, millisecond_clock::now());
        if (closed_ || reception == source_relay::reception::ignored)
        {
            return;
        }
        pull_timer_.cancel();
        if (reception == source_relay::reception::accepted)
        {
            report();
        }
        call();
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
        const auto reader = instance_.reader();
        if (const auto pull = relay_.next_pull(reader, millisecond_clock::now()))
        {
            instance_.send(*reader, *pull);
            await_answer(pull->number);
            return;
        }
        call_store();
    }
    void await_answer(std::uint64_t number)
    {
        pull_timer_.expires_after(relay_.answer_within());
        pull_timer_.async_wait(
            [this, number](const boost::system::error_code& failure)
            {
                // The answer may have come while this was on its way.
                if (!failure && !closed_ && relay_.unanswered(number, millisecond_clock::now()))
                {
                    call();
                }
            });
    }
    void call_store()
    {
        const time_point now = millisecond_clock::now();
        const store_call wanted = watch_.next(now, relay_.in_haste());
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
        relay_.read_directly(true);
        report();
        call();
    }
    bool take_page(const http_answer& answer)
    {
        auto page = protocol_.read_page(answer.body);
        if (page.has_error())
        {
            instance_.rejected(page.error());
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
            instance_.rejected(changes.error());
            return false;
        }
        watch_.take(changes.value());
        return true;
    }
    void retry()
    {
        relay_.read_directly(false);
        answer_peers(false);
        instance_.feed(configuration_unavailable{});
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
        if (watch_.confirmed() > reported_)
        {
            reported_ = watch_.confirmed();
            instance_.feed(configuration_confirmed{reported_});
        }
        if (endpoints_changed)
        {
            report_endpoints();
        }
        answer_peers(true);
    }
    void answer_peers(bool successful)
    {
        for (addressed_answer& each : relay_.due(successful, millisecond_clock::now()))
        {
            instance_.send(each.to, std::move(each.answer));
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
            instance_.rejected(read.error());
            return was_endpoint;
        }
        if (auto* configuration = std::get_if<forwarding_configuration>(&read.value()))
        {
            instance_.feed(forwarding_configured{std::move(*configuration)});
        }
        else if (auto* endpoint = std::get_if<listed_instance>(&read.value()))
        {
            endpoint->region = instance_.region_of(endpoint->availability_zone);
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
        instance_.feed(std::move(listed));
    }

    /// Items of 1 MB, a page of 1 MB or so, with their encoding.
    static constexpr std::size_t max_answer = std::size_t{8} * 1024 * 1024;

    std::string address_;
    const P& protocol_;
    store_watch watch_;
    source_relay relay_;
    surroundings instance_;
    http_client client_;
    steady_timer retry_timer_;
    steady_timer pull_timer_;
    /// The time that the core was last told.
    time_point reported_ = time_point::min();
    std::map<std::string, listed_instance> endpoints_;
    bool closed_ = false;
};

} // namespace parsleyshift
