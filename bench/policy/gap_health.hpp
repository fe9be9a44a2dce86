#pragma once

#include "job.hpp" // microseconds

#include <algorithm> // min, sort
#include <array>     // array
#include <cmath>     // floor
#include <cstddef>   // size_t
#include <vector>    // vector

namespace parsleyshift::bench
{

/// @brief Health weights from the token gaps that entry instances see; stands in for the outlier detection of the
/// routing library.
///
/// A gap is compared with the median of the pool's gaps at the same number of streams: a slow engine with few streams
/// has shorter gaps than a healthy one with many, and would count as healthy otherwise.
class gap_health
{
  public:
    explicit gap_health(std::size_t engines) : seen_(engines) {}

    [[nodiscard]] std::size_t size() const
    {
        return seen_.size();
    }
    /// @param streams requests that run at the engine, as the scheduler counts them
    void observe(std::size_t engine, microseconds gap, std::size_t streams, microseconds now)
    {
        // A step towards each gap by a hundredth approaches the median.
        constexpr double step = 0.01;
        double& usual = usual_[std::min(streams / streams_per_bucket, usual_.size() - 1)];
        const auto length = static_cast<double>(gap);
        usual = usual <= 0.0 ? length : usual * (length > usual ? 1.0 + step : 1.0 - step);
        observation& seen = seen_[engine];
        seen.recent[seen.next] = length / usual;
        seen.next = (seen.next + 1) % seen.recent.size();
        // The middle of three, so that one step that takes in many prompts does not count as slowness.
        std::array<double, 3> sorted = seen.recent;
        std::sort(sorted.begin(), sorted.end());
        seen.ratio = sorted[1];
        seen.at = now;
    }
    /// @return 1, or the relative speed when clearly slower; an idle engine is trusted again slowly
    [[nodiscard]] double weight(std::size_t engine, microseconds now) const
    {
        constexpr double tolerated = 1.7;
        constexpr microseconds trusted_again = 20 * one_second;
        const observation& seen = seen_[engine];
        if (seen.ratio <= tolerated)
        {
            return 1.0;
        }
        // A fast return would hurt many requests with each trial of an engine that is still slow.
        const double regained = static_cast<double>(now - seen.at) / static_cast<double>(trusted_again);
        // Steps of a twentieth keep the number of changes small.
        return std::min(1.0, std::floor((1.0 / seen.ratio + regained) * 20.0) / 20.0);
    }

  private:
    static constexpr std::size_t streams_per_bucket = 4;

    struct observation
    {
        std::array<double, 3> recent{};
        std::size_t next = 0;
        double ratio = 0.0;
        microseconds at = 0;
    };

    std::vector<observation> seen_;
    std::array<double, 16> usual_{};
};

} // namespace parsleyshift::bench
