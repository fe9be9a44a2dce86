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

/// @brief True when an instance is among the readers of its region: the `count` live members with the highest
/// rendezvous scores. Linear in the members.
bool is_chosen_reader(const member_update& self, std::span<const member_update> members, std::size_t count);

/// @brief When this instance calls the configuration service.
///
/// With R instances that believe to be readers and C changes per second, the service receives at most
///
///     R * (min(C, 1 / read_spacing) + 1 / watch_wait + 1 / full_read_interval)
///
/// calls per second, and holds R pending watches. For 3 readers in each of 11 regions and 19,000 changes a day
/// (0.22/s) these are 8.5 calls/s; when all of 1,600 instances believe to be readers, 411 calls/s. The spacing bounds
/// a burst of changes to 1,067 calls/s in the latter case (1.5 s on average between two reads). While the service is
/// down or stale, each reader calls once in 30 to 60 s.
class read_schedule
{
  public:
    read_schedule(configuration_settings settings, std::uint64_t seed);

    /// @param reads true for a reader, or while the instance has no other source
    void set_reading(bool reads, time_point now);
    /// @brief Begins a read if one is due.
    /// @param known revision up to which all changes are known
    std::optional<read_configuration> begin(time_point now, revision known);
    /// @brief Ends the read in flight. @param useful false for no answer or a stale one: the next read waits longer
    void end(time_point now, bool useful);
    /// @brief The read in flight, if any.
    [[nodiscard]] const std::optional<read_configuration>& in_flight() const;
    /// @brief Highest revision that was known when the read in flight began; lower answers are stale.
    [[nodiscard]] revision known_at_begin() const;
    [[nodiscard]] time_point next_deadline() const;
    /// @brief Calls made so far.
    [[nodiscard]] std::uint64_t calls() const;

  private:
    configuration_settings settings_;
    random_source random_;
    bool reads_ = false;
    std::optional<read_configuration> in_flight_;
    revision known_at_begin_;
    time_point begun_;
    time_point next_read_;
    time_point next_full_read_;
    duration backoff_{};
    std::uint64_t calls_ = 0;
};

} // namespace parsleyshift
