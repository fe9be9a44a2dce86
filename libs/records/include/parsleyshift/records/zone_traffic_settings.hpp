#pragma once

#include <parsleyshift/core/clock.hpp>      // duration
#include <parsleyshift/core/name_table.hpp> // enum_names

#include <array>  // array
#include <string> // string
#include <vector> // vector

namespace parsleyshift
{

/// @brief How an instance decides between endpoints of its caller's zone and of other zones.
enum class zone_traffic_mode
{
    /// Fixed preferences for the zone and the region, whatever the load.
    constant,
    /// As `adaptive` if the configuration restricts routes or customers to regions and at least two regions have two
    /// zones or more, otherwise as `constant`.
    by_configuration,
    /// By the expected times and the cost of the path.
    adaptive,
};

template <>
struct enum_names<zone_traffic_mode>
{
    static constexpr std::array rows{
        enum_name<zone_traffic_mode>{zone_traffic_mode::constant, "constant"},
        enum_name<zone_traffic_mode>{zone_traffic_mode::by_configuration, "by_configuration"},
        enum_name<zone_traffic_mode>{zone_traffic_mode::adaptive, "adaptive"}};
};

/// @brief Settings of the traffic between zones.
struct zone_traffic_settings
{
    zone_traffic_mode mode = zone_traffic_mode::constant;
    /// One-way latency in milliseconds between zones of one region, and between regions. Round trips to peers that
    /// take longer raise it.
    duration zone_latency{2};
    duration region_latency{30};
    /// Bandwidth in Mbit/s of the link between two regions, in each direction.
    double region_link_mbps = 60.0;
    /// Price of one megabyte between zones of one region, and between regions: the milliseconds of waiting that are
    /// worth as much. 0: time alone counts.
    double zone_price_ms_per_mb = 0.0;
    double region_price_ms_per_mb = 0.0;
    /// Services whose requests leave their zone only if it has no endpoint with room.
    std::vector<std::string> services_kept_home;
};

} // namespace parsleyshift
