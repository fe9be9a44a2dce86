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

/// @brief Queues the requests of one pool (service x zone group) and grants permits for its endpoints.
///
/// Requests wait here and not at the engines (late binding): a permit names an endpoint only when the endpoint has a
/// free slot and memory for the expected growth of everything that runs there. Classes of the reserved lane may use
/// a part of slots and memory that other classes cannot take. Inside a class the order is that of QueueOrder; between
/// classes the level, raised by the waiting time of the first request, decides. A permit ends when it is returned,
/// when its endpoint is removed or when it is not renewed by permit_registration within its lifetime. Every event
/// costs O(log n) in the waiting requests plus, per grant, the examination of a bounded number of endpoints.
///
/// Bound on waiting: a request that waits longer than `patience` keeps work of the shared lane from taking the room
/// it needs, and its class gains one level per `aging_step`; so it starts or is denied by its start_by at the latest.
///
/// After a restart the scheduler learns the running work from registrations and load reports; endpoints without a
/// report get no work during `slow_start` and at most `unknown_slots` permits afterwards.
///
/// @tparam QueueOrder order inside a class
/// @tparam EndpointChoice preference among endpoints with room
template <queue_order QueueOrder, endpoint_choice EndpointChoice>
class basic_pool_scheduler
{
  public:
    /// @param lengths estimates shared with the other pools of this instance; learns from returned permits and must
    /// outlive the scheduler
    /// @param seed for permit numbers, sampling and jitter; differs between incarnations
    basic_pool_scheduler(pool_id pool, const scheduler_settings& settings, length_estimator& lengths,
                         std::uint64_t seed, time_point now, EndpointChoice choice = {});

    /// @brief Defines or redefines a class of work; unknown classes get a default record. Constant time.
    void set_class(const priority_record& record);
    /// @brief Sets a customer's share under load; 1 for customers that are not set. Constant time.
    /// @param weight above 0
    void set_customer_weight(const customer_id& customer, double weight);

    scheduling_decisions add_endpoint(const endpoint_id& endpoint, time_point now);
    /// @brief Forgets an endpoint; permits for it end.
    scheduling_decisions remove_endpoint(const endpoint_id& endpoint, time_point now);
    /// @brief No new work for the endpoint from now on; permits in use stay valid.
    void endpoint_leaving(const endpoint_id& endpoint);
    /// @param weight in [0, 1] from outlier detection; 0 for an ejected endpoint
    scheduling_decisions set_health(const endpoint_id& endpoint, double weight, time_point now);
    scheduling_decisions report(const load_report& report, time_point now);

    /// @brief A request arrives. A repeated request that waits is ignored; one that holds a permit gets the same
    /// grant again, so that a request never holds two permits.
    scheduling_decisions request(const instance_id& from, const permit_request& request, time_point now);
    /// @brief The requester no longer waits, or does not want the permit that it was granted.
    scheduling_decisions withdraw(const instance_id& from, const permit_withdrawal& withdrawal, time_point now);
    /// @brief A permit is returned with the true length, which is learned when the attempt completed.
    scheduling_decisions give_back(const instance_id& from, const permit_return& returned, time_point now);
    /// @brief Renews a permit, or learns of one that another scheduler or the instance itself has issued. A permit for
    /// an endpoint that is not known here is not counted until add_endpoint() and a later renewal.
    scheduling_decisions register_permit(const instance_id& from, const permit_registration& registration,
                                         time_point now);
    /// @brief The permits in use at an endpoint, with the output expected to exist now. Linear in them.
    [[nodiscard]] std::vector<active_permit> running_at(const endpoint_id& endpoint, time_point now) const
    {
        return endpoints_.permits_at(endpoint, now);
    }
    /// @brief Output tokens per millisecond of one stream at an endpoint.
    [[nodiscard]] double pace_of(const endpoint_id& endpoint) const
    {
        return endpoints_.pace_of(endpoint);
    }
    /// @brief Offers a run a place at another endpoint: a further permit of the same request, granted before all that
    /// waits. The requester returns the permit that it does not use.
    /// @param run from running_at()
    /// The run may use the room that is kept for the reserved lane: it would be lost.
    /// @param preference added to the score of each endpoint with room, in shares of its capacity; nothing: not there
    /// @return nothing when no endpoint has room
    template <class Preference>
    std::optional<scheduling_decision> offer_place(const active_permit& run, time_point now, Preference preference);
    /// @brief Handles what is due: start deadlines, expired permits, the end of the slow start.
    scheduling_decisions advance(time_point now);
    /// @brief Time when advance() must be called next; never when nothing is due. Constant time.
    [[nodiscard]] time_point next_deadline() const;

    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return requests_waiting_;
    }
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
        /// Position in the queue; 0 when the request holds a permit.
        std::uint64_t sequence = 0;
        permit_id permit;
        time_point start_by;
    };
    struct start_deadline
    {
        time_point at;
        std::uint64_t sequence = 0;
        work_key key;

        friend auto operator<=>(const start_deadline&, const start_deadline&) = default;
    };

    std::size_t class_index(const class_id& name);
    [[nodiscard]] waiting_work describe(const instance_id& from, const work_description& work,
                                        const priority_record& record, time_point now);
    void enqueue(std::size_t class_at, const waiting_work& work, time_point now, scheduling_decisions& out);
    waiting_work take_waiting(std::size_t class_at, std::uint64_t sequence);
    [[nodiscard]] duration expected_wait(const class_type& target, const waiting_work& work, time_point now) const;
    void drop_waiting(const work_key& key);
    void expire(time_point now, scheduling_decisions& out);
    void deny(const waiting_work& work, error_kind kind, duration wait, scheduling_decisions& out);
    void dispatch(time_point now, std::optional<endpoint_table::index> hint, scheduling_decisions& out);
    bool grant_next(time_point now, std::optional<endpoint_table::index> hint, scheduling_decisions& out);
    void order_classes(time_point now);
    std::optional<endpoint_table::index> choose(const waiting_work& work, const room_request& need,
                                                std::optional<endpoint_table::index> hint, time_point now);
    [[nodiscard]] room_request room_for(const priority_record& record, const waiting_work& work) const;
    [[nodiscard]] double score(const waiting_work& work, lane uses, endpoint_table::index at, time_point now);
    void grant(std::size_t class_at, endpoint_table::index at, time_point now, scheduling_decisions& out);
    void repeat_grant(const instance_id& from, const request_state& state, scheduling_decisions& out) const;
    std::optional<endpoint_table::index> forget_permit(permit_id permit, time_point now);

    pool_id pool_;
    scheduler_settings settings_;
    length_estimator* lengths_;
    EndpointChoice choice_;
    random_source random_;
    endpoint_table endpoints_;
    std::vector<class_type> classes_;
    std::unordered_map<class_id, std::size_t> class_index_;
    std::unordered_map<customer_id, double> weights_;
    std::unordered_map<work_key, request_state, work_key_hash> requests_;
    std::set<start_deadline> deadlines_;
    struct ranked_class
    {
        double level = 0.0;
        std::size_t at = 0;
    };
    std::vector<ranked_class> class_order_;
    std::size_t requests_waiting_ = 0;
    std::uint64_t next_sequence_ = 1;
    std::uint64_t next_permit_ = 0;
    time_point slow_start_ends_;
    /// An endpoint has read so much that waiting work may fit again.
    time_point next_read_ = never;
};

/// @brief The scheduler that the daemon uses unless routing supplies a choice: fair by customer, no preference.
using pool_scheduler = basic_pool_scheduler<fair_queue, no_preference>;

} // namespace parsleyshift

#include <parsleyshift/scheduling/detail/pool_scheduler_impl.hpp>

namespace parsleyshift
{

extern template class basic_pool_scheduler<fair_queue, no_preference>;

} // namespace parsleyshift
