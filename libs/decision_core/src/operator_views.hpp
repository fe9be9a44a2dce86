#pragma once

#include "core_state.hpp"   // core_state
#include "pool_manager.hpp" // pool_manager

#include <cstddef> // size_t
#include <string>  // string

namespace parsleyshift::detail
{

/// @brief Numbers of requests for the status view.
struct request_counts
{
    std::size_t generations = 0;
    std::size_t calls = 0;
    /// Order keys minted here whose orders are in progress or whose results are stored.
    std::size_t orders_held = 0;
};

/// @brief Answers an operator's query.
/// @return JSON text of the requested view
std::string operator_view_json(const core_state& state, pool_manager& pools, const request_counts& counts,
                               const operator_query& query);

} // namespace parsleyshift::detail
