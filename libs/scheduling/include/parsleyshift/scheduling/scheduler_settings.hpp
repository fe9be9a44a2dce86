#pragma once

#include <parsleyshift/core/clock.hpp> // duration

#include <cstddef> // size_t
#include <cstdint> // int64_t

namespace parsleyshift
{

/// @brief Settings of a pool scheduler; the value of a share is relative to one endpoint's capacity.
struct scheduler_settings
{
    /// Share of the slots and of the memory that only classes of the reserved lane may use.
    double reserved_share = 0.15;
    /// Share of the memory kept free for outputs that are longer than expected.
    double headroom_share = 0.08;
    /// Quantile of the output length that memory is reserved for.
    double reserve_quantile = 0.7;
    /// Weight of the caller's estimate of the output against the learned length, as an exponent: callers' estimates are
    /// right at the median and off by a factor of about 3, which is a little better than the class's distribution.
    double hint_weight = 0.6;
    /// Prompt tokens that an endpoint reads in a millisecond beside its other work; 0: unknown, prompts do not count.
    double prompt_tokens_per_ms = 0.0;
    /// Longest time for which an endpoint may be reading prompts when it gets another one; the prompts wait in the
    /// queue instead, where the most urgent one goes first.
    duration reading_limit{500};
    /// How much busier, as a share of its capacity, an endpoint may be than one that has `reading_limit` of prompts to
    /// read, and still be preferred.
    double reading_penalty = 0.5;
    /// How much busier, as a share of its capacity, an endpoint may be than one that is slower by its whole usual gap,
    /// and still be preferred. Beside a prompt that it reads, a slow endpoint misses the gap objective of all its runs.
    double slowness_penalty = 0.0;
    /// Weight of a new measurement of an endpoint's usual gap.
    double gap_gain = 0.3;
    /// Waiting time that raises a class by one level.
    duration aging_step{10'000};
    /// Waiting time after which work that does not fit keeps other work from taking the room it needs.
    duration patience{3'000};
    /// Time without renewal after which a permit no longer counts.
    duration permit_lifetime{30'000};
    /// Time after a start during which endpoints without a load report get no work.
    duration slow_start{1'000};
    /// Concurrent permits at an endpoint whose size is not known.
    std::int64_t unknown_slots = 2;
    /// Endpoints examined for one request; a larger pool is sampled.
    std::size_t candidates = 16;
    /// A stream that has produced this many times its class's quantile counts as a straggler.
    double straggler_factor = 4.0;
    /// Preference of long work for endpoints that already run stragglers; 0 switches consolidation off.
    double straggler_preference = 0.25;
    /// How much busier a healthy endpoint may be than one of weight 0 and still be preferred, as a share of its
    /// capacity.
    double unhealthy_penalty = 4.0;
    /// Rejects requests on arrival when the expected wait exceeds the time allowed.
    bool early_denial = true;
    /// Shortest retry_after of a denial.
    duration shortest_retry{500};
};

} // namespace parsleyshift
