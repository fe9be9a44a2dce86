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

/// @brief Bounds of outlier detection.
struct health_policy
{
    /// Token gaps lose half of their weight in this time; slowness shows within about twice of it.
    duration gap_half_life{500};
    /// The same for first-token times and answers, which are rarer.
    duration first_half_life{5'000};
    /// Time between two evaluations.
    duration interval{100};
    /// Decayed samples below which an endpoint is not judged by its speed.
    double least_samples = 2.5;
    /// An endpoint is an outlier when it is slower than the pool's median by this factor and by
    /// `deviations` robust standard deviations.
    double slow_gap = 2.0;
    double slow_first_token = 3.0;
    double deviations = 3.0;
    /// Hard failures in a row that eject an endpoint.
    int failures = 3;
    /// Largest share of a pool that may be ejected at once; one endpoint of two or more always may, the last never.
    double most_ejected = 1.0 / 3.0;
    /// Weight of an outlier that the ceiling keeps in service.
    double least_weight = 0.1;
    /// First ejection; each further one within `forgive` doubles it up to the longest.
    duration ejection{2'000};
    duration longest_ejection{30'000};
    duration forgive{60'000};
    /// After the ejection: little traffic until `probe_samples` of it are known; when most were good, a linear rise to
    /// full weight follows, otherwise the next ejection.
    double probe_weight = 0.05;
    int probe_samples = 3;
    duration slow_start{10'000};
};

/// @brief What an endpoint may get.
enum class health_state
{
    healthy,
    /// No new work.
    ejected,
    /// A little work, to see whether it has recovered.
    probing,
    /// A rising share of work.
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
    /// Speed relative to the median of the pool; 2: takes twice as long. 0: hard failures.
    double slowness = 0;
};

/// @brief Detects endpoints that are slow or failing relative to the other endpoints of their pool.
///
/// Token gaps and first-token times are kept as decayed means of their logarithms, which a few stragglers do not move.
/// The reference is the median of the pool's endpoints and their median absolute deviation, so that a slow pool ejects
/// nobody. Weight falls gradually before an endpoint becomes an outlier.
class endpoint_health
{
  public:
    explicit endpoint_health(const health_policy& policy = {});

    // Pools point to their members.
    endpoint_health(const endpoint_health&) = delete;
    endpoint_health& operator=(const endpoint_health&) = delete;
    endpoint_health(endpoint_health&&) = default;
    endpoint_health& operator=(endpoint_health&&) = default;
    ~endpoint_health() = default;

    /// @brief Adds an endpoint to its pool; the ceiling on ejections counts the pool's members. A known endpoint keeps
    /// its state; for a new process under the same id, forget() comes first. O(1) on average.
    void add(const endpoint_id& endpoint, const pool_id& pool);
    /// @brief Removes an endpoint. O(pool).
    void forget(const endpoint_id& endpoint);

    /// @brief Time between two tokens (or token messages) of a stream. O(1) on average. Unknown endpoints are ignored,
    /// here and below.
    void token_gap(const endpoint_id& endpoint, duration gap, time_point now);
    /// @brief Time from the start of an attempt to its first token or to a call's answer. O(1) on average.
    void first_token(const endpoint_id& endpoint, duration taken, time_point now);
    /// @brief A stream has been silent for `open_gap` and still is; counts when that is longer than the endpoint's
    /// mean, so that an endpoint that has stopped is detected before its next token. To be called about once per
    /// `interval` and stream, and not for a stream that this instance has paused. O(1) on average.
    void silent(const endpoint_id& endpoint, duration open_gap, time_point now);
    /// @brief An attempt failed through the endpoint's fault. O(1) on average.
    void failed(const endpoint_id& endpoint, time_point now);
    /// @brief An attempt made progress; ends a row of failures. O(1) on average.
    void succeeded(const endpoint_id& endpoint);

    /// @brief Judges all pools; call it when next_evaluation() has come. O(endpoints of the pools that have recent
    /// samples or an endpoint that is not healthy).
    std::vector<health_change> evaluate(time_point now);
    /// @brief When evaluate() is due; never when there is nothing to judge.
    [[nodiscard]] time_point next_evaluation() const noexcept;

    /// @brief Share of its usual work that an endpoint should get, 0 to 1; 1 for an unknown one. O(1) on average.
    [[nodiscard]] double weight(const endpoint_id& endpoint, time_point now) const;
    [[nodiscard]] health_state state(const endpoint_id& endpoint) const;
    /// @brief Notices for the pools' schedulers about endpoints whose weight is below 1. O(endpoints).
    /// @param valid time after which a notice that is not renewed expires
    [[nodiscard]] std::vector<endpoint_health_notice> notices(time_point now, duration valid) const;

  private:
    struct patient
    {
        endpoint_id endpoint;
        pool_id pool;
        decayed_mean gap;
        decayed_mean first;
        int failures_in_row = 0;
        health_state state = health_state::healthy;
        /// Ejected: end of the ejection. Recovering: begin of the rise.
        time_point since;
        time_point last_ejected = time_point::min();
        duration ejection{};
        /// Samples seen while probing, and how many of them were as slow as an outlier's.
        int probes = 0;
        int slow_probes = 0;
        double speed_weight = 1.0;
        /// Speed relative to the median of the pool, of the signal that is worse.
        double slowness = 1.0;
        bool outlier = false;
    };
    /// Median of a signal in a pool, as a binary logarithm; 0 until it is known.
    struct signal_reference
    {
        double gap = 0;
        double first = 0;
    };
    struct pool_state
    {
        std::vector<patient*> members;
        signal_reference reference;
        /// Samples may still count until then.
        time_point active_until = time_point::min();
    };
    struct signal;

    patient* find(const endpoint_id& endpoint);
    void touch(const patient& seen, time_point now);
    void probe(patient& seen, double log_sample, double reference, double slow) const;
    void judge_speed(pool_state& pool, time_point now) const;
    void judge_signal(pool_state& pool, const signal& judged, time_point now) const;
    void judge_member(patient& member, double log_ratio, double threshold) const;
    void eject_outliers(pool_state& pool, time_point now, std::vector<health_change>& changes) const;
    void advance(patient& seen, time_point now, std::vector<health_change>& changes) const;
    void eject(patient& seen, time_point now, std::vector<health_change>& changes) const;
    [[nodiscard]] bool out_of_service(const patient& member) const;
    [[nodiscard]] bool should_eject(const patient& member) const;
    [[nodiscard]] std::size_t ceiling(std::size_t members) const;

    health_policy policy_;
    std::unordered_map<endpoint_id, patient> patients_;
    std::unordered_map<pool_id, pool_state> pools_;
    time_point next_ = never;
};

} // namespace parsleyshift
