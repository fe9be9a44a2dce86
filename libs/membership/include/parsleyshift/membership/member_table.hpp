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

/// @brief True for the states in which a member is eligible for selection by hashing: alive and suspect.
constexpr bool is_live(member_state state) noexcept
{
    return state == member_state::alive || state == member_state::suspect;
}

/// @brief Orders two updates of one member by process start, then refutation, then state.
///
/// The states are ordered alive < suspect < leaving < dead. Keeping the greatest update makes merging commutative,
/// associative and idempotent. Only the member itself increments `refutation`, which also overrides `dead`.
std::strong_ordering compare_updates(const member_update& first, const member_update& second) noexcept;

/// @brief Effect of merging an update into the table.
enum class merge_effect
{
    /// The update was not newer, or it was about an unknown member and ignored.
    none,
    /// Only other fields changed, such as the busy share.
    details,
    /// The state or the process of a member in the table changed.
    state,
    /// The member was added.
    added,
};

/// @brief Live members of one region, as indices into `member_table::all()`.
struct region_members
{
    region_id region;
    std::vector<std::size_t> live;
};

/// @brief The members in the view of one instance, itself at index 0.
class member_table
{
  public:
    /// @param max_members largest number of members kept, dead ones included; further ones are ignored
    member_table(member_update self, std::size_t max_members);

    /// @brief Keeps the greater of the stored and the given update. Does not add an unknown member that is dead.
    /// Constant time, but O(n) when the holder of an entry slot ceases to be alive or changes its slot.
    merge_effect merge(const member_update& update, time_point now);
    /// @brief Restores an earlier state of a member, against the order of `compare_updates`. O(n) for the holder of an
    /// entry slot.
    /// @param instance a member of the table
    void restore_state(const instance_id& instance, member_state previous_state, time_point now);
    /// @brief Replaces the update of this instance.
    void set_self(const member_update& self);
    /// @brief Removes the members that died before the given time. Linear.
    void remove_dead_before(time_point limit);

    /// @brief All members, this instance first; valid until the next call that is not const.
    [[nodiscard]] std::span<const member_update> all() const;
    /// @brief Finds a member, or returns nullptr. Constant time.
    [[nodiscard]] const member_update* find(const instance_id& instance) const;
    /// @brief The alive holder of an entry slot, or nullptr; of several, the one that started last. Constant time.
    [[nodiscard]] const member_update* holder_of(int entry_slot) const;
    /// @brief Number of live members, this instance included. Constant time.
    [[nodiscard]] std::size_t live_count() const;
    /// @brief Number of dead members. Constant time.
    [[nodiscard]] std::size_t dead_count() const;
    /// @brief Lowest record schema version over the live members. Constant time.
    [[nodiscard]] int lowest_schema() const;
    /// @brief Live members by region, without this instance; its own region first, even if empty. Linear after a
    /// change.
    [[nodiscard]] std::span<const region_members> regions();

  private:
    /// @brief Adds a member to the counters, or subtracts it when `added` is false.
    void update_counts(const member_update& member, bool added);
    void update_slot(std::size_t index);
    /// @brief Searches all members for the holder of a slot. Linear in the members.
    void reassign_slot(int entry_slot);
    void rebuild_index();
    void rebuild_regions();

    static constexpr std::size_t no_holder = static_cast<std::size_t>(-1);
    std::size_t max_members_;
    std::vector<member_update> members_;
    std::vector<time_point> state_changed_at_;
    std::unordered_map<instance_id, std::size_t> index_;
    /// Index of the holder of each entry slot.
    std::vector<std::size_t> holders_;
    std::vector<region_members> regions_;
    bool regions_outdated_ = true;
    std::map<int, std::size_t> live_by_schema_;
    std::size_t live_count_ = 0;
    std::size_t dead_count_ = 0;
};

} // namespace parsleyshift
