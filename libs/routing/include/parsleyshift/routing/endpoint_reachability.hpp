#pragma once

#include <parsleyshift/core/clock.hpp> // duration, never, time_point
#include <parsleyshift/core/ids.hpp>   // endpoint_id

#include <cstddef> // size_t
#include <vector>  // vector

namespace parsleyshift
{

/// @brief Whether this instance reaches endpoints at all.
///
/// One endpoint that does not answer has failed; when none of several answers, this instance has lost its links. A
/// doubt arises when nothing has arrived from any endpoint since an attempt failed or for `doubt_after` since one was
/// sent. Then several endpoints are probed, and unless one of them answers the links count as lost, until any endpoint
/// answers. Nothing from any endpoint is needed while nothing is sent.
class endpoint_reachability
{
  public:
    /// Endpoints probed in one round; fewer than `min_probes` decide nothing.
    static constexpr std::size_t probes_per_round = 3;
    static constexpr std::size_t min_probes = 2;

    /// @brief Records that an attempt was sent.
    void record_sent(time_point now);
    /// @brief Records anything that arrived from an endpoint.
    /// @return true if the links had counted as lost
    bool record_answer();
    /// @brief Records an attempt that failed without an answer.
    void record_failure(time_point now);
    /// @brief Whether a round of probes is due; the caller then calls begin_round().
    [[nodiscard]] bool round_due(time_point now) const;
    /// @brief Time at which a round becomes due; `never` without a doubt.
    [[nodiscard]] time_point next_round() const;
    /// @brief Begins a round.
    /// @param probed different endpoints that the caller probes; at most probes_per_round
    void begin_round(std::vector<endpoint_id> probed, time_point now);
    /// @brief Records that a probe of the round was not answered.
    /// @return true if the links now count as lost and did not before
    bool record_unanswered_probe(const endpoint_id& endpoint, time_point now);
    [[nodiscard]] bool lost() const noexcept
    {
        return lost_;
    }
    /// @brief True from the start of a doubt until an endpoint answers: failures of single endpoints prove nothing.
    [[nodiscard]] bool in_doubt(time_point now) const
    {
        return lost_ || !unanswered_.empty() || round_due(now);
    }

  private:
    /// Time since an attempt was sent, without anything from any endpoint, after which a doubt arises. A plain request
    /// is answered within a fraction of it, and a sound endpoint may be silent for longer.
    static constexpr duration doubt_after{500};
    /// Time since a failed attempt, likewise.
    static constexpr duration doubt_after_failure{60};
    /// Time between two rounds while the links count as lost, and otherwise.
    static constexpr duration lost_round_interval{500};
    static constexpr duration round_interval{1'000};

    /// Time from which a missing answer raises a doubt; `never` when nothing was sent since the last answer.
    time_point doubt_at_ = never;
    time_point next_allowed_round_ = time_point::min();
    /// Probes of the current round without a result.
    std::vector<endpoint_id> unanswered_;
    std::size_t round_size_ = 0;
    bool lost_ = false;
};

} // namespace parsleyshift
