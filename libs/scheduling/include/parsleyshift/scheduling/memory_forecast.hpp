#pragma once

#include <cstdint> // int64_t
#include <vector>  // vector

namespace parsleyshift
{

/// @brief Memory of one running stream: what it holds and by how much it will grow before it ends.
struct stream_growth
{
    /// Tokens of prompt and output held now.
    std::int64_t held = 0;
    /// Output tokens still expected.
    std::int64_t remaining = 0;
};

/// @brief Largest memory that the streams of one engine will hold together.
///
/// All streams of a batch grow by one token a step and give back their memory when they end, so the peak lies at the
/// end of one of the streams: the largest sum of (held + remaining of the ending one) over those that end no earlier.
/// @param streams reordered by this call
/// @return tokens; O(n log n) in the number of streams
std::int64_t forecast_peak(std::vector<stream_growth>& streams);

} // namespace parsleyshift
