#pragma once

#include "core_state.hpp"   // core_state
#include "pool_manager.hpp" // pool_manager

#include <cstddef> // size_t
#include <string>  // string

namespace parsleyshift::detail
{

/// @brief Requests in progress, for the status.
struct activity
{
    std::size_t generations = 0;
    std::size_t calls = 0;
    std::size_t orders_held = 0;
};

/// @brief Answers an operator's query with JSON text.
std::string operator_view_json(const core_state& state, pool_manager& pools, const activity& active,
                               const operator_query& asked);

} // namespace parsleyshift::detail
