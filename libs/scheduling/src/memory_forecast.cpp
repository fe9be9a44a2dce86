#include <parsleyshift/scheduling/memory_forecast.hpp> // forecast_peak

#include <algorithm> // max, sort

namespace parsleyshift
{

std::int64_t forecast_peak(std::vector<stream_growth>& streams)
{
    std::sort(streams.begin(), streams.end(),
              [](const stream_growth& left, const stream_growth& right) { return left.remaining > right.remaining; });
    std::int64_t held = 0;
    std::int64_t count = 0;
    std::int64_t peak = 0;
    for (const stream_growth& stream : streams)
    {
        held += stream.held;
        ++count;
        peak = std::max(peak, held + count * stream.remaining);
    }
    return peak;
}

} // namespace parsleyshift
