#pragma once

#include <parsleyshift/core/clock.hpp>                    // duration
#include <parsleyshift/core/ids.hpp>                      // instance_id
#include <parsleyshift/records/json_issue.hpp>            // read_result
#include <parsleyshift/records/zone_traffic_settings.hpp> // zone_traffic_settings

#include <cstdint>     // int64_t
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace parsleyshift
{

/// @brief An availability zone and its region.
struct zone_location
{
    zone_id zone;
    region_id region;
};

/// @brief Validated settings of an instance that forwards requests.
struct forwarder_settings
{
    instance_id instance;
    zone_id availability_zone;
    region_id region;
    /// "ip:port" that serves callers.
    std::string caller_address;
    /// "ip:port" that serves the platform's readiness probes.
    std::string readiness_address;
    /// "ip:port" that serves the callers' entry lookups, which return instance addresses.
    std::string entry_address;
    /// "ip:port" that serves peers.
    std::string peer_address;
    /// "ip:port" that serves metrics.
    std::string metrics_address;
    /// "ip:port" of the configuration store, which also holds the endpoints.
    std::string store_address;
    /// Addresses of peers that the instance contacts first to join the others; addresses no longer in use are allowed.
    std::vector<std::string> seeds;
    /// All zones of the deployment.
    std::vector<zone_location> zones;
    /// Longest time for which requests may still run with a customer key after its removal.
    duration key_removal_bound{5'000};
    /// Longest time that callers may cache the answer of an entry lookup.
    duration longest_entry_keep{5'000};
    /// Time that the platform allows for a planned stop.
    duration stop_grace{8'000};
    /// Largest number of file descriptors that the process may open.
    std::int64_t max_descriptors = 1'024;
    /// Rate of the instance's network link in Mbit/s.
    double link_mbps = 10.0;
    /// Memory of the instance in MB of 1,000,000 bytes, of which request bodies, buffered responses and unsent output
    /// may take half. 0: only the sum of the bodies being received is limited, to 256 MiB.
    double memory_limit_mb = 0.0;
    /// Traffic between zones.
    zone_traffic_settings zone_traffic;
    /// Lowest severity that is logged.
    std::string log_level = "info";
};

/// @brief Reads the settings file.
/// @param text JSON; forwarder_settings_schema() describes each field with its unit and default
/// @return the settings, or every issue with its path, reason and remedy
read_result<forwarder_settings> read_forwarder_settings(std::string_view text);

/// @brief JSON Schema (draft 2020-12) of the settings file, indented by 4 spaces.
std::string forwarder_settings_schema();

} // namespace parsleyshift
