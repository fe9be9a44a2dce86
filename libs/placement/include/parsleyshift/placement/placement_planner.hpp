#pragma once

#include <parsleyshift/core/clock.hpp>             // time_point
#include <parsleyshift/messages/action.hpp>        // send_placement_order
#include <parsleyshift/messages/event.hpp>         // placement_answered
#include <parsleyshift/messages/peer.hpp>          // member_update
#include <parsleyshift/placement/inputs.hpp>       // placement_configuration, placement_endpoint, placement_hold
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

/// @brief Orders models, adapters, versions and roles at the engines.
///
/// What an endpoint should hold is a function of the configuration and of the list of endpoints (assign_models), the
/// orders that lead there a function of the model's record (orders_for), and the next one of them a function of the
/// endpoint's own report: the fence that it reports contains the hash of the plan that it has accepted so far. The
/// planner remembers only times, and for engines that ignore fencing what it has ordered itself.
///
/// **Two holders.** Any number of instances may believe that it is their turn, with any views:
///  - Their fencing numbers only rise, see fence_parts. With equal lists they send the same orders under the same
///    numbers, which are idempotent. With different lists they differ at few endpoints, the engine keeps the higher
///    number, and both see the result in the report. A holder that finds an order of another plan at its revision
///    waits order_timeout * 2^orders before it orders again, so that disagreement costs few loads; once the lists are
///    equal the plans are, and one more order ends it.
///  - Capacity does not depend on the views. Let the endpoints of each model have the fixed order placement_score, and
///    call an endpoint settled on a model when it serves it with the whole plan accepted. A settled endpoint is
///    disturbed only while at least min_ready settled ones above it are ready. Another endpoint that serves the model
///    is disturbed only while the ready settled ones, and the ready others above it, are together at least min_ready.
///    Of the endpoints that were ever settled, u in number, the top min_ready are therefore never disturbed; and while
///    u < min_ready, neither are the top min_ready - u of the others: whoever disturbs one of them must have counted
///    min_ready endpoints, of which at most u are settled by now and all others are above it. This holds for reports of
///    any age, since endpoints that were once counted stay in these sets. An endpoint unloads a model when it is
///    settled on another and min_ready are settled on the model, at least one, so that the last copy is never unloaded.
///    Only failures of endpoints reduce the number further. The price: an endpoint that a wrong list has settled on a
///    model, and that is among its top min_ready, may have to stay there until the model's record changes.
///    This rests on three facts: a report names the models that the engine serves, so that it leaves out a model while
///    it is loaded again; a load takes longer than a report is valid; and it shows its effect within order_timeout,
///    before which a load is not interrupted.
///  - A planner with an older configuration stops at endpoints that report a higher revision, and the hold-off after a
///    change is longer than the change takes to be in force everywhere.
///
/// An engine that ignores fencing may execute an order of a planner that was paused for longer than the hold-off; the
/// read before each order makes that window one report long.
///
/// **Weight store.** Each of `planners_per_service` entry slots has a fixed share of the store's rate for each service
/// and orders loads at the endpoints that it owns, so that the sum does not depend on views. Instances without an
/// eligible slot order nothing. Loads are ordered only in the store's region; endpoints elsewhere keep what they hold.
///
/// Cost of one pass: O(endpoints * models per endpoint) over the services that this instance may plan.
class placement_planner
{
  public:
    /// @param self this instance; its entry slot decides what it may plan
    /// @param settings intervals
    placement_planner(member_update self, placement_settings settings);

    /// @brief Takes the configuration; an older one than before is ignored. O(endpoints * models).
    void set_configuration(placement_configuration configuration, time_point now);

    /// @brief Takes the engines of the platform's list; replaces the former ones. O(endpoints * models).
    void set_endpoints(std::vector<placement_endpoint> endpoints);

    /// @brief Takes the membership view, which only decides who orders, never what. Linear in the members.
    void update_members(std::span<const member_update> members);

    /// @brief Takes a load report; reports of unknown endpoints are ignored. Constant time.
    void handle(const load_report& report, time_point now);

    /// @brief Takes an engine's answer to an order. Constant time.
    void handle(const placement_answered& answer, time_point now);

    /// @brief Appends the orders that are due; to be called at next_deadline().
    void expire(time_point now, std::vector<send_placement_order>& out);

    /// @brief Time of the next pass.
    [[nodiscard]] time_point next_deadline() const;

    /// @brief Orders that the last pass has held back, with the reason.
    [[nodiscard]] const std::vector<placement_hold>& holds() const;

  private:
    void rebuild();
    [[nodiscard]] service_plan build(const service_record& service) const;
    void set_rates(time_point now);
    [[nodiscard]] fencing_number next_fence(const endpoint_knowledge& endpoint, std::uint64_t plan) const;
    [[nodiscard]] bool waits(const service_plan& plan, const endpoint_knowledge& endpoint, const placement_step& step,
                             time_point now) const;
    void plan_endpoint(const service_plan& plan, std::size_t position, time_point now,
                       std::vector<send_placement_order>& out);
    [[nodiscard]] bool owns(const service_plan& plan, const endpoint_id& endpoint) const;
    [[nodiscard]] duration wait_after(std::uint64_t orders) const;

    member_update self_;
    placement_settings settings_;
    placement_configuration configuration_;
    time_point configuration_since_;
    std::vector<endpoint_knowledge> endpoints_;
    std::unordered_map<endpoint_id, std::size_t> index_;
    std::vector<service_plan> plans_;
    std::map<service_id, store_budget> budgets_;
    /// Whether the holder of each entry slot is alive in the local view.
    std::vector<bool> live_slots_;
    std::vector<placement_hold> holds_;
    /// Endpoint with which the next pass begins, so that a bound on orders starves none.
    std::size_t first_ = 0;
    time_point next_pass_;
};

} // namespace parsleyshift
