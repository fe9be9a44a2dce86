#pragma once

#include <parsleyshift/core/clock.hpp>         // duration
#include <parsleyshift/core/ids.hpp>           // instance_id
#include <parsleyshift/records/json_issue.hpp> // read_result

#include <cstdint>     // int64_t
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace parsleyshift
{

/// @brief An availability zone and the region that it lies in.
struct zone_location
{
    zone_id zone;
    region_id region;
};

/// @brief The settings file of an instance that forwards requests, checked.
struct forwarder_settings
{
    instance_id instance;
    zone_id availability_zone;
    region_id region;
    /// "ip:port" for callers.
    std::string caller_address;
    /// "ip:port" on which the platform asks whether the instance is ready.
    std::string readiness_address;
    /// "ip:port" on which callers ask for addresses of instances.
    std::string entry_address;
    /// "ip:port" for peers.
    std::string peer_address;
    /// "ip:port" for metrics.
    std::string metrics_address;
    /// "ip:port" of the store that holds configuration and endpoints.
    std::string store_address;
    /// Peer addresses to join through; they may be stale.
    std::vector<std::string> seeds;
    std::vector<zone_location> zones;
    /// Time after the removal of a key after which no request with it may run.
    duration key_removal_bound{5'000};
    /// Longest time that callers keep an entry answer.
    duration longest_entry_keep{5'000};
    /// Time that the platform grants for a planned stop.
    duration stop_grace{8'000};
    /// Descriptors of the process.
    std::int64_t max_descriptors = 1'024;
    std::string log_level = "info";
};

/// @brief Reads the settings file.
/// @param text JSON; forwarder_settings_schema() describes each field with its unit and default
/// @return the settings, or every mistake with its path, reason and remedy
read_result<forwarder_settings> read_forwarder_settings(std::string_view text);

/// @brief JSON Schema of the settings file.
std::string forwarder_settings_schema();

} // namespace parsleyshift
