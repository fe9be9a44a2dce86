#pragma once

#include <cstdint> // int64_t, uint16_t
#include <string>  // string
#include <vector>  // vector

namespace parsleyshift::bench
{

/// @brief What one group of streams is asked for.
struct stream_load
{
    int streams = 1;
    std::int64_t tokens = 1;
    /// Between the tokens of one stream; 0: without pause.
    std::int64_t interval_us = 0;
    /// Time over which the streams are opened.
    std::int64_t open_ms = 0;
};

/// @brief What the caller saw, times in nanoseconds.
struct stream_figures
{
    /// From the write of the request to the first token.
    std::vector<std::int64_t> first_token;
    /// From the sending of a token at the source to its arrival.
    std::vector<std::int64_t> transit;
    /// From the first to the last token of all streams.
    std::int64_t elapsed = 0;
    std::int64_t tokens = 0;
};

/// @brief Opens all streams, reads them to their ends and closes them.
/// @param port the source itself, or the daemon before it
/// @param target "/generate" or "/v1/generations"
stream_figures run_streams(std::uint16_t port, const std::string& target, const stream_load& load);

/// @brief Value at a share of the sorted values, 0 for none. @param share 0 to 1
std::int64_t percentile(std::vector<std::int64_t> values, double share);

} // namespace parsleyshift::bench
