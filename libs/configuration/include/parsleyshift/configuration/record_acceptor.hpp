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
    /// The record's schema version is newer than this process reads.
    unreadable,
};

template <>
struct enum_names<acceptance>
{
    static constexpr std::array rows{enum_name<acceptance>{acceptance::accepted, "accepted"},
                                     enum_name<acceptance>{acceptance::rejected, "rejected"},
                                     enum_name<acceptance>{acceptance::unreadable, "unreadable"}};
};

/// @brief Result of checking a record, with the error when it was rejected.
struct record_judgement
{
    acceptance what = acceptance::accepted;
    std::optional<error> why;
};

/// @brief Checks a record. The result must depend on the record only, so that all instances come to the same one;
/// processes that read fewer schema versions answer `unreadable` instead. Withdrawals are not passed to it.
template <class T>
concept record_acceptor = requires(const T& acceptor, const raw_record& record)
{
    {
        acceptor(record)
        } -> std::same_as<record_judgement>;
};

} // namespace parsleyshift
