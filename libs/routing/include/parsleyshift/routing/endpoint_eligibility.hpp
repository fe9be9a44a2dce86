#pragma once

#include <parsleyshift/core/ids.hpp>               // region_id
#include <parsleyshift/messages/region_set.hpp>    // region_set
#include <parsleyshift/routing/start_obstacle.hpp> // start_obstacle

namespace parsleyshift
{

/// @brief What is known about an endpoint and decides whether it may get a request.
struct endpoint_conditions
{
    /// The list contains the endpoint; without it, the other members do not matter.
    bool listed = false;
    /// Region of the endpoint's availability zone; empty if it is not known.
    region_id region;
    bool leaving = false;
    /// Its availability zone is evacuated.
    bool evacuated = false;
    /// The endpoint accepts no requests of the sending instance now. An instance that decides for another one does not
    /// know this and leaves it out.
    bool paused = false;
};

/// @brief Decides whether an endpoint may get a request. Every start, retry, move and relay asks this function.
///
/// What excludes the endpoint for longer comes first, so that the reason tells whether waiting can help: a paused
/// endpoint in a region that is not allowed is reported as one of another region. O(log(regions)).
/// @param regions regions in which the request may be served
/// @return start_obstacle::none, or the first reason against it
[[nodiscard]] start_obstacle obstacle_for(const endpoint_conditions& endpoint, const region_set& regions);

/// @brief Whether an obstacle follows from the regions of the request and not from the state of the endpoint.
[[nodiscard]] constexpr bool is_regional(start_obstacle obstacle) noexcept
{
    return obstacle == start_obstacle::other_region || obstacle == start_obstacle::unknown_region;
}

} // namespace parsleyshift
