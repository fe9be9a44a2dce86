#pragma once

#include <parsleyshift/core/clock.hpp> // duration

#include <cstddef> // size_t

namespace parsleyshift
{

/// @brief Intervals and limits of placement.
struct placement_settings
{
    /// Time between two passes over the endpoints.
    duration pass_interval{1'000};
    /// Age beyond which a report is ignored; must be shorter than any load.
    duration max_report_age{5'000};
    /// Time from a configuration change to the first order for engines that honour fencing. Must be longer than the
    /// 9 s within which the change is in force everywhere, so that planners with the former configuration have stopped.
    duration hold_off{10'000};
    /// The same for engines that ignore fencing, which would not reject the order of a slower planner.
    duration hold_off_without_fencing{30'000};
    /// Maximum report age for an order to an engine that ignores fencing (read before order).
    duration max_report_age_without_fencing{1'000};
    /// Time for an order to take effect; must be longer than any load. After it an order is sent again, an endpoint
    /// that may be loading is interrupted, and an order of another planner's order sequence is overridden. The timeout
    /// doubles with each further order that the endpoint has accepted at the same revision.
    duration order_timeout{600'000};
    /// Upper limit of the doubled timeout.
    duration max_order_timeout{3'600'000};
    /// Number of entry slots whose holders may plan one service; each uses an equal share of the store's rate.
    std::size_t planners_per_service = 4;
    /// Maximum number of orders sent in one pass.
    std::size_t max_orders_per_pass = 64;
};

} // namespace parsleyshift
