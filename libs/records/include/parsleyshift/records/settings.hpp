#pragma once

#include <parsleyshift/core/clock.hpp>      // duration
#include <parsleyshift/core/ids.hpp>        // instance_id
#include <parsleyshift/core/name_table.hpp> // enum_names

#include <array>   // array
#include <cstddef> // size_t
#include <string>  // string
#include <vector>  // vector

namespace parsleyshift
{

/// @brief Format of the log lines.
enum class log_format
{
    text,
    json,
};

template <>
struct enum_names<log_format>
{
    static constexpr std::array rows{enum_name<log_format>{log_format::text, "text"},
                                     enum_name<log_format>{log_format::json, "json"}};
};

/// @brief A secret that signs tokens. The first key of the list signs; all keys verify, so that keys can rotate.
struct token_key
{
    std::string id;
    std::string secret;
};

/// @brief Bounds on what one caller can hold.
struct caller_bounds
{
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
    int max_json_depth = 32;
    /// Bytes of unsent answer at which reading from the endpoint pauses.
    std::size_t max_backlog_bytes = std::size_t{64} * 1024;
    int max_connections = 20'000;
    /// Time for a whole request to arrive.
    duration request_timeout{10'000};
    /// Time without progress after which a caller that does not read is disconnected.
    duration write_timeout{30'000};
};

/// @brief Intervals of the daemon's polling.
struct polling_intervals
{
    duration load_report{250};
    duration instance_list{1'000};
    /// Longest wait of one configuration watch.
    duration configuration_wait{30'000};
};

/// @brief The daemon's settings file, checked.
struct daemon_settings
{
    instance_id instance;
    zone_id availability_zone;
    region_id region;
    /// -1: the instance holds no entry slot.
    int entry_slot = -1;
    /// "ip:port" on which callers and operators connect; also serves /metrics.
    std::string caller_address;
    /// "ip:port" on which peers connect.
    std::string peer_address;
    std::string configuration_service;
    std::string instance_list;
    std::vector<token_key> token_keys;
    /// Required in the Authorization header of operator calls; empty: operator calls are refused.
    std::string operator_key;
    caller_bounds bounds;
    polling_intervals intervals;
    log_format log_as = log_format::text;
    std::string log_level = "info";
};

} // namespace parsleyshift
