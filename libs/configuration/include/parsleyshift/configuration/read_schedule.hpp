#pragma once

#include <parsleyshift/configuration/settings.hpp> // configuration_settings
#include <parsleyshift/core/clock.hpp>             // time_point
#include <parsleyshift/core/random_source.hpp>     // random_source
#include <parsleyshift/messages/action.hpp>        // read_configuration
#include <parsleyshift/messages/peer.hpp>          // member_update

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <optional> // optional
#include <span>     // span

namespace parsleyshift
{

/// @brief True when `self` is one of the readers of its region, which are the `count` live members with the highest
/// rendezvous scores. Linear in the members.
bool is_chosen_reader(const member_update& self, std::span<const member_update> members, std::size_t count);

/// @brief Decides when this instance reads the configuration service.
///
/// With R instances that consider themselves readers and C changes per second, the service receives at most
///
///     R * (min(C, 1 / min_read_interval) + 1 / watch_wait + 1 / full_read_interval)
///
/// calls per second, and holds R pending watches. For 3 readers in each of 11 regions and 19,000 changes a day
/// (0.22/s) this is 8.5 calls/s; when all of 1,600 instances consider themselves readers, it is 411 calls/s. In the
/// latter case `min_read_interval` limits a burst of changes to 1,067 calls/s (1.5 s on average between two reads).
/// While the service is down or stale, each reader calls once in 30 to 60 s.
class read_schedule
{
  public:
    /// @param seed seed of the random delays
    read_schedule(configuration_settings settings, std::uint64_t seed);

    /// @brief Enables or disables reads.
    /// @param enabled true for a reader, or while the instance has no other source of records
    void set_enabled(bool enabled, time_point now);
    /// @brief Starts a read if one is due; a read in flight that has timed out is ended first.
    /// @param known_revision revision up to which this instance has all changes
    /// @return the read to make, or nothing
    std::optional<read_configuration> begin(time_point now, revision known_revision);
    /// @brief Ends the read in flight.
    /// @param successful false when there was no answer or a stale one; the delay before the next read then grows
    void end(time_point now, bool successful);
    /// @brief The read in flight, if any.
    [[nodiscard]] const std::optional<read_configuration>& in_flight() const;
    /// @brief The `known_revision` passed when the last read started; answers with a lower revision are stale.
    [[nodiscard]] revision revision_at_start() const;
    /// @brief Time at which the read in flight times out or the next one is due; `never` while reads are disabled.
    [[nodiscard]] time_point next_deadline() const;
    /// @brief Number of reads started so far.
    [[nodiscard]] std::uint64_t read_count() const;

  private:
    configuration_settings settings_;
    random_source random_;
    bool enabled_ = false;
    std::optional<read_configuration> in_flight_;
    revision revision_at_start_;
    time_point started_at_;
    time_point next_read_;
    time_point next_full_read_;
    duration backoff_{};
    std::uint64_t read_count_ = 0;
};

} // namespace parsleyshift
