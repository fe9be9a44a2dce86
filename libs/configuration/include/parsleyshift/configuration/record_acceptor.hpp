#pragma once

#include <parsleyshift/core/error.hpp>        // error
#include <parsleyshift/core/name_table.hpp>   // enum_names
#include <parsleyshift/messages/platform.hpp> // raw_record

#include <array>    // array
#include <concepts> // same_as
#include <optional> // optional

namespace parsleyshift
{

/// @brief Result of checking a record.
enum class acceptance
{
    accepted,
    rejected,
    /// The record's schema version is newer than this process supports.
    unreadable,
};

template <>
struct enum_names<acceptance>
{
    static constexpr std::array rows{enum_name<acceptance>{acceptance::accepted, "accepted"},
                                     enum_name<acceptance>{acceptance::rejected, "rejected"},
                                     enum_name<acceptance>{acceptance::unreadable, "unreadable"}};
};

/// @brief Result of checking a record, with the error if it was rejected.
struct record_check_result
{
    acceptance what = acceptance::accepted;
    std::optional<error> why;
};

/// @brief A function object that checks a record.
///
/// The result must depend on the record only, so that all instances reach the same result; a process that supports
/// fewer schema versions returns `unreadable` instead. The acceptor is not called for withdrawals.
template <class T>
concept record_acceptor = requires(const T& acceptor, const raw_record& record)
{
    {
        acceptor(record)
        } -> std::same_as<record_check_result>;
};

} // namespace parsleyshift
