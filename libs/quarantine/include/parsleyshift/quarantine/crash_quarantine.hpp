#pragma once

#include <parsleyshift/core/clock.hpp>               // duration, time_point
#include <parsleyshift/core/error.hpp>               // error
#include <parsleyshift/core/ids.hpp>                 // fingerprint, endpoint_id, attempt_id
#include <parsleyshift/messages/peer.hpp>            // quarantine_notice
#include <parsleyshift/quarantine/death_history.hpp> // death_history

#include <cstddef>       // size_t
#include <optional>      // optional
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief Time and memory bounds of the quarantine.
struct quarantine_policy
{
    /// Time after which a death is no longer counted.
    duration retention{600'000};
    /// Resolution of death times. Observations of one endpoint in the same or in adjacent steps count as one death,
    /// since instances detect a lost connection within a few hundred milliseconds of each other. The death of a run
    /// that began after an earlier death was recorded counts separately, however soon it follows.
    duration observation_step{1'000};
    /// Time after the connection of a run was lost in which the death of its endpoint may still be detected.
    duration death_detection_timeout{10'000};
    /// Maximum number of fingerprints with a history; further ones evict suspects before quarantined requests.
    std::size_t max_fingerprints = 16'384;
};

/// @brief What may be done with a request.
enum class quarantine_state
{
    /// It has no recorded death and no disconnected run: it may run anywhere.
    clear,
    /// One endpoint died while running it, or one run was disconnected: it may run once at a time, where no other
    /// suspect runs.
    suspect,
    /// Recorded deaths and disconnected runs add up to two or more: it must wait until the endpoints of the
    /// disconnected runs are found dead or alive.
    held,
    /// Two endpoints died while running it: it must not run.
    quarantined,
};

template <>
struct enum_names<quarantine_state>
{
    static constexpr std::array rows{enum_name<quarantine_state>{quarantine_state::clear, "clear"},
                                     enum_name<quarantine_state>{quarantine_state::suspect, "suspect"},
                                     enum_name<quarantine_state>{quarantine_state::held, "held"},
                                     enum_name<quarantine_state>{quarantine_state::quarantined, "quarantined"}};
};

/// @brief How a run ended.
enum class run_end
{
    /// The endpoint finished it, which is taken as evidence that the request does not crash endpoints and clears its
    /// recorded deaths.
    completed,
    /// The endpoint answered that it did not run it, or that the run failed, or the run was cancelled.
    stopped,
    /// The connection was lost (a disconnected run); the endpoint may have died.
    connection_lost,
};

/// @brief Quarantines requests that crash endpoints, across resends and instances.
///
/// The death of an endpoint is recorded for each fingerprint that ran on it; two distinct deaths quarantine a
/// fingerprint. One death is also recorded for the harmless requests that ran beside the crashing one. They are
/// restarted, but are suspects until one of their runs completes, which clears their deaths. A suspect runs only on an
/// endpoint where this instance runs no other suspect, so that one further death can quarantine at most one suspect.
///
/// A disconnected run counts like a death until the endpoint is found dead or alive, so that a resend cannot run before
/// the death is detected. A run is tracked while it is in progress, and while it is disconnected and the death of its
/// endpoint may still be detected.
///
/// Whether a fingerprint is quarantined depends only on its own deaths, never on those of others: two crashing requests
/// on one endpoint are each limited to two deaths. In exchange, a harmless request can be quarantined when it runs
/// beside two different crashing requests before one of its runs completes.
class crash_quarantine
{
  public:
    explicit crash_quarantine(const quarantine_policy& policy = {});

    /// @brief Records that a run begins, or that a disconnected one is resumed under the same attempt. O(1) on average.
    void run_started(attempt_id attempt, fingerprint request, const endpoint_id& endpoint);
    /// @brief Records the end of a run. O(1) on average; an unknown attempt is ignored.
    /// @return the notice to send to peers when a completed run cleared deaths
    std::optional<quarantine_notice> run_ended(attempt_id attempt, run_end end, time_point now);
    /// @brief Records that the process of an endpoint died: its connections were reset and new ones are refused, or it
    /// is gone from the instance list. A missing answer alone does not suffice, and an endpoint that left as planned
    /// has not died. Must be called within `death_detection_timeout` after the connections of its runs were lost.
    /// O(runs at the endpoint).
    /// @return notices to send to peers, one per fingerprint that ran at the endpoint
    std::vector<quarantine_notice> endpoint_died(const endpoint_id& endpoint, time_point now);
    /// @brief Records proof that an endpoint has not died: its disconnected runs are no longer counted as possible
    /// deaths. O(runs at the endpoint).
    void endpoint_survived(const endpoint_id& endpoint);
    /// @brief Merges a peer's notice. Notices may arrive in any order and repeatedly; an expired one is ignored.
    /// O(deaths in it).
    /// @return true when it changed the history, so that it should be forwarded to further peers
    bool merge(const quarantine_notice& notice, time_point now);

    /// @brief Whether and how a request may run. O(1) on average.
    [[nodiscard]] quarantine_state state_of(fingerprint request, time_point now) const;
    /// @brief True when a run of a request may begin at an endpoint now. To be checked before each attempt. O(runs
    /// at the endpoint).
    [[nodiscard]] bool may_run(fingerprint request, const endpoint_id& endpoint, time_point now) const;
    /// @brief The error for a quarantined request; retry_after is the time until its deaths expire.
    [[nodiscard]] error rejection(fingerprint request, time_point now) const;

    /// @brief The history of a fingerprint as a notice for peers; nothing when it has none.
    [[nodiscard]] std::optional<quarantine_notice> notice_of(fingerprint request) const;
    /// @brief Up to `max_count` notices of fingerprints with deaths that have not expired, to synchronise a new peer.
    /// O(fingerprints).
    [[nodiscard]] std::vector<quarantine_notice> notices(std::size_t max_count, time_point now) const;
    /// @brief Removes expired histories and the disconnected runs that are no longer tracked. To be called every few
    /// seconds. O(fingerprints + runs).
    void purge(time_point now);
    /// @brief Number of fingerprints with a history.
    [[nodiscard]] std::size_t size() const noexcept;

  private:
    struct run
    {
        fingerprint request;
        endpoint_id endpoint;
        /// When the connection was lost; empty while the run is in progress.
        std::optional<time_point> disconnected_at;
        /// Latest death of the endpoint that was recorded for the request when the run began; the endpoint has
        /// restarted since.
        std::optional<time_point> previous_death;
    };
    using attempt_list = std::vector<attempt_id>;

    void erase_run(attempt_id attempt);
    /// The run is in progress, or was disconnected so recently that the death of its endpoint may still be detected.
    [[nodiscard]] bool is_tracked(const run& candidate, time_point now) const;
    /// Tracked runs of a request.
    [[nodiscard]] std::size_t tracked_run_count(fingerprint request, time_point now) const;
    /// Tracked runs of a request that are disconnected.
    [[nodiscard]] std::size_t disconnected_run_count(fingerprint request, time_point now) const;
    /// Whether a tracked run at an endpoint is of a request whose verdict is not `clear`.
    [[nodiscard]] bool has_suspect_run(const endpoint_id& endpoint, time_point now) const;
    [[nodiscard]] std::size_t death_count(fingerprint request, time_point now) const;
    /// Recorded deaths and tracked disconnected runs.
    [[nodiscard]] std::size_t possible_death_count(fingerprint request, time_point now) const;
    /// Tracked runs at an endpoint.
    [[nodiscard]] std::vector<run> tracked_runs_at(const endpoint_id& endpoint, time_point now) const;
    /// Time to record for the death that ended a run.
    [[nodiscard]] time_point death_time(const run& ended_run, time_point now) const;
    /// Finds or adds the history of a fingerprint.
    death_history& history_of(fingerprint request, time_point now);
    /// Evicts one history when `max_fingerprints` is reached and none has expired.
    void evict_if_full(time_point now);

    quarantine_policy policy_;
    std::unordered_map<fingerprint, death_history> histories_;
    std::unordered_map<attempt_id, run> runs_;
    std::unordered_map<endpoint_id, attempt_list> attempts_by_endpoint_;
    std::unordered_map<fingerprint, attempt_list> attempts_by_request_;
};

} // namespace parsleyshift
