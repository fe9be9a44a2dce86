#pragma once

#include <parsleyshift/core/clock.hpp>                     // time_point
#include <parsleyshift/core/error.hpp>                     // error_kind
#include <parsleyshift/core/ids.hpp>                       // pool_id
#include <parsleyshift/core/random_source.hpp>             // random_source
#include <parsleyshift/messages/endpoint.hpp>              // load_report
#include <parsleyshift/messages/peer.hpp>                  // permit_request
#include <parsleyshift/records/record.hpp>                 // priority_record
#include <parsleyshift/scheduling/endpoint_choice.hpp>     // endpoint_choice
#include <parsleyshift/scheduling/endpoint_table.hpp>      // endpoint_table
#include <parsleyshift/scheduling/fair_queue.hpp>          // fair_queue
#include <parsleyshift/scheduling/length_estimator.hpp>    // length_estimator
#include <parsleyshift/scheduling/queue_order.hpp>         // queue_order
#include <parsleyshift/scheduling/scheduler_settings.hpp>  // scheduler_settings
#include <parsleyshift/scheduling/scheduling_decision.hpp> // scheduling_decisions
#include <parsleyshift/scheduling/work_class.hpp>          // work_class

#include <cstddef>       // size_t
#include <cstdint>       // int64_t
#include <optional>      // optional
#include <set>           // set
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief What restricts the starts at an endpoint.
struct start_restrictions
{
    /// Requests per second, from all instances together; nothing without a limit.
    std::optional<double> starts_per_second{};
    /// The endpoint gets no new requests.
    bool excluded = false;
};

/// @brief Queues the requests of one pool (service x zone group) and grants permits for its endpoints.
///
/// Requests are queued here and not at the engines (late binding): a permit names an endpoint only once the endpoint
/// has a free slot and enough memory for the expected growth of all its requests. A share of slots and memory is
/// reserved for the classes of the reserved lane. Within a class requests run in the order of QueueOrder; among classes
/// the one with the highest priority goes first: its level, raised with the waiting time of the first request. Late
/// requests of a queue that knows latency objectives come after all others. A request whose regions are full blocks
/// only the endpoints that it may use. A permit ends when it is returned, when its endpoint is removed or when no
/// permit_registration renews it within its lifetime. Every event costs O(log n) in the queued requests plus, per
/// grant, the examination of a bounded number of endpoints.
///
/// Bound on waiting: the first request of a class of the shared lane blocks lower-ranked requests from the shared
/// capacity once it has waited for `reservation_delay`, and each class gains one level per `aging_step` of waiting.
/// Every request is granted or denied by its start_by at the latest.
///
/// After a restart the scheduler rebuilds its state from registrations and load reports. Endpoints without a load
/// report get no requests during `slow_start` and at most `default_slots` permits afterwards.
///
/// Functions that return scheduling_decisions leave it to the caller to send them to the instances.
///
/// @tparam QueueOrder queueing discipline within a class
/// @tparam EndpointChoice preference among endpoints with free capacity
template <queue_order QueueOrder, endpoint_choice EndpointChoice>
class basic_pool_scheduler
{
  public:
    /// @param lengths estimator shared with the other pools of this instance; updated from returned permits; must
    /// outlive the scheduler
    /// @param seed for permit numbers, sampling and jitter; must differ between restarts
    basic_pool_scheduler(pool_id pool, const scheduler_settings& settings, length_estimator& lengths,
                         std::uint64_t seed, time_point now, EndpointChoice choice = {});

    /// @brief Sets the record of a class; a class without one has a default-constructed priority_record with its name.
    /// Constant time.
    void set_class(const priority_record& record);
    /// @brief Sets the fair-queueing weight of a customer's future requests; the default is 1. Constant time.
    /// @param weight above 0
    void set_customer_weight(const customer_id& customer, double weight);

    /// @brief Adds an endpoint if it does not exist, and sets what restricts its starts before the first grant.
    scheduling_decisions add_endpoint(const endpoint_id& endpoint, time_point now,
                                      const start_restrictions& restrictions = {});
    /// @brief Removes an endpoint and ends its permits.
    scheduling_decisions remove_endpoint(const endpoint_id& endpoint, time_point now);
    /// @brief Excludes an endpoint from new grants; its permits stay valid.
    void endpoint_leaving(const endpoint_id& endpoint);
    /// @brief Excludes an endpoint from new grants, or admits it again; its permits stay valid.
    scheduling_decisions set_excluded(const endpoint_id& endpoint, bool excluded, time_point now);
    /// @brief Sets the health weight of an endpoint.
    /// @param weight in [0, 1] from outlier detection; 0 for an ejected endpoint, which gets no requests
    scheduling_decisions set_health(const endpoint_id& endpoint, double weight, time_point now);
    /// @brief Sets the limit on the requests per second at an endpoint.
    /// @param starts_per_second nothing to end the limit
    scheduling_decisions set_start_limit(const endpoint_id& endpoint, std::optional<double> starts_per_second,
                                         time_point now);
    /// @brief Allows or forbids grants at endpoints with a start limit; forbidden at first. Only one scheduler of the
    /// pool may grant them.
    void allow_paced_starts(bool allowed, time_point now);
    /// @brief Applies a load report; ignored if not newer than the last one or from an unknown endpoint.
    scheduling_decisions report(const load_report& report, time_point now);

    /// @brief Queues a request, and grants or denies it if possible. A repeated message for a queued request is
    /// ignored; for a request that holds a permit it resends the same grant, so that a request never gets two permits
    /// this way.
    scheduling_decisions request(const instance_id& from, const permit_request& request, time_point now);
    /// @brief Removes a queued request, or ends its permit if it was granted meanwhile.
    scheduling_decisions withdraw(const instance_id& from, const permit_withdrawal& withdrawal, time_point now);
    /// @brief Ends a returned permit. If the attempt completed, its output length updates the length estimator.
    scheduling_decisions return_permit(const instance_id& from, const permit_return& returned, time_point now);
    /// @brief Renews a permit, or adds one that was issued by another scheduler or by the instance itself. A permit for
    /// an unknown endpoint is not counted until add_endpoint() and a later renewal. Dequeues the request if it is
    /// queued.
    scheduling_decisions register_permit(const instance_id& from, const permit_registration& registration,
                                         time_point now);
    /// @brief Copies of the active permits at an endpoint, with produced_tokens as estimated for now. Linear in their
    /// number.
    [[nodiscard]] std::vector<active_permit> permits_at(const endpoint_id& endpoint, time_point now) const
    {
        return endpoints_.permits_at(endpoint, now);
    }
    /// @brief Estimated output tokens per millisecond of one stream at an endpoint; 0.03 for an unknown endpoint.
    [[nodiscard]] double decode_rate(const endpoint_id& endpoint) const
    {
        return endpoints_.decode_rate(endpoint);
    }
    /// @brief Estimated pace of an engine; the default values for an unknown one.
    [[nodiscard]] pace_summary pace_of(const endpoint_id& endpoint, time_point now) const
    {
        return endpoints_.pace_of(endpoint, now);
    }
    /// @brief Grants a running request a second permit at another endpoint, to migrate there, ahead of all queued
    /// requests. The requester returns the permit that it does not use. The request may use the capacity of the
    /// reserved lane, because otherwise it would be lost with its endpoint.
    /// @param run from permits_at()
    /// @param preference callable that returns for an endpoint the bonus added to its score, as a fraction of its
    /// capacity, or nothing to exclude the endpoint
    /// @return the grant, or nothing when no endpoint has enough capacity
    template <class Preference>
    std::optional<scheduling_decision> grant_move(const active_permit& run, time_point now, Preference preference);
    /// @brief Handles passed start deadlines, expired permits and the end of the slow start; grants what has become
    /// possible.
    scheduling_decisions advance(time_point now);
    /// @brief Time by which advance() must be called next; `never` when nothing is pending. Constant time.
    [[nodiscard]] time_point next_deadline() const;

    /// @brief Number of queued requests.
    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return queued_count_;
    }
    /// @brief Number of active permits.
    [[nodiscard]] std::size_t permits() const noexcept
    {
        return endpoints_.permit_count();
    }
    [[nodiscard]] std::size_t endpoint_count() const noexcept
    {
        return endpoints_.size();
    }

  private:
    using class_type = work_class<QueueOrder>;
    struct request_state
    {
        std::size_t class_index = 0;
        /// Sequence number in the queue; 0 when the request holds a permit.
        std::uint64_t sequence = 0;
        permit_id permit;
        time_point start_by;
    };
    struct start_deadline
    {
        time_point time;
        std::uint64_t sequence = 0;
        request_key key;

        friend auto operator<=>(const start_deadline&, const start_deadline&) = default;
    };

    /// The first request of one group of a class's queue.
    struct candidate
    {
        double aged_priority = 0.0;
        std::size_t class_index = 0;
        const queued_request* request = nullptr;
        lane work_lane = lane::shared;
        bool late = false;
        /// Has waited for `reservation_delay` in the shared lane.
        bool reserves = false;
    };
    /// What a candidate may use of an endpoint that a candidate before it waits for.
    enum class usable_room
    {
        all,
        reserved_share,
        none,
    };
    /// A set of regions to which requests are restricted.
    struct region_group
    {
        region_set regions;
        time_point last_request;
    };

    std::size_t find_or_add_class(const class_id& name);
    /// Number of a request's set of regions; 0 for all regions.
    std::size_t group_of(const region_set& regions, time_point now);
    /// Counts the memory of a permit among what its customer holds, or removes it.
    void hold(const active_permit& permit, double sign);
    [[nodiscard]] static bool is_late(const class_type& target, const queued_request& queued);
    [[nodiscard]] static double late_cost(const class_type& target);
    /// Starts or stops the measurement of the rate of late starts.
    static void update_late_rate(class_type& target, time_point now);
    [[nodiscard]] queued_request make_queued_request(const instance_id& from, const work_description& work,
                                                     const priority_record& record, time_point now);
    void enqueue(std::size_t class_index, queued_request queued, time_point now, scheduling_decisions& out);
    /// Denies a request that is not expected to start by its latest start. Marks one that is not expected to start in
    /// time, but by its latest start, as late.
    /// @return true if it was denied
    bool deny_early(class_type& target, queued_request& queued, time_point now, scheduling_decisions& out);
    /// Time until a late request is expected to start; 0 without a measured rate.
    [[nodiscard]] duration expected_late_wait(const class_type& target, double late_cost_ahead, time_point now) const;
    queued_request dequeue(std::size_t class_index, std::uint64_t sequence);
    /// Time in which the class, at its service rate in tokens per millisecond, serves the tokens queued ahead of the
    /// request; 0 without a measured rate.
    [[nodiscard]] duration expected_wait(const class_type& target, const queued_request& queued, time_point now) const;
    void drop_queued(const request_key& key);
    void expire(time_point now, scheduling_decisions& out);
    /// Moves requests behind those in time when they have become late; denies those that will not start any more.
    void demote_late(time_point now, scheduling_decisions& out);
    void deny(class_type& target, const queued_request& queued, error_kind kind, duration wait, time_point now,
              scheduling_decisions& out);
    void deny_as_too_large(const queued_request& queued, std::int64_t memory, scheduling_decisions& out);
    /// Grants queued requests until none fits. A changed endpoint is examined in addition to the sampled ones.
    void dispatch(time_point now, std::optional<endpoint_table::index> changed_endpoint, scheduling_decisions& out);
    bool grant_next(time_point now, std::optional<endpoint_table::index> changed_endpoint, scheduling_decisions& out);
    void rank_classes(time_point now);
    std::optional<endpoint_table::index> choose_endpoint(const candidate& wanted, const resource_demand& demand,
                                                         std::optional<endpoint_table::index> changed_endpoint,
                                                         time_point now);
    /// What the candidates in blocked_ leave of an endpoint.
    [[nodiscard]] usable_room room_beside_blocked(const candidate& wanted, endpoint_table::index endpoint_index) const;
    [[nodiscard]] bool may_use(const queued_request& queued, endpoint_table::index endpoint_index) const;
    /// Penalty of an endpoint that work with fewer regions than the request may need.
    [[nodiscard]] double restricted_room_penalty(const queued_request& queued, endpoint_table::index endpoint_index,
                                                 time_point now) const;
    [[nodiscard]] resource_demand demand_of(const priority_record& record, const queued_request& queued) const;
    [[nodiscard]] double score(const queued_request& queued, const resource_demand& demand,
                               endpoint_table::index endpoint_index, time_point now);
    void grant(const candidate& chosen, endpoint_table::index endpoint_index, time_point now,
               scheduling_decisions& out);
    void resend_grant(const instance_id& from, const request_state& state, scheduling_decisions& out) const;
    std::optional<endpoint_table::index> end_permit(permit_id permit, time_point now);

    pool_id pool_;
    scheduler_settings settings_;
    length_estimator* lengths_;
    EndpointChoice choice_;
    random_source random_;
    endpoint_table endpoints_;
    std::vector<class_type> classes_;
    std::unordered_map<class_id, std::size_t> class_index_;
    std::unordered_map<customer_id, double> customer_weights_;
    std::unordered_map<request_key, request_state, request_key_hash> requests_;
    std::set<start_deadline> deadlines_;
    /// What each customer with permits holds, in tokens.
    std::unordered_map<customer_id, double> held_;
    std::vector<region_group> region_groups_;
    /// Buffers, kept to avoid allocations.
    std::vector<candidate> candidates_;
    /// Candidates that fit at no endpoint, in order.
    std::vector<candidate> blocked_;
    std::vector<const queued_request*> fronts_;
    std::size_t queued_count_ = 0;
    std::uint64_t next_sequence_ = 1;
    std::uint64_t next_permit_ = 0;
    time_point slow_start_ends_;
    /// Time when the prefill backlog or the start limit of an endpoint allows another request; `never` without queued
    /// requests.
    time_point next_capacity_ = never;
};

/// @brief Pool scheduler with fair queueing by customer and no preference among endpoints.
using pool_scheduler = basic_pool_scheduler<fair_queue, no_preference>;

} // namespace parsleyshift

#include <parsleyshift/scheduling/detail/pool_scheduler_impl.hpp>

namespace parsleyshift
{

extern template class basic_pool_scheduler<fair_queue, no_preference>;

} // namespace parsleyshift
