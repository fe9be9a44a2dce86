#pragma once

#include <parsleyshift/core/ids.hpp>         // service_id, endpoint_id
#include <parsleyshift/placement/inputs.hpp> // placement_configuration, placement_endpoint

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <span>    // span
#include <vector>  // vector

namespace parsleyshift
{

/// Model index that stands for "no model".
inline constexpr std::size_t no_model = static_cast<std::size_t>(-1);

/// @brief Chooses a model for an endpoint by weighted rendezvous hashing, with the models' shares as weights.
///
/// The result depends only on the models' names and shares and on the endpoint id. O(models).
/// @return an index into `models`, or no_model when `models` is empty
std::size_t preferred_model(std::span<const model_record> models, const endpoint_id& endpoint);

/// @brief Ranks endpoints for one model; a higher score comes first.
///
/// Endpoints that prefer the model rank above all others. All planners with the same configuration compute the same
/// ranking, so endpoints that a planner moved because of a wrong endpoint list rank below those that finally serve the
/// model.
/// @param preferred true when the model is the endpoint's preferred_model()
std::uint64_t placement_score(const model_id& model, const endpoint_id& endpoint, bool preferred) noexcept;

/// @brief Chooses the model that each endpoint of a service should serve.
///
/// Each model first gets `min_ready` + 1 endpoints, so that one can load while the others serve: those with its highest
/// scores, in rounds in which each model gets one. Each remaining endpoint gets its preferred model. Adding or removing
/// an endpoint therefore reassigns few others, and planners with different lists agree on nearly all endpoints.
///
/// O(endpoints * models * (largest min_ready + 1)).
/// @param models the models of the service, sorted by name
/// @param endpoints endpoints of the service that may load models
/// @return for each endpoint an index into `models`, or no_model when `models` is empty
std::vector<std::size_t> assign_models(std::span<const model_record> models,
                                       std::span<const placement_endpoint* const> endpoints);

/// @brief Returns the orders that make an endpoint serve a model, without fencing numbers and without unloads.
///
/// The orders depend only on the model's record, and each is idempotent.
std::vector<placement_order> orders_for(const model_record& model, const endpoint_id& endpoint);

/// @brief Returns the hash of the sequence of all orders of `orders_for`.
///
/// An endpoint reports this hash in its fencing number once it has accepted all of them.
std::uint64_t sequence_hash_of(const model_record& model);

} // namespace parsleyshift
