#pragma once

#include <parsleyshift/core/clock.hpp>              // time_point
#include <parsleyshift/core/random_source.hpp>      // random_source
#include <parsleyshift/membership/member_table.hpp> // member_table
#include <parsleyshift/membership/output.hpp>       // membership_output
#include <parsleyshift/membership/probe_order.hpp>  // probe_order
#include <parsleyshift/membership/settings.hpp>     // membership_settings
#include <parsleyshift/membership/update_queue.hpp> // update_queue
#include <parsleyshift/messages/peer.hpp>           // member_update, peer_envelope
#include <parsleyshift/messages/platform.hpp>       // listed_instance

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <deque>    // deque
#include <optional> // optional
#include <span>     // span
#include <string>   // string
#include <vector>   // vector

namespace parsleyshift
{

/// @brief Local view of the live instances, maintained by SWIM-style probing.
///
/// The view may be wrong at any time; no guarantee of the system depends on it. All functions that take the time also
/// detect a pause of the process, so any of them may be the first call after a pause.
///
/// Cost per instance and second, with U = 150 bytes per update, H = 80 bytes per message, n members, f the share of
/// probes that fail and L departures per second in the fleet:
///
///     messages = 2 + 4 * f + 0.2 (dead members) + L * (ln(n) + 6)
///     bytes   <= (2 + 4 * f + 0.2) * (H + 8 * U) + L * (ln(n) + 5) * (H + U)
///
/// The terms are the own probe and the answer to a probe of another member (2 per second), the indirect probes (4 per
/// failed probe), the probes of dead members (0.2 per second), and the announcements of leaves to ln(n) + 4 members of
/// the region and one elsewhere; a probe or answer contains up to 8 updates. The sum is at most 2.9 KB/s at 1,600
/// instances with 2,260 departures a day and f = 0.01, and n enters it only by the logarithm in the announcements. The
/// answer to a join is n * U bytes twice per process start, and once after every n / 16 changes of members (240 KB at
/// 1,600), in messages of 64 updates.
class membership
{
  public:
    /// @param self this instance; `started` is its process start number
    /// @param settings intervals and limits
    /// @param seed seed of all random choices
    membership(member_update self, membership_settings settings, std::uint64_t seed);

    /// @brief Uses the platform's list as a hint, and removes no member because of it.
    ///
    /// Requests a view from a listed entry instance until one has arrived; then probes unknown entry instances, at most
    /// `max_contacts_per_list` per call. Linear in the list.
    void handle_list(const std::vector<listed_instance>& list, time_point now, membership_output& out);

    /// @brief Handles probe, probe_ack, probe_request and member_updates; ignores other messages.
    ///
    /// O(log n) per update, and O(n) for an update that adds or removes a member or changes its state.
    void handle(const peer_envelope& envelope, time_point now, membership_output& out);

    /// @brief Runs all timers that are due. Amortised O(log n) per probe.
    void expire(time_point now, membership_output& out);

    /// @brief Earliest time at which expire() has work; the epoch before the first call.
    [[nodiscard]] time_point next_deadline() const;

    /// @brief Sends an announcement that this instance is leaving to ln(n) + 4 members of its region and 2 of each
    /// other region. Each receiver forwards it immediately to ln(n) + 4 members, so that in expectation e^-4 members of
    /// the region get none. The instance keeps answering probes.
    void leave(time_point now, membership_output& out);

    /// @brief Sets the share of this instance's capacity in use, in per cent; a change is announced once it is at least
    /// `min_busy_change_percent`.
    void set_busy(int percent);

    /// @brief All members in the view, this instance first, dead ones included.
    ///
    /// The span is valid until the next call that is not const.
    [[nodiscard]] std::span<const member_update> members() const;

    /// @brief Finds a member by its id, or returns nullptr. Constant time.
    [[nodiscard]] const member_update* find(const instance_id& instance) const;

    /// @brief The alive holder of an entry slot, or nullptr; of several, the one that started last. Constant time.
    [[nodiscard]] const member_update* holder_of(int entry_slot) const;

    /// @brief Number of members that are alive or suspect, this instance included. Constant time.
    [[nodiscard]] std::size_t live_count() const;

    /// @brief Lowest record schema version over the live members. Constant time.
    [[nodiscard]] int lowest_schema() const;

    /// @brief The update that this instance announces about itself.
    [[nodiscard]] const member_update& self() const;

    /// @brief True once a peer has sent its view, a list named no other entry instance to join, or `join_timeout` has
    /// passed.
    [[nodiscard]] bool joined() const;

    /// @brief True after a message from, or update about, a later process with this instance's id; this process should
    /// stop.
    [[nodiscard]] bool superseded() const;

    /// @brief Degradation of this instance's own links or process: 0 when healthy, incremented by each pause and each
    /// failed probe, reset by any acknowledgement.
    [[nodiscard]] int health_score() const;

    /// @brief Messages sent since the start.
    [[nodiscard]] const membership_traffic& traffic() const;

    /// @brief Time from a suspicion to the last probe before eviction, at the current size and health score.
    [[nodiscard]] duration suspicion_timeout() const;

  private:
    struct direct_probe
    {
        std::uint64_t sequence = 0;
        instance_id target;
        std::string address;
        time_point sent;
        /// Time at which indirect probes are requested; `never` once they have been.
        time_point indirect_at = never;
    };
    /// An indirect probe sent for another instance.
    struct indirect_probe
    {
        std::uint64_t sequence = 0;
        instance_id origin;
        std::string origin_address;
        std::uint64_t origin_sequence = 0;
    };
    struct suspicion
    {
        instance_id instance;
        incarnation started;
        std::uint32_t refutation = 0;
        time_point timer_started_at;
        /// The suspect has been probed once more since the timeout.
        bool probed_again = false;
    };
    /// A change of a member's state that this instance did not announce because its own links were likely at fault.
    struct withheld_change
    {
        instance_id instance;
        incarnation started;
        std::uint32_t refutation = 0;
        member_state previous_state = member_state::alive;
    };
    struct join_candidate
    {
        instance_id instance;
        std::string address;
        bool own_region = false;
    };

    // Time and health.
    /// Starts the timers at the first call and detects pauses.
    void advance(time_point now);
    void resume_after_pause(time_point now);
    void restart_suspicions(time_point now);
    void record_answer(time_point now, membership_output& out);
    void revert_withheld_changes(time_point now, membership_output& out);
    /// True while the own links are more likely at fault than the peers; state changes are then not announced.
    [[nodiscard]] bool is_degraded() const;
    void expire_suspicions(time_point now, membership_output& out);

    // Probing.
    void start_probe(time_point now, membership_output& out);
    void request_indirect_probes(membership_output& out);
    void fail_probe(time_point now, membership_output& out);
    void reconnect(time_point now, membership_output& out);
    std::optional<instance_id> next_target();
    std::optional<instance_id> next_in_order(probe_order& order, bool own_region);
    void receive(const peer_envelope& envelope, const probe& message, membership_output& out);
    void receive(const peer_envelope& envelope, const probe_ack& message, time_point now, membership_output& out);
    void receive(const peer_envelope& envelope, const probe_request& message, membership_output& out);

    // Joining.
    void request_view(time_point now, membership_output& out);
    void request_view_from_member(membership_output& out);
    void receive(const peer_envelope& envelope, const member_updates& message, time_point now, membership_output& out);
    void send_view(const peer_envelope& envelope, time_point now, membership_output& out);

    // Dissemination.
    void apply(const std::vector<member_update>& updates, time_point now, membership_output& out);
    void apply(const member_update& update, bool propagate, time_point now, membership_output& out);
    void apply_to_self(const member_update& update);
    void handle_change(const member_update& update, member_state before, time_point now, membership_output& out);
    /// Sets a member to suspect or dead after failed probes; announced unless `is_degraded()`.
    void mark_failed(const instance_id& instance, member_state state, time_point now, membership_output& out);
    void announce_busy(time_point now);
    void announce_leaves(time_point now, membership_output& out);
    std::vector<instance_id> announcement_targets(std::size_t per_other_region);
    std::vector<member_update> piggybacked_updates(const instance_id& receiver);
    void add_random_updates(std::vector<member_update>& updates);
    void send(const instance_id& to, const std::string& address, peer_message message, membership_output& out);

    membership_settings settings_;
    random_source random_;
    member_update self_;
    member_table table_;
    update_queue queue_;
    probe_order own_region_order_;
    probe_order remote_order_;
    std::optional<direct_probe> outstanding_;
    std::vector<indirect_probe> indirect_probes_;
    /// Ordered by `timer_started_at`.
    std::deque<suspicion> suspicions_;
    std::vector<withheld_change> withheld_changes_;
    std::vector<join_candidate> join_candidates_;
    /// Leaving members that are still to be announced.
    std::vector<instance_id> pending_leave_announcements_;
    std::optional<time_point> first_call_;
    time_point next_probe_;
    time_point next_reconnect_;
    /// Time of the next request for a view, whether to join, for the second view or after many changes.
    time_point next_view_request_ = never;
    time_point announce_leaves_at_ = never;
    time_point last_leave_announcement_;
    /// Earliest time at which a member that returns after a partition is asked for its view.
    time_point next_resync_;
    time_point view_answers_window_start_;
    time_point last_busy_announcement_;
    int view_answers_ = 0;
    /// Changes of members since the last request for the view of another member.
    std::size_t changes_since_view_ = 0;
    int busy_percent_ = 0;
    int health_score_ = 0;
    std::uint64_t next_sequence_ = 1;
    bool joined_ = false;
    bool view_received_ = false;
    /// Requests for a first view that have been sent.
    int view_requests_ = 0;
    /// A view after the first one has arrived; reset when many changes require another one.
    bool second_view_received_ = false;
    bool superseded_ = false;
    membership_traffic traffic_;
};

} // namespace parsleyshift
