#pragma once

#include <parsleyshift/core/clock.hpp>        // time_point
#include <parsleyshift/core/ids.hpp>          // endpoint_id, pool_id, service_id
#include <parsleyshift/messages/endpoint.hpp> // load_report
#include <parsleyshift/messages/event.hpp>    // instances_listed

#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <deque>         // deque
#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief Id of the pool of a service's endpoints in a region, "service/region". Each pool has a scheduler that grants
/// permits for its endpoints.
pool_id pool_of(const service_id& service, const region_id& region);

/// @brief An endpoint with its attributes from the platform's list and its last load report.
struct endpoint_entry
{
    endpoint_id endpoint;
    service_id service;
    pool_id pool;
    /// "ip:port"
    std::string address;
    zone_id availability_zone;
    region_id region;
    /// False for a plain service.
    bool engine = true;
    /// Process start number from the list; 0 when the list does not contain it.
    incarnation started;
    /// Set as soon as the list, a load report, an answer or a peer shows that the endpoint is leaving, and kept until
    /// another process takes its id, also while the list lacks the endpoint. Without a process start number, a removal
    /// by the list ends it.
    bool leaving = false;
    /// Requests that the endpoint processes at the same time, from the list; 0 when the list does not contain it.
    std::int64_t slots = 0;
    std::optional<load_report> load;
    /// Time at which `load` arrived, by this instance's clock.
    time_point load_received;
    /// Consecutive load reports that could not be read.
    int load_failures = 0;
};

/// @brief Changes of the directory by a new list.
struct directory_change
{
    /// New endpoints, including known ids with a new address, region or process start number, which are new processes.
    std::vector<endpoint_id> added;
    /// Endpoints that the list no longer contains, including the previous entries of ids that are new processes.
    std::vector<endpoint_entry> removed;
    /// Endpoints that are leaving according to this list and to no earlier source.
    std::vector<endpoint_id> leaving;
};

/// @brief The endpoints in the platform's list, with their last load reports and whether they are leaving.
///
/// References and pointers to entries stay valid until the endpoint is removed.
class endpoint_directory
{
  public:
    endpoint_directory() = default;
    // Not copyable: pools_ holds pointers to elements of entries_.
    endpoint_directory(const endpoint_directory&) = delete;
    endpoint_directory& operator=(const endpoint_directory&) = delete;
    endpoint_directory(endpoint_directory&&) = default;
    endpoint_directory& operator=(endpoint_directory&&) = default;
    ~endpoint_directory() = default;

    /// @brief Applies the platform's list of instances. A list that is older than the last one is ignored, and so is an
    /// empty one, which is invalid because it lacks even this instance. O(instances + changes * members of the pool).
    directory_change handle_list(const instances_listed& list);
    /// @brief Applies a load report. A report of an unknown endpoint is dropped; of a report that is older than the
    /// last one, only the leaving flag is used. O(1) on average.
    /// @return true when the report is the first to show that the endpoint is leaving
    bool handle_load(const load_report& report, time_point now);
    /// @brief Records that a load report could not be read. O(1) on average.
    void handle_load_unavailable(const endpoint_id& endpoint);
    /// @brief Records that the endpoint has stated that it is leaving. O(1) on average.
    /// @return true when the endpoint was not marked as leaving before
    bool handle_leaving(const endpoint_id& endpoint);
    /// @brief Records that a process has stated that it is leaving, which may not be listed (any more, or yet). O(1) on
    /// average.
    /// @param started process start number; an unlisted process is ignored when it is 0
    /// @return true when this was not known before
    bool handle_leaving(const endpoint_id& endpoint, incarnation started);

    /// @brief The entry of an endpoint, or nullptr when it is unknown. O(1) on average.
    [[nodiscard]] const endpoint_entry* find(const endpoint_id& endpoint) const;
    /// @brief All endpoints of a pool, including leaving ones, ordered by id. O(1) on average.
    /// @return empty for an unknown pool; valid until the next call of handle_list()
    [[nodiscard]] const std::vector<const endpoint_entry*>& endpoints_of(const pool_id& pool) const;
    /// @brief All endpoints, ordered by id. O(endpoints * log(endpoints)).
    [[nodiscard]] std::vector<const endpoint_entry*> endpoints() const;
    /// @brief Pools of a service, ordered by id. O(1) on average.
    /// @return empty for an unknown service; valid until the next call of handle_list()
    [[nodiscard]] const std::vector<pool_id>& pools_of(const service_id& service) const;
    /// @brief Number that increases whenever endpoints_of() changes for any pool.
    [[nodiscard]] std::uint64_t version() const noexcept;
    /// @brief Number of endpoints.
    [[nodiscard]] std::size_t size() const noexcept;

  private:
    struct listed_entry
    {
        endpoint_entry entry;
        /// Number of the last list that contained the endpoint.
        std::uint64_t last_list_number = 0;
    };

    bool mark_leaving(endpoint_entry& entry);
    void record_departure(const endpoint_id& endpoint, incarnation started);
    [[nodiscard]] bool has_departed(const endpoint_id& endpoint, incarnation started) const;
    void apply_instance(const listed_instance& instance, directory_change& change);
    void remove_missing(directory_change& change);
    void add(const listed_instance& instance, directory_change& change);
    void remove_from_pool(const endpoint_entry& entry);

    /// Largest number of departed processes that are remembered.
    static constexpr std::size_t max_departures = 4'096;

    std::unordered_map<endpoint_id, listed_entry> entries_;
    /// Start numbers of the latest processes of endpoints that are leaving or have left. A list that is older than this
    /// knowledge may contain them again.
    std::unordered_map<endpoint_id, incarnation> departures_;
    /// The same endpoints in the order in which they were added.
    std::deque<endpoint_id> departure_order_;
    std::unordered_map<pool_id, std::vector<const endpoint_entry*>> pools_;
    std::unordered_map<service_id, std::vector<pool_id>> pools_by_service_;
    /// Instances of the last list. Most lists are equal to their predecessor, and comparing the instances is several
    /// times cheaper than looking up 12,000 endpoints.
    std::vector<listed_instance> last_instances_;
    std::uint64_t list_number_ = 0;
    time_point list_as_of_ = time_point::min();
    std::uint64_t version_ = 0;
};

} // namespace parsleyshift
