#pragma once

#include <parsleyshift/core/clock.hpp>        // time_point
#include <parsleyshift/messages/endpoint.hpp> // load_report, placement_order
#include <parsleyshift/placement/fence.hpp>   // fencing_fields
#include <parsleyshift/placement/inputs.hpp>  // placement_endpoint
#include <parsleyshift/records/record.hpp>    // service_record, model_record

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <optional> // optional
#include <vector>   // vector

namespace parsleyshift
{

/// @brief An endpoint with the planner's local state for it.
struct planned_endpoint
{
    placement_endpoint properties;
    /// Index of the preferred model in the plan of the endpoint's service, or no_model.
    std::size_t preferred = static_cast<std::size_t>(-1);
    /// The latest report.
    std::optional<load_report> report;
    time_point reported_at;
    /// Fields of the last accepted fencing number: from the endpoint's report, or from its answers to this planner
    /// when it ignores fencing.
    fencing_fields accepted;
    time_point accepted_since;
    /// Fencing number of the last order that this planner sent.
    fencing_number last_sent;
    /// No order is sent before this time: the end of the wait for the answer to the last order, or the time of the
    /// answer.
    time_point order_pending_until;
    /// Time of the last answer to an order.
    time_point answered_at;
    /// The report was made after the last accepted order, so that it shows the effect of the order.
    bool confirmed = true;
};

/// @brief The next order for an endpoint.
struct placement_step
{
    placement_order order;
    /// Hash of the order sequence up to and including this order.
    std::uint64_t sequence_hash = 0;
    /// The endpoint has already accepted the order; it is repeated if its effect is not reported in time.
    bool already_accepted = false;
};

/// @brief Which endpoints of a service keep a model available; see placement_planner for the rules.
struct model_capacity
{
    /// Number of converged and ready endpoints.
    std::size_t converged = 0;
    /// A converged endpoint may be taken out of service only if its score is below this, so that enough converged ones
    /// rank above it; 0 allows none.
    std::uint64_t converged_score_limit = 0;
    /// While there are too few converged endpoints, any other endpoint may be taken out of service only if its score is
    /// below this; 0 allows none.
    std::uint64_t unconverged_score_limit = 0;
};

/// @brief The plan of one service: its models, and its endpoints with the models that they should serve.
struct service_plan
{
    service_record service;
    /// Sorted by name.
    std::vector<model_record> models;
    /// For each model the hash of its whole order sequence.
    std::vector<std::uint64_t> sequence_hashes;
    /// Indices into the planner's list of endpoints.
    std::vector<std::size_t> endpoints;
    /// For each of `endpoints` an index into `models`, or no_model.
    std::vector<std::size_t> assigned_models;
    /// Entry slots whose holders may plan this service.
    std::vector<int> planner_slots;
    /// For each model, filled by update_capacity().
    std::vector<model_capacity> capacity;

    /// @brief Index of a model, or no_model when the service has no such model. O(log(models)).
    [[nodiscard]] std::size_t index_of(const model_id& model) const;
    /// @brief True when the endpoint has accepted the model's whole order sequence and reports the model and its role.
    /// Linear in the models that it reports.
    [[nodiscard]] bool converged(const planned_endpoint& endpoint, std::size_t model) const;
    /// @brief True when the last accepted order may be a load in progress. Linear in the models of the service.
    [[nodiscard]] bool may_be_loading(const planned_endpoint& endpoint) const;
    /// @brief Recomputes `capacity` from the reports. O(endpoints * models that each reports).
    /// @param all the planner's list of endpoints
    /// @param oldest_report reports received before this time are ignored
    void update_capacity(const std::vector<planned_endpoint>& all, time_point oldest_report);
    /// @brief True when the models that the endpoint reports stay available while it is out of service. Requires a
    /// report and a preceding update_capacity().
    [[nodiscard]] bool may_take_out_of_service(const planned_endpoint& endpoint) const;
    /// @brief True when a model stays available after an endpoint that has converged on another one unloads it.
    [[nodiscard]] bool may_unload(const model_id& model) const;
    /// @brief Returns the next order that brings the endpoint to serve only `model`, or nothing when there is none.
    /// Requires a report and a preceding update_capacity().
    [[nodiscard]] std::optional<placement_step> next_step(const planned_endpoint& endpoint, std::size_t model) const;
};

} // namespace parsleyshift
