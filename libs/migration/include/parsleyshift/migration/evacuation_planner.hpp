#pragma once

#include <parsleyshift/core/clock.hpp> // duration, time_point
#include <parsleyshift/core/ids.hpp>   // endpoint_id, permit_id

#include <cstdint>       // int64_t
#include <optional>      // optional
#include <unordered_map> // unordered_map
#include <unordered_set> // unordered_set
#include <vector>        // vector

namespace parsleyshift
{

/// @brief Bounds of moving runs away from endpoints that leave.
struct evacuation_settings
{
    /// Time from the first sign that an endpoint leaves until it is gone; the shortest notices are 1.5 s.
    duration notice{2'000};
    /// A run that is expected to end this long before the endpoint is gone moves after all others.
    duration safety{600};
    /// Time for which one run may keep the others of its endpoint waiting; copying the largest run to another zone
    /// takes 0.5 s.
    duration patience{900};
    /// Time after which a run that could not move is tried again: it may not have begun yet.
    duration retry{150};
    /// Tries of one run.
    int most_tries = 8;
};

/// @brief A run at an endpoint that leaves.
struct leaving_run
{
    permit_id permit;
    /// Tokens in memory, which the time of the copy depends on.
    std::int64_t tokens = 0;
    /// Time until the run ends by itself.
    duration expected_left{};
    /// What an answer is worth, in any unit.
    double worth = 0;
    int tries = 0;
    /// Not offered a place before.
    time_point not_before{};
};

/// @brief Decides in which order the runs of leaving endpoints move.
///
/// Copies from one endpoint share its link. Two at once take as long as one after the other but both end late, and the
/// last step of a move, during which the run stands still, would wait behind the first copies of others. So one run of
/// each endpoint moves at a time; the one that is worth most for its tokens goes first. Runs that should end in time go
/// last, since the expected length is seldom right.
class evacuation_planner
{
  public:
    explicit evacuation_planner(evacuation_settings settings = {}) : settings_(settings) {}

    /// @brief An endpoint leaves with these runs; a second sign of the same endpoint changes nothing.
    void begin(const endpoint_id& endpoint, std::vector<leaving_run> runs, time_point now);
    /// @brief The run to move next, of any endpoint whose last move has ended. Call offered() or postpone() for it.
    [[nodiscard]] std::optional<permit_id> next(time_point now) const;
    /// @brief A run was offered a place at another endpoint. @param place permit there
    void offered(permit_id run, permit_id place, const endpoint_id& to, time_point now);
    /// @brief No endpoint has room for the run now.
    void postpone(permit_id run, time_point now);
    /// @brief A permit was returned. The run's own ends its move; that of the place means that the run stays for now.
    void returned(permit_id permit, time_point now);
    /// @brief True while a run may still be offered a place.
    [[nodiscard]] bool waits(permit_id run) const;
    /// @brief Drops moves that take too long and endpoints that are gone.
    void expire(time_point now);
    [[nodiscard]] time_point next_deadline() const;
    /// @brief True when a run is on its way to the endpoint.
    [[nodiscard]] bool receives(const endpoint_id& endpoint) const;

  private:
    struct move
    {
        leaving_run run;
        permit_id place;
        endpoint_id to;
        time_point give_up;
    };
    struct evacuation;

    /// A run that could not move waits behind the others for another try.
    void try_later(evacuation& leaving, leaving_run run, time_point now) const;

    struct evacuation
    {
        /// The run that is worth most comes last.
        std::vector<leaving_run> waiting;
        std::optional<move> current;
        time_point over;
    };

    evacuation_settings settings_;
    std::unordered_map<endpoint_id, evacuation> leaving_;
};

} // namespace parsleyshift
