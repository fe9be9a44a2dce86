#pragma once

#include "core_state.hpp" // core_state

#include <parsleyshift/orders/order_home.hpp>       // order_home
#include <parsleyshift/streams/outcome_tracker.hpp> // outcome_tracker

#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift::detail
{

/// @brief Orders of callers at this instance: keys minted here, orders sent from here, and orders forwarded to the
/// instance that minted their key.
///
/// Guarantee: an order under a minted key is handed to an endpoint by the home instance only, and again only after
/// proof that the endpoint did not start, unless the service's endpoints check keys. The instances' views of each other
/// play no part in it.
class order_manager
{
  public:
    explicit order_manager(core_state& state) : state_(state), home_(state.settings.orders) {}

    void handle(const key_request& asked);
    void handle(const order_request& asked);
    void handle(const order_query& asked);
    void handle(const instance_id& from, const std::string& peer_address, const order_forward& forwarded);
    void handle(const order_reply& reply);
    void answered(attempt_id attempt, request_id id, const std::string& result);
    void failed(attempt_id attempt, request_id id, attempt_failure failure);
    void timer(const core_timer& due);
    void expire()
    {
        home_.expire(state_.now);
    }
    /// @brief True while an order is in progress or a key that was minted here may still be placed.
    [[nodiscard]] bool busy() const;
    /// @brief Time until which a key that was minted here and not yet placed may be placed.
    [[nodiscard]] time_point placeable_until() const
    {
        return home_.placeable_until();
    }
    [[nodiscard]] std::size_t held() const noexcept
    {
        return home_.size();
    }

  private:
    /// Who waits for the result of an order: a caller here, or another instance.
    struct waiter
    {
        instance_id instance;
        std::string peer_address;
        request_id request;
    };
    /// An order that this instance sends to an endpoint.
    struct run
    {
        request_id id;
        /// Absent for a key of the caller's own, and for a minted key whose home is out of reach.
        std::optional<minted_order> minted;
        order_forward what;
        bool endpoint_checks_keys = false;
        time_point send_deadline;
        outcome_tracker tracker;
        std::vector<endpoint_id> tried;
        attempt_id attempt;
        endpoint_id endpoint;
        int attempts = 0;
        std::uint64_t step = 0;
        std::vector<waiter> waiters;
    };
    /// An order that waits for its home instance's reply.
    struct forward
    {
        order_forward what;
        order_key_token key;
        time_point give_up;
    };

    void place(const order_forward& what, const waiter& who);
    void place_minted(const order_forward& what, const order_key_token& key, const waiter& who);
    void look_up(const order_key_token& key, const waiter& who);
    void forward_home(const order_forward& what, const order_key_token& key);
    void send_forward(const forward& waiting);
    void run_directly(const order_forward& what, time_point send_deadline, const waiter& who);
    void start(run& active);
    void retry_or_finish(run& active, attempt_failure failure);
    void finish(run& active, order_result result);
    void wait_for(request_id id, const waiter& who);
    void answer(const waiter& who, const order_result& result, time_point settled_after);
    void answer_error(const waiter& who, outcome what, error why, time_point settled_after = never);
    [[nodiscard]] bool is_home(const order_key_token& key) const;
    [[nodiscard]] waiter local(request_id request) const;
    [[nodiscard]] bool checks_keys(const service_id& service) const;
    [[nodiscard]] std::optional<error> unusable(const order_forward& what) const;

    core_state& state_;
    order_home home_;
    std::unordered_map<request_id, run> runs_;
    std::unordered_map<request_id, forward> forwards_;
    std::uint64_t direct_runs_ = 0;
};

} // namespace parsleyshift::detail
