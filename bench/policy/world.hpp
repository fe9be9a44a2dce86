#pragma once

#include "engine_model.hpp" // engine_model
#include "job.hpp"          // job
#include "workload.hpp"     // deployment

#include <parsleyshift/core/clock.hpp>        // time_point
#include <parsleyshift/messages/endpoint.hpp> // load_report

#include <cstdint>    // uint64_t
#include <functional> // function
#include <queue>      // priority_queue
#include <vector>     // vector

namespace parsleyshift::bench
{

/// @brief Virtual time, engines and requests of one run; what a policy can see and do.
class world
{
  public:
    world(const deployment& where, scenario what, std::vector<job> jobs);

    [[nodiscard]] microseconds now() const
    {
        return now_;
    }
    /// @brief The time as decision code sees it.
    [[nodiscard]] time_point clock() const
    {
        return at_ms(1'000'000 + now_ / one_ms);
    }
    [[nodiscard]] const deployment& where() const
    {
        return where_;
    }
    [[nodiscard]] scenario what() const
    {
        return what_;
    }
    /// @brief Calls a function later.
    void after(microseconds delay, std::function<void()> call);
    /// @brief The entry instance of a job sends it to an engine of its pool; ignored unless the job waits.
    void send(job& work, std::size_t engine, int priority);
    /// @brief The entry instance answers `not_run`; ignored unless the job waits.
    void refuse(job& work);
    /// @brief Engines of a pool. Only the oracle may look at them; other policies get reports and token gaps.
    std::vector<engine_model>& engines(std::size_t pool)
    {
        return engines_[pool];
    }
    [[nodiscard]] load_report report_of(std::size_t pool, std::size_t engine) const;
    std::vector<job>& jobs()
    {
        return jobs_;
    }
    [[nodiscard]] std::int64_t false_not_run() const
    {
        return false_not_run_;
    }
    /// @brief Runs until every request has ended.
    /// @param ended called when a job has ended in any way
    /// @param stepped called after each step of an engine with pool, engine and the step's duration
    void run(const std::function<void(job&)>& arrived, std::function<void(job&)> ended,
             std::function<void(std::size_t, std::size_t, microseconds)> stepped);
    /// @brief Counts of token gaps by length; gaps of the warm-up are left out. Buckets of one millisecond.
    [[nodiscard]] const std::vector<std::int64_t>& gaps() const
    {
        return gaps_;
    }

  private:
    struct timed_call
    {
        microseconds at = 0;
        std::uint64_t sequence = 0;
        std::function<void()> call;

        bool operator<(const timed_call& other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    void start_step(std::size_t pool, std::size_t engine);
    void finish_step(std::size_t pool, std::size_t engine, microseconds took);
    void note_token(job& work);
    void give_up(job& work, microseconds deadline);
    void end(job& work, job_state state);

    deployment where_;
    scenario what_;
    std::vector<job> jobs_;
    std::array<std::vector<engine_model>, pool_count> engines_;
    std::array<std::vector<bool>, pool_count> stepping_;
    std::priority_queue<timed_call> calls_;
    std::function<void(job&)> ended_;
    std::function<void(std::size_t, std::size_t, microseconds)> stepped_;
    std::vector<std::int64_t> gaps_;
    microseconds now_ = 0;
    std::uint64_t sequence_ = 0;
    std::size_t open_ = 0;
    std::int64_t false_not_run_ = 0;
};

} // namespace parsleyshift::bench
