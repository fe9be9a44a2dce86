#pragma once

#include <parsleyshift/core/clock.hpp>              // time_point
#include <parsleyshift/core/random_source.hpp>      // random_source
#include <parsleyshift/membership/member_table.hpp> // member_table
#include <parsleyshift/membership/output.hpp>       // membership_output
#include <parsleyshift/membership/settings.hpp>     // membership_settings
#include <parsleyshift/membership/update_queue.hpp> // update_queue
#include <parsleyshift/messages/peer.hpp>           // member_update, peer_envelope
#include <parsleyshift/messages/platform.hpp>       // listed_instance

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <optional> // optional
#include <span>     // span
#include <string>   // string
#include <vector>   // vector

namespace parsleyshift
{

/// @brief Local view of the live instances, kept by SWIM-style probing.
///
/// The view may be wrong at any time; no guarantee of the system depends on it. All methods that take the time also
/// detect a pause of the process, so any of them may be the first call after one.
///
/// Cost per instance and second, with U = 150 bytes per update, H = 80 bytes per message, n members, f the share of
/// probes that fail and L departures per second in the fleet:
///
///     messages = 2 + 4 * f + 0.2 (dead members) + L * (ln(n) + 5)
///     bytes   <= (2 + 4 * f + 0.2) * (H + 8 * U) + L * (ln(n) + 5) * (H + U)
///
/// which is at most 2.9 KB/s at 1,600 instances with 2,260 departures a day and f = 0.01, whatever n is. The answer
/// to a join is n * U bytes once per process start (240 KB at 1,600), in messages of 64 updates.
class membership
{
  public:
    /// @param self this instance; `started` is its process start number
    /// @param settings intervals and bounds
    /// @param seed of all random choices
    membership(member_update self, membership_settings settings, std::uint64_t seed);

    /// @brief Takes the platform's list as a hint: unknown entry instances are contacted; nobody is removed.
    ///
    /// Linear in the list; contacts at most `join_peers` instances per call.
    void handle_list(const std::vector<listed_instance>& list, time_point now, membership_output& out);

    /// @brief Handles probe, probe_ack, probe_request and member_updates; ignores other messages.
    ///
    /// O(log n) per update, and O(n) for an update that adds or removes a member or changes its state.
    void handle(const peer_envelope& envelope, time_point now, membership_output& out);

    /// @brief Runs everything that is due. Amortised O(log n) per probe.
    void expire(time_point now, membership_output& out);

    /// @brief Earliest time at which expire() has work; the epoch before the first call.
    [[nodiscard]] time_point next_deadline() const;

    /// @brief Announces that this instance is leaving: to ln(n) + 4 members of its region and 2 of each other region,
    /// each of which passes it on at once. The instance keeps answering probes.
    void leave(time_point now, membership_output& out);

    /// @brief Sets the share of this instance's capacity in use, in per cent; announced in steps of `busy_step`.
    void set_busy(int percent);

    /// @brief All known members without copying, this instance first, dead ones included.
    ///
    /// The span is valid until the next call that is not const.
    [[nodiscard]] std::span<const member_update> members() const;

    /// @brief A member by its id, or nullptr. Constant time.
    [[nodiscard]] const member_update* find(const instance_id& instance) const;

    /// @brief The alive holder of an entry slot, or nullptr; of two holders the one that started later. Constant time.
    [[nodiscard]] const member_update* holder_of(int entry_slot) const;

    /// @brief Members that are alive or suspect, this instance included. Constant time.
    [[nodiscard]] std::size_t live_count() const;

    /// @brief Lowest record schema version over the live members. Constant time.
    [[nodiscard]] int lowest_schema() const;

    /// @brief This instance as the others should see it.
    [[nodiscard]] const member_update& self() const;

    /// @brief False until a peer has answered with its view, the list names nobody else, or `join_patience` is over.
    [[nodiscard]] bool joined() const;

    /// @brief True after news of a later process with this instance's id; this process should stop.
    [[nodiscard]] bool superseded() const;

    /// @brief 0 when healthy; grows with each pause and each probe without any answer.
    [[nodiscard]] int health_score() const;

    [[nodiscard]] const membership_traffic& traffic() const;
};

} // namespace parsleyshift
