#pragma once

#include <parsleyshift/core/clock.hpp>             // time_point
#include <parsleyshift/messages/action.hpp>        // send_placement_order
#include <parsleyshift/messages/event.hpp>         // placement_answered
#include <parsleyshift/messages/peer.hpp>          // member_update
#include <parsleyshift/placement/inputs.hpp>       // placement_configuration, placement_endpoint, placement_deferral
#include <parsleyshift/placement/service_plan.hpp> // service_plan
#include <parsleyshift/placement/settings.hpp>     // placement_settings
#include <parsleyshift/placement/store_budget.hpp> // store_budget

#include <cstddef>       // size_t
#include <map>           // map
#include <span>          // span
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief Sends the engines orders to load and unload models, load adapters and set roles.
///
/// The model that an endpoint should serve is a function of the configuration and of the list of endpoints
/// (assign_models). The orders for it are a function of the model's record (orders_for), and the next order is a
/// function of the endpoint's own report: the fencing number in it contains the hash of the order sequence accepted so
/// far. The planner stores only times, its own last fencing numbers, and for engines that ignore fencing the orders
/// that they have accepted from it.
///
/// **Concurrent planners.** Any number of instances may plan the same endpoints at once, with any membership views and
/// endpoint lists. Fencing numbers only increase, see fencing_fields. With equal lists the planners send the same
/// orders with the same numbers, which are idempotent. With different lists they differ at few endpoints; the engine
/// keeps the higher number, and all planners see the result in its report. A planner that finds an order of another
/// order sequence at its own revision waits before it orders again: order_timeout, doubled with each further accepted
/// order, so that planners with different lists cause few loads. Once the lists are equal, one more order sets the
/// common sequence.
///
/// **Available capacity.** Whatever the views of the planners, at least min_ready of the endpoints that serve a model
/// stay in service, or all of them while there are fewer; only failures of endpoints reduce the number further. An
/// endpoint is converged on a model when it serves it and has accepted its whole order sequence. The endpoints of a
/// model are ranked by placement_score:
///  - A converged endpoint is taken out of service only while at least min_ready converged ones that rank above it are
///    ready.
///  - Another endpoint that serves the model is taken out of service only while the ready converged ones, and the ready
///    others that rank above it, are together at least min_ready.
///  - An endpoint unloads a model when it has converged on another one and min_ready endpoints, at least one, have
///    converged on the model, so that the last copy is never unloaded.
///
/// Endpoints that were once counted stay counted, so this holds for reports of any age: of the endpoints that have ever
/// converged, the top min_ready stay in service. While fewer than min_ready have, as many of the top others as are
/// missing stay too: a planner that takes one of these out of service must have counted min_ready endpoints that have
/// converged by now or rank above it.
///
/// The guarantee assumes that
///  - a report lists the models that the engine serves, so that it omits a model while it is loaded again,
///  - a load takes longer than a report is valid,
///  - a load takes effect within order_timeout, before which it is not interrupted.
///
/// The drawback: an endpoint that has converged on a model because of a wrong list, and that is among its top
/// min_ready, may have to stay there until the model's record changes.
///
/// **Configuration changes.** A planner sends no orders to endpoints that report a higher revision than its own. After
/// a change of the configuration it sends no orders for the time hold_off, which is longer than the change takes to be
/// in force everywhere. An engine that ignores fencing may execute an order of a planner that was paused for longer
/// than that. Requiring a recent report before each order limits that window to the age of one report.
///
/// **Load rate.** The models are loaded from one store, whose read rate is divided equally among the services and then
/// among the `planners_per_service` entry slots of each. Each slot orders loads at the endpoints that it owns, so that
/// the sum does not depend on views. Instances without an eligible slot order nothing. Loads are ordered only in the
/// store's region; endpoints elsewhere keep their models.
///
/// Cost of one pass: O(endpoints * models per endpoint) over the services that this instance may plan.
class placement_planner
{
  public:
    /// @param self this instance; its entry slot determines which services it may plan
    /// @param settings intervals and limits
    placement_planner(member_update self, placement_settings settings);

    /// @brief Sets the configuration; one with a lower revision than the current one is ignored. Reassigns the models,
    /// see assign_models() for the cost.
    void set_configuration(placement_configuration configuration, time_point now);

    /// @brief Replaces the list of engines; the state of engines in both lists is kept. Reassigns the models, see
    /// assign_models() for the cost.
    void set_endpoints(std::vector<placement_endpoint> endpoints);

    /// @brief Replaces the membership view, which affects only which planner sends an order, never its content. Linear
    /// in the members.
    void update_members(std::span<const member_update> members);

    /// @brief Handles a load report; reports of endpoints that are not listed are ignored. Linear in the
    /// services and in the models of the report.
    void handle(const load_report& report, time_point now);

    /// @brief Handles an engine's answer to an order. O(1) on average.
    void handle(const placement_answered& answer, time_point now);

    /// @brief Runs a pass if one is due and appends its orders to `out`; to be called at next_deadline().
    void expire(time_point now, std::vector<send_placement_order>& out);

    /// @brief Time of the next pass.
    [[nodiscard]] time_point next_deadline() const;

    /// @brief Endpoints whose orders the last pass has deferred, with the reasons.
    [[nodiscard]] const std::vector<placement_deferral>& deferrals() const;

  private:
    void rebuild_plans();
    [[nodiscard]] service_plan build_plan(const service_record& service) const;
    void set_store_rates(time_point now);
    /// Fencing number of the next order, or 0 when the revision or the order count exceeds its field.
    [[nodiscard]] fencing_number next_fence(const planned_endpoint& endpoint, std::uint64_t sequence_hash) const;
    /// True while the endpoint must get no order: while an order may be in progress or its answer is outstanding, while
    /// the wait after another planner's order lasts, until a report made after the last answer has arrived, or when no
    /// further fencing number is available at this revision.
    [[nodiscard]] bool must_wait(const service_plan& plan, const planned_endpoint& endpoint, const placement_step& step,
                                 time_point now) const;
    /// Appends the endpoint's next order to `out`, or records why it is deferred.
    void append_next_order(const service_plan& plan, std::size_t position, time_point now,
                           std::vector<send_placement_order>& out);
    /// True when this instance sends the orders for the endpoint: no other planner slot of the service that a live
    /// member holds has a higher rendezvous score for it.
    [[nodiscard]] bool owns(const service_plan& plan, const endpoint_id& endpoint) const;
    /// order_timeout, doubled with each accepted order after the first, at most max_order_timeout.
    [[nodiscard]] duration order_timeout_after(std::uint64_t accepted_orders) const;

    member_update self_;
    placement_settings settings_;
    placement_configuration configuration_;
    time_point configuration_since_;
    std::vector<planned_endpoint> endpoints_;
    std::unordered_map<endpoint_id, std::size_t> index_;
    std::vector<service_plan> plans_;
    std::map<service_id, store_budget> budgets_;
    /// For each entry slot whether a member that holds it is alive or suspect in the local view.
    std::vector<bool> live_slots_;
    std::vector<placement_deferral> deferrals_;
    /// Position at which the next pass starts in each plan; it advances so that max_orders_per_pass starves no
    /// endpoint.
    std::size_t first_position_ = 0;
    time_point next_pass_;
};

} // namespace parsleyshift
