#pragma once

#include "world.hpp" // world

#include <parsleyshift/scheduling/memory_forecast.hpp> // forecast_peak

#include <array>    // array
#include <cstddef>  // size_t
#include <deque>    // deque
#include <optional> // optional
#include <vector>   // vector

namespace parsleyshift::bench
{

/// @brief Knows the length of every request and the true state of every engine without delay. It runs short work
/// first, keeps slots for it, never overcommits memory, avoids engines that are slow now and refuses what is too late.
class oracle
{
  public:
    oracle(world& where, std::size_t pool, std::uint64_t /*seed*/) : world_(where), pool_(pool), sent_(engines().size())
    {
    }
    void arrive(job& work)
    {
        waiting_[work.is_long ? 1 : 0].push_back(&work);
        dispatch();
    }
    void ended(job& work)
    {
        std::erase(waiting_[work.is_long ? 1 : 0], &work);
        std::erase(sent_[work.engine], &work);
        dispatch();
    }
    void reported(std::size_t /*engine*/, const load_report& /*report*/) {}
    void stepped(std::size_t /*engine*/, microseconds /*took*/) {}

  private:
    static constexpr std::size_t slots_for_short = 4;

    std::vector<engine_model>& engines()
    {
        return world_.engines(pool_);
    }
    void dispatch()
    {
        for (std::deque<job*>& queue : waiting_)
        {
            while (!queue.empty())
            {
                const auto engine = choose(*queue.front());
                if (!engine)
                {
                    break;
                }
                job& next = *queue.front();
                queue.pop_front();
                sent_[*engine].push_back(&next);
                world_.send(next, *engine, next.is_long ? 0 : 1);
            }
        }
    }
    std::optional<std::size_t> choose(const job& work)
    {
        std::optional<std::size_t> best;
        double best_load = 0.0;
        for (std::size_t engine = 0; engine < engines().size(); ++engine)
        {
            const double speed = speed_of(world_.what(), engine, engines().size(), world_.now());
            const double load = static_cast<double>(sent_[engine].size() + 1) / speed;
            if (speed == 1.0 && (!best || load < best_load) && fits(engine, work))
            {
                best = engine;
                best_load = load;
            }
        }
        return best;
    }
    bool fits(std::size_t engine, const job& work)
    {
        const engine_shape& shape = engines()[engine].shape();
        const std::size_t slots = static_cast<std::size_t>(shape.slots) - (work.is_long ? slots_for_short : 0);
        if (sent_[engine].size() >= slots)
        {
            return false;
        }
        streams_.clear();
        for (const job* other : sent_[engine])
        {
            streams_.push_back(stream_growth{other->prompt + other->produced, other->length - other->produced});
        }
        streams_.push_back(stream_growth{work.prompt, work.length});
        return forecast_peak(streams_) + shape.slots <= shape.memory;
    }

    world& world_;
    std::size_t pool_;
    std::array<std::deque<job*>, 2> waiting_;
    std::vector<std::vector<job*>> sent_;
    std::vector<stream_growth> streams_;
};

} // namespace parsleyshift::bench
