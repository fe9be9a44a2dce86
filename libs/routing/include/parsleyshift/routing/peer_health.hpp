#pragma once

#include <parsleyshift/core/clock.hpp>    // time_point
#include <parsleyshift/core/ids.hpp>      // endpoint_id, instance_id
#include <parsleyshift/messages/peer.hpp> // endpoint_health_notice

#include <cstddef>       // size_t
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief Combines the endpoint weights that other instances report. Used by a pool's scheduler, which serves too few
/// streams to measure the endpoints itself.
///
/// The combined weight is the mean of the reports and one assumed report of weight 1. A single instance with a bad
/// network link therefore cannot exclude an endpoint for all instances, while several instances that agree
/// nearly can.
class peer_health
{
  public:
    /// @param max_reports reports kept for all endpoints together; further reports are dropped
    explicit peer_health(std::size_t max_reports = 65'536);

    /// @brief Stores a report, replacing the sender's previous one for the endpoint. An expired report is ignored.
    /// O(reporters of the endpoint).
    void record(const instance_id& sender, const endpoint_health_notice& notice, time_point now);
    /// @brief Mean weight of the unexpired reports and one of weight 1. O(reporters of the endpoint).
    /// @return 0 to 1; 1 without reports
    [[nodiscard]] double weight(const endpoint_id& endpoint, time_point now) const;
    /// @brief Discards the reports about an endpoint. O(reporters of the endpoint).
    void remove(const endpoint_id& endpoint);
    /// @brief Discards expired reports. Call it every few seconds. O(reports).
    void purge(time_point now);

  private:
    struct report
    {
        instance_id sender;
        double weight = 1.0;
        time_point expires;
    };

    std::size_t max_reports_;
    std::size_t report_count_ = 0;
    std::unordered_map<endpoint_id, std::vector<report>> by_endpoint_;
};

} // namespace parsleyshift
