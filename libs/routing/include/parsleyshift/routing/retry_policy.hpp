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

/// @brief A failed attempt and the state of its request, from which the next step is decided.
struct retry_conditions
{
    attempt_failure failure = attempt_failure::link_broken;
    service_kind kind = service_kind::engine;
    /// True for a generation and for an operation that its service record declares idempotent.
    bool idempotent = true;
    /// Whether the caller receives the answer as a stream or whole.
    delivery delivery_mode = delivery::stream;
    /// Tokens that the caller has received; always 0 for answers that are delivered whole.
    std::int64_t delivered = 0;
    /// Attempts so far, the failed one included.
    int attempts = 1;
    /// Consecutive resumptions of the failed attempt that yielded no token.
    int resumes = 0;
    /// Time until the deadline of the first token (of a stream) or of the answer (delivered whole, or of a call).
    duration time_left{};
};

/// @brief Next step after a failed attempt.
enum class retry_step
{
    /// Report the failure to the caller.
    give_up,
    /// Reconnect to the engine and continue reading the same attempt.
    resume,
    /// Start another attempt, at a different endpoint if there is one.
    restart,
};

template <>
struct enum_names<retry_step>
{
    static constexpr std::array rows{enum_name<retry_step>{retry_step::give_up, "give_up"},
                                     enum_name<retry_step>{retry_step::resume, "resume"},
                                     enum_name<retry_step>{retry_step::restart, "restart"}};
};

/// @brief The next step and the delay before it.
struct retry_decision
{
    retry_step step = retry_step::give_up;
    duration delay{};
    /// True when a restart was allowed but the retry budget was exhausted.
    bool budget_exhausted = false;
};

/// @brief A policy that decides on the next step after a failed attempt and charges the retry budget for it.
template <class P>
concept retry_policy = requires(const P& policy, const retry_conditions& failed, retry_budget& budget,
                                random_source& random)
{
    {
        policy.decide(failed, budget, random)
        } -> std::same_as<retry_decision>;
};

/// @brief True when a restart can neither run a non-idempotent operation twice nor mix two generations in one stream.
///
/// A non-idempotent call is restarted only when the failure proves that it did not run. A stream is never restarted
/// once the caller has received a token, since a different generation would continue it. Nothing is restarted after the
/// deadline.
constexpr bool restart_allowed(const retry_conditions& failed) noexcept
{
    if (failed.failure == attempt_failure::deadline_passed || failed.delivered > 0)
    {
        return false;
    }
    return failed.idempotent || proves_not_run(failed.failure);
}

/// @brief True when the engine may still hold the tokens of the attempt.
constexpr bool resume_allowed(const retry_conditions& failed) noexcept
{
    return failed.kind == service_kind::engine && failed.failure == attempt_failure::link_broken;
}

/// @brief Limits and delays of retries.
struct backoff_policy
{
    int max_attempts = 4;
    /// Consecutive resumptions without a token after which the attempt is not resumed again.
    int max_resumes = 3;
    /// Mean delay before the first restart; doubles with each further restart.
    duration base_delay{25};
    duration max_delay{2'000};
    /// Restarts after `connect_failed` are not charged to the budget, since no endpoint received the attempt. Set it
    /// only when the caller of decide() increments `retry_conditions::attempts`, because nothing else limits these
    /// restarts.
    bool connect_failures_exempt_from_budget = false;
    /// Time that must be left before the deadline when a restart begins.
    duration min_time_left{50};
};

/// @brief Retries within a budget, with exponential backoff and full jitter. The first restart of an attempt that
/// provably did not run has no delay, since another endpoint can take it and the budget limits such restarts. O(1).
class budgeted_retry
{
  public:
    explicit budgeted_retry(const backoff_policy& policy = {});

    [[nodiscard]] retry_decision decide(const retry_conditions& failed, retry_budget& budget,
                                        random_source& random) const;

  private:
    /// Random delay after a number of failed attempts or resumptions.
    [[nodiscard]] duration delay_after(int failures, random_source& random) const;

    backoff_policy policy_;
};

/// @brief Baseline for comparisons: never retries.
class no_retry
{
  public:
    [[nodiscard]] retry_decision decide(const retry_conditions& failed, retry_budget& budget,
                                        random_source& random) const;
};

/// @brief Baseline for comparisons: restarts without delay and without a budget, up to the limit of attempts.
class immediate_retry
{
  public:
    explicit immediate_retry(int max_attempts = 4);

    [[nodiscard]] retry_decision decide(const retry_conditions& failed, retry_budget& budget,
                                        random_source& random) const;

  private:
    int max_attempts_;
};

static_assert(retry_policy<budgeted_retry>);
static_assert(retry_policy<no_retry>);
static_assert(retry_policy<immediate_retry>);

} // namespace parsleyshift
