#pragma once

#include <parsleyshift/core/clock.hpp>                    // time_point
#include <parsleyshift/core/ids.hpp>                      // endpoint_id, permit_id
#include <parsleyshift/messages/endpoint.hpp>             // load_report
#include <parsleyshift/messages/peer.hpp>                 // work_description
#include <parsleyshift/records/record.hpp>                // lane
#include <parsleyshift/scheduling/engine_pace.hpp>        // engine_pace
#include <parsleyshift/scheduling/length_estimator.hpp>   // length_estimator
#include <parsleyshift/scheduling/memory_forecast.hpp>    // stream_growth
#include <parsleyshift/scheduling/queue_order.hpp>        // request_key
#include <parsleyshift/scheduling/scheduler_settings.hpp> // scheduler_settings
#include <parsleyshift/scheduling/start_pacer.hpp>        // start_pacer

#include <cstddef>       // size_t
#include <cstdint>       // int64_t
#include <deque>         // deque
#include <optional>      // optional
#include <set>           // set
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief A permit that has been granted or registered and has neither been returned nor expired.
struct active_permit
{
    permit_id id;
    /// Request that holds the permit.
    request_key key;
    endpoint_id endpoint;
    customer_id customer;
    class_id work_class;
    /// Lane of the request's class.
    lane work_lane = lane::shared;
    std::int64_t prompt_tokens = 0;
    /// Output limit of the request; 0 for none.
    std::int64_t max_tokens = 0;
    /// Expected total output; raised when the output exceeds it.
    std::int64_t expected_tokens = 0;
    /// Value of expected_tokens when the permit was added.
    std::int64_t initial_expected_tokens = 0;
    /// Output tokens at the time tokens_as_of: from the last registration, or, in copies from permits_at(), estimated.
    std::int64_t produced_tokens = 0;
    time_point tokens_as_of;
    time_point granted;
    time_point expires;
    int priority = 0;
    /// The output has reached straggler_factor times initial_expected_tokens.
    bool straggler = false;
    /// False for a migrated request, whose prompt and output arrive in the copied memory.
    bool needs_prefill = true;
    /// Regions whose endpoints may serve the request.
    region_set regions{};
    /// Cost of the request in its queue; 0 for a permit of another scheduler.
    double cost = 0.0;
    /// Time that the endpoint needs to read the prompt; set by endpoint_table::insert().
    duration prefill_time{};
    /// Expected end of the prefill; set by endpoint_table::insert().
    time_point prefill_end;
    /// Longest time between two events with which the answer is on time; 0 for no limit.
    duration gap_objective{};
    /// The run started in time and has not paused for longer than gap_objective.
    bool on_time = true;
    /// The time to the first event has been registered.
    bool first_event_seen = false;
};

/// @brief Slots and memory that a request needs at an endpoint.
struct resource_demand
{
    lane work_lane = lane::shared;
    std::int64_t prompt_tokens = 0;
    std::int64_t expected_tokens = 0;
    /// Allows only the reserved share; true for a request of the reserved lane while a request of the shared lane has
    /// waited for `reservation_delay` without finding capacity.
    bool reserved_share_only = false;
    /// False for a migrated request, whose prompt and output arrive in the copied memory.
    bool needs_prefill = true;
    /// Longest time between two events with which the answer is on time; 0 for no limit.
    duration gap_objective{};
    /// The request can still be answered in time. One that cannot may be paused, but pauses no run that is on time.
    bool on_time = true;
    /// The request has waited so long that it may soon be late. It may pause one run, since it would be late otherwise.
    bool urgent = false;
};

/// @brief Endpoints of a pool with their active permits; checks whether a request fits at an endpoint.
///
/// Load without an active permit in this table (from other schedulers, instances that choose endpoints without a
/// scheduler, permits not registered yet) is the difference between a load report and the permits active when it was
/// measured; it is called unattributed load. Functions that take an index require one of an endpoint in the table.
class endpoint_table
{
  public:
    /// @brief Identifies an endpoint in the table; may be reused after remove().
    using index = std::size_t;

    /// @param lengths must outlive the table
    endpoint_table(const scheduler_settings& settings, const length_estimator& lengths);

    /// @brief Adds an endpoint, or returns the index of an existing one. Constant time.
    index add(const endpoint_id& endpoint);
    /// @brief Removes an endpoint and its permits. Linear in its permits.
    /// @return the requests that held the permits; empty for an unknown endpoint
    std::vector<request_key> remove(const endpoint_id& endpoint);
    /// @brief Excludes an endpoint from new requests; its permits stay active.
    void set_leaving(const endpoint_id& endpoint);
    /// @brief Excludes an endpoint from new requests, or admits it again; its permits stay active.
    void set_excluded(const endpoint_id& endpoint, bool excluded);
    /// @brief Sets the health weight of an endpoint.
    /// @param weight clamped to [0, 1]; an endpoint of weight 0 gets no requests
    void set_health(const endpoint_id& endpoint, double weight);
    /// @brief Sets the limit on the requests per second at an endpoint.
    /// @param starts_per_second nothing to end the limit
    void set_start_limit(const endpoint_id& endpoint, std::optional<double> starts_per_second, time_point now);
    /// @brief Allows or forbids grants at endpoints with a start limit. When they are allowed again, each endpoint gets
    /// half of its limit for scheduler_settings::takeover_caution.
    void allow_paced_starts(bool allowed, time_point now);
    /// @brief Earliest time at which an endpoint with a start limit allows a start; `never` when no endpoint waits for
    /// one. Linear in the endpoints.
    [[nodiscard]] time_point next_paced_start(time_point now) const;
    /// @brief Applies a load report; ignored if not newer than the last one or from an unknown endpoint. Linear in the
    /// endpoint's permits.
    void report(const load_report& report, time_point now);
    /// @brief Adds a permit and, if necessary, its endpoint; ignored if the permit exists. Constant time apart from the
    /// expiry index.
    /// @param already_reported the last load report may include the permit, so the unattributed load shrinks by it
    void insert(const active_permit& permit, bool already_reported);
    /// @brief Renews a permit for permit_lifetime and updates its output.
    /// @param tokens output tokens so far
    /// @return false when there is no such permit
    bool renew(permit_id permit, std::int64_t tokens, time_point now);
    /// @brief Removes a permit and the part of its prefill that is still expected. Linear in the endpoint's permits.
    /// @return the permit, or nothing when there is no such permit
    std::optional<active_permit> erase(permit_id permit, time_point now);
    /// @brief A permit that has expired but is still in the table, or nothing. Constant time.
    [[nodiscard]] std::optional<permit_id> expired(time_point now) const;
    /// @brief Time when the next permit expires; `never` without permits. Constant time.
    [[nodiscard]] time_point next_expiry() const;

    /// @brief Memory of the largest endpoint that is not leaving, in tokens. Linear in the endpoints.
    /// @return nothing without endpoints, or if the memory of one is unknown
    [[nodiscard]] std::optional<std::int64_t> largest_memory() const;
    /// @brief Learns an engine's pace from a registration, before renew() applies it; ignored for permits without a
    /// gap_objective and for unknown ones. Linear in the endpoints.
    /// @return true if the engine was unknown before
    bool record_pace(const permit_registration& registration, const instance_id& from, time_point now);
    /// @brief Estimated pace of an endpoint; the default values for an unknown one. Linear in the runs of the engine
    /// that were measured.
    [[nodiscard]] pace_summary pace_of(const endpoint_id& endpoint, time_point now) const;
    /// @brief Whether an endpoint has the slots, memory and prefill capacity for a request now, keeps the gaps of its
    /// runs, and allows the start.
    /// O(n log n) in the endpoint's permits, usually O(n).
    [[nodiscard]] bool fits(index endpoint_index, const resource_demand& demand, time_point now);
    /// @brief Larger of slot and memory utilization, divided by the health weight; 0 when idle, about 1 when full.
    /// Constant time.
    [[nodiscard]] double utilization(index endpoint_index) const;
    /// @brief Prefill time outstanding at an endpoint, as a fraction of max_prefill_backlog. Constant time.
    [[nodiscard]] double prefill_backlog_share(index endpoint_index, time_point now) const;
    /// @brief Earliest time when the prefill backlog of an endpoint falls to max_prefill_backlog, or when a request
    /// that was kept from it by its pace may fit; `never` when neither is awaited. Linear in the endpoints.
    [[nodiscard]] time_point next_prefill_capacity(time_point now) const;
    /// @brief Adds a sample of the inter-token latency (ITL) of one stream to the moving average of its endpoint;
    /// ignored if not positive. Linear in the endpoints.
    void record_inter_token_latency(const endpoint_id& endpoint, duration latency);
    /// @brief Excess of an endpoint's average inter-token latency over the median of the pool's endpoints, as a
    /// fraction of the median; 0 without samples.
    [[nodiscard]] double slowness(index endpoint_index) const;
    /// @brief The slowness of an endpoint for a request: for one with a gap_objective at an engine that is known to be
    /// slow or that is unknown, the time that it needs there longer than at others, which is less for a short output.
    [[nodiscard]] double slowness_for(index endpoint_index, const resource_demand& demand, time_point now) const;
    /// @brief Whether a straggler runs at an endpoint.
    [[nodiscard]] bool has_stragglers(index endpoint_index) const;
    /// @brief Health weight of an endpoint in [0, 1].
    [[nodiscard]] double health(index endpoint_index) const;
    [[nodiscard]] const endpoint_id& id_of(index endpoint_index) const;
    /// @brief Index of an endpoint, or nothing when it is not in the table.
    [[nodiscard]] std::optional<index> find(const endpoint_id& endpoint) const;
    /// @brief Endpoints that accept requests and have a free slot, in no particular order.
    [[nodiscard]] const std::vector<index>& available() const noexcept
    {
        return available_;
    }
    /// @brief Number of endpoints.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return index_of_.size();
    }
    /// @brief An active permit, valid until it is removed.
    /// @return nullptr when there is no such permit
    [[nodiscard]] const active_permit* permit(permit_id permit) const;
    /// @brief Copies of the active permits at an endpoint, with produced_tokens as estimated for now. Linear in their
    /// number.
    [[nodiscard]] std::vector<active_permit> permits_at(const endpoint_id& endpoint, time_point now) const;
    /// @brief Estimated output tokens per millisecond of one stream at an endpoint; 0.03 for an unknown endpoint.
    [[nodiscard]] double decode_rate(const endpoint_id& endpoint) const;
    [[nodiscard]] std::size_t permit_count() const noexcept
    {
        return permits_.size();
    }
    /// @brief Ends the slow start, after which endpoints without a load report get up to default_slots requests.
    void finish_slow_start();

  private:
    struct ended_permit
    {
        time_point time;
        /// Prompt and output tokens in memory at the end.
        std::int64_t memory_tokens = 0;
    };
    struct endpoint_entry
    {
        endpoint_id id;
        bool in_use = false;
        bool reported = false;
        bool leaving = false;
        bool excluded = false;
        bool in_available = false;
        /// Position in available_.
        std::size_t available_position = 0;
        std::int64_t slots = 0;
        /// Tokens; 0 when unknown.
        std::int64_t memory_capacity = 0;
        double health = 1.0;
        /// Load in the last report without an active permit.
        std::int64_t unattributed_running = 0;
        std::int64_t unattributed_memory = 0;
        /// Permits of the shared lane.
        std::int64_t shared_permits = 0;
        std::int64_t stragglers = 0;
        /// Prompt and expected output tokens of all permits.
        std::int64_t expected_memory = 0;
        /// Moving average of the output tokens per millisecond of one stream; 30 tokens/s until measured.
        double decode_rate = 0.03;
        time_point reported_as_of;
        /// Moving average; 0 without samples.
        double inter_token_latency_ms = 0.0;
        /// Expected end of the prefill of all prompts sent to the endpoint.
        time_point prefill_until;
        engine_pace pace;
        /// Time at which a request that the pace has excluded may fit; `never` if there is none.
        time_point pace_retry = never;
        start_pacer pacer;
        std::vector<active_permit*> permits;
        /// Permits that ended after the last report was measured; a report in transit may still count them.
        std::deque<ended_permit> recent_ends;
    };
    struct expiry
    {
        time_point time;
        permit_id permit;

        friend auto operator<=>(const expiry&, const expiry&) = default;
    };

    [[nodiscard]] std::int64_t allowed_slots(const endpoint_entry& entry) const;
    [[nodiscard]] bool accepts_work(const endpoint_entry& entry) const;
    [[nodiscard]] std::int64_t running_count(const endpoint_entry& entry) const;
    [[nodiscard]] std::int64_t estimated_tokens(const endpoint_entry& entry, const active_permit& permit,
                                                time_point now) const;
    [[nodiscard]] bool slots_fit(const endpoint_entry& entry, const resource_demand& demand) const;
    [[nodiscard]] std::int64_t reserved_slots(const endpoint_entry& entry) const;
    void raise_expected_tokens(endpoint_entry& entry, active_permit& permit, std::int64_t tokens) const;
    void collect_streams(endpoint_entry& entry, const resource_demand& demand, time_point now);
    [[nodiscard]] paced_load load_of(const endpoint_entry& entry, const resource_demand& demand) const;
    /// Runs at the entry that the reading of an added permit's prompt will pause are not on time any more.
    void mark_paused_runs(endpoint_entry& entry, const active_permit& added) const;
    /// Whether the gaps of the runs there and of the added one stay within their objectives.
    bool pace_fits(endpoint_entry& entry, const resource_demand& demand, time_point now) const;
    bool memory_fits(endpoint_entry& entry, const resource_demand& demand, time_point now);
    void detach(endpoint_entry& entry, const active_permit& permit);
    /// Removes the unread part of a permit's prompt from the expected prefill of its endpoint.
    static void retract_prefill(endpoint_entry& entry, const active_permit& permit, time_point now);
    void update_available(index endpoint_index);

    scheduler_settings settings_;
    const length_estimator* lengths_;
    std::vector<endpoint_entry> entries_;
    std::vector<index> free_entries_;
    std::unordered_map<endpoint_id, index> index_of_;
    std::vector<index> available_;
    std::unordered_map<permit_id, active_permit> permits_;
    std::set<expiry> expiries_;
    /// Median of the endpoints' averages; 0 without samples.
    double median_inter_token_latency_ms_ = 0.0;
    pace_reference pool_pace_;
    /// Buffers, kept to avoid allocations.
    std::vector<double> inter_token_latencies_ms_;
    std::vector<stream_growth> all_streams_;
    std::vector<stream_growth> shared_streams_;
    bool slow_start_ = true;
    bool paced_starts_allowed_ = false;
    /// Until then another scheduler may grant paced starts, also at endpoints that are added meanwhile.
    time_point caution_until_ = time_point::min();
};

} // namespace parsleyshift
