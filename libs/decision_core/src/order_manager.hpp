#pragma once

#include "core_state.hpp" // core_state

#include <parsleyshift/orders/order_table.hpp>      // order_table
#include <parsleyshift/streams/outcome_tracker.hpp> // outcome_tracker

#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift::detail
{

/// @brief Orders at this instance: keys minted here, orders sent from here to endpoints, and orders forwarded to the
/// instance that minted their key, their home instance.
///
/// Guarantee: an order under a minted key is sent to an endpoint by the home instance only, and again only after
/// proof that the endpoint did not start to execute it, unless the service's endpoints check keys. The guarantee does
/// not depend on the membership view of any instance.
class order_manager
{
  public:
    explicit order_manager(core_state& state) : state_(state), home_(state.settings.orders) {}

    /// @brief Mints an order key.
    void handle(const key_request& request);
    /// @brief Places an order under its key, here or at the key's home instance.
    void handle(const order_request& request);
    /// @brief Looks up the result of an order without placing it.
    void handle(const order_query& query);
    /// @brief Places or looks up an order that another instance has forwarded.
    /// @param peer_address address that the reply goes to
    void handle(const instance_id& from, const std::string& peer_address, const order_forward& forwarded);
    /// @brief Handles the home instance's reply to an order forwarded from here.
    void handle(const order_reply& reply);
    /// @brief An endpoint answered an attempt. Results of attempts other than the current one are ignored.
    /// @param id order that the attempt belongs to
    void on_answered(attempt_id attempt, request_id id, const std::string& result);
    /// @brief An attempt failed. Failures of attempts other than the current one are ignored.
    void on_failed(attempt_id attempt, request_id id, attempt_failure failure);
    /// @brief Handles a retry_due or forward_order timer.
    void on_timer(const core_timer& due);
    /// @brief Removes keys that have expired.
    void expire()
    {
        home_.expire(state_.now);
    }
    /// @brief True while an order is being sent from here or waits for the reply of its home instance.
    [[nodiscard]] bool busy() const;
    /// @brief Latest time at which a key that was minted here and is not yet placed can be placed; the epoch when there
    /// is none.
    [[nodiscard]] time_point placeable_until() const
    {
        return home_.placeable_until();
    }
    /// @brief Keys minted here whose orders are in progress or whose results are stored.
    [[nodiscard]] std::size_t held() const noexcept
    {
        return home_.size();
    }

  private:
    /// Recipient of an order's result: a caller at this instance, or another instance.
    struct recipient
    {
        instance_id instance;
        std::string peer_address;
        request_id request;
    };
    /// An order that this instance sends to an endpoint.
    struct active_order
    {
        request_id id;
        /// Absent for a caller's own key, and for a minted key whose home instance is unreachable.
        std::optional<minted_key> minted;
        order_forward order;
        bool endpoint_checks_keys = false;
        time_point send_deadline;
        outcome_tracker tracker;
        std::vector<endpoint_id> tried;
        attempt_id attempt;
        endpoint_id endpoint;
        int attempts = 0;
        /// Incremented with each retry, so that timers of an earlier one are ignored.
        std::uint64_t step = 0;
        std::vector<recipient> recipients;
    };
    /// An order that was forwarded to its home instance and not yet answered.
    struct pending_forward
    {
        order_forward order;
        order_key_token key;
        time_point deadline;
    };

    void place(const order_forward& order, const recipient& to);
    void place_minted(const order_forward& order, const order_key_token& key, const recipient& to);
    void look_up(const order_key_token& key, const recipient& to);
    void forward_home(const order_forward& order, const order_key_token& key);
    void send_forward(const pending_forward& pending);
    /// Sends an order from here without its home instance; only for services whose endpoints check keys.
    void send_directly(const order_forward& order, time_point send_deadline, const recipient& to);
    void start(active_order& active);
    void retry_or_finish(active_order& active, attempt_failure failure);
    void finish(active_order& active, order_result result);
    void add_recipient(request_id id, const recipient& to);
    /// @param settled_after time after which no send under the key can happen; reported for an unknown outcome only
    void answer(const recipient& to, const order_result& result, time_point settled_after);
    void answer_error(const recipient& to, outcome result, error cause, time_point settled_after = never);
    [[nodiscard]] bool is_home(const order_key_token& key) const;
    [[nodiscard]] recipient local_recipient(request_id request) const;
    [[nodiscard]] bool checks_keys(const service_id& service) const;
    /// @return the error when the service or the operation of an order does not exist
    [[nodiscard]] std::optional<error> validate(const order_forward& order) const;

    core_state& state_;
    order_table home_;
    std::unordered_map<request_id, active_order> active_orders_;
    std::unordered_map<request_id, pending_forward> forwards_;
    std::uint64_t direct_orders_ = 0;
};

} // namespace parsleyshift::detail
