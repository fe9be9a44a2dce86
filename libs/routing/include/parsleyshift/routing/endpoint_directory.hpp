#pragma once

#include <parsleyshift/core/clock.hpp>        // time_point
#include <parsleyshift/core/ids.hpp>          // endpoint_id, pool_id, service_id
#include <parsleyshift/messages/endpoint.hpp> // load_report
#include <parsleyshift/messages/event.hpp>    // instances_listed

#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief The pool of a service's endpoints in a region; its scheduler grants permits for them.
pool_id pool_of(const service_id& service, const region_id& region);

/// @brief An endpoint as far as this instance knows it.
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
    /// Process start number from the list; 0 when the list does not tell it.
    incarnation started;
    /// Set by the first sign from any source and kept until the list shows the endpoint gone.
    bool leaving = false;
    std::optional<load_report> load;
    /// When `load` arrived, by this instance's clock.
    time_point load_received;
    /// Load reports in a row that could not be read.
    int load_failures = 0;
};

/// @brief What a list changed.
struct directory_change
{
    /// New endpoints, and known ids with a new address or process start, which are new processes.
    std::vector<endpoint_id> added;
    /// Endpoints that the list no longer shows, and known ids with a new address or process start.
    std::vector<endpoint_entry> removed;
    /// Endpoints that the list is the first to show as leaving.
    std::vector<endpoint_id> leaving;
};

/// @brief The endpoints known from the platform's list, with their load and whether they leave.
///
/// References and pointers to entries stay valid until the endpoint is removed.
class endpoint_directory
{
  public:
    endpoint_directory() = default;
    // Pools point to their entries.
    endpoint_directory(const endpoint_directory&) = delete;
    endpoint_directory& operator=(const endpoint_directory&) = delete;
    endpoint_directory(endpoint_directory&&) = default;
    endpoint_directory& operator=(endpoint_directory&&) = default;
    ~endpoint_directory() = default;

    /// @brief Takes a reading of the platform's list. A reading older than the last one, or one without any row (the
    /// reader itself would be missing), changes nothing. O(rows + changes * members of the pool).
    directory_change handle_list(const instances_listed& list);
    /// @brief Takes a load report; a report of an unknown endpoint is dropped, one that a newer report
    /// has overtaken only counts as a sign of leaving. O(1).
    /// @return true when the report is the first sign that the endpoint leaves
    bool handle_load(const load_report& report, time_point now);
    /// @brief A load report could not be read. O(1).
    void handle_load_unavailable(const endpoint_id& endpoint);
    /// @brief The endpoint rejected an attempt because it is leaving. O(1).
    /// @return true when this is the first sign
    bool handle_leaving(const endpoint_id& endpoint);

    /// @brief The entry of an endpoint, or null. O(1) on average.
    [[nodiscard]] const endpoint_entry* find(const endpoint_id& endpoint) const;
    /// @brief All endpoints of a pool, leaving ones included, ordered by id. O(1) on average.
    [[nodiscard]] const std::vector<const endpoint_entry*>& members_of(const pool_id& pool) const;
    /// @brief Pools of a service, ordered by id. O(1) on average.
    [[nodiscard]] const std::vector<pool_id>& pools_of(const service_id& service) const;
    /// @brief Raised whenever members_of() of any pool changes.
    [[nodiscard]] std::uint64_t version() const noexcept;
    [[nodiscard]] std::size_t size() const noexcept;

  private:
    struct listed_entry
    {
        endpoint_entry entry;
        /// Number of the last reading that showed the endpoint.
        std::uint64_t reading = 0;
    };

    bool mark_leaving(endpoint_entry& entry);
    void take_row(const listed_instance& row, directory_change& change);
    void remove_missing(directory_change& change);
    void add(const listed_instance& row, directory_change& change);
    void leave_pool(const endpoint_entry& entry);

    std::unordered_map<endpoint_id, listed_entry> entries_;
    std::unordered_map<pool_id, std::vector<const endpoint_entry*>> pools_;
    std::unordered_map<service_id, std::vector<pool_id>> pools_by_service_;
    /// Rows of the last reading. Most readings are equal to it, and comparing them is several times cheaper than
    /// looking up 12,000 endpoints.
    std::vector<listed_instance> last_rows_;
    std::uint64_t reading_ = 0;
    time_point list_as_of_ = time_point::min();
    std::uint64_t version_ = 0;
};

} // namespace parsleyshift
