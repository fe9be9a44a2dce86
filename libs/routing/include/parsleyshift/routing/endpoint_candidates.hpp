#pragma once

#include <parsleyshift/core/clock.hpp>                 // time_point
#include <parsleyshift/core/ids.hpp>                   // instance_id, pool_id
#include <parsleyshift/routing/endpoint_chooser.hpp>   // endpoint_candidate, routing_query
#include <parsleyshift/routing/endpoint_directory.hpp> // endpoint_directory
#include <parsleyshift/routing/endpoint_health.hpp>    // endpoint_health
#include <parsleyshift/routing/in_flight_tracker.hpp>  // in_flight_tracker
#include <parsleyshift/routing/prefix_index.hpp>       // prefix_index

#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief The location of an instance, and how many endpoints of each pool it uses.
struct candidate_policy
{
    instance_id instance;
    zone_id availability_zone;
    region_id region;
    /// Endpoints of each pool that this instance sends to. 0 means all, for a pool scheduler.
    std::size_t subset_size = 24;
    /// Share of the subset that is taken first from the instance's zone, as far as that has endpoints.
    double same_zone_share = 0.5;
};

/// @brief Selects the endpoints of a pool that one instance sends to, so that it does not hold connections to all of
/// them.
///
/// Rendezvous hashing over (instance, endpoint): the result is the same on each call and differs between instances, and
/// adding or removing one endpoint replaces at most one member of the subset. Endpoints in the same zone as the
/// instance fill their share first. O(members).
/// @return `members` when all of them are used, otherwise the selected ones ordered by id
std::vector<const endpoint_entry*> endpoint_subset(const std::vector<const endpoint_entry*>& members,
                                                   const candidate_policy& policy);

/// @brief Builds the candidates for a choice of an endpoint from its load, health, distance and cached prefixes.
class endpoint_candidates
{
  public:
    explicit endpoint_candidates(candidate_policy policy);

    /// @brief Candidates of one pool. O(subset * prefixes), plus O(members) after a change of the directory.
    /// @return valid until the next call of gather() or gather_service()
    const std::vector<endpoint_candidate>& gather(const pool_id& pool, const routing_query& query,
                                                  const endpoint_directory& directory, const in_flight_tracker& ledger,
                                                  const endpoint_health& health, const prefix_index& prefixes,
                                                  time_point now);
    /// @brief Candidates of all pools of a service, for requests that are routed without a pool scheduler.
    /// O(sum of the subsets * prefixes).
    /// @return valid until the next call of gather() or gather_service()
    const std::vector<endpoint_candidate>&
    gather_service(const routing_query& query, const endpoint_directory& directory, const in_flight_tracker& ledger,
                   const endpoint_health& health, const prefix_index& prefixes, time_point now);
    /// @brief Endpoints of a pool that this instance sends to and therefore polls for load reports. O(1) on average
    /// while the directory is unchanged, otherwise O(members).
    /// @return valid until the directory changes
    const std::vector<const endpoint_entry*>& subset_of(const pool_id& pool, const endpoint_directory& directory);

  private:
    void append(const pool_id& pool, const routing_query& query, const endpoint_directory& directory,
                const in_flight_tracker& ledger, const endpoint_health& health, const prefix_index& prefixes,
                time_point now);
    [[nodiscard]] link_distance distance_to(const endpoint_entry& entry) const;

    candidate_policy policy_;
    std::unordered_map<pool_id, std::vector<const endpoint_entry*>> subsets_;
    std::uint64_t version_ = 0;
    std::vector<endpoint_candidate> candidates_;
};

} // namespace parsleyshift
