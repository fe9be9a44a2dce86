#pragma once

#include <parsleyshift/core/clock.hpp>    // time_point
#include <parsleyshift/core/ids.hpp>      // instance_id
#include <parsleyshift/messages/peer.hpp> // member_update

#include <compare>       // strong_ordering
#include <cstddef>       // size_t
#include <map>           // map
#include <span>          // span
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief True for the states in which a member takes part in choices by hashing: alive and suspect.
constexpr bool is_live(member_state state) noexcept
{
    return state == member_state::alive || state == member_state::suspect;
}

/// @brief Order of the news about one member: by process start, then refutation, then state.
///
/// The states are ordered alive < suspect < leaving < dead. Keeping the greatest makes merging commutative,
/// associative and idempotent. Only the member itself raises `refutation`, which also takes back `dead`.
std::strong_ordering compare_news(const member_update& first, const member_update& second) noexcept;

/// @brief What merging an update did to the table.
enum class merge_effect
{
    /// The update was old or equal.
    none,
    /// Only details changed, such as the busy share.
    details,
    /// The state or the process of a known member changed.
    state,
    added,
};

/// @brief Live members of one region, as indices into the table.
struct region_members
{
    region_id region;
    std::vector<std::size_t> live;
};

/// @brief The members that one instance knows, itself at index 0.
class member_table
{
  public:
    member_table(member_update self, std::size_t highest_members);

    /// @brief Keeps the newer of the known and the given state. Constant time, but O(n) when the holder of an entry
    /// slot ceases to be alive. A dead member that is not known is not added.
    merge_effect merge(const member_update& update, time_point now);
    /// @brief Sets a member back to a former state, against the order of news. O(n) for the holder of an entry slot.
    void take_back(const instance_id& instance, member_state former, time_point now);
    /// @brief Replaces this instance's own row.
    void set_self(const member_update& self);
    /// @brief Removes the members that have been dead since before the given time. Linear.
    void forget_dead_before(time_point limit);

    [[nodiscard]] std::span<const member_update> all() const;
    [[nodiscard]] const member_update* find(const instance_id& instance) const;
    [[nodiscard]] const member_update* holder_of(int entry_slot) const;
    [[nodiscard]] std::size_t live_count() const;
    [[nodiscard]] std::size_t dead_count() const;
    [[nodiscard]] int lowest_schema() const;
    /// @brief Live members by region without this instance; its own region first. Linear after a change.
    [[nodiscard]] std::span<const region_members> regions();

  private:
    void count(const member_update& member, bool added);
    void update_slot(std::size_t index);
    void find_holder(int entry_slot);
    void rebuild_index();
    void rebuild_regions();

    static constexpr std::size_t no_holder = static_cast<std::size_t>(-1);
    std::size_t highest_members_;
    std::vector<member_update> members_;
    std::vector<time_point> changed_;
    std::unordered_map<instance_id, std::size_t> index_;
    /// Index of the holder of each entry slot.
    std::vector<std::size_t> holders_;
    std::vector<region_members> regions_;
    bool regions_outdated_ = true;
    std::map<int, std::size_t> live_by_schema_;
    std::size_t live_ = 0;
    std::size_t dead_ = 0;
};

} // namespace parsleyshift
