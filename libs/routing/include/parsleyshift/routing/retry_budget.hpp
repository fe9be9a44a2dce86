#pragma once

#include <cstdint> // int64_t

namespace parsleyshift
{

/// @brief Bounds of a retry budget.
struct retry_budget_policy
{
    /// Retries and hedges per success.
    double share = 0.1;
    /// Retries that are possible without recent successes; also the most that can be saved up.
    double floor = 20;
};

/// @brief Budget of the retries and hedges of one service, so that they cannot amplify an overload.
///
/// Over any stretch of time, retries <= share * successes + floor. The budget grows with successes only and not with
/// time: first attempts are never held back, so successes return by themselves after an outage.
class retry_budget
{
  public:
    explicit retry_budget(const retry_budget_policy& policy = {});

    /// @brief A request succeeded. O(1).
    void succeeded();
    /// @brief Takes one retry or hedge. O(1). @return false when the budget is spent; nothing is taken then
    bool try_spend();
    /// @brief Retries that are possible now.
    [[nodiscard]] double available() const noexcept;

  private:
    retry_budget_policy policy_;
    double available_;
};

} // namespace parsleyshift
