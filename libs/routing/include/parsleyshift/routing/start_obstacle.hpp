#pragma once

#include <parsleyshift/core/name_table.hpp> // enum_names

#include <array> // array

namespace parsleyshift
{

/// @brief Why an endpoint must not get a request now.
enum class start_obstacle
{
    none,
    /// It is not in the list.
    not_listed,
    /// It is in a region in which the request must not be served.
    other_region,
    /// The region of its availability zone is not known, and the request may be served in some regions only.
    unknown_region,
    /// The list, a report, an answer or a peer has said that it is leaving.
    leaving,
    /// Its availability zone is evacuated.
    evacuated,
    /// It has stated that it accepts no requests of this instance for some time.
    paused,
};

template <>
struct enum_names<start_obstacle>
{
    static constexpr std::array rows{enum_name<start_obstacle>{start_obstacle::none, "none"},
                                     enum_name<start_obstacle>{start_obstacle::not_listed, "not_listed"},
                                     enum_name<start_obstacle>{start_obstacle::other_region, "other_region"},
                                     enum_name<start_obstacle>{start_obstacle::unknown_region, "unknown_region"},
                                     enum_name<start_obstacle>{start_obstacle::leaving, "leaving"},
                                     enum_name<start_obstacle>{start_obstacle::evacuated, "evacuated"},
                                     enum_name<start_obstacle>{start_obstacle::paused, "paused"}};
};

} // namespace parsleyshift
