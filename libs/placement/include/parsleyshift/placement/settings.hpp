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
    /// Oldest report that an order may rest on.
    duration oldest_report{5'000};
    /// Time from a change of the configuration to the first order at engines that honour fencing.
    duration hold_off{2'000};
    /// The same for engines that ignore fencing; longer than the 9 s in which a configuration is in force everywhere,
    /// so that no instance orders by an older one any more.
    duration hold_off_without_fencing{15'000};
    /// Oldest report for an order at an engine that ignores fencing (read before order).
    duration oldest_report_without_fencing{1'000};
    /// Time after which an order without visible effect is sent again; doubles with each order at one revision.
    duration order_timeout{60'000};
    /// Longest such time.
    duration longest_order_timeout{3'600'000};
    /// Entry slots whose holders may plan for one service; each spends an equal share of the store's rate.
    std::size_t planners_per_service = 4;
};

} // namespace parsleyshift
