#pragma once

#include <cstdint> // int64_t
#include <vector>  // vector

namespace parsleyshift
{

/// @brief Memory that a running stream holds and its expected growth until it ends.
struct stream_growth
{
    /// Prompt and output tokens in memory now.
    std::int64_t held = 0;
    /// Expected further output tokens.
    std::int64_t remaining = 0;
};

/// @brief Forecasts the peak memory of the streams that run together on one engine. O(n log n) in their number.
///
/// All streams of a batch grow by one token per step and free their memory when they end, so the peak occurs when some
/// stream S ends: it is the sum of (held + S.remaining) over all streams that end no earlier than S.
/// @param streams sorted in place by descending `remaining`
/// @return peak in tokens; 0 without streams
std::int64_t forecast_peak(std::vector<stream_growth>& streams);

} // namespace parsleyshift
