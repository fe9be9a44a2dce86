#pragma once

#include "core_state.hpp" // core_state

#include <parsleyshift/routing/hedge_policy.hpp>    // hedge_policy
#include <parsleyshift/streams/outcome_tracker.hpp> // outcome_tracker

#include <optional>      // optional
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift::detail
{

/// @brief Chooses an endpoint of a plain service that a request has not used yet, or any when all were used.
std::optional<endpoint_id> choose_plain_endpoint(core_state& state, const service_id& service,
                                                 const std::vector<endpoint_id>& excluded);

/// @brief The idempotent calls to plain services in progress at this instance.
class call_manager
{
  public:
    explicit call_manager(core_state& state) : state_(state), hedging_(state.settings.hedging) {}

    void handle(const call_request& asked);
    void answered(attempt_id attempt, request_id request, const std::string& result);
    void failed(attempt_id attempt, request_id request, attempt_failure failure);
    void caller_gone(request_id request);
    void timer(const core_timer& due);
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
        call_request asked;
        class_id work_class;
        fingerprint print;
        outcome_tracker tracker;
        std::vector<running_attempt> running;
        std::vector<endpoint_id> tried;
        int attempts = 0;
        std::uint64_t step = 0;
        time_point arrived;
        time_point deadline;
        std::optional<error> last_error;
    };

    bool start_attempt(call& active);
    void plan_hedge(const call& active);
    void hedge(call& active);
    [[nodiscard]] hedge_situation situation_of(const call& active) const;
    void stop_others(call& active);
    void end(call& active, outcome what, std::optional<error> why);
    void reject(call& active, error why);

    core_state& state_;
    hedge_policy hedging_;
    std::unordered_map<request_id, call> active_;
};

} // namespace parsleyshift::detail
