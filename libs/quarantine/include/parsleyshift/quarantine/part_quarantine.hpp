#pragma once

#include <parsleyshift/core/clock.hpp>                  // duration, time_point
#include <parsleyshift/core/ids.hpp>                    // fingerprint, endpoint_id, attempt_id
#include <parsleyshift/messages/peer.hpp>               // quarantine_notice
#include <parsleyshift/quarantine/crash_quarantine.hpp> // run_end
#include <parsleyshift/quarantine/death_history.hpp>    // death_history

#include <cstddef>       // size_t
#include <optional>      // optional
#include <span>          // span
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief Thresholds, times and memory bounds of the part quarantine.
struct part_quarantine_policy
{
    /// Deaths that no other part explains, from which a part is blocked.
    std::size_t deaths_to_block = 2;
    /// Time after which a death is no longer counted.
    duration retention{600'000};
    /// Resolution of death times, as in quarantine_policy.
    duration observation_step{1'000};
    /// Time after the connection of a run was lost in which the death of its endpoint may still be detected.
    duration death_detection_timeout{10'000};
    /// A part on which an answer began within this time is not blocked: deaths of many endpoints at the same moment can
    /// precede the next answer.
    duration proof_lifetime{3'000};
    /// Time for which the last answer on a part is remembered.
    duration proof_retention{60'000};
    /// Time from the latest death of a blocked part to its next trial; doubles with each death after the second.
    duration first_trial_after{15'000};
    /// Maximum number of parts with deaths, and of parts with remembered answers.
    std::size_t max_parts = 16'384;
};

/// @brief What may be done with a request, by the parts of its prompt.
enum class part_state
{
    clear,
    /// A part is blocked, and the time until its next trial has passed: one request with it may run.
    on_trial,
    /// A part is blocked.
    blocked,
};

template <>
struct enum_names<part_state>
{
    static constexpr std::array rows{enum_name<part_state>{part_state::clear, "clear"},
                                     enum_name<part_state>{part_state::on_trial, "on_trial"},
                                     enum_name<part_state>{part_state::blocked, "blocked"}};
};

/// @brief Verdict on the parts of a prompt.
struct part_verdict
{
    part_state state = part_state::clear;
    /// The part that is blocked for the longest time, the last one of several; unset when the state is `clear`.
    fingerprint part;
    /// Time of its next trial.
    time_point until;
};

/// @brief Blocks the parts of prompts that crash the engines which begin to answer them, over all instances.
///
/// No two requests with such a part need be alike, and each shares its other parts with sound requests. A death of an
/// endpoint is recorded for all parts of the runs that had not begun their answers. The first event of an answer clears
/// its parts, at all instances: a part that crashes engines never gets one. A part is blocked from its second death,
/// unless the deaths are explained by a part that the request does not have: one with as many deaths and no answer. So
/// a part that was only present when another one crashed endpoints is not blocked for the requests without that one.
///
/// Evidence is exchanged in notices, whose merge is commutative, associative and idempotent. A blocked part is tried
/// again by a single run, after a time that doubles with each death.
class part_quarantine
{
  public:
    explicit part_quarantine(const part_quarantine_policy& policy = {});

    /// @brief Records that a run begins; a run without parts is not tracked.
    void run_started(attempt_id attempt, std::vector<fingerprint> parts, const endpoint_id& endpoint);
    /// @brief Records that the answer of a run has begun; calls after the first are ignored. O(parts).
    /// @return notices to send to peers, for the parts whose deaths this cleared
    std::vector<quarantine_notice> answer_began(attempt_id attempt, time_point now);
    /// @brief Records the end of a run whose answer has not begun; other attempts are ignored.
    void run_ended(attempt_id attempt, run_end end, time_point now);
    /// @brief Records that the process of an endpoint died, see crash_quarantine::endpoint_died(). O(tracked runs).
    /// @return notices to send to peers, for the parts of the runs whose answers had not begun
    std::vector<quarantine_notice> endpoint_died(const endpoint_id& endpoint, time_point now);
    /// @brief Records proof that an endpoint has not died. O(tracked runs).
    void endpoint_survived(const endpoint_id& endpoint);
    /// @brief Merges a peer's notice and what this instance knows of the part. O(deaths).
    /// @return the merged notice, to be forwarded to further peers; empty when the notice had nothing new
    std::optional<quarantine_notice> merge(const quarantine_notice& notice, time_point now);

    /// @brief Whether a request with these parts may run. O(parts), and O(parts with deaths) for a part with two.
    [[nodiscard]] part_verdict verdict_of(std::span<const fingerprint> parts, time_point now) const;
    /// @brief True while a run with the part is in progress whose answer has not begun. O(tracked runs).
    [[nodiscard]] bool has_run(fingerprint part) const;
    /// @brief Up to `max_count` notices, those with the latest deaths first, to synchronise peers. O(n log n).
    [[nodiscard]] std::vector<quarantine_notice> notices(std::size_t max_count, time_point now) const;
    /// @brief Removes what has expired. To be called every few seconds.
    void purge(time_point now);
    /// @brief Number of parts with a history.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return histories_.size();
    }

  private:
    struct run
    {
        std::vector<fingerprint> parts;
        endpoint_id endpoint;
        /// When the connection was lost; empty while the run is in progress.
        std::optional<time_point> lost_at;
    };
    using deaths = std::vector<death_history::observation>;

    [[nodiscard]] quarantine_notice notice_of(fingerprint part) const;
    /// Applies the last answer that this instance has seen on a part to the part's history.
    /// @return true when that changed the history
    bool apply_proof(fingerprint part);
    /// Clears the deaths of a part up to a time. @return true when that changed its history
    bool clear_deaths(fingerprint part, time_point until);
    /// Finds or adds the history of a part; null when max_parts is reached.
    death_history* history_of(fingerprint part, time_point now);
    /// Deaths of a part that count; empty while an answer on it is recent.
    [[nodiscard]] deaths deaths_of(fingerprint part, time_point now) const;
    /// Deaths of parts that a prompt does not have and that have enough deaths to be blocked.
    [[nodiscard]] deaths deaths_of_others(std::span<const fingerprint> parts, time_point now) const;
    [[nodiscard]] bool is_explained(const death_history::observation& death, const deaths& others) const;
    [[nodiscard]] duration trial_delay(std::size_t death_count) const;

    part_quarantine_policy policy_;
    std::unordered_map<fingerprint, death_history> histories_;
    /// Time of the last answer that began on a part.
    std::unordered_map<fingerprint, time_point> proofs_;
    /// Runs whose answers have not begun.
    std::unordered_map<attempt_id, run> runs_;
};

} // namespace parsleyshift
