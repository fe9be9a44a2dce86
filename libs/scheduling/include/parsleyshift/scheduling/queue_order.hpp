#pragma once

#include <parsleyshift/core/clock.hpp>    // time_point
#include <parsleyshift/core/hash.hpp>     // mix_hash
#include <parsleyshift/core/ids.hpp>      // instance_id, request_id
#include <parsleyshift/messages/peer.hpp> // work_description

#include <concepts>   // convertible_to, default_initializable
#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // hash
#include <optional>   // optional

namespace parsleyshift
{

/// @brief Identifies a request over all instances.
struct work_key
{
    instance_id from;
    request_id request;

    friend auto operator<=>(const work_key&, const work_key&) = default;
};

/// @brief Hash of a work_key for unordered containers.
struct work_key_hash
{
    std::size_t operator()(const work_key& key) const noexcept
    {
        return mix_hash(std::hash<instance_id>{}(key.from), key.request.value());
    }
};

/// @brief A request that waits in a pool scheduler.
struct waiting_work
{
    instance_id from;
    work_description work;
    time_point arrived;
    /// Latest time to start: that of the request, or the class's default.
    time_point start_by;
    /// Order of arrival, unique within one scheduler.
    std::uint64_t sequence = 0;
    /// Expected prompt and output tokens.
    double cost = 0.0;
    /// The customer's share under load.
    double weight = 1.0;
};

/// @brief Order of the requests of one class that wait in one pool.
///
/// push() takes a request; front() is the next one to run; worst() is the one to give up first when the queue is full;
/// take() removes by sequence; cost_ahead() is the expected cost that runs before a further request of the customer.
/// All operations take at most logarithmic time.
template <class Queue>
concept queue_order = std::default_initializable<Queue> &&
    requires(Queue queue, const Queue& view, const waiting_work& work, std::uint64_t sequence)
{
    queue.push(work);
    {
        view.front()
        } -> std::same_as<const waiting_work*>;
    {
        view.worst()
        } -> std::same_as<const waiting_work*>;
    {
        queue.take(sequence)
        } -> std::same_as<std::optional<waiting_work>>;
    {
        view.cost_ahead(work)
        } -> std::convertible_to<double>;
    {
        view.size()
        } -> std::same_as<std::size_t>;
};

} // namespace parsleyshift
