#pragma once

#include "core_state.hpp" // core_state

#include <parsleyshift/migration/evacuation_planner.hpp>   // evacuation_planner
#include <parsleyshift/scheduling/local_share_chooser.hpp> // local_share_chooser
#include <parsleyshift/scheduling/pool_scheduler.hpp>      // basic_pool_scheduler
#include <parsleyshift/scheduling/start_order.hpp>         // start_order

#include <cstddef>       // size_t
#include <map>           // map
#include <memory>        // unique_ptr
#include <optional>      // optional
#include <unordered_map> // unordered_map

namespace parsleyshift::detail
{

/// @brief Numbers of endpoints by what keeps them from getting a request.
using obstacle_counts = std::map<start_obstacle, std::size_t>;

/// @brief Preference of a pool scheduler for endpoints that are near the requesting instance or have cached prefixes of
/// the prompt, among those that may serve the work.
struct pool_preference
{
    core_state* state = nullptr;

    /// @brief See core_state::may_serve().
    [[nodiscard]] bool allows(const region_set& regions, const endpoint_id& endpoint) const;
    /// @return the preference, as a share of the endpoint's capacity; 0 for an unlisted endpoint
    double operator()(const instance_id& requester, const work_description& work, const endpoint_id& endpoint) const;
};

/// @brief Maps pools to the instances that schedule them, runs the schedulers of this instance, and chooses endpoints
/// from this instance's local share while a pool's scheduler does not answer.
///
/// The local share is the part of each endpoint's capacity that this instance may use without a scheduler's permit:
/// one part in the number of live instances.
class pool_manager
{
  public:
    explicit pool_manager(core_state& state) : state_(state) {}

    /// @brief Pool in which work of a service should run: that of this instance's region, else any other, in both cases
    /// only with an endpoint that may serve the work.
    /// @param regions regions in which the work may run
    /// @return nothing when there is no such pool
    [[nodiscard]] std::optional<pool_id> pool_for(const service_id& service, const region_set& regions = {}) const;
    /// @brief Instance that schedules a pool: by rendezvous hashing over the live members of the pool's region, or of
    /// all regions when that one has none.
    const instance_id& scheduler_instance_of(const pool_id& pool);

    /// @brief What this instance knows about limits that the endpoints of a pool have stated.
    [[nodiscard]] std::vector<endpoint_notice> known_limits(const pool_id& pool) const;
    /// @brief Endpoints of a pool that accept no request of this instance for some time.
    [[nodiscard]] std::vector<endpoint_id> paused_endpoints(const pool_id& pool) const;
    /// @brief Endpoints of a pool that must not get a request of this instance now; see
    /// core_state::obstacle_to_start().
    /// @param regions regions in which the request may be served
    [[nodiscard]] std::vector<endpoint_id> ineligible_endpoints(const pool_id& pool, const region_set& regions) const;
    /// @brief Number of endpoints of a service for each obstacle, `none` included, that decides for all instances; see
    /// core_state::conditions_of().
    /// @param regions regions in which the request may be served
    [[nodiscard]] obstacle_counts count_obstacles(const service_id& service, const region_set& regions) const;
    /// @brief True if endpoints of a service are in evacuated zones, and all others are leaving.
    [[nodiscard]] bool is_evacuated(const service_id& service) const;
    /// @brief Earliest time at which an endpoint of a service accepts requests of this instance again.
    /// @param regions regions in which the request may be served; other endpoints do not count
    /// @return nothing unless all endpoints of the service that are neither leaving nor in evacuated zones pause
    [[nodiscard]] std::optional<time_point> first_pause_end(const service_id& service, const region_set& regions) const;
    /// @brief True for an endpoint of a plain service that gets only requests which the scheduler of its pool has
    /// granted: it limits its requests per second, or an endpoint of its pool is brittle.
    [[nodiscard]] bool needs_grant(const endpoint_entry& entry) const;
    /// @brief Chooses an endpoint with free capacity in this instance's local share.
    /// @param memory expected size of the KV cache of the work, in tokens
    /// @param regions regions in which the work may run
    /// @return nothing when no endpoint that may serve the work has enough free capacity
    std::optional<endpoint_id> choose_locally(const pool_id& pool, std::int64_t memory, const region_set& regions);
    /// @brief Counts an attempt and its expected memory, in tokens, against the local share until attempt_ended().
    void attempt_started(const pool_id& pool, const endpoint_id& endpoint, std::int64_t memory);
    /// @brief Releases what attempt_started() has counted; the arguments must be the same.
    void attempt_ended(const pool_id& pool, const endpoint_id& endpoint, std::int64_t memory);

    /// @brief Handles a message of a peer, or of this instance, to a pool's scheduler. Requests and registrations start
    /// the scheduler here if it does not run yet; without one, withdrawals are ignored and returns only end planned
    /// moves.
    void handle(const instance_id& from, const permit_request& request);
    void handle(const instance_id& from, const permit_withdrawal& withdrawal);
    void handle(const instance_id& from, const permit_return& returned);
    void handle(const instance_id& from, const permit_registration& registration);
    /// @brief Handles a peer's health notice; its expiry is bounded by the configured lifetime.
    void handle(const instance_id& from, const endpoint_health_notice& notice);

    /// @brief Handles a peer's notice of what an endpoint has stated; limits of an unlisted endpoint are ignored.
    void handle(const instance_id& from, const endpoint_notice& notice);
    /// @brief Records what an endpoint stated about itself in the answer to a request of this instance, and tells peers
    /// what is new. Ignored when another process has taken the endpoint's id.
    /// @param process process start number of the endpoint that the request was sent to
    /// @param sent when the request was sent
    void record_answer(const endpoint_id& endpoint, incarnation process, const endpoint_statement& stated,
                       time_point sent);
    /// @brief Records that an endpoint is leaving, pauses or is cold, if it has stated so in an answer of any kind.
    /// @param sent when the request was sent; the earliest time if that is unknown
    void record_availability(const endpoint_id& endpoint, const endpoint_statement& stated,
                             time_point sent = time_point::min());

    /// @brief Sets how many requests per second the cold endpoints of services bear.
    void set_cold_starts(const std::vector<forwarding_service>& services);
    /// @brief Records which endpoints of a list are cold; called after the directory and before endpoints_changed().
    void record_cold_endpoints(const instances_listed& list);

    /// @brief Handles a request that an endpoint has rejected for want of room: a brittle one gets none for a while.
    void reject_for_room(const endpoint_id& endpoint);

    /// @brief Applies a change of the endpoint directory, after the directory itself has been updated.
    void endpoints_changed(const directory_change& change);
    /// @brief Stops new work at a leaving endpoint and, with moves enabled, plans the moves of its runs.
    void endpoint_leaving(const endpoint_id& endpoint);
    /// @brief Excludes the endpoints of evacuated zones from the schedulers of this instance, and admits all others.
    void evacuated_zones_changed();
    /// @brief Passes a load report to the schedulers and the local share; ignored for an unlisted endpoint.
    void load_reported(const load_report& report);
    /// @brief Applies the current health weight of an endpoint; ignored for an unlisted endpoint.
    void health_changed(const endpoint_id& endpoint);
    /// @brief Forgets what this instance has measured of all endpoints' health.
    void forget_health();
    /// @brief Applies the current priority and customer records to the schedulers of this instance.
    void records_changed();
    /// @brief Reassigns pools to instances and resizes the local shares by the number of live members.
    void members_changed();

    /// @brief Lets the schedulers of this instance offer runs at leaving endpoints a permit for another endpoint.
    void enable_moves()
    {
        moves_enabled_ = true;
    }

    /// @brief Handles everything that is due; called after each event and at next_deadline().
    void advance();
    /// @brief Time at which advance() must be called if no event occurs earlier.
    [[nodiscard]] time_point next_deadline() const;
    /// @brief True when the scheduler of a pool runs at this instance.
    [[nodiscard]] bool schedules(const pool_id& pool) const
    {
        return schedulers_.contains(pool);
    }
    /// @brief Pools whose schedulers run at this instance.
    [[nodiscard]] std::vector<pool_id> scheduled_pools() const;
    /// @brief Number of requests that wait for a permit at the schedulers of this instance.
    [[nodiscard]] std::size_t waiting() const;

  private:
    /// Logs the estimate of a registration's engine if it has changed.
    void report_pace(const permit_registration& registration, const pace_summary& estimate);
    using scheduler = basic_pool_scheduler<start_order, pool_preference>;

    /// The pool's scheduler at this instance, which is started if it does not run yet.
    scheduler& get_or_start_scheduler(const pool_id& pool);
    void apply_records(scheduler& local_scheduler) const;
    [[nodiscard]] start_restrictions restrictions_of(const endpoint_entry& entry) const;
    /// Assumes a load for endpoints that report none, so that the scheduler uses them.
    void assume_loads(scheduler& local_scheduler, const pool_id& pool);
    /// Applies the limit of an endpoint to this instance's scheduler of its pool and to the local share.
    void apply_start_limit(const endpoint_entry& entry);
    /// Sends the notice about an endpoint to the scheduler of its pool and spreads it among peers.
    void tell_peers(const endpoint_entry& entry);
    /// Applies and logs that an endpoint is cold or no longer is.
    void cold_changed(const endpoint_id& endpoint, cold_endpoints::change change, const std::string& source);
    /// Logs a statement that cannot be read, once for each endpoint.
    void report_unreadable(const endpoint_id& endpoint, const std::string& unreadable);
    /// Applies a changed limit and tells the pool's scheduler and other peers.
    void start_limit_changed(const endpoint_entry& entry, const std::string& source);
    [[nodiscard]] bool has_brittle_endpoint(const pool_id& pool) const;
    /// Lets exactly the schedulers of pools that are assigned to this instance grant starts at limited endpoints.
    void assign_paced_starts();
    void send_decisions(const scheduling_decisions& decisions);
    local_share_chooser& get_or_make_chooser(const pool_id& pool);
    [[nodiscard]] instance_id choose_scheduler_instance(const pool_id& pool) const;
    /// The lower of the health weights that this instance and its peers have measured.
    [[nodiscard]] double health_weight(const endpoint_id& endpoint) const;

    struct leaving_permit
    {
        pool_id pool;
        /// Zone of the leaving endpoint.
        zone_id zone;
        active_permit run;
    };

    /// Plans the moves of all runs at a leaving endpoint.
    void plan_moves(const endpoint_entry& leaving);
    void offer_move_permits();
    /// Offers a run a permit for another endpoint. Returns false when there is none.
    bool offer_move_permit(const leaving_permit& leaving);

    core_state& state_;
    bool moves_enabled_ = false;
    evacuation_planner move_planner_;
    /// Runs that wait for a permit for another endpoint, by their permit for the leaving one.
    std::unordered_map<permit_id, leaving_permit> leaving_permits_;
    std::unordered_map<pool_id, std::unique_ptr<scheduler>> schedulers_;
    std::unordered_map<pool_id, std::unique_ptr<local_share_chooser>> local_choosers_;
    /// Factors of engines' estimated pace as last logged.
    std::unordered_map<endpoint_id, double> reported_paces_;
    time_point last_advance_ = never;
    /// Results of choose_scheduler_instance(); cleared when the members or the endpoints change.
    std::unordered_map<pool_id, instance_id> scheduler_instances_;
};

} // namespace parsleyshift::detail
