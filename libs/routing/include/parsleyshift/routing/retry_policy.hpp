#pragma once

#include <parsleyshift/core/clock.hpp>           // duration
#include <parsleyshift/core/random_source.hpp>   // random_source
#include <parsleyshift/messages/endpoint.hpp>    // attempt_failure
#include <parsleyshift/messages/request.hpp>     // delivery
#include <parsleyshift/records/record.hpp>       // service_kind
#include <parsleyshift/routing/retry_budget.hpp> // retry_budget

#include <array>    // array
#include <concepts> // same_as
#include <cstdint>  // int64_t

namespace parsleyshift
{

/// @brief A failed attempt, with all that the next step depends on.
struct retry_situation
{
    attempt_failure failure = attempt_failure::link_broken;
    service_kind kind = service_kind::engine;
    /// A generation, or an operation that its service record declares idempotent.
    bool idempotent = true;
    delivery how = delivery::stream;
    /// Tokens that the caller has received; always 0 for answers delivered whole.
    std::int64_t delivered = 0;
    /// Attempts so far, the failed one included.
    int attempts = 1;
    /// Resumptions of the failed attempt so far without a token in between.
    int resumes = 0;
    /// Time until the deadline of the first token (stream) or of the answer (whole, call).
    duration time_left{};
};

/// @brief What to do after a failed attempt.
enum class retry_step
{
    /// Report the failure.
    give_up,
    /// Continue reading the same attempt at its engine.
    resume,
    /// Start another attempt, at another endpoint where there is one.
    restart,
};

template <>
struct enum_names<retry_step>
{
    static constexpr std::array rows{enum_name<retry_step>{retry_step::give_up, "give_up"},
                                     enum_name<retry_step>{retry_step::resume, "resume"},
                                     enum_name<retry_step>{retry_step::restart, "restart"}};
};

/// @brief The next step, with the delay before it.
struct retry_decision
{
    retry_step step = retry_step::give_up;
    duration delay{};
    /// Set when only the budget forbids a restart.
    bool budget_spent = false;
};

/// @brief Decides on the step after a failed attempt; takes what it spends from the budget.
template <class P>
concept retry_policy = requires(const P& policy, const retry_situation& failed, retry_budget& budget,
                                random_source& random)
{
    {
        policy.decide(failed, budget, random)
        } -> std::same_as<retry_decision>;
};

/// @brief True when a restart is allowed by what the failure proves and by what the caller has received.
///
/// A non-idempotent call restarts only when it provably did not run. A stream of which the caller has received a token
/// never restarts, since another generation would continue it. A passed deadline is final.
constexpr bool restart_allowed(const retry_situation& failed) noexcept
{
    if (failed.failure == attempt_failure::deadline_passed || failed.delivered > 0)
    {
        return false;
    }
    return failed.idempotent || proves_not_run(failed.failure);
}

/// @brief True when the engine may still hold the attempt's tokens.
constexpr bool resume_allowed(const retry_situation& failed) noexcept
{
    return failed.kind == service_kind::engine && failed.failure == attempt_failure::link_broken;
}

/// @brief Bounds of retries.
struct backoff_policy
{
    int most_attempts = 4;
    int most_resumes = 3;
    /// Mean delay before the first restart; doubles with each further one.
    duration base{25};
    duration longest{2'000};
    /// An attempt that got no connection has reached no endpoint, so that the next one need not count as a repeat. Only
    /// for callers that count attempts: nothing else bounds these restarts.
    bool free_without_connection = false;
    /// A restart begins only when this much time is left after the delay.
    duration least_time_left{50};
};

/// @brief Retry within a budget, with exponential backoff and full jitter; only the first restart of an attempt that
/// provably did not run begins at once, since another endpoint can take it and the budget bounds such restarts. O(1).
class budgeted_retry
{
  public:
    explicit budgeted_retry(const backoff_policy& policy = {});

    [[nodiscard]] retry_decision decide(const retry_situation& failed, retry_budget& budget,
                                        random_source& random) const;

  private:
    [[nodiscard]] duration delay_after(int attempts, random_source& random) const;

    backoff_policy policy_;
};

/// @brief Baseline: never retries.
class no_retry
{
  public:
    [[nodiscard]] retry_decision decide(const retry_situation& failed, retry_budget& budget,
                                        random_source& random) const;
};

/// @brief Baseline: restarts at once as often as allowed, without a budget.
class immediate_retry
{
  public:
    explicit immediate_retry(int most_attempts = 4);

    [[nodiscard]] retry_decision decide(const retry_situation& failed, retry_budget& budget,
                                        random_source& random) const;

  private:
    int most_attempts_;
};

static_assert(retry_policy<budgeted_retry>);
static_assert(retry_policy<no_retry>);
static_assert(retry_policy<immediate_retry>);

} // namespace parsleyshift
