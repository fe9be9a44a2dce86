#pragma once

#include <parsleyshift/core/clock.hpp>      // duration
#include <parsleyshift/core/ids.hpp>        // service_id, customer_id
#include <parsleyshift/core/name_table.hpp> // enum_names

#include <array>   // array
#include <cstdint> // int64_t
#include <string>  // string
#include <variant> // variant
#include <vector>  // vector

namespace parsleyshift
{

/// @brief Part of an endpoint's batch slots and memory that requests of a priority class use.
enum class lane
{
    /// Reserved for short requests; long requests cannot occupy it.
    reserved,
    shared,
};

template <>
struct enum_names<lane>
{
    static constexpr std::array rows{enum_name<lane>{lane::reserved, "reserved"},
                                     enum_name<lane>{lane::shared, "shared"}};
};

/// @brief Kind of endpoint that serves a service.
enum class service_kind
{
    engine,
    plain,
};

template <>
struct enum_names<service_kind>
{
    static constexpr std::array rows{enum_name<service_kind>{service_kind::engine, "engine"},
                                     enum_name<service_kind>{service_kind::plain, "plain"}};
};

/// @brief An operation of a plain service.
struct operation_record
{
    std::string name;
    /// Whether repeating a call is harmless; if false, each call needs an order key.
    bool idempotent = true;
};

/// @brief A service: a named group of endpoints, either engines or plain services.
struct service_record
{
    service_id name;
    service_kind kind = service_kind::engine;
    std::vector<model_id> models;
    std::vector<operation_record> operations;
    /// Priority class of requests that do not specify one.
    class_id default_class;
    /// Largest number of tokens that one generation may produce.
    std::int64_t max_tokens = 32768;
    /// The endpoints store the keys of executed orders and reject an order whose key is stored.
    bool checks_keys = false;
    /// The endpoints reject placement orders with an outdated fencing number.
    bool honours_fencing = true;
};

/// @brief A customer with its capacity share, rate limit and key.
struct customer_record
{
    customer_id name;
    /// Relative share of the capacity under load.
    double weight = 1.0;
    /// Tokens per second; 0: no limit.
    std::int64_t tokens_per_second = 0;
    /// Largest burst in tokens; positive when tokens_per_second is.
    std::int64_t burst_tokens = 0;
    /// Hex SHA-256 of the customer key; empty: callers are not authenticated.
    std::string key_sha256;
};

/// @brief A model, its weights and its placement.
struct model_record
{
    model_id name;
    service_id service;
    std::string version;
    std::vector<std::string> adapters;
    /// Role of the engines that hold the model, for example prefill or decode.
    std::string role = "decode";
    /// Bytes read from the weight store for one load.
    std::int64_t weight_bytes = 0;
    /// Smallest number of endpoints that serve the model while others load it.
    int min_ready = 1;
    /// Relative share of the service's endpoints.
    double share = 1.0;
};

/// @brief A priority class of requests.
struct priority_record
{
    class_id name;
    /// Requests of a higher level run first.
    int level = 0;
    lane assigned_lane = lane::shared;
    /// Largest number of requests queued in one pool.
    int queue_limit = 1000;
    /// Time within which a request must start if the caller specifies none.
    duration default_timeout{60'000};
    /// Idempotent requests of this class may be sent to a second endpoint when the first is slow.
    bool hedged = false;
};

/// @brief Deployment-wide configuration.
struct fleet_record
{
    /// Number of entry slots, including those that no instance holds.
    int entry_slots = 8;
    /// Number of entry slots that one customer's traffic is spread over; at most entry_slots.
    int shard_size = 3;
    /// Limit in bytes per second on all concurrent reads from the weight store together; 0: no limit.
    std::int64_t store_bytes_per_second = 0;
    region_id store_region;
};

/// @brief A parsed record of any kind.
using record_body = std::variant<service_record, customer_record, model_record, priority_record, fleet_record>;

} // namespace parsleyshift
