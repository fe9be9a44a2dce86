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

/// @brief A secret for signing entry tokens, continuation tokens and order keys. The first key of the list signs and
/// every key verifies, which allows key rotation.
struct token_key
{
    /// Name of the key, part of each token.
    std::string id;
    std::string secret;
};

/// @brief Bounds on the resources that callers can use.
struct caller_bounds
{
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
    int max_json_depth = 32;
    /// Unsent bytes of one answer at which reading from the endpoint pauses.
    std::size_t max_backlog_bytes = std::size_t{64} * 1024;
    /// Open connections of all callers together.
    int max_connections = 20'000;
    /// Time within which a whole request must arrive.
    duration request_timeout{10'000};
    /// Time without write progress after which a caller that does not read is disconnected.
    duration write_timeout{30'000};
};

/// @brief Polling intervals of the daemon and the longest wait of its watch requests.
struct polling_intervals
{
    /// Between two load reports of an endpoint.
    duration load_report{250};
    /// Between two reads of the instance list.
    duration instance_list{1'000};
    /// Longest time that one watch request to the configuration service waits for a change.
    duration configuration_wait{30'000};
};

/// @brief Validated settings of the daemon.
struct daemon_settings
{
    instance_id instance;
    zone_id availability_zone;
    region_id region;
    /// -1: the instance holds no entry slot.
    int entry_slot = -1;
    /// "ip:port" that serves callers, operators and /metrics.
    std::string caller_address;
    /// "ip:port" that serves peers.
    std::string peer_address;
    /// "ip:port" of the configuration service.
    std::string configuration_service;
    /// "ip:port" of the platform's instance list.
    std::string instance_list;
    std::vector<token_key> token_keys;
    /// Required in the Authorization header of operator calls; empty: operator calls are refused.
    std::string operator_key;
    caller_bounds bounds;
    polling_intervals intervals;
    log_format log_line_format = log_format::text;
    /// Lowest severity that is logged.
    std::string log_level = "info";
};

} // namespace parsleyshift
