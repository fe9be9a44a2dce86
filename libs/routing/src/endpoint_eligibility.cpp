#include <parsleyshift/routing/endpoint_eligibility.hpp> // obstacle_for

namespace parsleyshift
{

start_obstacle obstacle_for(const endpoint_conditions& endpoint, const region_set& regions)
{
    if (!endpoint.listed)
    {
        return start_obstacle::not_listed;
    }
    if (!regions.allows(endpoint.region))
    {
        return endpoint.region.empty() ? start_obstacle::unknown_region : start_obstacle::other_region;
    }
    if (endpoint.leaving)
    {
        return start_obstacle::leaving;
    }
    if (endpoint.evacuated)
    {
        return start_obstacle::evacuated;
    }
    return endpoint.paused ? start_obstacle::paused : start_obstacle::none;
}

} // namespace parsleyshift
