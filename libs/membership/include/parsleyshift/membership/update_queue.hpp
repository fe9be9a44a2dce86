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

/// @brief How urgently news about a member is spread.
enum class urgency
{
    /// Changes of liveness.
    state,
    /// Changes of details such as the busy share, sent in the room that is left.
    details,
};

/// @brief Members whose latest news is still being spread, each at most once; the least sent come first.
class update_queue
{
  public:
    /// @brief Begins or restarts the spreading of a member's news. Logarithmic.
    void add(const instance_id& instance, urgency how);
    /// @brief Ends the spreading of a member's news. Logarithmic.
    void remove(const instance_id& instance);
    /// @brief Takes the members to put into one message and counts the transmission. O(count log n).
    /// @param count most members returned
    /// @param transmissions number of times that each news is sent
    std::vector<instance_id> take(std::size_t count, std::size_t transmissions);
    [[nodiscard]] std::size_t size() const;

  private:
    struct entry
    {
        urgency how = urgency::state;
        std::size_t sent = 0;
        std::uint64_t sequence = 0;
        instance_id instance;

        friend auto operator<=>(const entry&, const entry&) = default;
    };

    std::set<entry> ordered_;
    std::unordered_map<instance_id, entry> by_instance_;
    std::uint64_t next_sequence_ = 0;
};

} // namespace parsleyshift
