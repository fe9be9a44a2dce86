#pragma once

#include <parsleyshift/core/clock.hpp> // duration, time_point

#include <algorithm>  // min
#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <limits>     // numeric_limits
#include <map>        // map
#include <utility>    // move
#include <vector>     // vector

namespace parsleyshift::test_support
{

/// @brief Network links in simulated time. The transfers on a link share its rate equally.
class simulated_links
{
  public:
    using transfer_id = std::uint64_t;
    using callback = std::function<void()>;

    explicit simulated_links(time_point start) : now_(start) {}

    /// @brief Adds a link. @param rate in bytes per millisecond
    std::size_t add_link(double rate)
    {
        links_.push_back({rate, 0});
        return links_.size() - 1;
    }
    /// @brief Sends bytes over several links at once, at the rate of the slowest share.
    /// @param on_done called when the last byte has arrived
    transfer_id send(std::vector<std::size_t> path, std::size_t bytes, callback on_done)
    {
        transfers_.emplace(++last_transfer_, transfer{std::move(path), static_cast<double>(bytes), std::move(on_done)});
        return last_transfer_;
    }
    /// @brief Ends a transfer early. @return true when it was in progress
    bool cancel(transfer_id id)
    {
        return transfers_.erase(id) > 0;
    }
    [[nodiscard]] bool in_progress(transfer_id id) const
    {
        return transfers_.contains(id);
    }
    /// @brief Runs a function after a delay, 0 included.
    void schedule(duration delay, callback run)
    {
        timers_.emplace(now_ + delay, std::move(run));
    }
    /// @brief Advances the simulated time, running timers and completed transfers on the way.
    void run_until(time_point end)
    {
        while (now_ < end)
        {
            run_timers();
            advance_transfers();
            now_ += step;
        }
    }
    [[nodiscard]] time_point now() const noexcept
    {
        return now_;
    }

  private:
    struct link
    {
        double rate = 0;
        std::size_t transfers = 0;
    };
    struct transfer
    {
        std::vector<std::size_t> path;
        double remaining = 0;
        callback on_done;
    };

    static constexpr duration step{5};

    void run_timers()
    {
        while (!timers_.empty() && timers_.begin()->first <= now_)
        {
            const callback run = std::move(timers_.begin()->second);
            timers_.erase(timers_.begin());
            run();
        }
    }
    void advance_transfers()
    {
        count_transfers();
        std::vector<transfer_id> done;
        for (auto& [id, each] : transfers_)
        {
            double rate = std::numeric_limits<double>::max();
            for (const std::size_t used : each.path)
            {
                rate = std::min(rate, links_[used].rate / static_cast<double>(links_[used].transfers));
            }
            each.remaining -= rate * static_cast<double>(step.count());
            if (each.remaining <= 0)
            {
                done.push_back(id);
            }
        }
        for (const transfer_id id : done)
        {
            const auto found = transfers_.find(id);
            if (found != transfers_.end())
            {
                const callback on_done = std::move(found->second.on_done);
                transfers_.erase(found);
                on_done();
            }
        }
    }
    void count_transfers()
    {
        for (link& each : links_)
        {
            each.transfers = 0;
        }
        for (const auto& [id, each] : transfers_)
        {
            for (const std::size_t used : each.path)
            {
                ++links_[used].transfers;
            }
        }
    }

    time_point now_;
    std::vector<link> links_;
    std::map<transfer_id, transfer> transfers_;
    transfer_id last_transfer_ = 0;
    std::multimap<time_point, callback> timers_;
};

} // namespace parsleyshift::test_support
