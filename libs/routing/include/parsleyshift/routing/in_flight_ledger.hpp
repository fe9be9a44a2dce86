#pragma once

#include <parsleyshift/core/clock.hpp>                 // duration, time_point
#include <parsleyshift/core/ids.hpp>                   // endpoint_id
#include <parsleyshift/routing/endpoint_directory.hpp> // endpoint_entry

#include <cstdint>       // int64_t
#include <deque>         // deque
#include <unordered_map> // unordered_map

namespace parsleyshift
{

/// @brief Load of an endpoint as best known now.
struct endpoint_load
{
    /// Requests running or waiting there.
    double requests = 0;
    /// Tokens in memory.
    double memory = 0;
    /// Batch slots and memory; 0: unknown.
    double slots = 0;
    double memory_capacity = 0;
};

/// @brief What this instance itself has in flight at the endpoints; corrects load reports, which lag.
///
/// A report describes the endpoint as it was `report_lag` before it arrived. What this instance started or ended there
/// since then is added to the report or taken off it.
class in_flight_ledger
{
  public:
    /// @param report_lag age of a report when it arrives
    explicit in_flight_ledger(duration report_lag = duration{250});

    /// @brief An attempt begins. O(1) on average. @param tokens memory that it is expected to take
    void started(const endpoint_id& endpoint, std::int64_t tokens, time_point now);
    /// @brief An attempt ended. O(1) on average. @param tokens the number passed to started()
    void ended(const endpoint_id& endpoint, std::int64_t tokens, time_point now);
    /// @brief Forgets an endpoint.
    void forget(const endpoint_id& endpoint);

    /// @brief Attempts of this instance in flight at an endpoint. O(1) on average.
    [[nodiscard]] std::int64_t in_flight(const endpoint_id& endpoint) const;
    /// @brief The endpoint's last report, corrected; without a report, what this instance has in flight there.
    /// O(own starts and ends since the report was measured).
    [[nodiscard]] endpoint_load load(const endpoint_entry& entry) const;

  private:
    /// Starts and ends of one millisecond.
    struct change
    {
        time_point when;
        std::int64_t requests = 0;
        std::int64_t tokens = 0;
    };
    struct account
    {
        std::int64_t requests = 0;
        std::int64_t tokens = 0;
        std::deque<change> recent;
    };

    void note(const endpoint_id& endpoint, const change& noted);

    duration report_lag_;
    std::unordered_map<endpoint_id, account> accounts_;
};

} // namespace parsleyshift
