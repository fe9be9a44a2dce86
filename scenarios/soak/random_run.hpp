#pragma once

#include "fake_fleet.hpp" // fake_fleet

#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

namespace parsleyshift::scenarios
{

/// @brief What a random run found.
struct run_report
{
    /// Promises that were broken, one line each.
    std::vector<std::string> broken;
    int generations = 0;
    int calls = 0;
    int orders = 0;
    /// Orders whose caller was told that the outcome is not known.
    int unknown_orders = 0;
    int completed = 0;
    int faults = 0;
};

/// @brief Runs callers against a small fleet under a random schedule of faults, lets the faults end, and checks that
/// no promise was broken and that the fleet has converged.
/// @param seed the same seed gives the same run
/// @param steps length of the schedule; a step takes up to 600 ms of virtual time
run_report random_run(std::uint64_t seed, int steps);

} // namespace parsleyshift::scenarios
