#pragma once

#include "job.hpp" // job, microseconds

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <deque>   // deque
#include <vector>  // vector

namespace parsleyshift::bench
{

/// @brief Sizes and speeds of an engine.
struct engine_shape
{
    std::int64_t slots = 24;
    /// Tokens of prompt and output that fit into memory.
    std::int64_t memory = 14'000;
    microseconds step_base = 12'000;
    /// Time that each stream of the batch adds to a step.
    microseconds step_per_stream = 500;
    microseconds prefill_per_token = 60;
    /// Prompt tokens that one step takes in at most; the first prompt is always taken.
    std::int64_t prefill_limit = 2'048;
};

/// @brief Continuous batching: admits by priority and arrival, one token per stream and step, preempts the newest
/// stream with recompute when memory is full.
class engine_model
{
  public:
    explicit engine_model(const engine_shape& shape) : shape_(shape) {}

    /// @brief Accepts a job into the engine's queue.
    void accept(job& work, int priority);
    /// @brief Forgets a job, whether it waits or runs.
    void cancel(const job& work);
    /// @brief Admits and preempts; starts a step. @return the step's duration, 0 when there is nothing to do
    microseconds begin_step();
    /// @brief Ends the step: each running job has one more token. @return the jobs of the batch, until begin_step()
    const std::vector<job*>& end_step();
    /// @brief Removes the jobs that are complete. @return these jobs
    std::vector<job*> take_finished();

    /// @param factor 1 for full speed, 1/3 for a third
    void set_speed(double factor)
    {
        speed_ = factor;
    }
    [[nodiscard]] double speed() const
    {
        return speed_;
    }
    [[nodiscard]] const engine_shape& shape() const
    {
        return shape_;
    }
    [[nodiscard]] const std::vector<job*>& running() const
    {
        return running_;
    }
    [[nodiscard]] std::size_t waiting() const
    {
        return waiting_.size();
    }
    [[nodiscard]] std::int64_t memory_used() const
    {
        return used_;
    }
    [[nodiscard]] std::int64_t preemptions() const
    {
        return preemptions_;
    }

  private:
    struct queued
    {
        job* work = nullptr;
        int priority = 0;
    };

    std::int64_t admit();
    void preempt_until_fits();

    engine_shape shape_;
    std::deque<queued> waiting_;
    /// In the order of admission, with the priority of each.
    std::vector<job*> running_;
    std::vector<int> priorities_;
    std::int64_t used_ = 0;
    std::int64_t preemptions_ = 0;
    double speed_ = 1.0;
};

} // namespace parsleyshift::bench
