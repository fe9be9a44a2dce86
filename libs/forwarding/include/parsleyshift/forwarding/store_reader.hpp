#pragma once

#include <parsleyshift/configuration/source_relay.hpp>     // source_relay, source_peer
#include <parsleyshift/configuration/store_watch.hpp>      // store_watch
#include <parsleyshift/core/clock.hpp>                     // millisecond_clock
#include <parsleyshift/core/field_text.hpp>                // escaped
#include <parsleyshift/forwarding/forwarding_protocol.hpp> // store_protocol
#include <parsleyshift/messages/event.hpp>                 // event
#include <parsleyshift/messages/store.hpp>                 // store_read
#include <parsleyshift/runtime/http_client.hpp>            // http_client

#include <algorithm>  // max, min
#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <map>        // map
#include <optional>   // optional
#include <string>     // string
#include <utility>    // exchange, move
#include <vector>     // vector

namespace parsleyshift
{

/// @brief Reads a key-value store, directly or through a peer, and feeds the decoded items to the core.
///
/// store_watch and source_relay decide which request comes next; this class does the I/O. A peer that does not read the
/// store itself sends a source_pull, a request for the changes after a revision, which this class answers with a
/// source_answer. All members run on the thread of the I/O context.
/// @tparam P the store's protocol
template <store_protocol P>
class store_reader
{
  public:
    /// @brief Functions of the instance that the reader belongs to.
    struct callbacks
    {
        /// Returns the region of a zone; empty when the zone is unknown.
        std::function<region_id(const zone_id&)> region_of;
        /// Returns the peers that read the store for this instance.
        std::function<source_readers()> reading_peers;
        /// Sends a message to a peer.
        std::function<void(const source_peer&, peer_message)> send;
        /// Passes an event to the core.
        std::function<void(event)> feed;
        /// Called with the reason for each item or response that cannot be decoded.
        std::function<void(const error&)> on_rejected;
        /// Called when a read from the store or from a peer has ended.
        std::function<void(const store_read&)> on_read;
        /// Called when the items are those of another era than before, with that era and their revision.
        std::function<void(source_era, revision)> on_era;
        /// Called with the size in bytes of each answer that passes items on to a peer.
        std::function<void(std::size_t)> on_relayed;
        /// Called after each batch of events.
        std::function<void()> batch_done;
    };

    /// @param address "ip:port" of the store
    /// @param seed of the random delays between retries and of the numbers of pulls
    /// @param link_rate rate of this instance's link in bytes per millisecond
    store_reader(asio::io_context& context, std::string address, const P& protocol, std::uint64_t seed,
                 double link_rate, callbacks functions)
        : address_(std::move(address)),
          protocol_(protocol),
          watch_(watch_settings(link_rate), seed),
          relay_(watch_, relay_settings(link_rate), seed),
          callbacks_(std::move(functions)),
          client_(context, client_options(callbacks_.batch_done)),
          retry_timer_(context),
          pull_timer_(context),
          progress_timer_(context)
    {
    }
    /// @brief Starts reading; it goes on until close().
    void start()
    {
        request_next();
    }
    /// @brief Stops reading; pulls that peers send are not answered from then on.
    void close()
    {
        closed_ = true;
        retry_timer_.cancel();
        pull_timer_.cancel();
        progress_timer_.cancel();
        client_.close();
    }
    /// @brief Handles a peer's pull: answers it at once, or after a later response of the store.
    void handle(const source_peer& from, const source_pull& pull)
    {
        if (closed_)
        {
            return;
        }
        for (source_answer& answer : relay_.handle_pull(from, pull, millisecond_clock::now()))
        {
            send_answer(from, std::move(answer));
        }
        schedule_pending_pulls();
    }
    /// @brief Handles a peer's answer to a pull of this instance.
    void handle(const source_peer& from, const source_answer& answer)
    {
        const auto reception = relay_.handle_answer(from, answer, millisecond_clock::now());
        if (closed_ || reception == source_relay::answer_result::ignored)
        {
            return;
        }
        pull_timer_.cancel();
        if (reception == source_relay::answer_result::announced || reception == source_relay::answer_result::waiting)
        {
            const bool waiting = reception == source_relay::answer_result::waiting;
            schedule_pull_timeout(answer.pull_number, waiting ? relay_.answer_timeout() : relay_.transfer_timeout());
            schedule_pending_pulls();
            return;
        }
        const bool confirmed = reception == source_relay::answer_result::accepted;
        report_read(confirmed ? store_read_result::complete : store_read_result::refused, size_of(answer),
                    confirmed ? "" : "the peer cannot confirm its items");
        if (reception != source_relay::answer_result::refused)
        {
            publish(confirmed);
        }
        request_next();
    }

  private:
    static store_watch_settings watch_settings(double link_rate)
    {
        store_watch_settings settings;
        settings.link_rate = link_rate;
        return settings;
    }
    static source_relay_settings relay_settings(double link_rate)
    {
        // The rest of the link is for callers and endpoints.
        constexpr double relay_share = 0.8;
        source_relay_settings settings;
        settings.min_link_rate = link_rate * relay_share;
        return settings;
    }
    static http_client_options client_options(std::function<void()> batch_done)
    {
        http_client_options options;
        options.connect_timeout = duration{700};
        // A watch sends no bytes until something changes or its wait is over; start_deadline bounds it.
        options.silence_timeout = duration{60'000};
        options.sweep_interval = duration{250};
        options.unacknowledged_timeout = duration{1'500};
        options.batch_done = std::move(batch_done);
        return options;
    }
    void send_answer(const source_peer& to, source_answer answer)
    {
        callbacks_.on_relayed(size_of(answer));
        callbacks_.send(to, std::move(answer));
    }
    /// Schedules what the pulls that wait at this instance need: large answers when the link has room for them, and
    /// signs that this instance is alive.
    void schedule_pending_pulls()
    {
        const time_point next = std::min(relay_.next_progress_sign(), relay_.next_large_answers());
        if (next == never || next == pending_pulls_due_at_)
        {
            return;
        }
        pending_pulls_due_at_ = next;
        progress_timer_.expires_after(std::max(next - millisecond_clock::now(), duration{1}));
        progress_timer_.async_wait(
            [this](const boost::system::error_code& failure)
            {
                if (failure || closed_)
                {
                    return;
                }
                pending_pulls_due_at_ = never;
                for (addressed_answer& answer : relay_.take_large_answers(millisecond_clock::now()))
                {
                    send_answer(answer.to, std::move(answer.answer));
                }
                for (addressed_answer& sign : relay_.take_progress_signs(millisecond_clock::now()))
                {
                    send_answer(sign.to, std::move(sign.answer));
                }
                schedule_pending_pulls();
                callbacks_.batch_done();
            });
    }
    void begin_read(store_read_source source, std::string request)
    {
        current_read_ = store_read{};
        current_read_.source = source;
        current_read_.request = std::move(request) + " after revision " + std::to_string(watch_.as_of().value()) +
                                " of era " + std::to_string(watch_.era().value());
        read_started_at_ = millisecond_clock::now();
    }
    void report_read(store_read_result result, std::size_t bytes, std::string reason = {})
    {
        current_read_.result = result;
        current_read_.bytes = bytes;
        current_read_.elapsed = millisecond_clock::now() - read_started_at_;
        current_read_.reason = std::move(reason);
        callbacks_.on_read(current_read_);
    }
    void request_next()
    {
        if (const auto next = relay_.next_pull(callbacks_.reading_peers(), millisecond_clock::now()))
        {
            begin_read(store_read_source::peer, "pull from " + next->to.instance.value());
            callbacks_.send(next->to, next->pull);
            schedule_pull_timeout(next->pull.pull_number, relay_.answer_timeout());
            return;
        }
        const duration delay = relay_.next_direct_read() - millisecond_clock::now();
        if (delay > duration{})
        {
            schedule_request(delay);
            return;
        }
        request_from_store();
    }
    void schedule_pull_timeout(std::uint64_t number, duration timeout)
    {
        pull_timer_.expires_after(timeout);
        pull_timer_.async_wait(
            [this, number](const boost::system::error_code& failure)
            {
                // The answer may have arrived after the timer expired and before this handler ran.
                if (!failure && !closed_ && relay_.handle_timeout(number, millisecond_clock::now()))
                {
                    report_read(store_read_result::no_response, 0, "the peer did not answer in time");
                    request_next();
                }
            });
    }
    void request_from_store()
    {
        const time_point now = millisecond_clock::now();
        const store_call next_call = watch_.next(now, relay_.skip_watch_wait());
        const bool is_listing = next_call.what == store_call::kind::list;
        relay_.begin_read();
        schedule_pending_pulls();
        begin_read(store_read_source::store, is_listing ? "list" : "watch");
        http_call request;
        request.address = address_;
        request.text = request_text("GET",
                                    is_listing ? protocol_.list_target(next_call.after_key)
                                               : protocol_.watch_target(next_call.after, next_call.wait),
                                    address_, {});
        request.start_deadline = now + next_call.timeout;
        request.response_deadline = now + next_call.transfer_timeout;
        request.stall_timeout = stall_timeout;
        request.body_limit = is_listing ? max_response_bytes : next_call.max_response_bytes;
        client_.start(std::move(request),
                      [this, is_listing](http_result response)
                      {
                          if (!closed_)
                          {
                              on_response(is_listing, response);
                          }
                      });
    }
    void on_response(bool is_listing, const http_result& response)
    {
        constexpr unsigned ok = 200;
        if (response.has_value())
        {
            watch_.record_response(millisecond_clock::now());
        }
        if (!response.has_value())
        {
            const http_failure& failure = response.error();
            report_read(store_read_result::no_response, failure.received_bytes, failure.message);
            // The response is too large, or its head is invalid.
            const bool is_watch_rejected = !is_listing && failure.failure == attempt_failure::endpoint_error;
            if (is_watch_rejected && watch_.restart_after_rejected_watch())
            {
                request_next();
                return;
            }
            handle_failure(is_watch_rejected || failure.received_bytes > 0);
            return;
        }
        const http_answer& answer = response.value();
        if (!is_listing && protocol_.is_history_dropped(answer.status))
        {
            report_read(store_read_result::refused, answer.body.size(), "the store has dropped the history");
            watch_.restart_listing();
            request_next();
            return;
        }
        if (answer.status != ok)
        {
            report_read(store_read_result::refused, answer.body.size(), "status " + std::to_string(answer.status));
            handle_failure(false);
            return;
        }
        const auto era = era_of(answer);
        if (era.has_error())
        {
            report_read(store_read_result::malformed, answer.body.size(), era.error().detail);
            handle_failure(false);
            return;
        }
        if (!is_listing && era.value() > watch_.era())
        {
            report_read(store_read_result::refused, answer.body.size(),
                        "the store has come back from a copy, in era " + std::to_string(era.value().value()));
            watch_.restart_listing();
            request_next();
            return;
        }
        if (!(is_listing ? apply_page(answer, era.value()) : apply_changes(answer, era.value())))
        {
            report_read(store_read_result::malformed, answer.body.size());
            handle_failure(true);
            return;
        }
        report_read(store_read_result::complete, answer.body.size());
        relay_.record_read();
        publish(true);
        request_next();
    }
    /// Decodes the era of a response. @return error invalid_field, also for an era before that of the local copy
    result<source_era> era_of(const http_answer& response) const
    {
        BOOST_OUTCOME_TRY(const source_era era, protocol_.read_era(response.head));
        if (era < watch_.era())
        {
            return make_error(error_kind::invalid_field,
                              "the response is of era " + std::to_string(era.value()) + ", but the copy of era " +
                                  std::to_string(watch_.era().value()) +
                                  "; an era never goes back, check what answers for the store");
        }
        return era;
    }
    bool apply_page(const http_answer& response, source_era era)
    {
        auto page = protocol_.read_page(response.body);
        if (page.has_error())
        {
            callbacks_.on_rejected(page.error());
            return false;
        }
        page.value().era = era;
        watch_.handle(std::move(page).value());
        return true;
    }
    bool apply_changes(const http_answer& response, source_era era)
    {
        auto changes = protocol_.read_changes(response.body);
        if (changes.has_error())
        {
            callbacks_.on_rejected(changes.error());
            return false;
        }
        changes.value().era = era;
        watch_.handle(changes.value());
        return true;
    }
    /// @param response_started whether a part of a response has arrived, or one that cannot be decoded
    void handle_failure(bool response_started)
    {
        relay_.record_failed_read(millisecond_clock::now() + watch_.record_failure(response_started));
        answer_peers(false);
        if (!relay_.follows_lower_rank())
        {
            callbacks_.feed(configuration_unavailable{});
        }
        request_next();
    }
    /// Waits for the next attempt to read the store, and asks the peers from time to time meanwhile.
    void schedule_request(duration delay)
    {
        retry_timer_.expires_after(std::min(delay, relay_.retry_interval()));
        retry_timer_.async_wait(
            [this](const boost::system::error_code& failure)
            {
                if (!failure && !closed_)
                {
                    request_next();
                }
            });
    }
    /// Feeds new items and the time of the last confirmed state to the core, and answers the peers that wait for them.
    /// @param confirmed whether the items are proved to be the latest
    void publish(bool confirmed)
    {
        if (watch_.era() != published_era_)
        {
            callbacks_.on_era(watch_.era(), watch_.as_of());
            if (published_era_ != source_era{})
            {
                // Endpoints that registered after the copy was made are missing until they register again.
                callbacks_.feed(configuration_unavailable{});
            }
            published_era_ = watch_.era();
        }
        bool endpoints_changed = false;
        for (const std::string& key : watch_.take_changed())
        {
            endpoints_changed = apply_item(key) || endpoints_changed;
        }
        // Requests are served from the first configuration on, so that the evacuated zones must be known before it.
        feed_zones();
        if (auto configuration = std::exchange(configuration_, std::nullopt))
        {
            callbacks_.feed(forwarding_configured{std::move(*configuration)});
        }
        if (watch_.confirmed_at() == time_point::min())
        {
            return;
        }
        if (watch_.confirmed_at() > last_confirmed_)
        {
            last_confirmed_ = watch_.confirmed_at();
            callbacks_.feed(configuration_confirmed{last_confirmed_});
        }
        if (endpoints_changed)
        {
            feed_endpoints();
        }
        answer_peers(confirmed);
    }
    void answer_peers(bool confirmed)
    {
        for (addressed_answer& pending : relay_.take_pending_answers(confirmed, millisecond_clock::now()))
        {
            send_answer(pending.to, std::move(pending.answer));
        }
        schedule_pending_pulls();
    }
    /// Decodes the item of a key and stores the result.
    /// @return true when the item is or was an endpoint
    bool apply_item(const std::string& key)
    {
        const bool was_endpoint = endpoints_.erase(key) > 0;
        evacuated_.erase(key);
        const auto item = watch_.items().find(key);
        if (item == watch_.items().end())
        {
            rejected_.erase(key);
            return was_endpoint;
        }
        auto decoded = protocol_.read_item(item->second);
        if (decoded.has_error())
        {
            report_rejected(key, std::move(decoded).error());
            return was_endpoint;
        }
        rejected_.erase(key);
        if (auto* configuration = std::get_if<forwarding_configuration>(&decoded.value()))
        {
            configuration_ = std::move(*configuration);
        }
        else if (auto* zone = std::get_if<evacuated_zone>(&decoded.value()))
        {
            report_evacuation(*zone);
            evacuated_.insert_or_assign(key, std::move(zone->zone));
        }
        else if (auto* endpoint = std::get_if<listed_instance>(&decoded.value()))
        {
            endpoint->region = callbacks_.region_of(endpoint->availability_zone);
            const bool is_cold = endpoint->cold_left.value_or(duration{}) > duration{} ||
                                 (!endpoint->cold_left && !endpoint->cold_unreadable.empty());
            endpoint->cold_as_of = is_cold ? millisecond_clock::now() : time_point{};
            endpoints_.insert_or_assign(key, std::move(*endpoint));
            return true;
        }
        return was_endpoint;
    }
    /// Reports an item that cannot be decoded, unless it had the same error before its last change.
    void report_rejected(const std::string& key, error why)
    {
        std::string& reported = rejected_[key];
        if (reported == why.detail)
        {
            return;
        }
        reported = why.detail;
        why.detail = "item \"" + escaped(key) + "\": " + why.detail;
        callbacks_.on_rejected(why);
    }
    /// Reports the oddities of an item that evacuates a zone nevertheless.
    void report_evacuation(const evacuated_zone& item)
    {
        constexpr std::size_t max_shown_length = 64;
        std::string oddities = item.unreadable;
        if (callbacks_.region_of(item.zone).empty())
        {
            oddities += oddities.empty() ? "" : "; ";
            oddities += "no zone of this name is known, check the name";
        }
        if (!oddities.empty())
        {
            callbacks_.on_rejected(make_error(error_kind::invalid_field,
                                              "evacuation of zone " + item.zone.value().substr(0, max_shown_length) +
                                                  " is in force, but: " + oddities));
        }
    }
    void feed_zones()
    {
        std::vector<zone_id> zones;
        for (const auto& [key, zone] : evacuated_)
        {
            zones.push_back(zone);
        }
        if (zones != fed_zones_)
        {
            fed_zones_ = zones;
            callbacks_.feed(zones_evacuated{std::move(zones)});
        }
    }
    void feed_endpoints()
    {
        instances_listed endpoint_list;
        endpoint_list.as_of = watch_.confirmed_at();
        for (const auto& [key, endpoint] : endpoints_)
        {
            endpoint_list.instances.push_back(endpoint);
        }
        callbacks_.feed(std::move(endpoint_list));
    }

    /// Longest pause within a response of the store.
    static constexpr duration stall_timeout{700};
    /// Maximum size of a page of a listing. A page holds about 1 MB of items, or a single item of 1 MB, plus the
    /// encoding; the protocol's decoder may accept less.
    static constexpr std::size_t max_response_bytes = std::size_t{8} * 1024 * 1024;

    std::string address_;
    const P& protocol_;
    store_watch watch_;
    source_relay relay_;
    callbacks callbacks_;
    http_client client_;
    steady_timer retry_timer_;
    steady_timer pull_timer_;
    steady_timer progress_timer_;
    /// Time for which progress_timer_ is scheduled; `never` when it is not.
    time_point pending_pulls_due_at_ = never;
    /// Time of the last configuration_confirmed event.
    time_point last_confirmed_ = time_point::min();
    /// Era of the items that were last fed to the core.
    source_era published_era_;
    std::map<std::string, listed_instance> endpoints_;
    /// Errors of the items that cannot be decoded, by their keys.
    std::map<std::string, std::string> rejected_;
    /// Evacuated zones by the keys of their items.
    std::map<std::string, zone_id> evacuated_;
    std::vector<zone_id> fed_zones_;
    /// A configuration that has been decoded and not yet been fed to the core.
    std::optional<forwarding_configuration> configuration_;
    /// The read in progress.
    store_read current_read_;
    time_point read_started_at_;
    bool closed_ = false;
};

} // namespace parsleyshift
