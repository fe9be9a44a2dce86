#pragma once

#include <parsleyshift/core/clock.hpp> // duration

#include <cstddef> // size_t

namespace parsleyshift
{

/// @brief Intervals of placement.
struct placement_settings
{
    /// Time between two passes over the endpoints.
    duration pass_interval{1'000};
    /// Oldest report that a planner counts on; shorter than any load.
    duration oldest_report{5'000};
    /// Time from a change of the configuration to the first order at engines that honour fencing; longer than the 9 s
    /// in which the change is in force everywhere, so that planners with the former configuration have ceased.
    duration hold_off{10'000};
    /// The same for engines that ignore fencing, where an order of a slower planner would not be rejected.
    duration hold_off_without_fencing{30'000};
    /// Oldest report for an order at an engine that ignores fencing (read before order).
    duration oldest_report_without_fencing{1'000};
    /// Time for an order to show its effect; longer than any load. After it an order is sent again, an endpoint that
    /// may be loading is interrupted, and one that another planner has ordered otherwise is ordered again; then it
    /// doubles with each accepted order at one revision.
    duration order_timeout{600'000};
    /// Longest such time.
    duration longest_order_timeout{3'600'000};
    /// Entry slots whose holders may plan for one service; each spends an equal share of the store's rate.
    std::size_t planners_per_service = 4;
    /// Most orders sent in one pass.
    std::size_t orders_per_pass = 64;
};

} // namespace parsleyshift
