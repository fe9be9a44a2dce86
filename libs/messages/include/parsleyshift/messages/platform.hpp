#pragma once

#include <parsleyshift/core/clock.hpp>      // time_point
#include <parsleyshift/core/ids.hpp>        // revision
#include <parsleyshift/core/name_table.hpp> // enum_names

#include <array>  // array
#include <string> // string
#include <vector> // vector

namespace parsleyshift
{

/// @brief A record as the configuration service holds it, not yet checked.
struct raw_record
{
    std::string kind;
    std::string name;
    revision changed;
    int schema = 1;
    bool withdrawn = false;
    /// JSON text.
    std::string body;

    friend bool operator==(const raw_record&, const raw_record&) = default;
};

/// @brief What the platform's list says a listed process is.
enum class instance_role
{
    entry,
    engine,
    plain,
};

template <>
struct enum_names<instance_role>
{
    static constexpr std::array rows{enum_name<instance_role>{instance_role::entry, "entry"},
                                     enum_name<instance_role>{instance_role::engine, "engine"},
                                     enum_name<instance_role>{instance_role::plain, "plain"}};
};

/// @brief One row of the platform's list, which lags.
struct listed_instance
{
    std::string id;
    instance_role role = instance_role::entry;
    /// Service that an endpoint belongs to; empty for entry instances.
    service_id service;
    /// "ip:port"; for entry instances the address for callers.
    std::string address;
    /// "ip:port" for peers; empty for endpoints.
    std::string peer_address;
    zone_id availability_zone;
    region_id region;
    bool leaving = false;
    /// Process start number; a change under the same id is another process. 0 when the list does not tell it.
    incarnation started{};

    friend bool operator==(const listed_instance&, const listed_instance&) = default;
};

} // namespace parsleyshift
