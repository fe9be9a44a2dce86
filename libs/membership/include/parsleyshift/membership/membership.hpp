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

/// @brief Local view of the live instances, kept by SWIM-style probing.
///
/// The view may be wrong at any time; no guarantee of the system depends on it. All methods that take the time also
/// detect a pause of the process, so any of them may be the first call after one.
///
/// Cost per instance and second, with U = 150 bytes per update, H = 80 bytes per message, n members, f the share of
/// probes that fail and L departures per second in the fleet:
///
///     messages = 2 + 4 * f + 0.2 (dead members) + L * (ln(n) + 6)
///     bytes   <= (2 + 4 * f + 0.2) * (H + 8 * U) + L * (ln(n) + 5) * (H + U)
///
/// which is at most 2.9 KB/s at 1,600 instances with 2,260 departures a day and f = 0.01, whatever n is. The answer
/// to a join is n * U bytes twice per process start, and once after every n / 16 changes of members (240 KB at 1,600),
/// in messages of 64 updates.
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

    /// @brief Time from a suspicion to the eviction, at the present size and health score.
    [[nodiscard]] duration suspicion_timeout() const;

  private:
    struct direct_probe
    {
        std::uint64_t sequence = 0;
        instance_id target;
        std::string address;
        /// When the indirect probes are sent; never once they are.
        time_point indirect_at = never;
    };
    struct relayed_probe
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
        time_point since;
        /// The suspect was asked once more.
        bool asked = false;
    };
    /// A state that this instance gave a member while its own links were in doubt, and told nobody.
    struct private_blame
    {
        instance_id instance;
        incarnation started;
        std::uint32_t refutation = 0;
        member_state former = member_state::alive;
    };
    struct join_candidate
    {
        instance_id instance;
        std::string address;
        bool own_region = false;
    };

    // Time and health.
    void advance(time_point now);
    void resume_after_pause(time_point now);
    void restart_suspicions(time_point now);
    void note_answer(time_point now, membership_output& out);
    void take_back_blames(time_point now, membership_output& out);
    /// True while the own links are the likelier fault: blames are then kept private.
    [[nodiscard]] bool doubts_itself() const;
    void expire_suspicions(time_point now, membership_output& out);

    // Probing.
    void run_probe(time_point now, membership_output& out);
    void send_indirect_probes(membership_output& out);
    void fail_probe(time_point now, membership_output& out);
    void reconnect(time_point now, membership_output& out);
    std::optional<instance_id> next_target();
    std::optional<instance_id> next_of(probe_order& order, bool own_region);
    void receive(const peer_envelope& envelope, const probe& message, membership_output& out);
    void receive(const peer_envelope& envelope, const probe_ack& message, time_point now, membership_output& out);
    void receive(const peer_envelope& envelope, const probe_request& message, membership_output& out);

    // Joining.
    void ask_for_view(time_point now, membership_output& out);
    void ask_for_second_view(membership_output& out);
    void receive(const peer_envelope& envelope, const member_updates& message, time_point now, membership_output& out);
    void answer_view(const peer_envelope& envelope, time_point now, membership_output& out);

    // Spreading.
    void apply(const std::vector<member_update>& updates, time_point now, membership_output& out);
    void apply(const member_update& update, bool spread, time_point now, membership_output& out);
    void apply_to_self(const member_update& update);
    void note_change(const member_update& update, member_state before, time_point now, membership_output& out);
    void blame(const instance_id& instance, member_state state, time_point now, membership_output& out);
    void announce_busy(time_point now);
    void send_leaves(time_point now, membership_output& out);
    std::vector<instance_id> announcement_targets(std::size_t per_other_region);
    std::vector<member_update> piggyback(const instance_id& receiver);
    void add_reminders(std::vector<member_update>& updates);
    void send(const instance_id& to, const std::string& address, peer_message message, membership_output& out);

    membership_settings settings_;
    random_source random_;
    member_update self_;
    member_table table_;
    update_queue queue_;
    probe_order own_region_order_;
    probe_order remote_order_;
    std::optional<direct_probe> outstanding_;
    std::vector<relayed_probe> relayed_;
    /// Ordered by time.
    std::deque<suspicion> suspicions_;
    std::vector<private_blame> private_blames_;
    std::vector<join_candidate> join_candidates_;
    std::vector<instance_id> leaves_;
    std::optional<time_point> first_call_;
    time_point next_probe_;
    time_point next_reconnect_;
    time_point next_join_ = never;
    time_point send_leaves_at_ = never;
    time_point last_leaves_;
    time_point next_resynchronization_;
    time_point view_answers_since_;
    time_point last_busy_;
    int view_answers_ = 0;
    /// Changes of members since a view of another member was last asked for.
    std::size_t changes_since_view_ = 0;
    int busy_percent_ = 0;
    int health_score_ = 0;
    std::uint64_t next_sequence_ = 1;
    bool joined_ = false;
    bool view_received_ = false;
    bool second_view_received_ = false;
    bool superseded_ = false;
    membership_traffic traffic_;
};

} // namespace parsleyshift
