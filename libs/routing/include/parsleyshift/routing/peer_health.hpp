#pragma once

#include <parsleyshift/core/clock.hpp>    // time_point
#include <parsleyshift/core/ids.hpp>      // endpoint_id, instance_id
#include <parsleyshift/messages/peer.hpp> // endpoint_health_notice

#include <cstddef>       // size_t
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief What other instances report about the speed of a pool's endpoints; for the pool's scheduler, which streams
/// little itself.
///
/// The weight is the mean of the reports and of one assumed report of full weight, so that a single instance with a bad
/// link of its own cannot take an endpoint out of service for all, and several that agree nearly can.
class peer_health
{
  public:
    /// @param most_reports reports kept in all; further reporters are ignored
    explicit peer_health(std::size_t most_reports = 65'536);

    /// @brief Takes a report; it replaces the sender's last one. O(reporters of the endpoint).
    void hear(const instance_id& sender, const endpoint_health_notice& notice, time_point now);
    /// @brief Weight from the reports that have not expired, 0 to 1; 1 without any. O(reporters of the endpoint).
    [[nodiscard]] double weight(const endpoint_id& endpoint, time_point now) const;
    /// @brief Discards an endpoint. O(reporters of the endpoint).
    void forget(const endpoint_id& endpoint);
    /// @brief Discards expired reports. O(reports); to be called every few seconds.
    void purge(time_point now);

  private:
    struct report
    {
        instance_id sender;
        double weight = 1.0;
        time_point expires;
    };

    std::size_t most_reports_;
    std::size_t reports_ = 0;
    std::unordered_map<endpoint_id, std::vector<report>> by_endpoint_;
};

} // namespace parsleyshift
