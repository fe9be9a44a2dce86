#pragma once

#include <parsleyshift/core/ids.hpp> // endpoint_id, instance_id

#include <vector> // vector

namespace parsleyshift
{

/// @brief Selects the endpoints of a pool at which one instance should run its suspects, so that suspects of different
/// instances seldom share an endpoint.
///
/// Instances and endpoints are paired in hash order. With at least as many endpoints as instances, no endpoint is
/// assigned to two instances that have the same membership view; with fewer, each endpoint is assigned to the least
/// possible number of them. Different views only make shared endpoints more likely. O((e + i) log(e + i)); cache the
/// result until the pool or the membership changes.
/// @param endpoints endpoints of the pool
/// @param instances live instances that serve the pool
/// @param self this instance; it is assigned endpoints even when `instances` lacks it
/// @return the endpoints for this instance; empty only when the pool is empty
std::vector<endpoint_id> endpoints_for_suspects(std::vector<endpoint_id> endpoints, std::vector<instance_id> instances,
                                                const instance_id& self);

} // namespace parsleyshift
