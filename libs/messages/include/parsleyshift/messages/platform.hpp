#pragma once

#include <parsleyshift/core/clock.hpp>      // time_point
#include <parsleyshift/core/ids.hpp>        // revision
#include <parsleyshift/core/name_table.hpp> // enum_names

#include <array>    // array
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace parsleyshift
{

/// @brief A record as stored in the configuration service, not yet validated.
struct raw_record
{
    std::string kind;
    std::string name;
    /// Revision of the last change.
    revision changed;
    /// Version of the schema of `body`.
    int schema = 1;
    /// The record was withdrawn (deleted).
    bool withdrawn = false;
    /// JSON text.
    std::string body;

    friend bool operator==(const raw_record&, const raw_record&) = default;
};

/// @brief Role of a process in the platform's instance list.
enum class instance_role
{
    /// Serving instance.
    entry,
    engine,
    /// Endpoint of a plain service.
    plain,
};

template <>
struct enum_names<instance_role>
{
    static constexpr std::array rows{enum_name<instance_role>{instance_role::entry, "entry"},
                                     enum_name<instance_role>{instance_role::engine, "engine"},
                                     enum_name<instance_role>{instance_role::plain, "plain"}};
};

/// @brief One row of the platform's instance list, which lags behind the actual state.
struct listed_instance
{
    std::string id;
    instance_role role = instance_role::entry;
    /// Service that an endpoint belongs to; empty for entry instances.
    service_id service;
    /// "ip:port"; for entry instances the address that callers use.
    std::string address;
    /// "ip:port" that peers use; empty for endpoints.
    std::string peer_address;
    zone_id availability_zone;
    region_id region;
    bool leaving = false;
    /// Start number of the process; a different number under the same id is another process. 0 if not listed.
    incarnation started{};
    /// Requests that an endpoint processes at the same time; 0 if not listed.
    std::int64_t slots = 0;
    /// Time for which an endpoint stays cold, that is, bears only few requests per second; 0 if it is not cold, nothing
    /// if its entry does not say.
    std::optional<duration> cold_left{};
    /// The field with that time, if it could not be read or was shortened; without `cold_left`, the endpoint is cold
    /// for an unknown time.
    std::string cold_unreadable{};
    /// When the entry of a cold endpoint was read; not set for others.
    time_point cold_as_of{};

    friend bool operator==(const listed_instance&, const listed_instance&) = default;
};

} // namespace parsleyshift
