#pragma once

#include <parsleyshift/core/clock.hpp>                // duration
#include <parsleyshift/core/ids.hpp>                  // service_id, class_id
#include <parsleyshift/records/record.hpp>            // priority_record
#include <parsleyshift/routing/retry_budget.hpp>      // retry_budget
#include <parsleyshift/routing/rotating_quantile.hpp> // rotating_quantile

#include <cstddef>       // size_t
#include <cstdint>       // int64_t
#include <optional>      // optional
#include <unordered_map> // unordered_map

namespace parsleyshift
{

/// @brief Parameters of hedging.
struct hedge_settings
{
    /// Quantile of the answer times after which a request is hedged.
    double quantile = 0.95;
    /// Fewest answer times from which the delay is computed.
    std::size_t min_samples = 20;
    duration min_delay{5};
    /// Requests with a longer delay are not hedged.
    duration max_delay{2'000};
    /// Requests with more expected tokens are not hedged.
    std::int64_t max_expected_tokens = 256;
    /// Pairs of service and priority class whose answer times are tracked; requests of further pairs are not hedged.
    std::size_t max_latency_keys = 1'024;
};

/// @brief The properties of a request in progress that decide whether and when it is hedged.
struct hedge_candidate
{
    service_id service;
    bool idempotent = true;
    std::int64_t expected_tokens = 0;
    /// Tokens that the caller has received.
    std::int64_t delivered = 0;
    /// Attempts so far; a request is hedged at most once.
    int attempts = 1;
    /// Time until the request's deadline.
    duration time_left{};
};

/// @brief Decides which requests are hedged and when: short idempotent requests of priority classes that allow it, once
/// they have taken longer than a quantile of recent answer times of the same service and priority class.
class hedge_policy
{
  public:
    explicit hedge_policy(const hedge_settings& bounds = {});

    /// @brief Records the time to an answer or to its first token. O(1) on average.
    void record_latency(const service_id& service, const class_id& work_class, duration latency);
    /// @brief Time after the start of the attempt at which to call try_hedge(). O(1) on average.
    /// @return nothing when the request is not to be hedged
    [[nodiscard]] std::optional<duration> delay(const hedge_candidate& request, const priority_record& priority) const;
    /// @brief Decides whether to start a second attempt once the delay has passed. O(1).
    /// @param budget pays for the second attempt when the result is true
    bool try_hedge(const hedge_candidate& request, const priority_record& priority, retry_budget& budget) const;

  private:
    /// Service and priority class, by which answer times are recorded.
    struct latency_key
    {
        service_id service;
        class_id work_class;

        friend bool operator==(const latency_key&, const latency_key&) = default;
    };
    struct latency_key_hash
    {
        std::size_t operator()(const latency_key& key) const noexcept;
    };

    hedge_settings bounds_;
    std::unordered_map<latency_key, rotating_quantile, latency_key_hash> latencies_;
};

} // namespace parsleyshift
