#pragma once

#include "engine_model.hpp" // engine_shape
#include "job.hpp"          // job

#include <parsleyshift/core/name_table.hpp> // enum_names

#include <array>       // array
#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <string_view> // string_view
#include <vector>      // vector

namespace parsleyshift::bench
{

enum class scenario
{
    steady70,
    steady90,
    swing,
    stragglers,
    slowed,
    flood,
    scheduler_loss,
    /// Persistent backlog and patient callers; measures the capacity that the other scenarios refer to.
    saturated,
};

/// @brief Zones by number: 0 and 1 in the first region, 2 in the second.
struct deployment
{
    std::string_view name;
    std::array<std::string_view, 3> zones;
    microseconds zone_delay = 500;
    microseconds region_delay = 30'000;
    /// Engines per pool: the pool of long work, which runs short work too, and the pool of short work.
    std::array<std::size_t, 2> engines{};
    std::array<engine_shape, 2> shapes{};
    double long_median = 240.0;
    double long_spread = 0.7;
    double long_share = 0.3;
    /// Long requests that one customer submits together, on average.
    double long_batch = 10.0;

    /// @brief One-way delay between two zones.
    [[nodiscard]] microseconds delay(std::size_t from, std::size_t to) const;
};

inline constexpr std::size_t entry_count = 8;
inline constexpr std::size_t customer_count = 10;
inline constexpr std::size_t pool_count = 2;
inline constexpr microseconds caller_delay = 3'000;
/// Requests that arrive earlier do not count, so that every policy has learned what it learns.
inline constexpr microseconds warm_up = 30 * one_second;
inline constexpr microseconds arrivals_end = 150 * one_second;
inline constexpr microseconds crest_begin = 60 * one_second;
inline constexpr microseconds crest_end = 90 * one_second;

/// @brief The zone of an entry instance or of an engine: three, three and two of eight.
constexpr std::size_t zone_of(std::size_t number)
{
    constexpr std::array<std::size_t, 8> zones{0, 1, 2, 0, 1, 0, 1, 2};
    return zones[number % zones.size()];
}

std::vector<deployment> deployments();

/// @brief The requests of one run in the order of arrival.
/// @param capacity requests per second that each pool completes under a persistent backlog
std::vector<job> make_jobs(const deployment& where, scenario what, const std::array<double, pool_count>& capacity,
                           std::uint64_t seed);

/// @brief Whether a quarter of the engines is slow, and which: the speed of an engine at a time.
double speed_of(scenario what, std::size_t engine, std::size_t engines, microseconds now);

/// @brief Whether a request that arrives now can meet a slow engine: from one second before a moment to its end.
bool near_slowness(scenario what, microseconds now);

} // namespace parsleyshift::bench

template <>
struct parsleyshift::enum_names<parsleyshift::bench::scenario>
{
    using scenario = parsleyshift::bench::scenario;
    static constexpr std::array rows{enum_name<scenario>{scenario::steady70, "steady70"},
                                     enum_name<scenario>{scenario::steady90, "steady90"},
                                     enum_name<scenario>{scenario::swing, "swing"},
                                     enum_name<scenario>{scenario::stragglers, "stragglers"},
                                     enum_name<scenario>{scenario::slowed, "slowed"},
                                     enum_name<scenario>{scenario::flood, "flood"},
                                     enum_name<scenario>{scenario::scheduler_loss, "scheduler_loss"}};
};
