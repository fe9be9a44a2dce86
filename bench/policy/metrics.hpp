#pragma once

#include "world.hpp" // world

#include <parsleyshift/core/name_table.hpp> // enum_names

#include <array>       // array
#include <cstddef>     // size_t
#include <cstdint>     // int64_t
#include <string_view> // string_view
#include <vector>      // vector

namespace parsleyshift::bench
{

enum class metric
{
    /// First token of short work in the pool that also runs long work.
    short_behind_long_p99_ms,
    /// Complete answer of short work; in `slowed` only of requests that can meet a slow engine.
    tail_p99_ms,
    /// Time beyond 250 ms between two tokens, per request that started.
    stall_ms,
    preemptions,
    token_gap_p99_ms,
    /// Complete answer of long work without the stragglers.
    long_p99_ms,
    /// First token and complete answer within the caller's deadlines, of all requests.
    in_time_share,
    /// Refused by the policy, or given up by the caller before the first token.
    refused_share,
    /// Reported as `not_run` although an engine had accepted it.
    false_not_run,
    /// Tokens of requests that did not complete, and tokens computed again after a preemption.
    wasted_tokens,
};

/// @brief Sums the runs of several seeds. In the latency metrics a request that was refused or did not complete counts
/// at its caller's timeout, so that refusing cannot improve them.
class metrics
{
  public:
    void add(world& run);
    [[nodiscard]] double value(metric which) const;

  private:
    void add_job(const job& work, bool in_window, bool calm);

    std::vector<double> short_first_;
    std::vector<double> short_answer_;
    std::vector<double> long_answer_;
    std::vector<std::int64_t> gaps_;
    double stalled_ms_ = 0.0;
    std::int64_t started_ = 0;
    std::int64_t counted_ = 0;
    std::int64_t in_time_ = 0;
    std::int64_t refused_ = 0;
    std::int64_t preemptions_ = 0;
    std::int64_t false_not_run_ = 0;
    std::int64_t wasted_ = 0;
};

} // namespace parsleyshift::bench

template <>
struct parsleyshift::enum_names<parsleyshift::bench::metric>
{
    using metric = parsleyshift::bench::metric;
    static constexpr std::array rows{enum_name<metric>{metric::short_behind_long_p99_ms, "short_behind_long_p99_ms"},
                                     enum_name<metric>{metric::tail_p99_ms, "tail_p99_ms"},
                                     enum_name<metric>{metric::stall_ms, "stall_ms"},
                                     enum_name<metric>{metric::preemptions, "preemptions"},
                                     enum_name<metric>{metric::token_gap_p99_ms, "token_gap_p99_ms"},
                                     enum_name<metric>{metric::long_p99_ms, "long_p99_ms"},
                                     enum_name<metric>{metric::in_time_share, "in_time_share"},
                                     enum_name<metric>{metric::refused_share, "refused_share"},
                                     enum_name<metric>{metric::false_not_run, "false_not_run"},
                                     enum_name<metric>{metric::wasted_tokens, "wasted_tokens"}};
};
