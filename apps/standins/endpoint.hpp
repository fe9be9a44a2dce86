#pragma once

#include <cxxopts.hpp> // Options, ParseResult

#include <string> // string

namespace parsleyshift::standins
{

/// @brief How an endpoint appears in the list stand-in.
struct registration
{
    /// "ip:port" of the list stand-in; empty: the endpoint does not register.
    std::string list;
    std::string id;
    std::string role;
    std::string service;
    std::string zone;
    std::string region;
    /// Filled in when the server knows it.
    std::string address;
};

/// @brief Adds the options that all endpoints share.
void add_endpoint_options(cxxopts::Options& options);
registration read_registration(const cxxopts::ParseResult& parsed, const std::string& role);
/// @brief Writes the endpoint's row at the list stand-in; a failure is printed. @param state "live" or "leaving"
void announce(const registration& endpoint, const std::string& state);
/// @brief Ends the process after a time, as a reclaimed machine does.
void exit_after(long milliseconds);

} // namespace parsleyshift::standins
