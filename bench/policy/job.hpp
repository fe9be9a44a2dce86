#pragma once

#include <cstddef> // size_t
#include <cstdint> // int64_t

namespace parsleyshift::bench
{

/// @brief Virtual time in microseconds; delays are as short as half a millisecond.
using microseconds = std::int64_t;

inline constexpr microseconds one_ms = 1'000;
inline constexpr microseconds one_second = 1'000'000;

enum class job_state
{
    waiting,
    /// Sent to an engine.
    sent,
    completed,
    /// Answered `not_run` by the policy.
    refused,
    /// Given up by the caller at its deadline.
    abandoned,
};

/// @brief One generation.
struct job
{
    std::uint64_t number = 0;
    std::size_t pool = 0;
    std::size_t customer = 0;
    std::size_t entry = 0;
    bool is_long = false;
    bool straggler = false;
    std::int64_t prompt = 0;
    std::int64_t length = 0;
    microseconds arrived = 0;
    /// The caller gives up without a first token by `start_by` or a complete answer by `finish_by`.
    microseconds start_by = 0;
    microseconds finish_by = 0;

    job_state state = job_state::waiting;
    std::size_t engine = 0;
    std::int64_t produced = 0;
    /// Tokens that were computed a second time after a preemption.
    std::int64_t recomputed = 0;
    /// An engine has accepted it; ground truth for `false_not_run`.
    bool reached_engine = false;
    microseconds first_token = 0;
    microseconds last_token = 0;
    microseconds finished = 0;
    /// Time beyond the stall threshold between tokens.
    microseconds stalled = 0;
};

} // namespace parsleyshift::bench
