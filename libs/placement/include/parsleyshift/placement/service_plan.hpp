#pragma once

#include <parsleyshift/core/clock.hpp>        // time_point
#include <parsleyshift/messages/endpoint.hpp> // load_report, placement_order
#include <parsleyshift/placement/fence.hpp>   // fence_parts
#include <parsleyshift/placement/inputs.hpp>  // placement_endpoint
#include <parsleyshift/records/record.hpp>    // service_record, model_record

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <optional> // optional
#include <vector>   // vector

namespace parsleyshift
{

/// @brief What a planner knows about one endpoint.
struct endpoint_knowledge
{
    placement_endpoint where;
    /// Index of the natural model in the plan of the endpoint's service.
    std::size_t natural = static_cast<std::size_t>(-1);
    std::optional<load_report> report;
    time_point reported_at;
    /// What the endpoint has accepted: from its report, or from the answers here when it ignores fencing.
    fence_parts accepted;
    time_point accepted_since;
    /// Fence of the last order sent from here.
    fencing_number last_sent;
    /// No order is sent before this time; set while an order of this planner is in progress.
    time_point busy_until;
    /// When an order was last answered.
    time_point answered_at;
    /// The report was made after the last accepted order, so that it shows its effect.
    bool confirmed = true;
};

/// @brief One step of an endpoint towards what it should hold.
struct placement_step
{
    placement_order order;
    /// Hash of the plan with this order.
    std::uint64_t plan = 0;
    /// The order was accepted; it is repeated if its effect does not show in time.
    bool accepted = false;
};

/// @brief Which endpoints of a service keep a model available; see placement_planner for the rules.
struct model_capacity
{
    /// Settled and ready endpoints.
    std::size_t settled = 0;
    /// A settled endpoint must have a lower score than this, so that enough settled ones are above it; 0: none.
    std::uint64_t below_settled = 0;
    /// One that is not settled must have a lower score than this while there are too few settled ones; 0: none.
    std::uint64_t below_others = 0;
};

/// @brief The plan of one service: its models, and the endpoints with the models that they should hold.
struct service_plan
{
    service_record service;
    /// In the order of their names.
    std::vector<model_record> models;
    /// Hash of the whole plan of each model.
    std::vector<std::uint64_t> plans;
    /// Indices of the endpoints, and for each an index into `models`.
    std::vector<std::size_t> endpoints;
    std::vector<std::size_t> assigned;
    /// Entry slots whose holders may plan this service.
    std::vector<int> planner_slots;
    std::vector<model_capacity> capacity;

    /// @brief Index of a model, or no_model. Logarithmic.
    [[nodiscard]] std::size_t index_of(const model_id& model) const;
    /// @brief True when the endpoint holds the model with the whole plan accepted and its role shown. Linear in the
    /// models it holds.
    [[nodiscard]] bool settled(const endpoint_knowledge& endpoint, std::size_t model) const;
    /// @brief True when the last accepted order may be a load in progress. Linear in the models of the service.
    [[nodiscard]] bool may_be_loading(const endpoint_knowledge& endpoint) const;
    /// @brief Counts the endpoints that are ready. O(endpoints * models that each holds).
    void measure_capacity(const std::vector<endpoint_knowledge>& all, time_point oldest_report);
    /// @brief True when the models that the endpoint holds stay available while it is occupied.
    [[nodiscard]] bool may_disturb(const endpoint_knowledge& endpoint) const;
    /// @brief True when a model stays available without an endpoint that is settled on another.
    [[nodiscard]] bool may_unload(const model_id& model) const;
    /// @brief The next order for an endpoint with a report, if any.
    [[nodiscard]] std::optional<placement_step> next_step(const endpoint_knowledge& endpoint, std::size_t model) const;
};

} // namespace parsleyshift
