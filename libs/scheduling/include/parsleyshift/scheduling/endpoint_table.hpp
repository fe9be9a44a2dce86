#pragma once

#include <parsleyshift/core/clock.hpp>                    // time_point
#include <parsleyshift/core/ids.hpp>                      // endpoint_id, permit_id
#include <parsleyshift/messages/endpoint.hpp>             // load_report
#include <parsleyshift/messages/peer.hpp>                 // work_description
#include <parsleyshift/records/record.hpp>                // lane
#include <parsleyshift/scheduling/length_estimator.hpp>   // length_estimator
#include <parsleyshift/scheduling/memory_forecast.hpp>    // stream_growth
#include <parsleyshift/scheduling/queue_order.hpp>        // work_key
#include <parsleyshift/scheduling/scheduler_settings.hpp> // scheduler_settings

#include <cstddef>       // size_t
#include <cstdint>       // int64_t
#include <deque>         // deque
#include <optional>      // optional
#include <set>           // set
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief A permit in use.
struct active_permit
{
    permit_id id;
    work_key key;
    endpoint_id endpoint;
    customer_id customer;
    class_id work_class;
    lane uses = lane::shared;
    std::int64_t prompt_tokens = 0;
    std::int64_t max_tokens = 0;
    /// Expected output, raised when the stream outgrows it, and the expectation at the start.
    std::int64_t expected_tokens = 0;
    std::int64_t first_expected = 0;
    /// Output at the last registration.
    std::int64_t known_tokens = 0;
    time_point known_at;
    time_point granted;
    time_point expires;
    int priority = 0;
    /// Outgrew its expectation by the straggler factor.
    bool straggler = false;
    /// False for a run that comes with its memory.
    bool reads_prompt = true;
};

/// @brief Room that a piece of work needs at an endpoint.
struct room_request
{
    lane uses = lane::shared;
    std::int64_t prompt_tokens = 0;
    std::int64_t expected_tokens = 0;
    /// Work of the reserved lane must fit into the reserve alone, because older work waits for the shared part.
    bool reserve_only = false;
};

/// @brief Endpoints of a pool and the permits in use at them; answers whether work fits.
///
/// Load that no known permit explains (other schedulers, instances without a scheduler, permits not yet registered)
/// is taken from the load reports, corrected by permits granted and returned since the report was measured.
class endpoint_table
{
  public:
    using index = std::size_t;

    endpoint_table(const scheduler_settings& settings, const length_estimator& lengths);

    /// @brief Makes an endpoint known. Constant time.
    index add(const endpoint_id& endpoint);
    /// @brief Forgets an endpoint and its permits. Linear in its permits.
    /// @return the requests whose permits have ended
    std::vector<work_key> remove(const endpoint_id& endpoint);
    void set_leaving(const endpoint_id& endpoint);
    void set_health(const endpoint_id& endpoint, double weight);
    /// @brief Takes a load report; one that is older than the last is ignored. Linear in the endpoint's permits.
    void report(const load_report& report, time_point now);
    /// @brief Takes a permit that was granted here or registered. Constant time besides the expiry index.
    /// @param explains_report the permit was in use before, so the reported load without a permit shrinks by it
    void insert(const active_permit& permit, bool explains_report);
    /// @brief Renews a permit with the tokens produced so far. @return false when the permit is not known
    bool renew(permit_id permit, std::int64_t tokens, time_point now);
    /// @brief Ends a permit. @return the permit, or nothing when it is not known
    std::optional<active_permit> erase(permit_id permit, time_point now);
    /// @brief A permit whose lifetime has ended, or nothing. Constant time.
    [[nodiscard]] std::optional<permit_id> expired(time_point now) const;
    /// @brief Time when the next permit expires. Constant time.
    [[nodiscard]] time_point next_expiry() const;

    /// @brief Whether the work fits now. O(n log n) in the endpoint's permits, usually O(n).
    [[nodiscard]] bool fits(index at, const room_request& need, time_point now);
    /// @brief How busy an endpoint is: about 0 idle, 1 full; health counts as lost capacity. Constant time.
    [[nodiscard]] double busy(index at) const;
    /// @brief Time for which an endpoint reads prompts that were sent to it, as a share of the limit. Constant time.
    [[nodiscard]] double reading_share(index at, time_point now) const;
    /// @brief Time when an endpoint that has too much to read takes work again, or never. Linear in the endpoints.
    [[nodiscard]] time_point next_read(time_point now) const;
    /// @brief Takes the usual gap between two messages of a stream at an endpoint. Linear in the endpoints.
    void note_gap(const endpoint_id& endpoint, duration gap);
    /// @brief By how much an endpoint's usual gap exceeds the median of the pool, as a share of that; 0 when unknown.
    [[nodiscard]] double slowness(index at) const;
    [[nodiscard]] bool has_stragglers(index at) const;
    [[nodiscard]] double health(index at) const;
    [[nodiscard]] const endpoint_id& id_of(index at) const;
    [[nodiscard]] std::optional<index> find(const endpoint_id& endpoint) const;
    /// @brief Endpoints that may have a free slot, in no order.
    [[nodiscard]] const std::vector<index>& open() const noexcept
    {
        return open_;
    }
    [[nodiscard]] std::size_t size() const noexcept
    {
        return index_of_.size();
    }
    [[nodiscard]] const active_permit* permit(permit_id permit) const;
    /// @brief The permits in use at an endpoint, with the output expected to exist now. Linear in them.
    [[nodiscard]] std::vector<active_permit> permits_at(const endpoint_id& endpoint, time_point now) const;
    /// @brief Output tokens per millisecond of one stream at an endpoint.
    [[nodiscard]] double pace_of(const endpoint_id& endpoint) const;
    [[nodiscard]] std::size_t permit_count() const noexcept
    {
        return permits_.size();
    }
    /// @brief Ends the time in which endpoints without a report get no work.
    void finish_slow_start();

  private:
    struct ended_permit
    {
        time_point at;
        std::int64_t held = 0;
    };
    struct endpoint_entry
    {
        endpoint_id id;
        bool used = false;
        bool reported = false;
        bool leaving = false;
        bool in_open = false;
        std::size_t open_position = 0;
        std::int64_t slots = 0;
        std::int64_t memory = 0;
        double health = 1.0;
        /// Load that no known permit explains.
        std::int64_t foreign_running = 0;
        std::int64_t foreign_memory = 0;
        std::int64_t shared_permits = 0;
        std::int64_t stragglers = 0;
        /// Prompt and expected output of all permits.
        std::int64_t expected_memory = 0;
        /// Output tokens per millisecond of one stream.
        double pace = 0.03;
        time_point reported_as_of;
        /// Milliseconds; 0: not known.
        double usual_gap = 0.0;
        /// All prompts that were sent here are expected to be read by then.
        time_point reading_until;
        std::vector<active_permit*> permits;
        /// Ends of permits that a later report may still count as running.
        std::deque<ended_permit> recent_ends;
    };
    struct expiry
    {
        time_point at;
        permit_id permit;

        friend auto operator<=>(const expiry&, const expiry&) = default;
    };

    [[nodiscard]] std::int64_t allowed_slots(const endpoint_entry& entry) const;
    [[nodiscard]] bool takes_work(const endpoint_entry& entry) const;
    [[nodiscard]] std::int64_t running(const endpoint_entry& entry) const;
    [[nodiscard]] std::int64_t produced(const endpoint_entry& entry, const active_permit& permit, time_point now) const;
    [[nodiscard]] bool slots_fit(const endpoint_entry& entry, const room_request& need) const;
    [[nodiscard]] std::int64_t reserved_slots(const endpoint_entry& entry) const;
    void outgrow(endpoint_entry& entry, active_permit& permit, std::int64_t tokens) const;
    void collect_streams(endpoint_entry& entry, const room_request& need, time_point now);
    bool memory_fits(endpoint_entry& entry, const room_request& need, time_point now);
    void detach(endpoint_entry& entry, const active_permit& permit);
    void update_open(index at);

    scheduler_settings settings_;
    const length_estimator* lengths_;
    std::vector<endpoint_entry> entries_;
    std::vector<index> unused_;
    std::unordered_map<endpoint_id, index> index_of_;
    std::vector<index> open_;
    std::unordered_map<permit_id, active_permit> permits_;
    std::set<expiry> expiries_;
    /// Median of the known usual gaps; 0: none is known.
    double median_gap_ = 0.0;
    std::vector<double> gaps_;
    std::vector<stream_growth> all_streams_;
    std::vector<stream_growth> shared_streams_;
    bool slow_start_ = true;
};

} // namespace parsleyshift
