#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/scheduling/memory_forecast.hpp> // forecast_peak

#include <algorithm> // max
#include <cstdint>   // int64_t
#include <vector>    // vector

using namespace parsleyshift;

TEST_GROUP(memory_forecast){};

// Guards against a forecast that differs from the peak of a step-by-step simulation: too low overcommits memory, too
// high wastes it.
TEST(memory_forecast, equals_the_peak_of_a_step_by_step_simulation)
{
    test_support::check_property("peak",
                                 [](const std::vector<std::uint8_t>& raw)
                                 {
                                     std::vector<stream_growth> streams;
                                     std::int64_t longest = 0;
                                     for (const std::uint8_t value : raw)
                                     {
                                         streams.push_back(stream_growth{value % 13, 1 + value / 4});
                                         longest = std::max(longest, streams.back().remaining);
                                     }
                                     std::int64_t peak = 0;
                                     for (std::int64_t step = 0; step <= longest; ++step)
                                     {
                                         std::int64_t used = 0;
                                         for (const stream_growth& stream : streams)
                                         {
                                             used += stream.remaining >= step ? stream.held + step : 0;
                                         }
                                         peak = std::max(peak, used);
                                     }
                                     RC_ASSERT(forecast_peak(streams) == peak);
                                 });
}
