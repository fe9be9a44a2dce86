#pragma once

#include <parsleyshift/core/clock.hpp>    // duration, time_point
#include <parsleyshift/core/ids.hpp>      // endpoint_id, fingerprint
#include <parsleyshift/messages/peer.hpp> // quarantine_notice

#include <cstddef>  // size_t
#include <optional> // optional
#include <vector>   // vector

namespace parsleyshift
{

/// @brief Deaths that one fingerprint is held responsible for; a join semilattice.
///
/// The state is a set of observations (time, endpoint), of which the latest are kept, and one time up to which they are
/// cleared. Merging takes the union and the later time, so it commutes, associates and is idempotent.
class suspicion
{
  public:
    /// Most observations kept. One death gives at most two when times are rounded down to steps, so these are at least
    /// four deaths; two convict.
    static constexpr std::size_t most_observations = 8;

    /// @brief Adds an observed death. O(observations). @param when rounded down to a step
    /// @return true when it changed something
    bool mark(const endpoint_id& endpoint, time_point when);
    /// @brief Clears all deaths up to a time. O(observations). @return true when it changed something
    bool clear_until(time_point cleared);

    /// @brief Distinct deaths within `keep` before the latest one, until `keep` after it; observations of one endpoint
    /// in adjacent steps are one death. O(observations squared), at most 64.
    [[nodiscard]] std::size_t deaths(duration step, duration keep, time_point now) const;
    /// @brief Time of the latest observed death of an endpoint that is not cleared. O(observations).
    [[nodiscard]] std::optional<time_point> latest_at(const endpoint_id& endpoint) const;
    /// @brief Time of the latest death that is not cleared; the epoch when there is none.
    [[nodiscard]] time_point latest() const noexcept;
    /// @brief Time up to which deaths are cleared.
    [[nodiscard]] time_point cleared() const noexcept;
    /// @brief The suspicion as a notice. @param keep time for which a death counts
    [[nodiscard]] quarantine_notice to_notice(fingerprint request, duration keep) const;

    friend bool operator==(const suspicion&, const suspicion&) = default;

  private:
    struct observation
    {
        time_point when;
        endpoint_id endpoint;

        friend bool operator==(const observation&, const observation&) = default;
        friend bool operator<(const observation& left, const observation& right)
        {
            return left.when != right.when ? left.when < right.when : left.endpoint < right.endpoint;
        }
    };

    /// In ascending order.
    std::vector<observation> observations_;
    time_point cleared_;
};

} // namespace parsleyshift
