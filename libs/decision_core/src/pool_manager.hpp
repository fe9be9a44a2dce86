#pragma once

#include "core_state.hpp" // core_state

#include <parsleyshift/migration/evacuation_planner.hpp>   // evacuation_planner
#include <parsleyshift/scheduling/local_share_chooser.hpp> // local_share_chooser
#include <parsleyshift/scheduling/pool_scheduler.hpp>      // basic_pool_scheduler

#include <memory>        // unique_ptr
#include <optional>      // optional
#include <unordered_map> // unordered_map

namespace parsleyshift::detail
{

/// @brief Preference of a pool scheduler for endpoints near the requesting instance and with a cached prefix.
struct pool_preference
{
    const core_state* state = nullptr;

    double operator()(const instance_id& from, const work_description& work, const endpoint_id& endpoint) const;
};

/// @brief The pools as this instance sees them: which instance schedules each, the schedulers that run here, and the
/// local choice without a scheduler.
class pool_manager
{
  public:
    explicit pool_manager(core_state& state) : state_(state) {}

    /// @brief Pool in which work of a service should run: the own region first, then any with endpoints in service.
    [[nodiscard]] std::optional<pool_id> pool_for(const service_id& service) const;
    /// @brief Instance that schedules a pool, by rendezvous hashing over the live members of its region.
    const instance_id& host_of(const pool_id& pool);

    /// @brief An endpoint with room in this instance's own share, or nothing.
    std::optional<endpoint_id> choose_locally(const pool_id& pool, std::int64_t memory);
    void attempt_started(const pool_id& pool, const endpoint_id& endpoint, std::int64_t memory);
    void attempt_ended(const pool_id& pool, const endpoint_id& endpoint, std::int64_t memory);

    void handle(const instance_id& from, const permit_request& request);
    void handle(const instance_id& from, const permit_withdrawal& withdrawal);
    void handle(const instance_id& from, const permit_return& returned);
    void handle(const instance_id& from, const permit_registration& registration);
    void handle(const instance_id& from, const endpoint_health_notice& notice);

    void endpoints_changed(const directory_change& change);
    void endpoint_leaving(const endpoint_id& endpoint);
    void load_reported(const load_report& report);
    void health_changed(const endpoint_id& endpoint);
    void records_changed();
    void members_changed();

    /// @brief Lets the schedulers here offer runs at leaving endpoints a place elsewhere.
    void enable_moves()
    {
        moves_enabled_ = true;
    }

    void advance();
    [[nodiscard]] time_point next_deadline() const;
    [[nodiscard]] bool hosts(const pool_id& pool) const
    {
        return hosted_.contains(pool);
    }
    [[nodiscard]] std::vector<pool_id> hosted() const;
    [[nodiscard]] std::size_t waiting() const;

  private:
    using scheduler = basic_pool_scheduler<fair_queue, pool_preference>;

    scheduler& host(const pool_id& pool);
    void configure(scheduler& target) const;
    void carry_out(const scheduling_decisions& decisions);
    local_share_chooser& local(const pool_id& pool);
    [[nodiscard]] instance_id choose_host(const pool_id& pool) const;
    [[nodiscard]] double weight_of(const endpoint_id& endpoint) const;

    struct leaving_permit
    {
        pool_id pool;
        zone_id zone;
        active_permit run;
    };

    void evacuate(const endpoint_entry& leaving);
    void offer_places();
    bool offer_place(const leaving_permit& leaving);

    core_state& state_;
    bool moves_enabled_ = false;
    evacuation_planner evacuations_;
    /// The runs that wait for a place elsewhere.
    std::unordered_map<permit_id, leaving_permit> leaving_;
    std::unordered_map<pool_id, std::unique_ptr<scheduler>> hosted_;
    std::unordered_map<pool_id, std::unique_ptr<local_share_chooser>> local_;
    std::unordered_map<pool_id, instance_id> host_of_;
};

} // namespace parsleyshift::detail
