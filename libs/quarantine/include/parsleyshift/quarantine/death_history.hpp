#pragma once

#include <parsleyshift/core/clock.hpp>    // duration, time_point
#include <parsleyshift/core/ids.hpp>      // endpoint_id, fingerprint
#include <parsleyshift/messages/peer.hpp> // quarantine_notice

#include <cstddef>  // size_t
#include <optional> // optional
#include <vector>   // vector

namespace parsleyshift
{

/// @brief A time of death rounded down to a multiple of a step.
constexpr time_point floor_to_step(time_point when, duration step) noexcept
{
    return when - when.time_since_epoch() % step;
}

/// @brief Endpoint deaths recorded for one request fingerprint; a state-based CRDT (a join semilattice).
///
/// The state is a set of observed deaths (time, endpoint), of which the latest are kept, and one time up to which they
/// are cleared. Merging takes the union and the later time, so it is commutative, associative and idempotent.
class death_history
{
  public:
    /// The latest ones are kept. One death gives at most two observations when times are rounded down to steps, so that
    /// these cover at least four deaths; two quarantine a request.
    static constexpr std::size_t max_observations = 8;

    /// @brief A death of an endpoint, at a time rounded down to a step. Ordered by time, then endpoint.
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

    /// @brief Adds an observed death, unless it is present, cleared, or older than all `max_observations` kept.
    /// O(observations).
    /// @param when time of the death, rounded down to a step
    /// @return true when the state changed
    bool add(const endpoint_id& endpoint, time_point when);
    /// @brief Clears all deaths up to a time. O(observations).
    /// @return true when the state changed
    bool clear_until(time_point until);

    /// @brief The distinct deaths within `retention` before the latest one, in their order; empty once `retention` has
    /// passed since the latest. Observations of one endpoint in adjacent steps count as one death, its first one.
    /// O(observations squared), at most 64.
    [[nodiscard]] std::vector<observation> deaths(duration step, duration retention, time_point now) const;
    /// @brief Number of the distinct deaths, see deaths().
    [[nodiscard]] std::size_t death_count(duration step, duration retention, time_point now) const;
    /// @brief Time of an endpoint's latest death that is not cleared. O(observations).
    [[nodiscard]] std::optional<time_point> latest_death_at(const endpoint_id& endpoint) const;
    /// @brief Time of the latest death that is not cleared; the epoch when there is none.
    [[nodiscard]] time_point latest_death() const noexcept;
    /// @brief True when there is a death that is not cleared.
    [[nodiscard]] bool has_deaths() const noexcept
    {
        return !observations_.empty();
    }
    /// @brief Time from which the state need not be kept.
    /// @param retention time after which a death is no longer counted
    [[nodiscard]] time_point expiry(duration retention) const noexcept;
    /// @brief Time up to which deaths are cleared.
    [[nodiscard]] time_point cleared_until() const noexcept;
    /// @brief The state as a notice for peers.
    /// @param retention time after which a death is no longer counted, to set the expiry
    [[nodiscard]] quarantine_notice to_notice(fingerprint request, duration retention) const;

    friend bool operator==(const death_history&, const death_history&) = default;

  private:
    /// Sorted by time, then endpoint.
    std::vector<observation> observations_;
    time_point cleared_until_;
};

} // namespace parsleyshift
