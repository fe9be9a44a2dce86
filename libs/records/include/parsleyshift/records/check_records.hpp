#pragma once

#include <parsleyshift/core/name_table.hpp>    // enum_names
#include <parsleyshift/messages/platform.hpp>  // raw_record
#include <parsleyshift/records/json_issue.hpp> // json_issue

#include <array>  // array
#include <string> // string
#include <vector> // vector

namespace parsleyshift
{

/// @brief How grave a finding about a set of records is.
enum class severity
{
    /// The record is not accepted by any instance.
    error,
    /// The record is accepted, but does not fit the other records.
    warning,
};

template <>
struct enum_names<severity>
{
    static constexpr std::array rows{enum_name<severity>{severity::error, "error"},
                                     enum_name<severity>{severity::warning, "warning"}};
};

/// @brief One finding about a record of a set.
struct record_finding
{
    std::string kind;
    std::string name;
    severity grade = severity::error;
    json_issue issue;
};

/// @brief Checks records alone and against each other: unknown references, a missing default class, shares, and
/// shards larger than the number of entry slots. Withdrawn records count as absent.
/// Acceptance of a record never depends on others, so that findings across records are warnings.
/// Linear in the number of records times the number of services; meant for operators, not for the daemon.
std::vector<record_finding> check_records(const std::vector<raw_record>& records);

} // namespace parsleyshift
