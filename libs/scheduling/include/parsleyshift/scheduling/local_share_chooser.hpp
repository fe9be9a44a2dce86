#pragma once

#include <parsleyshift/core/clock.hpp>         // time_point
#include <parsleyshift/core/ids.hpp>           // endpoint_id, instance_id
#include <parsleyshift/core/random_source.hpp> // random_source
#include <parsleyshift/messages/endpoint.hpp>  // load_report

#include <cstdint>       // int64_t
#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief Chooses endpoints at an entry instance that can reach no pool scheduler. Each instance uses at most an equal
/// share, 1 / instances, of the slots and memory of each endpoint.
///
/// The remainder of slots / instances is distributed by a hash of instance and endpoint, so that with more instances
/// than slots each slot is still used by about one instance. choose() is linear in the endpoints. Functions ignore
/// endpoints that were not added.
class local_share_chooser
{
  public:
    /// @param own the instance that chooses; determines its part of the remainder
    /// @param seed of the random tie-breaking
    local_share_chooser(instance_id own, std::uint64_t seed);

    /// @brief Sets the number of entry instances that share the endpoints.
    /// @param count values below 1 count as 1
    void set_instances(std::int64_t count);
    /// @brief Adds an endpoint; until the first report it counts as one slot and unlimited memory.
    void add_endpoint(const endpoint_id& endpoint);
    void remove_endpoint(const endpoint_id& endpoint);
    /// @brief Excludes an endpoint from choose().
    void set_leaving(const endpoint_id& endpoint);
    /// @brief Excludes an endpoint that limits its requests per second from choose(): only the scheduler's grants count
    /// towards the limit.
    void set_start_limited(const endpoint_id& endpoint, bool limited);
    /// @param weight in [0, 1]; 0 for an ejected endpoint
    void set_health(const endpoint_id& endpoint, double weight);
    /// @brief Updates slots, memory capacity, queue length and leaving state of an endpoint; choose() excludes an
    /// endpoint with queued requests.
    void report(const load_report& report);
    /// @brief The endpoint with the fewest requests of this instance, relative to its health, among those with free
    /// capacity in the instance's share; nothing when there is none.
    /// @param expected_memory prompt and expected output of the request, in tokens
    /// @param excluded endpoints that are not chosen
    [[nodiscard]] std::optional<endpoint_id> choose(std::int64_t expected_memory,
                                                    const std::vector<endpoint_id>& excluded = {});
    /// @brief Counts a request sent to an endpoint, whether or not choose() returned it.
    void started(const endpoint_id& endpoint, std::int64_t expected_memory);
    /// @brief Counts the end of a request.
    /// @param expected_memory the value passed to started()
    void ended(const endpoint_id& endpoint, std::int64_t expected_memory);

  private:
    struct endpoint_state
    {
        std::int64_t slots = 1;
        /// Tokens; 0 when not reported.
        std::int64_t memory_capacity = 0;
        std::int64_t in_flight = 0;
        /// Expected memory of the requests in flight, in tokens.
        std::int64_t reserved_memory = 0;
        std::int64_t waiting = 0;
        double health = 1.0;
        bool leaving = false;
        bool start_limited = false;
    };

    /// Part of `total` slots of an endpoint that this instance may use.
    [[nodiscard]] std::int64_t share_of(const endpoint_id& endpoint, std::int64_t total) const;
    [[nodiscard]] bool has_room(const endpoint_id& endpoint, const endpoint_state& state,
                                std::int64_t expected_memory) const;

    instance_id own_;
    std::int64_t instances_ = 1;
    std::unordered_map<endpoint_id, endpoint_state> endpoints_;
    random_source random_;
};

} // namespace parsleyshift
