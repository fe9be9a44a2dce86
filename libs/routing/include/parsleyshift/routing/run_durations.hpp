#pragma once

#include <parsleyshift/core/clock.hpp>                // duration
#include <parsleyshift/messages/forward.hpp>          // route
#include <parsleyshift/routing/rotating_quantile.hpp> // rotating_quantile

#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief Learns for each route how long its requests run at endpoints.
class run_durations
{
  public:
    /// @brief Records the time from the first attempt of a successful request to the end of its answer. O(1).
    void record(const std::string& route_name, duration took);
    /// @brief Time within which most requests of a route end once they are sent. O(1).
    /// @return nothing while there are too few samples
    [[nodiscard]] std::optional<duration> expected(const std::string& route_name) const;
    /// @brief Forgets the routes that a configuration does not have. O(routes).
    void retain(const std::vector<route>& routes);

  private:
    std::unordered_map<std::string, rotating_quantile> by_route_;
};

} // namespace parsleyshift
