#include <parsleyshift/routing/retry_budget.hpp> // retry_budget

#include <algorithm> // min

namespace parsleyshift
{

retry_budget::retry_budget(const retry_budget_policy& policy) : policy_(policy), available_(policy.capacity) {}

void retry_budget::record_success()
{
    available_ = std::min(policy_.capacity, available_ + policy_.refill_per_success);
}

bool retry_budget::try_spend()
{
    // Adding 0.1 ten times yields slightly less than 1.0 in binary floating point.
    constexpr double rounding_tolerance = 1e-9;
    if (available_ + rounding_tolerance < 1.0)
    {
        return false;
    }
    available_ -= 1.0;
    return true;
}

double retry_budget::available() const noexcept
{
    return available_;
}

} // namespace parsleyshift
