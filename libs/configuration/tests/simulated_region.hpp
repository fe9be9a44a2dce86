#pragma once

#include "simulated_links.hpp" // simulated_links

#include <parsleyshift/configuration/reader_ranking.hpp> // readers_for_rank
#include <parsleyshift/configuration/source_relay.hpp>   // source_relay
#include <parsleyshift/core/random_source.hpp>           // random_source

#include <algorithm>  // max, min, rotate
#include <cstddef>    // ptrdiff_t, size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <map>        // map
#include <memory>     // unique_ptr
#include <optional>   // optional
#include <string>     // string
#include <utility>    // move
#include <vector>     // vector

namespace parsleyshift::test_support
{

using namespace parsleyshift::literals;

/// @brief Rates in bytes per millisecond, and the size of a region; the defaults are those of a large deployment.
struct region_shape
{
    std::size_t instances = 40;
    /// Rate of the link of the instance with the highest rank as a reader, and of all others.
    double reader_link = 1'250;
    double follower_link = 1'250;
    /// The link to the region of the store, which all instances share.
    double store_link = 7'500;
    /// The last instances are the seeds of those that start.
    std::size_t seeds = 3;
    /// Seed of the random choices.
    std::uint64_t random_seed = 7;
    duration store_delay{32};
    duration peer_delay{1};
};

/// @brief The instances of one region, which read a store in another region through store_watch and source_relay.
///
/// Decides nothing itself: it carries out the calls and pulls that these classes ask for, as store_reader does.
class simulated_region
{
  public:
    simulated_region(simulated_links& links, const region_shape& shape)
        : links_(links), shape_(shape), random_(shape.random_seed)
    {
        store_link_ = links_.add_link(shape.store_link);
        for (std::size_t index = 0; index < shape.instances; ++index)
        {
            const double rate = rate_of(index);
            nodes_.push_back(std::make_unique<node>(index, rate));
            nodes_.back()->uplink = links_.add_link(rate);
            nodes_.back()->downlink = links_.add_link(rate);
            ranking_.push_back(peer_of(*nodes_.back()));
        }
    }
    /// @brief Starts all instances, which know each other.
    void start()
    {
        for (const auto& each : nodes_)
        {
            request_next(*each);
        }
    }
    /// @brief Starts all instances in random order, within 300 ms, without knowledge of each other but the seeds. They
    /// join within a time.
    void start_cold(duration joined_within)
    {
        for (const auto& each : nodes_)
        {
            restart(each->index, duration{static_cast<duration::rep>(random_.index(300))}, joined_within);
        }
    }
    /// @brief Replaces an instance by a new process, which starts after a delay and joins within a time after that.
    void restart(std::size_t index, duration delay, duration joined_within)
    {
        retired_.push_back(std::move(nodes_[index]));
        retired_.back()->frozen = true;
        nodes_[index] = std::make_unique<node>(index, rate_of(index));
        node& fresh = *nodes_[index];
        fresh.uplink = retired_.back()->uplink;
        fresh.downlink = retired_.back()->downlink;
        fresh.joins_at =
            links_.now() + delay +
            duration{static_cast<duration::rep>(random_.index(static_cast<std::size_t>(joined_within.count()) + 1))};
        fresh.frozen = true;
        links_.schedule(delay,
                        [this, &fresh]
                        {
                            fresh.frozen = false;
                            request_next(fresh);
                        });
    }
    /// @brief Writes an item to the store and wakes the watches.
    void write(const std::string& key, const std::string& value)
    {
        ++store_revision_;
        history_.push_back({links_.now(), store_change{key, value, revision{store_revision_}}});
        items_.insert_or_assign(key, store_item{key, value, revision{store_revision_}});
        for (const auto& each : nodes_)
        {
            if (each->watch_pending)
            {
                answer_watch(*each);
            }
        }
    }
    /// @brief Makes a copy of the store.
    void copy_store()
    {
        copied_items_ = items_;
        copied_history_ = history_;
        copied_revision_ = store_revision_;
    }
    /// @brief Replaces the store by its copy, in a new era.
    void restore_store()
    {
        items_ = copied_items_;
        history_ = copied_history_;
        store_revision_ = copied_revision_;
        ++era_;
        for (const auto& each : nodes_)
        {
            // The watches of the store before end without an answer.
            each->watch_pending = false;
        }
    }
    /// @brief Returns true when the local copy of an instance equals the store.
    [[nodiscard]] bool matches_store(std::size_t index) const
    {
        return nodes_[index]->watch.items() == items_ && nodes_[index]->watch.era() == source_era{era_};
    }
    /// @brief Sets whether the store answers; calls to a silent store end at their timeout.
    void set_store_silent(bool silent)
    {
        store_silent_ = silent;
    }
    /// @brief Sets whether the store refuses the calls of an instance at once.
    void set_refused(std::size_t index, bool refused)
    {
        nodes_[index]->refused = refused;
    }
    /// @brief Sets the probability with which the store refuses a call.
    void set_refusals(double probability)
    {
        refusals_ = probability;
    }
    /// @brief Sets the time that the store takes for an answer.
    void set_store_delay(duration delay)
    {
        shape_.store_delay = delay;
    }
    /// @brief Stops an instance from answering and reading, as if its process had been suspended.
    void freeze(std::size_t index)
    {
        nodes_[index]->frozen = true;
    }
    /// @brief Revision up to which the local copy of an instance is complete.
    [[nodiscard]] revision revision_of(std::size_t index) const
    {
        return nodes_[index]->watch.as_of();
    }
    [[nodiscard]] std::uint64_t store_revision() const noexcept
    {
        return store_revision_;
    }
    /// @brief Time for which the local copy of an instance has not been confirmed.
    [[nodiscard]] duration age_of(std::size_t index) const
    {
        return links_.now() - nodes_[index]->watch.confirmed_at();
    }
    [[nodiscard]] bool frozen(std::size_t index) const
    {
        return nodes_[index]->frozen;
    }
    /// @brief Number of calls to the store.
    [[nodiscard]] std::size_t store_calls() const noexcept
    {
        return store_calls_;
    }

  private:
    struct node
    {
        node(std::size_t number, double link_rate)
            : index(number),
              name("i" + std::to_string(number)),
              watch(store_watch_settings{}, number),
              relay(watch, relay_settings(link_rate))
        {
        }
        static source_relay_settings relay_settings(double link_rate)
        {
            source_relay_settings settings;
            settings.min_link_rate = 0.8 * link_rate;
            return settings;
        }
        /// Until then the instance knows only the seeds.
        time_point joins_at;
        std::size_t index;
        std::string name;
        store_watch watch;
        source_relay relay;
        std::size_t uplink = 0;
        std::size_t downlink = 0;
        bool frozen = false;
        bool refused = false;
        /// Number of the call to the store in progress.
        std::uint64_t call_number = 0;
        /// Number of the timer of the pull in progress; earlier ones have no effect.
        std::uint64_t pull_timer = 0;
        time_point pending_pulls_due_at = never;
        store_call call;
        bool watch_pending = false;
        simulated_links::transfer_id transfer = 0;
    };
    struct recorded_change
    {
        time_point at;
        store_change change;
    };

    static constexpr duration history_kept{20'000};
    /// The store encodes values as base64.
    static constexpr std::size_t encoded(std::size_t bytes)
    {
        return bytes * 4 / 3 + 200;
    }

    [[nodiscard]] double rate_of(std::size_t index) const
    {
        return index == 0 ? shape_.reader_link : shape_.follower_link;
    }
    /// The instances rank by their numbers. One that has not joined yet follows the seeds, which read the store.
    source_readers readers_for(const node& each) const
    {
        if (links_.now() < each.joins_at)
        {
            return is_seed(each.index) ? source_readers{} : source_readers{seeds_for(each.index), {}};
        }
        return readers_for_rank(ranking_, each.index);
    }
    [[nodiscard]] bool is_seed(std::size_t index) const
    {
        return index >= shape_.instances - shape_.seeds;
    }
    /// The seeds in an order that differs between instances.
    [[nodiscard]] std::vector<source_peer> seeds_for(std::size_t index) const
    {
        std::vector<source_peer> seeds(ranking_.end() - static_cast<std::ptrdiff_t>(shape_.seeds), ranking_.end());
        std::rotate(seeds.begin(), seeds.begin() + static_cast<std::ptrdiff_t>(index % shape_.seeds), seeds.end());
        return seeds;
    }
    void request_next(node& each)
    {
        if (each.frozen)
        {
            return;
        }
        if (const auto next = each.relay.next_pull(readers_for(each), links_.now()))
        {
            node& reader = *nodes_[std::stoul(next->to.address)];
            links_.schedule(shape_.peer_delay,
                            [this, &each, &reader, pull = next->pull] { handle_pull(reader, each, pull); });
            schedule_pull_timeout(each, next->pull.pull_number, each.relay.answer_timeout());
            return;
        }
        const duration delay = each.relay.next_direct_read() - links_.now();
        if (delay > duration{})
        {
            links_.schedule(std::min(delay, each.relay.retry_interval()), [this, &each] { request_next(each); });
            return;
        }
        call_store(each);
    }
    void schedule_pull_timeout(node& each, std::uint64_t number, duration timeout)
    {
        const std::uint64_t timer = ++each.pull_timer;
        links_.schedule(timeout,
                        [this, &each, number, timer]
                        {
                            if (!each.frozen && each.pull_timer == timer &&
                                each.relay.handle_timeout(number, links_.now()))
                            {
                                request_next(each);
                            }
                        });
    }
    void handle_pull(node& reader, node& from, const source_pull& pull)
    {
        if (reader.frozen)
        {
            return;
        }
        for (source_answer& answer : reader.relay.handle_pull(peer_of(from), pull, links_.now()))
        {
            send_answer(reader, from, std::move(answer));
        }
        schedule_pending_pulls(reader);
    }
    static source_peer peer_of(const node& each)
    {
        return {instance_id{each.name}, std::to_string(each.index)};
    }
    void schedule_pending_pulls(node& reader)
    {
        const time_point next = std::min(reader.relay.next_progress_sign(), reader.relay.next_large_answers());
        if (next == never || next == reader.pending_pulls_due_at)
        {
            return;
        }
        reader.pending_pulls_due_at = next;
        links_.schedule(std::max(next - links_.now(), 1_ms),
                        [this, &reader, next]
                        {
                            if (reader.frozen || reader.pending_pulls_due_at != next)
                            {
                                return;
                            }
                            reader.pending_pulls_due_at = never;
                            send_all(reader, reader.relay.take_large_answers(links_.now()));
                            send_all(reader, reader.relay.take_progress_signs(links_.now()));
                            schedule_pending_pulls(reader);
                        });
    }
    void send_all(node& reader, std::vector<addressed_answer> answers)
    {
        for (addressed_answer& each : answers)
        {
            send_answer(reader, *nodes_[std::stoul(each.to.address)], std::move(each.answer));
        }
    }
    void send_answer(node& reader, node& to, source_answer answer)
    {
        constexpr std::size_t frame_bytes = 100;
        const std::size_t bytes = frame_bytes + size_of(answer);
        links_.send(
            {reader.uplink, to.downlink}, bytes,
            [this, &reader, &to, answer = std::move(answer)]
            {
                using enum source_relay::answer_result;
                const auto result = to.frozen ? ignored : to.relay.handle_answer(peer_of(reader), answer, links_.now());
                if (result == announced || result == waiting)
                {
                    schedule_pending_pulls(to);
                    schedule_pull_timeout(to, answer.pull_number,
                                          result == waiting ? to.relay.answer_timeout() : to.relay.transfer_timeout());
                }
                if (result == ignored || result == announced || result == waiting)
                {
                    return;
                }
                if (result != refused)
                {
                    answer_pending_pulls(to, result == accepted);
                }
                request_next(to);
            });
    }
    void answer_pending_pulls(node& reader, bool successful)
    {
        send_all(reader, reader.relay.take_pending_answers(successful, links_.now()));
        schedule_pending_pulls(reader);
    }
    void call_store(node& each)
    {
        ++store_calls_;
        each.relay.begin_read();
        schedule_pending_pulls(each);
        each.call = each.watch.next(links_.now(), each.relay.skip_watch_wait());
        const std::uint64_t number = ++each.call_number;
        links_.schedule(each.call.timeout,
                        [this, &each, number]
                        {
                            if (!links_.in_progress(each.transfer))
                            {
                                fail_call(each, number);
                            }
                        });
        links_.schedule(each.call.transfer_timeout, [this, &each, number] { fail_call(each, number); });
        links_.schedule(shape_.store_delay,
                        [this, &each, number]
                        {
                            if (store_silent_ || each.call_number != number)
                            {
                                return;
                            }
                            const bool is_drawn = static_cast<double>(random_.index(1'000)) < refusals_ * 1'000;
                            if (each.refused || is_drawn)
                            {
                                links_.schedule(shape_.store_delay, [this, &each, number] { fail_call(each, number); });
                                return;
                            }
                            arrive_at_store(each, number);
                        });
    }
    void fail_call(node& each, std::uint64_t number, bool is_rejected = false)
    {
        if (each.call_number != number || each.frozen)
        {
            return;
        }
        ++each.call_number;
        each.watch_pending = false;
        const bool response_started = links_.cancel(each.transfer) || is_rejected;
        each.relay.record_failed_read(links_.now() + each.watch.record_failure(response_started));
        answer_pending_pulls(each, false);
        request_next(each);
    }
    void arrive_at_store(node& each, std::uint64_t number)
    {
        const bool is_watch = each.call.what == store_call::kind::watch;
        if (is_watch && each.call.after == revision{store_revision_} && each.call.wait > duration{})
        {
            each.watch_pending = true;
            links_.schedule(each.call.wait,
                            [this, &each, number]
                            {
                                if (each.call_number == number && each.watch_pending)
                                {
                                    answer_watch(each);
                                }
                            });
        }
        else if (is_watch)
        {
            answer_watch(each);
        }
        else
        {
            answer_listing(each);
        }
    }
    void answer_listing(node& each)
    {
        store_page page;
        page.at_revision = revision{store_revision_};
        page.era = source_era{era_};
        std::size_t bytes = 0;
        for (const auto& [key, item] : items_)
        {
            page.items.push_back(item);
            bytes += key.size() + item.value.size();
        }
        respond(each, bytes,
                [&each, page]
                {
                    each.watch.handle(page);
                    return true;
                });
    }
    void answer_watch(node& each)
    {
        each.watch_pending = false;
        store_changes changes;
        changes.at_revision = revision{store_revision_};
        changes.era = source_era{era_};
        if (each.call.after > revision{store_revision_})
        {
            respond(each, 0,
                    [&each]
                    {
                        each.watch.restart_listing();
                        return true;
                    });
            return;
        }
        std::size_t bytes = 0;
        for (const recorded_change& kept : history_)
        {
            if (kept.change.changed <= each.call.after)
            {
                continue;
            }
            if (kept.at + history_kept < links_.now())
            {
                respond(each, 0,
                        [&each]
                        {
                            each.watch.restart_listing();
                            return true;
                        });
                return;
            }
            bytes += kept.change.key.size() + kept.change.value->size();
            changes.changes.push_back(kept.change);
        }
        if (encoded(bytes) > each.call.max_response_bytes)
        {
            respond(each, 0, [&each] { return each.watch.restart_after_rejected_watch(); });
            return;
        }
        respond(each, bytes,
                [&each, changes = std::move(changes)]
                {
                    each.watch.handle(changes);
                    return true;
                });
    }
    /// Sends a response of the store to an instance, which applies it and goes on.
    /// @param apply returns false for a response that fails the call
    void respond(node& each, std::size_t bytes, std::function<bool()> apply)
    {
        const std::uint64_t number = each.call_number;
        const auto receive = [this, &each, number, apply = std::move(apply)]
        {
            if (each.call_number != number || each.frozen)
            {
                return;
            }
            if (!apply())
            {
                fail_call(each, number, true);
                return;
            }
            ++each.call_number;
            each.watch.record_response(links_.now());
            each.relay.record_read();
            answer_pending_pulls(each, true);
            request_next(each);
        };
        links_.schedule(shape_.store_delay,
                        [this, &each, bytes, number, receive]
                        {
                            if (each.call_number == number)
                            {
                                each.transfer = links_.send({store_link_, each.downlink}, encoded(bytes), receive);
                            }
                        });
    }

    simulated_links& links_;
    region_shape shape_;
    std::size_t store_link_ = 0;
    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<source_peer> ranking_;
    /// Processes that were replaced; callbacks may still refer to them.
    std::vector<std::unique_ptr<node>> retired_;
    std::vector<recorded_change> history_;
    std::map<std::string, store_item> items_;
    std::uint64_t store_revision_ = 10;
    random_source random_;
    double refusals_ = 0.0;
    std::uint64_t era_ = 1;
    std::vector<recorded_change> copied_history_;
    std::map<std::string, store_item> copied_items_;
    std::uint64_t copied_revision_ = 0;
    std::size_t store_calls_ = 0;
    bool store_silent_ = false;
};

} // namespace parsleyshift::test_support
