#pragma once

#include <parsleyshift/core/clock.hpp>           // duration, time_point
#include <parsleyshift/core/error.hpp>           // error
#include <parsleyshift/core/ids.hpp>             // fingerprint, endpoint_id, attempt_id
#include <parsleyshift/messages/peer.hpp>        // quarantine_notice
#include <parsleyshift/quarantine/suspicion.hpp> // suspicion

#include <cstddef>       // size_t
#include <optional>      // optional
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief Bounds of the quarantine.
struct quarantine_policy
{
    /// Time for which a death counts against a fingerprint.
    duration keep{600'000};
    /// Steps in which times of death are kept; observations of one endpoint in the same or in adjacent steps are one
    /// death, since instances see a broken link within a few hundred milliseconds of each other. The death of a run
    /// that began after an earlier death was known is another one, however soon it follows.
    duration same_death{1'000};
    /// Time after a broken run in which the endpoint may still be found dead.
    duration death_delay{10'000};
    /// Most fingerprints remembered; further ones displace suspects before convicts.
    std::size_t most_fingerprints = 16'384;
};

/// @brief What may be done with a request.
enum class run_verdict
{
    /// Nothing speaks against it.
    clear,
    /// One endpoint died while running it: it may run where no other suspect runs.
    suspect,
    /// A further run broke and it is not known yet whether the endpoint died; wait.
    held,
    /// Two endpoints died while running it.
    quarantined,
};

template <>
struct enum_names<run_verdict>
{
    static constexpr std::array rows{enum_name<run_verdict>{run_verdict::clear, "clear"},
                                     enum_name<run_verdict>{run_verdict::suspect, "suspect"},
                                     enum_name<run_verdict>{run_verdict::held, "held"},
                                     enum_name<run_verdict>{run_verdict::quarantined, "quarantined"}};
};

/// @brief How a run ended.
enum class run_end
{
    /// The endpoint finished it; proves that the request does not kill every endpoint that runs it.
    completed,
    /// The endpoint answered that it did not run it, or that the run failed, or the run was cancelled.
    stopped,
    /// The link broke; the endpoint may have died.
    broken,
};

/// @brief Recognises requests that kill endpoints, over resends and instances.
///
/// Each fingerprint that ran on an endpoint when it died gets a mark; two marks of distinct deaths convict. One death
/// marks the innocent requests beside the killer as well. They are restarted, but until one of their runs completes,
/// which removes their marks, they are suspects: a suspect runs only on an endpoint where this instance runs no other
/// suspect, so that the next death gives at most one suspect its second mark.
///
/// A broken run counts as a mark of its own until the endpoint is found dead or alive, so that a resend cannot run
/// while the death is not yet known.
///
/// The conviction depends on a fingerprint's own marks only, never on those of others: two killers on one endpoint are
/// both held to two deaths. The price is that an innocent request can be convicted when it sits beside two different
/// killers before a run of it completes.
class crash_quarantine
{
  public:
    explicit crash_quarantine(const quarantine_policy& policy = {});

    /// @brief A run begins, or a broken one is resumed under the same attempt. O(1) on average.
    void started(attempt_id attempt, fingerprint request, const endpoint_id& endpoint);
    /// @brief A run ended. O(1) on average; an unknown attempt is ignored.
    /// @return the notice to spread when a completed run removed marks
    std::optional<quarantine_notice> ended(attempt_id attempt, run_end how, time_point now);
    /// @brief An endpoint's process died: its connections were reset and new ones are refused, or the list shows it
    /// gone. Silence alone is no proof, and an endpoint that left as planned has not died. Must be called within
    /// `death_delay` of the broken runs.
    /// @return notices to spread; one per fingerprint that was running, O(their number)
    std::vector<quarantine_notice> endpoint_died(const endpoint_id& endpoint, time_point now);
    /// @brief An endpoint proved that it has not died: broken runs on it leave no mark. O(runs there).
    void endpoint_alive(const endpoint_id& endpoint);
    /// @brief A peer's notice. Notices can arrive in any order and repeatedly. O(deaths in it).
    /// @return true when it told something new, so that it should be spread further
    bool merge(const quarantine_notice& notice, time_point now);

    /// @brief What is known about a request. O(1) on average.
    [[nodiscard]] run_verdict verdict(fingerprint request, time_point now) const;
    /// @brief True when a run of a request may begin at an endpoint now; checked before each attempt. O(runs there).
    [[nodiscard]] bool may_run(fingerprint request, const endpoint_id& endpoint, time_point now) const;
    /// @brief The error of a request that may not run: quarantined until expiry.
    [[nodiscard]] error rejection(fingerprint request, time_point now) const;

    /// @brief What this instance knows about a fingerprint, to spread it or to send it with a rejection.
    [[nodiscard]] std::optional<quarantine_notice> notice_of(fingerprint request) const;
    /// @brief Up to `most` notices of live marks, to bring a new peer up to date. O(fingerprints).
    [[nodiscard]] std::vector<quarantine_notice> notices(std::size_t most, time_point now) const;
    /// @brief Forgets what has expired. O(fingerprints + broken runs); to be called every few seconds.
    void purge(time_point now);
    /// @brief Fingerprints remembered.
    [[nodiscard]] std::size_t size() const noexcept;

  private:
    struct run
    {
        fingerprint request;
        endpoint_id endpoint;
        /// Set once the link broke.
        std::optional<time_point> broke;
        /// The latest death of the endpoint that was marked when the run began; the endpoint has started again since.
        std::optional<time_point> death_before;
    };
    using attempt_list = std::vector<attempt_id>;

    void erase_run(attempt_id attempt);
    [[nodiscard]] bool counts(const run& known, time_point now) const;
    [[nodiscard]] std::size_t runs_of(fingerprint request, time_point now) const;
    [[nodiscard]] std::size_t broken_runs_of(fingerprint request, time_point now) const;
    [[nodiscard]] bool suspect_runs_at(const endpoint_id& endpoint, time_point now) const;
    [[nodiscard]] std::size_t deaths_of(fingerprint request, time_point now) const;
    [[nodiscard]] std::size_t marks_of(fingerprint request, time_point now) const;
    [[nodiscard]] std::vector<run> runs_at(const endpoint_id& endpoint, time_point now) const;
    [[nodiscard]] time_point step_of(time_point when) const;
    [[nodiscard]] time_point death_time(const run& dead, time_point now) const;
    suspicion& suspicion_of(fingerprint request, time_point now);
    void make_room(time_point now);

    quarantine_policy policy_;
    std::unordered_map<fingerprint, suspicion> suspicions_;
    std::unordered_map<attempt_id, run> runs_;
    std::unordered_map<endpoint_id, attempt_list> by_endpoint_;
    std::unordered_map<fingerprint, attempt_list> by_request_;
};

} // namespace parsleyshift
