#pragma once

#include <parsleyshift/core/error.hpp>         // result
#include <parsleyshift/core/name_table.hpp>    // enum_names
#include <parsleyshift/messages/platform.hpp>  // raw_record
#include <parsleyshift/records/json_issue.hpp> // read_result
#include <parsleyshift/records/record.hpp>     // record_body

#include <array>       // array
#include <cstddef>     // size_t
#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief Kinds of records, in the order of the alternatives of record_body.
enum class record_kind
{
    service,
    customer,
    model,
    priority,
    fleet,
};

template <>
struct enum_names<record_kind>
{
    static constexpr std::array rows{
        enum_name<record_kind>{record_kind::service, "service"},
        enum_name<record_kind>{record_kind::customer, "customer"}, enum_name<record_kind>{record_kind::model, "model"},
        enum_name<record_kind>{record_kind::priority, "priority"}, enum_name<record_kind>{record_kind::fleet, "fleet"}};
};

/// @brief Highest schema version that this build reads; the lowest is 1.
inline constexpr int latest_record_schema = 2;

/// @brief Required name of the fleet record, of which there is at most one.
inline constexpr std::string_view fleet_record_name = "fleet";

/// @brief Kind of a parsed record. Constant time.
inline record_kind kind_of(const record_body& body)
{
    return static_cast<record_kind>(body.index());
}

/// @brief Validates and parses a record. A pure function of the record, so that all instances accept the same records.
/// @param raw a record that is not withdrawn
/// @return the typed record; error_kind::unsupported_schema for a version above latest_record_schema,
/// error_kind::unknown_name for an unknown kind, error_kind::invalid_field with all issues otherwise
result<record_body> parse_record(const raw_record& raw);

/// @brief Like parse_record, but returns each issue with its path, reason and remedy.
read_result<record_body> parse_record_with_issues(const raw_record& raw);

/// @brief Writes the body of a record as JSON that parse_record accepts in the given schema version.
/// @param schema_version 1 to latest_record_schema
std::string write_record(const record_body& body, int schema_version);

/// @brief JSON Schema of a kind of record in a schema version, indented by 4 spaces.
/// @param schema_version 1 to latest_record_schema
std::string record_schema(record_kind kind, int schema_version);

} // namespace parsleyshift
