#pragma once

#include <parsleyshift/core/clock.hpp>           // duration, time_point
#include <parsleyshift/core/ids.hpp>             // endpoint_id, pool_id
#include <parsleyshift/core/name_table.hpp>      // enum_names
#include <parsleyshift/messages/peer.hpp>        // endpoint_health_notice
#include <parsleyshift/routing/decayed_mean.hpp> // decayed_mean

#include <array>         // array
#include <cstddef>       // size_t
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief Parameters of outlier detection and ejection.
struct health_policy
{
    /// Time in which token gaps lose half of their weight; slowness is detected after about twice this time.
    duration gap_half_life{500};
    /// The same for first-token times and answer times, which are less frequent.
    duration first_token_half_life{5'000};
    /// Time between two evaluations.
    duration evaluation_interval{100};
    /// An endpoint with fewer samples, counted by their remaining weight, is not compared with its pool.
    double min_samples = 2.5;
    /// An endpoint is an outlier when it is slower than the pool's median by the factor of the signal and, on a
    /// logarithmic scale, by `outlier_deviations` robust standard deviations. `slow_gap_factor` applies to token gaps,
    /// `slow_first_token_factor` to first-token times and answer times.
    double slow_gap_factor = 2.0;
    double slow_first_token_factor = 3.0;
    double outlier_deviations = 3.0;
    /// Consecutive failures that eject an endpoint.
    int ejection_failures = 3;
    /// Largest share of a pool's endpoints that may be ejected or probing at once. In a pool of two or more, one
    /// endpoint may always be ejected; the last endpoint that is neither ejected nor probing never is.
    double max_ejected_share = 1.0 / 3.0;
    /// Weight of an outlier that `max_ejected_share` keeps from being ejected.
    double min_weight = 0.1;
    /// Length of the first ejection. Each ejection that begins less than `ejection_backoff_reset` after the end of the
    /// previous one lasts twice as long, up to `max_ejection_time`.
    duration base_ejection_time{2'000};
    duration max_ejection_time{30'000};
    duration ejection_backoff_reset{60'000};
    /// After an ejection the endpoint has the weight `probe_weight` until `probe_samples` samples have been taken. When
    /// fewer than half of them were slow, its weight rises linearly to 1 over `slow_start`; otherwise it is ejected
    /// again.
    double probe_weight = 0.05;
    int probe_samples = 3;
    duration slow_start{10'000};
};

/// @brief State of an endpoint in outlier detection, which limits the new requests that it receives.
enum class health_state
{
    healthy,
    /// No new requests.
    ejected,
    /// A small share of requests, to test whether the endpoint has recovered.
    probing,
    /// A rising share of requests.
    recovering,
};

template <>
struct enum_names<health_state>
{
    static constexpr std::array rows{enum_name<health_state>{health_state::healthy, "healthy"},
                                     enum_name<health_state>{health_state::ejected, "ejected"},
                                     enum_name<health_state>{health_state::probing, "probing"},
                                     enum_name<health_state>{health_state::recovering, "recovering"}};
};

/// @brief A change of an endpoint's state, for the log.
struct health_change
{
    endpoint_id endpoint;
    health_state state = health_state::healthy;
    /// Latency relative to the median of the pool: 2 means twice as long. 0 when `ejection_failures` consecutive
    /// failures caused the change; an ejection for a single failure while probing has the latency.
    double slowness = 0;
};

/// @brief Detects endpoints that are slow or failing relative to the other endpoints of their pool.
///
/// Token gaps and first-token times are averaged as logarithms with exponential decay, so that a few very long samples
/// hardly change the mean. Each endpoint is compared with the median and the median absolute deviation of its pool, so
/// that no endpoint is ejected because the whole pool is slow. The weight of an endpoint falls gradually before it
/// becomes an outlier.
class endpoint_health
{
  public:
    explicit endpoint_health(const health_policy& policy = {});

    // Not copyable: pool_state holds pointers to elements of endpoints_.
    endpoint_health(const endpoint_health&) = delete;
    endpoint_health& operator=(const endpoint_health&) = delete;
    endpoint_health(endpoint_health&&) = default;
    endpoint_health& operator=(endpoint_health&&) = default;
    ~endpoint_health() = default;

    /// @brief Adds an endpoint to its pool, whose size limits the number of ejections. An endpoint that is already in
    /// the pool keeps its state; call remove() first for a new process under the same id. O(1) on average.
    void add(const endpoint_id& endpoint, const pool_id& pool);
    /// @brief Removes an endpoint. O(members of the pool).
    void remove(const endpoint_id& endpoint);

    /// @brief Records the time between two tokens or token messages of a stream. Unknown endpoints are ignored, as in
    /// the following functions. O(1) on average.
    void record_token_gap(const endpoint_id& endpoint, duration gap, time_point now);
    /// @brief Records the time from the start of an attempt to its first token or to a call's answer. O(1) on average.
    void record_first_token(const endpoint_id& endpoint, duration latency, time_point now);
    /// @brief Records the time since the last token of a stream that is still waiting for its next one. It counts only
    /// when it exceeds the endpoint's mean gap, so that an endpoint that has stopped is detected before it sends
    /// another token. Call it about once per `evaluation_interval` for each stream, except those that this instance has
    /// paused. O(1) on average.
    void record_open_gap(const endpoint_id& endpoint, duration open_gap, time_point now);
    /// @brief Records an attempt that failed because of the endpoint. O(1) on average.
    void record_failure(const endpoint_id& endpoint, time_point now);
    /// @brief Records progress of an attempt; resets the count of consecutive failures. O(1) on average.
    void record_success(const endpoint_id& endpoint);

    /// @brief Updates the states and weights of all endpoints. Call it at next_evaluation(). O(n * log(n)) for the n
    /// endpoints of the pools that have recent samples or an endpoint that is not healthy.
    /// @return the changes of state, in no particular order of pools
    std::vector<health_change> evaluate(time_point now);
    /// @brief Time at which evaluate() is due, or `never` when there is nothing to evaluate. O(1).
    [[nodiscard]] time_point next_evaluation() const noexcept;

    /// @brief Share of its usual requests that an endpoint should receive. O(1) on average.
    /// @return 0 to 1; 1 for an unknown endpoint
    [[nodiscard]] double weight(const endpoint_id& endpoint, time_point now) const;
    /// @brief State of an endpoint; healthy for an unknown one. O(1) on average.
    [[nodiscard]] health_state state(const endpoint_id& endpoint) const;
    /// @brief Creates notices for the pool schedulers about all endpoints whose weight is below 1. O(endpoints).
    /// @param valid_for time after which the notices expire
    [[nodiscard]] std::vector<endpoint_health_notice> notices(time_point now, duration valid_for) const;

  private:
    struct tracked_endpoint
    {
        endpoint_id endpoint;
        pool_id pool;
        decayed_mean gap;
        decayed_mean first_token_time;
        int consecutive_failures = 0;
        health_state state = health_state::healthy;
        /// Ejected: end of the ejection. Recovering: start of the rise.
        time_point state_time;
        time_point last_ejected = time_point::min();
        duration ejection_length{};
        /// Samples taken while probing, and how many of them were slow compared with the pool's median.
        int probes = 0;
        int slow_probes = 0;
        /// Weight that follows from the latency alone, 0 to 1.
        double speed_weight = 1.0;
        /// Latency relative to the median of the pool, of the worse signal; at least 1.
        double slowness = 1.0;
        bool outlier = false;
    };
    /// Medians of the signals in a pool, as binary logarithms of milliseconds; 0 until enough samples were taken.
    struct signal_reference
    {
        double gap = 0;
        double first_token_time = 0;
    };
    struct pool_state
    {
        std::vector<tracked_endpoint*> members;
        signal_reference reference;
        /// Time until which recorded samples may still change the result of an evaluation.
        time_point active_until = time_point::min();
    };
    /// A measured time, token gap or first-token time, with the parameters of its evaluation.
    struct signal;

    tracked_endpoint* find(const endpoint_id& endpoint);
    void schedule_evaluation(const tracked_endpoint& tracked, time_point now);
    void count_probe(tracked_endpoint& tracked, double log_sample, double reference, double slow_factor) const;
    void evaluate_speed(pool_state& pool, time_point now) const;
    void evaluate_signal(pool_state& pool, const signal& evaluated, time_point now) const;
    void evaluate_member(tracked_endpoint& member, double log_ratio, double threshold) const;
    void eject_outliers(pool_state& pool, time_point now, std::vector<health_change>& changes) const;
    void advance(tracked_endpoint& tracked, time_point now, std::vector<health_change>& changes) const;
    void eject(tracked_endpoint& tracked, time_point now, std::vector<health_change>& changes) const;
    /// True when ejected or probing: a probing endpoint takes almost no load.
    [[nodiscard]] bool counts_as_ejected(const tracked_endpoint& member) const;
    [[nodiscard]] bool should_eject(const tracked_endpoint& member) const;
    [[nodiscard]] std::size_t max_ejected_count(std::size_t member_count) const;

    health_policy policy_;
    std::unordered_map<endpoint_id, tracked_endpoint> endpoints_;
    std::unordered_map<pool_id, pool_state> pools_;
    time_point next_evaluation_ = never;
};

} // namespace parsleyshift
