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

/// @brief Decision of an entry instance that reaches no pool scheduler: it uses at most its own share, one part in
/// `instances`, of each endpoint's slots and memory.
///
/// The remainder of slots / instances is distributed by a hash of instance and endpoint, so that with more instances
/// than slots each slot still has about one user. choose() is linear in the endpoints with a share.
class local_share_chooser
{
  public:
    local_share_chooser(instance_id own, std::uint64_t seed);

    /// @brief Sets the number of entry instances that share the endpoints. @param count at least 1
    void set_instances(std::int64_t count);
    /// @brief Makes an endpoint known; its size is unknown until the first report.
    void add_endpoint(const endpoint_id& endpoint);
    void remove_endpoint(const endpoint_id& endpoint);
    /// @brief No new work for the endpoint from now on.
    void set_leaving(const endpoint_id& endpoint);
    /// @param weight in [0, 1]; 0 for an ejected endpoint
    void set_health(const endpoint_id& endpoint, double weight);
    void report(const load_report& report);
    /// @brief An endpoint with room in this instance's share, or nothing.
    /// @param expected_memory prompt and expected output of the work, in tokens
    [[nodiscard]] std::optional<endpoint_id> choose(std::int64_t expected_memory);
    /// @brief Work was sent to an endpoint, with or without choose().
    void started(const endpoint_id& endpoint, std::int64_t expected_memory);
    /// @brief Work at an endpoint has ended; takes the same number that started() took.
    void ended(const endpoint_id& endpoint, std::int64_t expected_memory);

  private:
    struct endpoint_state
    {
        std::int64_t slots = 1;
        std::int64_t memory = 0;
        std::int64_t in_flight = 0;
        std::int64_t reserved = 0;
        std::int64_t waiting = 0;
        double health = 1.0;
        bool leaving = false;
    };

    [[nodiscard]] std::int64_t share_of(const endpoint_id& endpoint, std::int64_t total) const;
    [[nodiscard]] bool has_room(const endpoint_id& endpoint, const endpoint_state& state,
                                std::int64_t expected_memory) const;

    instance_id own_;
    std::int64_t instances_ = 1;
    std::unordered_map<endpoint_id, endpoint_state> endpoints_;
    random_source random_;
};

} // namespace parsleyshift
