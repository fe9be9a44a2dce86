#pragma once

#include <parsleyshift/core/ids.hpp>         // service_id, endpoint_id
#include <parsleyshift/placement/inputs.hpp> // placement_configuration, placement_endpoint

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <span>    // span
#include <vector>  // vector

namespace parsleyshift
{

inline constexpr std::size_t no_model = static_cast<std::size_t>(-1);

/// @brief The model that an endpoint takes by weighted rendezvous hashing, in proportion to the shares.
///
/// Depends on the configuration and the endpoint's id only. Linear in the models.
/// @return an index into `models`, or no_model when there is none
std::size_t natural_model(std::span<const model_record> models, const endpoint_id& endpoint);

/// @brief Place of an endpoint in the order of the endpoints for one model: those that take it naturally come first.
///
/// All planners with the same configuration have the same order. A planner that moves endpoints because of a wrong
/// list therefore puts them below those that the model will finally have.
/// @param natural true when the model is the endpoint's natural one
std::uint64_t placement_score(const model_id& model, const endpoint_id& endpoint, bool natural) noexcept;

/// @brief Chooses the model that each endpoint of a service should hold.
///
/// Each model first gets `min_ready` + 1 endpoints, so that one can load while the others serve: those with its highest
/// scores, all models getting one before any gets a second. Each other endpoint takes its natural model, so that an
/// endpoint that comes or goes moves few others, and planners with different lists agree on nearly all endpoints.
///
/// O(endpoints * models).
/// @param models the models of the service, in the order of their names
/// @param endpoints endpoints of the service that may load models
/// @return for each endpoint an index into `models`, or no_model when there is no model
std::vector<std::size_t> assign_models(std::span<const model_record> models,
                                       std::span<const placement_endpoint* const> endpoints);

/// @brief The orders that bring an endpoint to hold a model, without fencing numbers; unloading is not among them.
///
/// Depends on the model's record only, and each order is idempotent.
std::vector<placement_order> orders_for(const model_record& model, const endpoint_id& endpoint);

/// @brief Hash of the whole of `orders_for`, which an endpoint reports in its fence once it has accepted all of it.
std::uint64_t plan_of(const model_record& model);

} // namespace parsleyshift
