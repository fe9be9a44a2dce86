#pragma once

#include <parsleyshift/core/ids.hpp> // endpoint_id, instance_id

#include <vector> // vector

namespace parsleyshift
{

/// @brief Endpoints of a pool at which one instance should run its suspects, so that suspects of different instances
/// seldom share an endpoint.
///
/// Instances and endpoints are paired in hash order. With as many endpoints as instances or more, no endpoint is given
/// to two instances that have the same view; with fewer, an endpoint is given to the least possible number of them.
/// Different views only lose separation. O((e + i) log(e + i)); to be kept until pool or membership changes.
/// @param instances the live instances that serve the pool
/// @param self this instance; it gets endpoints even when `instances` lacks it
/// @return empty only when the pool is empty
std::vector<endpoint_id> suspect_share(std::vector<endpoint_id> endpoints, std::vector<instance_id> instances,
                                       const instance_id& self);

} // namespace parsleyshift
