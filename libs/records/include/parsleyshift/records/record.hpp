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

/// @brief Part of an endpoint's batch slots and memory that a class of work may use.
enum class lane
{
    /// Reserved for short work; long work cannot occupy it.
    reserved,
    shared,
};

template <>
struct enum_names<lane>
{
    static constexpr std::array rows{enum_name<lane>{lane::reserved, "reserved"},
                                     enum_name<lane>{lane::shared, "shared"}};
};

/// @brief What kind of endpoint runs a service.
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
    /// False: each call needs an order key.
    bool idempotent = true;
};

/// @brief A service: a group of endpoints with the same task.
struct service_record
{
    service_id name;
    service_kind kind = service_kind::engine;
    std::vector<model_id> models;
    std::vector<operation_record> operations;
    class_id default_class;
    /// Tokens; the most that one generation may produce.
    std::int64_t max_tokens = 32768;
    /// The endpoints remember order keys and reject a key that has run.
    bool checks_keys = false;
    /// The endpoints reject orders with an old fencing number.
    bool honours_fencing = true;
};

/// @brief A customer and its share of the capacity.
struct customer_record
{
    customer_id name;
    /// Relative share under load.
    double weight = 1.0;
    /// Tokens per second; 0: no limit.
    std::int64_t tokens_per_second = 0;
    /// Tokens that may be spent at once.
    std::int64_t burst_tokens = 0;
    /// Hex SHA-256 of the customer's key; empty: the caller need not prove who it is.
    std::string key_sha256;
};

/// @brief A model, its weights and where they should be loaded.
struct model_record
{
    model_id name;
    service_id service;
    std::string version;
    std::vector<std::string> adapters;
    std::string role = "decode";
    /// Bytes read from the weight store for one load.
    std::int64_t weight_bytes = 0;
    /// Endpoints that keep serving the model while others load.
    int min_ready = 1;
    /// Relative share of the service's endpoints.
    double share = 1.0;
};

/// @brief A class of work.
struct priority_record
{
    class_id name;
    /// Higher runs first.
    int level = 0;
    lane uses = lane::shared;
    /// Requests that may wait in one pool.
    int queue_limit = 1000;
    /// Time within which a request must start when the caller names none.
    duration default_timeout{60'000};
    /// Idempotent work of this class may be hedged.
    bool hedged = false;
};

/// @brief Facts about the whole deployment.
struct fleet_record
{
    /// Entry slots that exist, whether or not an instance holds each of them.
    int entry_slots = 8;
    /// Slots that share one customer's traffic.
    int shard_size = 3;
    /// Bytes per second that all loads together may read from the weight store.
    std::int64_t store_bytes_per_second = 0;
    region_id store_region;
};

using record_body = std::variant<service_record, customer_record, model_record, priority_record, fleet_record>;

} // namespace parsleyshift
