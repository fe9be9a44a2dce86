#pragma once

#include <parsleyshift/core/error.hpp>        // error
#include <parsleyshift/messages/action.hpp>   // send_to_peer, read_configuration
#include <parsleyshift/messages/platform.hpp> // raw_record

#include <string> // string
#include <vector> // vector

namespace parsleyshift
{

/// @brief A record that was rejected, reported once per revision.
struct rejected_record
{
    std::string kind;
    std::string name;
    revision changed;
    error why;
};

/// @brief A record in force on other instances that this process cannot read.
struct unreadable_record
{
    std::string kind;
    std::string name;
    /// Revision and schema version in force elsewhere.
    revision changed;
    int schema = 0;
    /// Revision of the last readable version, which stays in force here; 0: none.
    revision kept;
};

/// @brief What a call of `configuration_store` asks for; each call appends.
struct configuration_output
{
    std::vector<send_to_peer> messages;
    std::vector<read_configuration> reads;
    /// Records newly in force; `withdrawn` is set for those withdrawn.
    std::vector<raw_record> changes;
    std::vector<rejected_record> rejected;
    /// Records that have come into force and cannot be read here.
    std::vector<unreadable_record> unreadable;
};

} // namespace parsleyshift
