#pragma once

#include <parsleyshift/core/ids.hpp>            // endpoint_id, instance_id
#include <parsleyshift/messages/peer.hpp>       // work_description
#include <parsleyshift/messages/region_set.hpp> // region_set

#include <concepts> // convertible_to

namespace parsleyshift
{

/// @brief Which endpoints of a pool may serve a request, and the preference among those that have free capacity.
///
/// choice.allows(regions, endpoint) tells whether an endpoint may serve work that is restricted to the regions.
/// choice(from, work, endpoint) returns a bonus, usually in [0, 1], that is added to the endpoint's score: the fraction
/// of its capacity by which its utilization may exceed that of another endpoint without losing to it. Implementations
/// express zone preference and prefix cache affinity with it.
template <class Choice>
concept endpoint_choice = requires(Choice choice, const instance_id& from, const work_description& work,
                                   const region_set& regions, const endpoint_id& endpoint)
{
    {
        choice.allows(regions, endpoint)
        } -> std::convertible_to<bool>;
    {
        choice(from, work, endpoint)
        } -> std::convertible_to<double>;
};

/// @brief No preference and no restriction: the endpoint with the lowest utilization is chosen.
struct no_preference
{
    [[nodiscard]] bool allows(const region_set& /*regions*/, const endpoint_id& /*endpoint*/) const
    {
        return true;
    }
    double operator()(const instance_id& /*from*/, const work_description& /*work*/,
                      const endpoint_id& /*endpoint*/) const
    {
        return 0.0;
    }
};

} // namespace parsleyshift
