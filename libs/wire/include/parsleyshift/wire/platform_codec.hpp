#pragma once

#include <parsleyshift/core/clock.hpp>        // time_point
#include <parsleyshift/core/error.hpp>        // result
#include <parsleyshift/core/ids.hpp>          // revision
#include <parsleyshift/messages/platform.hpp> // raw_record, listed_instance
#include <parsleyshift/wire/body_bounds.hpp>  // body_bounds

#include <cstddef>     // size_t
#include <string_view> // string_view
#include <vector>      // vector

namespace parsleyshift
{

/// @brief Answer of the configuration service.
struct record_page
{
    revision highest;
    std::vector<raw_record> records;
    /// Rows that were left out because they have no kind, name or revision.
    std::size_t malformed_rows = 0;
};

/// @brief Parses the answer to GET /records; one bad row does not hide the others. A body that is a JSON text is taken
/// as the record's text, so that a body that is no JSON reaches the acceptance check. Linear in the size.
result<record_page> parse_records(std::string_view body, const body_bounds& bounds);

/// @brief Answer of the instance list.
struct instance_page
{
    time_point as_of;
    std::vector<listed_instance> instances;
    std::size_t malformed_rows = 0;
};

/// @brief Parses the answer to GET /instances; one bad row does not hide the others. Linear in the size.
result<instance_page> parse_instances(std::string_view body, const body_bounds& bounds);

} // namespace parsleyshift
