#pragma once

#include "core_state.hpp" // core_state

#include <parsleyshift/routing/hedge_policy.hpp>    // hedge_policy
#include <parsleyshift/streams/outcome_tracker.hpp> // outcome_tracker

#include <optional>      // optional
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift::detail
{

/// @brief Chooses an endpoint of a plain service.
/// @param tried endpoints that the request has used; used again only when there is no other
/// @param excluded endpoints that are not chosen
/// @return nothing when the service has no usable endpoint
std::optional<endpoint_id> choose_plain_endpoint(core_state& state, const service_id& service,
                                                 const std::vector<endpoint_id>& tried,
                                                 const std::vector<endpoint_id>& excluded = {});

/// @brief The idempotent calls to plain services in progress at this instance.
class call_manager
{
  public:
    explicit call_manager(core_state& state) : state_(state), hedging_(state.settings.hedging) {}

    /// @brief Starts a call, or rejects it when it is invalid, quarantined or over capacity.
    void handle(const call_request& request);
    /// @brief An endpoint answered an attempt; the first answer ends the call and cancels its other attempt.
    void on_answered(attempt_id attempt, request_id request, const std::string& result);
    /// @brief An attempt failed; the call is retried or rejected once no other attempt runs.
    void on_failed(attempt_id attempt, request_id request, attempt_failure failure);
    /// @brief Cancels a call whose caller has disconnected.
    void on_caller_disconnected(request_id request);
    /// @brief Handles a request_timeout, retry_due or hedge_due timer; unknown requests are ignored.
    void on_timer(const core_timer& due);
    /// @brief Calls in progress.
    [[nodiscard]] std::size_t active() const noexcept
    {
        return active_.size();
    }

  private:
    struct running_attempt
    {
        attempt_id attempt;
        endpoint_id endpoint;
        std::string address;
        time_point began;
    };
    struct call
    {
        call_request request;
        class_id work_class;
        fingerprint content_fingerprint;
        outcome_tracker tracker;
        std::vector<running_attempt> running;
        std::vector<endpoint_id> tried;
        int attempts = 0;
        /// Incremented with each scheduled retry, so that timers of an earlier wait are ignored.
        std::uint64_t step = 0;
        time_point arrived;
        time_point deadline;
        std::optional<error> last_error;
    };

    /// @return true when an attempt was started; otherwise the call was rejected or waits for a retry_due timer
    bool start_attempt(call& active);
    void schedule_hedge(const call& active);
    void start_hedge(call& active);
    [[nodiscard]] hedge_candidate situation_of(const call& active) const;
    void cancel_running_attempts(call& active);
    void finish(call& active, outcome result, std::optional<error> cause);
    void reject(call& active, error cause);

    core_state& state_;
    hedge_policy hedging_;
    std::unordered_map<request_id, call> active_;
};

} // namespace parsleyshift::detail
