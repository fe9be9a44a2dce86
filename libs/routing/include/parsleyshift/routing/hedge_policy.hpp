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

/// @brief Bounds of hedging.
struct hedge_bounds
{
    double quantile = 0.95;
    /// Answers that must have been seen before the delay is known.
    std::size_t least_samples = 20;
    duration least_delay{5};
    /// Work with a longer delay than this is not short.
    duration longest_delay{2'000};
    /// Longest answer, in expected tokens, that counts as short.
    std::int64_t most_tokens = 256;
    /// Service and class pairs learned.
    std::size_t most_kinds = 1'024;
};

/// @brief A request in progress that could be hedged.
struct hedge_situation
{
    service_id service;
    bool idempotent = true;
    std::int64_t expected_tokens = 0;
    std::int64_t delivered = 0;
    /// Attempts so far; a request is hedged once.
    int attempts = 1;
    duration time_left{};
};

/// @brief Hedges short idempotent work of classes that allow it, after the learned 95th percentile of answer times.
class hedge_policy
{
  public:
    explicit hedge_policy(const hedge_bounds& bounds = {});

    /// @brief An answer (or its first token) took this long. O(1) on average.
    void answered(const service_id& service, const class_id& work_class, duration taken);
    /// @brief Delay after the start at which to ask may_hedge(); nothing when the work is not to be hedged. O(1).
    [[nodiscard]] std::optional<duration> delay(const hedge_situation& work, const priority_record& priority) const;
    /// @brief Decides when the delay is over, and takes one from the budget when it allows the hedge. O(1).
    bool may_hedge(const hedge_situation& work, const priority_record& priority, retry_budget& budget) const;

  private:
    struct kind
    {
        service_id service;
        class_id work_class;

        friend bool operator==(const kind&, const kind&) = default;
    };
    struct kind_hash
    {
        std::size_t operator()(const kind& key) const noexcept;
    };

    hedge_bounds bounds_;
    std::unordered_map<kind, rotating_quantile, kind_hash> learned_;
};

} // namespace parsleyshift
