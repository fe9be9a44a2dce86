#pragma once

#include <cstdint> // int64_t

namespace parsleyshift
{

/// @brief Parameters of a retry budget.
struct retry_budget_policy
{
    /// Retries and hedges that each successful request adds to the budget.
    double refill_per_success = 0.1;
    /// Initial and largest size of the budget: the retries that are possible without recent successes.
    double capacity = 20;
};

/// @brief Limits the retries and hedges of one service, so that they cannot amplify an overload.
///
/// In any interval, retries <= refill_per_success * successes + capacity. The budget is refilled by successes only, not
/// by time: first attempts are never limited, so that successes refill it after an outage.
class retry_budget
{
  public:
    explicit retry_budget(const retry_budget_policy& policy = {});

    /// @brief Records a successful request, which refills the budget. O(1).
    void record_success();
    /// @brief Takes one retry or hedge from the budget. O(1).
    /// @return false when the budget has less than one left; it is unchanged then
    bool try_spend();
    /// @brief Retries left in the budget, including fractions.
    [[nodiscard]] double available() const noexcept;

  private:
    retry_budget_policy policy_;
    double available_;
};

} // namespace parsleyshift
