#pragma once

#include <parsleyshift/core/name_table.hpp>    // enum_names
#include <parsleyshift/messages/platform.hpp>  // raw_record
#include <parsleyshift/records/json_issue.hpp> // json_issue

#include <array>  // array
#include <string> // string
#include <vector> // vector

namespace parsleyshift
{

/// @brief Severity of a finding about a set of records.
enum class severity
{
    /// The record is invalid; no instance accepts it.
    error,
    /// The record is valid but inconsistent with other records.
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

/// @brief Validates each record and the references between records: undefined names, a missing default class, shares
/// that add up to 0, and a missing fleet record. Withdrawn records count as absent.
/// Whether an instance accepts a record never depends on other records, so findings across records are warnings.
/// Linear in the number of records times the number of services; for operator tools, not for the daemon.
std::vector<record_finding> check_records(const std::vector<raw_record>& records);

} // namespace parsleyshift
