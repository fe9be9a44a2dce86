#pragma once

#include <parsleyshift/core/ids.hpp>      // instance_id
#include <parsleyshift/messages/peer.hpp> // permit_grant, permit_denial

#include <variant> // variant
#include <vector>  // vector

namespace parsleyshift
{

/// @brief A grant or denial that a pool scheduler sends to the requesting instance.
struct scheduling_decision
{
    instance_id to;
    std::variant<permit_grant, permit_denial> message;
};

using scheduling_decisions = std::vector<scheduling_decision>;

} // namespace parsleyshift
