#pragma once

#include <parsleyshift/core/error.hpp>        // error
#include <parsleyshift/messages/action.hpp>   // send_to_peer, read_configuration
#include <parsleyshift/messages/platform.hpp> // raw_record

#include <string> // string
#include <vector> // vector

namespace parsleyshift
{

/// @brief A record that the acceptor rejected; reported once per revision.
struct rejected_record
{
    std::string kind;
    std::string name;
    /// Revision of the rejected version.
    revision changed;
    error why;
};

/// @brief A record version that is in force on other instances but has a schema too new for this process.
struct unreadable_record
{
    std::string kind;
    std::string name;
    /// Revision and schema version in force on other instances.
    revision changed;
    int schema = 0;
    /// Revision of the last readable version, which stays in force on this instance; 0 when there is none.
    revision in_force;
};

/// @brief Effects of calls to `configuration_store`; each call appends.
struct configuration_output
{
    /// Messages to send.
    std::vector<send_to_peer> messages;
    /// Reads of the configuration service to start.
    std::vector<read_configuration> reads;
    /// Records newly in force; a withdrawn record has `withdrawn` set.
    std::vector<raw_record> changes;
    std::vector<rejected_record> rejected;
    /// Records newly in force on other instances that this process cannot read.
    std::vector<unreadable_record> unreadable;
};

} // namespace parsleyshift
