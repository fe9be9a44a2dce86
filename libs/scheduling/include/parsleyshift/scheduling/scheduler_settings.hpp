#pragma once

#include <parsleyshift/core/clock.hpp> // duration

#include <cstddef> // size_t
#include <cstdint> // int64_t

namespace parsleyshift
{

/// @brief Settings of a pool scheduler.
///
/// Shares are fractions of one endpoint's slots or memory. The scheduler chooses the endpoint with the highest score:
/// the endpoint preference minus the utilization (0 idle, 1 full), minus the penalties and plus the bonus below.
struct scheduler_settings
{
    /// Share of the slots and of the memory that only classes of the reserved lane may use.
    double reserved_share = 0.15;
    /// Share of the memory kept free for outputs longer than expected.
    double headroom_share = 0.08;
    /// Quantile of the estimated output length for which memory is reserved, in [0, 1].
    double reserve_quantile = 0.7;
    /// Weight of the caller's estimate of the output length in the geometric mean with the estimate from past outputs,
    /// in [0, 1]. Callers' estimates have no bias at the median and a spread of about a factor of 3, slightly less than
    /// the length distribution of the class.
    double caller_estimate_weight = 0.6;
    /// Prompt tokens that an endpoint prefills per millisecond beside its other work; 0 turns prefill accounting off.
    double prefill_tokens_per_ms = 0.0;
    /// Prefill time outstanding at an endpoint above which it gets no further request; the requests stay in the
    /// scheduler's queue, where the most urgent one goes first.
    duration max_prefill_backlog{500};
    /// Score penalty of an endpoint with a prefill backlog of `max_prefill_backlog`, in proportion to the backlog.
    double prefill_penalty = 0.5;
    /// Score penalty of an endpoint whose average inter-token latency is twice the pool's median, in proportion to the
    /// excess. During a prefill, a slow endpoint misses the inter-token latency objective (SLO) of all its streams.
    double slowness_penalty = 0.0;
    /// Weight of a new sample in the moving average of an endpoint's inter-token latency, in [0, 1].
    double inter_token_latency_ewma_weight = 0.3;
    /// Limits the prompts and runs at an engine so that its runs keep their longest time between two events, as learned
    /// from the registrations of runs (engine_pace). Only for work that names such a limit.
    bool learn_engine_pace = true;
    /// Waiting time of a class's first request that raises the class by one priority level.
    duration aging_step{10'000};
    /// Waiting time after which a request of the shared lane that fits at no endpoint blocks requests of lower rank
    /// from the capacity of that lane (head-of-line blocking), so that capacity becomes free for it.
    duration reservation_delay{3'000};
    /// Time without renewal after which a permit expires.
    duration permit_lifetime{30'000};
    /// Time after the start of the scheduler during which endpoints without a load report get no requests.
    duration slow_start{1'000};
    /// Time after a scheduler has taken over a pool in which endpoints that limit their requests per second get half of
    /// the limit: the previous scheduler may still grant starts.
    duration takeover_caution{3'000};
    /// Slots assumed for an endpoint that has not sent a load report.
    std::int64_t default_slots = 2;
    /// Maximum number of endpoints examined for one request; a larger pool is sampled.
    std::size_t max_candidates = 16;
    /// A stream whose output reaches this multiple of the length expected at its start counts as a straggler.
    double straggler_factor = 4.0;
    /// Score bonus, for requests of the shared lane, of endpoints that already run stragglers; it collects the
    /// stragglers at few endpoints. 0 turns it off.
    double straggler_bonus = 0.25;
    /// Score penalty of an endpoint of health weight 0, in proportion to 1 - health weight.
    double unhealthy_penalty = 4.0;
    /// Denies a request on arrival when its expected wait exceeds the time until its latest start.
    bool early_denial = true;
    /// Smallest retry_after of a denial.
    duration min_retry_after{500};
    /// Longest retry_after of a request with a latency objective: callers give up on a longer one.
    duration max_retry_after{12'000};
    /// Share of the time until its latest timely start that a request may be expected to wait and still count as in
    /// time. The rest covers the error of the expected wait: without it all starts of a busy time are at the edge of
    /// the objective.
    double timely_wait_share = 0.8;
    /// Share of the service rate that the retries of denied requests with an objective may use; new requests need the
    /// rest.
    double retry_rate_share = 0.5;
    /// Score penalty, for a request that more regions may serve, of a full endpoint in the regions of restricted
    /// requests; in proportion to the square of the utilization.
    double restricted_room_penalty = 0.5;
    /// Time after a restricted request in which endpoints of its regions have that penalty.
    duration restricted_work_memory{10'000};
};

} // namespace parsleyshift
