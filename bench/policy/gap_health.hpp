#pragma once

#include "job.hpp" // microseconds

#include <algorithm> // clamp, nth_element, sort
#include <array>     // array
#include <cstddef>   // size_t
#include <vector>    // vector

namespace parsleyshift::bench
{

/// @brief Health weights from the token gaps that entry instances see, relative to the pool's median; stands in for
/// the outlier detection of the routing library.
class gap_health
{
  public:
    explicit gap_health(std::size_t engines) : seen_(engines) {}

    [[nodiscard]] std::size_t size() const
    {
        return seen_.size();
    }

    void observe(std::size_t engine, microseconds gap, microseconds now)
    {
        observation& seen = seen_[engine];
        seen.recent[seen.next] = static_cast<double>(gap);
        seen.next = (seen.next + 1) % seen.recent.size();
        // The middle of three, so that one step that takes in many prompts does not count as slowness.
        std::array<double, 3> sorted = seen.recent;
        std::sort(sorted.begin(), sorted.end());
        seen.gap = sorted[1];
        seen.at = now;
    }
    /// @return 1 healthy, 0 ejected; an idle engine is trusted again after a while
    [[nodiscard]] double weight(std::size_t engine, microseconds now) const
    {
        constexpr double tolerated = 1.7;
        constexpr double ejected = 2.2;
        constexpr microseconds trusted_again = 2 * one_second;
        const observation& seen = seen_[engine];
        if (seen.gap <= 0.0 || now - seen.at > trusted_again)
        {
            return 1.0;
        }
        const double ratio = seen.gap / median();
        return std::clamp((ejected - ratio) / (ejected - tolerated), 0.0, 1.0);
    }

  private:
    struct observation
    {
        std::array<double, 3> recent{};
        std::size_t next = 0;
        double gap = 0.0;
        microseconds at = 0;
    };

    [[nodiscard]] double median() const
    {
        std::vector<double> gaps;
        for (const observation& seen : seen_)
        {
            gaps.push_back(seen.gap);
        }
        const auto middle = gaps.begin() + static_cast<std::ptrdiff_t>(gaps.size() / 2);
        std::nth_element(gaps.begin(), middle, gaps.end());
        return std::max(*middle, 1.0);
    }

    std::vector<observation> seen_;
};

} // namespace parsleyshift::bench
