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

/// @brief Time limits for the evacuation of leaving endpoints.
struct evacuation_settings
{
    /// Assumed time from the first notice that an endpoint is leaving until it is gone; the shortest notices are 1.5 s.
    duration notice_period{2'000};
    /// A run expected to end more than this long before the end of the notice period migrates after all others.
    duration safety_margin{600};
    /// Time after which a migration is abandoned and the next run of the endpoint migrates; copying the largest run to
    /// another zone takes 0.5 s.
    duration migration_timeout{900};
    /// Delay before a run that could not migrate, for example because it had not started yet, is tried again.
    duration retry_interval{150};
    /// Maximum number of attempts to migrate one run; at the retry interval they span about half of the notice period.
    int max_attempts = 8;
};

/// @brief A run, that is a request with an active permit, at a leaving endpoint.
struct leaving_run
{
    /// Permit of the run at the leaving endpoint; identifies the run.
    permit_id permit;
    /// Tokens in memory, which determine the copy time.
    std::int64_t tokens = 0;
    /// Expected time until the run completes.
    duration expected_remaining{};
    /// Relative value of completing the run; only ratios between runs matter.
    double value = 0;
    int attempts = 0;
    /// Earliest time of the next attempt.
    time_point not_before{};
};

/// @brief Determines the order in which runs migrate from leaving endpoints to others.
///
/// Copies from one endpoint share its network link. Two concurrent copies take as long as two consecutive ones, but
/// both end late, and the final step of a migration, during which the run is paused, would queue behind the initial
/// copies of other runs. Therefore one run per endpoint migrates at a time, in descending order of worth per token.
/// Runs expected to complete in time migrate last; they do migrate, because the expected length is rarely accurate.
class evacuation_planner
{
  public:
    explicit evacuation_planner(evacuation_settings settings = {}) : settings_(settings) {}

    /// @brief Starts the evacuation of a leaving endpoint with the given runs; ignored if it has been started before.
    void start(const endpoint_id& endpoint, std::vector<leaving_run> runs, time_point now);
    /// @brief The run to migrate next, at any endpoint without a migration in progress, or nothing. The caller must
    /// call start_move() or postpone() for it.
    [[nodiscard]] std::optional<permit_id> next(time_point now) const;
    /// @brief Starts the migration of a run that was granted a permit at another endpoint.
    /// @param destination_permit permit of the run at the destination
    void start_move(permit_id run, permit_id destination_permit, const endpoint_id& destination, time_point now);
    /// @brief Defers a run because no endpoint has capacity for it; counts as an attempt.
    void postpone(permit_id run, time_point now);
    /// @brief Handles a returned permit. The permit of a run ends its migration or removes it from the plan; the
    /// permit at the destination means that the migration failed, and the run is tried again later.
    void permit_returned(permit_id permit, time_point now);
    /// @brief Whether a run is planned for migration or is migrating.
    [[nodiscard]] bool is_pending(permit_id run) const;
    /// @brief Abandons migrations that exceed the timeout, and the waiting runs of endpoints that are gone.
    void expire(time_point now);
    /// @brief Time of the next timeout or attempt; `never` when nothing is pending.
    [[nodiscard]] time_point next_deadline() const;
    /// @brief Whether a run is migrating to the endpoint.
    [[nodiscard]] bool is_destination(const endpoint_id& endpoint) const;

  private:
    struct active_migration
    {
        leaving_run run;
        permit_id destination_permit;
        endpoint_id destination;
        time_point deadline;
    };
    struct evacuation_plan;

    /// Schedules another attempt after the other runs, or drops the run after max_attempts.
    void requeue(evacuation_plan& plan, leaving_run run, time_point now) const;

    struct evacuation_plan
    {
        /// In reverse order: the next run to migrate is at the back.
        std::vector<leaving_run> waiting;
        std::optional<active_migration> current;
        /// When the endpoint is expected to be gone.
        time_point notice_end;
    };

    evacuation_settings settings_;
    std::unordered_map<endpoint_id, evacuation_plan> plans_;
};

} // namespace parsleyshift
