#pragma once

#include <parsleyshift/core/clock.hpp>    // time_point
#include <parsleyshift/core/hash.hpp>     // mix_hash
#include <parsleyshift/core/ids.hpp>      // endpoint_id, instance_id, request_id
#include <parsleyshift/messages/peer.hpp> // work_description

#include <concepts>   // convertible_to, default_initializable
#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // hash
#include <optional>   // optional
#include <vector>     // vector

namespace parsleyshift
{

/// @brief Identifies a request across all instances.
struct request_key
{
    instance_id from;
    request_id request;

    friend auto operator<=>(const request_key&, const request_key&) = default;
};

/// @brief Hash of a request_key for unordered containers.
struct request_key_hash
{
    std::size_t operator()(const request_key& key) const noexcept
    {
        return mix_hash(std::hash<instance_id>{}(key.from), key.request.value());
    }
};

/// @brief A request in the queue of a pool scheduler.
struct queued_request
{
    /// Instance that sent the request.
    instance_id from;
    work_description work;
    /// Endpoints that accept no request of that instance for some time.
    std::vector<endpoint_id> excluded{};
    time_point arrived;
    /// Latest start time: the earlier of the request's own and the arrival plus the class's default timeout.
    time_point start_by;
    /// Arrival number, unique within one scheduler and above 0.
    std::uint64_t sequence = 0;
    /// Prompt tokens plus expected output tokens.
    double cost = 0.0;
    /// Weight of the customer in fair queueing.
    double weight = 1.0;
    /// Number of the set of regions that may serve the request; 0 for all regions.
    std::size_t group = 0;
    /// The request is not expected to start by its latest timely start, and only starts behind those that are.
    bool late = false;
};

/// @brief Queueing discipline for the requests of one class in one pool.
///
/// push() adds a request. front() is the next request to run and back() the last one, which is dropped first when the
/// queue is full; both return nullptr for an empty queue. fronts() appends the first request of each group in the order
/// of service, so that requests whose regions are full do not block the others; the first one is front(). take()
/// removes the request with the given sequence number and returns it, or nothing if it is not queued. cost_ahead()
/// estimates the cost that runs before the given request if it were pushed now. All operations take at most logarithmic
/// time.
template <class Queue>
concept queue_order = std::default_initializable<Queue> &&
    requires(Queue queue, const Queue& view, const queued_request& request, std::uint64_t sequence,
             std::vector<const queued_request*>& requests)
{
    queue.push(request);
    {
        view.front()
        } -> std::same_as<const queued_request*>;
    {
        view.back()
        } -> std::same_as<const queued_request*>;
    view.fronts(requests);
    {
        queue.take(sequence)
        } -> std::same_as<std::optional<queued_request>>;
    {
        view.cost_ahead(request)
        } -> std::convertible_to<double>;
    {
        view.size()
        } -> std::same_as<std::size_t>;
};

/// @brief Queueing discipline that knows latency objectives and what customers hold at the endpoints; see start_order.
template <class Queue>
concept objective_queue_order = queue_order<Queue> &&
    requires(Queue queue, const Queue& view, const customer_id& customer, double cost, time_point now,
             std::uint64_t sequence)
{
    queue.hold(customer, cost);
    {
        queue.advance(now)
        } -> std::same_as<std::vector<std::uint64_t>>;
    {
        view.find(sequence)
        } -> std::same_as<const queued_request*>;
    {
        view.is_late(sequence)
        } -> std::same_as<bool>;
    {
        view.timely_cost()
        } -> std::convertible_to<double>;
    {
        view.late_cost()
        } -> std::convertible_to<double>;
};

} // namespace parsleyshift
