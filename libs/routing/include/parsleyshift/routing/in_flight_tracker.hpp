#pragma once

#include <parsleyshift/core/clock.hpp>                 // duration, time_point
#include <parsleyshift/core/ids.hpp>                   // endpoint_id
#include <parsleyshift/routing/endpoint_directory.hpp> // endpoint_entry

#include <cstdint>       // int64_t
#include <deque>         // deque
#include <unordered_map> // unordered_map

namespace parsleyshift
{

/// @brief Estimated current load of an endpoint.
struct endpoint_load
{
    /// Requests running or queued at the endpoint.
    double requests = 0;
    /// Tokens held in the endpoint's memory.
    double memory = 0;
    /// Batch slots; 0 when unknown.
    double slots = 0;
    /// Most tokens that fit in the endpoint's memory; 0 when unknown.
    double memory_capacity = 0;
};

/// @brief Counts this instance's attempts in flight at the endpoints and corrects load reports by them, since reports
/// lag behind the true load.
///
/// A report describes the endpoint as it was `report_lag` before the report arrived. Attempts that this instance has
/// started or ended since then are added to the report or subtracted from it.
class in_flight_tracker
{
  public:
    /// @param report_lag age of a report when it arrives
    explicit in_flight_tracker(duration report_lag = duration{250});

    /// @brief Records the start of an attempt. O(1) on average.
    /// @param tokens memory that the attempt is expected to use
    void record_start(const endpoint_id& endpoint, std::int64_t tokens, time_point now);
    /// @brief Records the end of an attempt; ignored when none is in flight. O(1) on average.
    /// @param tokens the number passed to started()
    void record_end(const endpoint_id& endpoint, std::int64_t tokens, time_point now);
    /// @brief Discards the counts of an endpoint. O(1) on average.
    void remove(const endpoint_id& endpoint);

    /// @brief Number of this instance's attempts in flight at an endpoint. O(1) on average.
    [[nodiscard]] std::int64_t in_flight(const endpoint_id& endpoint) const;
    /// @brief Load of an endpoint from its last report, corrected by this instance's changes since then. Without a
    /// report, the load of this instance's own attempts. O(changes since the report was measured).
    [[nodiscard]] endpoint_load load(const endpoint_entry& entry) const;

  private:
    /// Sum of the starts and ends within one millisecond.
    struct change
    {
        time_point when;
        std::int64_t requests = 0;
        std::int64_t tokens = 0;
    };
    struct endpoint_counts
    {
        std::int64_t requests = 0;
        std::int64_t tokens = 0;
        std::deque<change> recent;
    };

    void record(const endpoint_id& endpoint, const change& recorded);

    duration report_lag_;
    std::unordered_map<endpoint_id, endpoint_counts> counts_;
};

} // namespace parsleyshift
