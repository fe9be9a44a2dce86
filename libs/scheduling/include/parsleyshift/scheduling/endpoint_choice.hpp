#pragma once

#include <parsleyshift/core/ids.hpp>      // endpoint_id, instance_id
#include <parsleyshift/messages/peer.hpp> // work_description

#include <concepts> // convertible_to

namespace parsleyshift
{

/// @brief Preference among the endpoints of a pool that have room.
///
/// choice(from, work, endpoint) returns the part of an endpoint's capacity, usually in [0, 1], by which the endpoint
/// may be busier than another one and still be preferred. Zone preference and prefix affinity come in here.
template <class Choice>
concept endpoint_choice = requires(Choice choice, const instance_id& from, const work_description& work,
                                   const endpoint_id& endpoint)
{
    {
        choice(from, work, endpoint)
        } -> std::convertible_to<double>;
};

/// @brief No preference: the least busy endpoint is chosen.
struct no_preference
{
    double operator()(const instance_id& /*from*/, const work_description& /*work*/,
                      const endpoint_id& /*endpoint*/) const
    {
        return 0.0;
    }
};

} // namespace parsleyshift
