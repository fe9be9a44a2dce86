#pragma once

#include <parsleyshift/core/clock.hpp>    // duration, time_point
#include <parsleyshift/core/ids.hpp>      // endpoint_id
#include <parsleyshift/messages/peer.hpp> // death_times, quarantine_notice

#include <cstddef> // size_t
#include <vector>  // vector

namespace parsleyshift
{

/// @brief Deaths that one fingerprint is held responsible for; a join semilattice.
///
/// Per endpoint the earliest and the latest observation are kept, and one time up to which deaths are cleared. Merging
/// takes the minimum, the maximum and the maximum, so it commutes, associates and is idempotent.
class suspicion
{
  public:
    /// Most endpoints remembered for one fingerprint; it is convicted at two.
    static constexpr std::size_t most_endpoints = 8;

    /// @brief Adds an observed death. O(endpoints). Beyond most_endpoints the oldest is dropped.
    /// @return true when it changed something
    bool mark(const endpoint_id& endpoint, const death_times& times);
    /// @brief Clears all deaths up to a time. O(endpoints). @return true when it changed something
    bool clear_until(time_point cleared);

    /// @brief Distinct deaths that count: observations of one endpoint further apart than `same_death` are two.
    [[nodiscard]] std::size_t deaths(duration same_death, duration keep, time_point now) const;
    /// @brief Time of the latest death that is not cleared; the epoch when there is none.
    [[nodiscard]] time_point latest() const noexcept;
    /// @brief Time up to which deaths are cleared.
    [[nodiscard]] time_point cleared() const noexcept;
    /// @brief The suspicion as a notice. @param keep time for which a death counts
    [[nodiscard]] quarantine_notice to_notice(fingerprint request, duration keep) const;

    friend bool operator==(const suspicion&, const suspicion&) = default;

  private:
    struct death
    {
        endpoint_id endpoint;
        death_times times;

        friend bool operator==(const death&, const death&) = default;
    };

    void drop_cleared();
    void drop_oldest();

    /// Sorted by endpoint.
    std::vector<death> deaths_;
    time_point cleared_;
};

} // namespace parsleyshift
