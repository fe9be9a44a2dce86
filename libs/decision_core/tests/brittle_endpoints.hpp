#pragma once

#include <parsleyshift/core/clock.hpp> // duration, time_point

#include <cstddef> // size_t
#include <map>     // map
#include <string>  // string
#include <vector>  // vector

namespace parsleyshift::test
{

/// @brief Endpoints that reject requests when their slots are taken, and fail when they have to reject too many in a
/// second; a failed one is back after a few seconds.
class brittle_endpoints
{
  public:
    enum class reception
    {
        accepted,
        rejected,
        /// Rejected, and the endpoint has failed.
        fell,
        /// The endpoint has failed before and is not back.
        down,
    };
    static constexpr std::size_t slots = 2;

    explicit brittle_endpoints(std::size_t tolerated) : tolerated_(tolerated) {}

    [[nodiscard]] std::size_t tolerated() const noexcept
    {
        return tolerated_;
    }
    reception receive(const std::string& endpoint, time_point now)
    {
        state& each = states_[endpoint];
        if (now < each.back_at)
        {
            return reception::down;
        }
        if (each.running < slots)
        {
            ++each.running;
            return reception::accepted;
        }
        each.rejections.push_back(now);
        std::erase_if(each.rejections, [now](time_point when) { return when + window <= now; });
        if (each.rejections.size() <= tolerated_)
        {
            return reception::rejected;
        }
        each = state{};
        each.back_at = now + recovery;
        return reception::fell;
    }
    /// @brief Frees the slot of a request that has been answered.
    void release(const std::string& endpoint)
    {
        state& each = states_[endpoint];
        each.running -= each.running > 0 ? 1 : 0;
    }

  private:
    static constexpr duration window{1'000};
    static constexpr duration recovery{3'000};

    struct state
    {
        std::size_t running = 0;
        std::vector<time_point> rejections;
        time_point back_at;
    };

    std::size_t tolerated_;
    std::map<std::string, state> states_;
};

} // namespace parsleyshift::test
