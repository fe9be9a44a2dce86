#pragma once

#include <parsleyshift/core/ids.hpp> // instance_id

#include <compare>       // strong_ordering
#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <set>           // set
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief Priority with which an update about a member is sent.
enum class update_priority
{
    /// Changes of the state or process of a member.
    state,
    /// Changes of other fields such as the busy share, sent after all updates of priority `state`.
    details,
};

/// @brief Members whose latest update is still to be sent, each at most once; within a priority, those sent least often
/// come first.
class update_queue
{
  public:
    /// @brief Queues the latest update of a member and resets its transmission count; a queued `state` priority is
    /// kept. Logarithmic.
    void add(const instance_id& instance, update_priority priority);
    /// @brief Removes a member from the queue, if present. Logarithmic.
    void remove(const instance_id& instance);
    /// @brief Returns the members whose updates go into one message, and removes those sent `transmissions` times.
    /// O(count log n).
    /// @param count largest number of members returned
    /// @param transmissions number of times that each update is sent
    std::vector<instance_id> take(std::size_t count, std::size_t transmissions);
    /// @brief Number of queued members.
    [[nodiscard]] std::size_t size() const;

  private:
    struct entry
    {
        update_priority priority = update_priority::state;
        std::size_t transmission_count = 0;
        std::uint64_t sequence = 0;
        instance_id instance;

        friend auto operator<=>(const entry&, const entry&) = default;
    };

    std::set<entry> ordered_;
    std::unordered_map<instance_id, entry> by_instance_;
    std::uint64_t next_sequence_ = 0;
};

} // namespace parsleyshift
