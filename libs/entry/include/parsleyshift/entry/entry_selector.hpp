#pragma once

#include <parsleyshift/core/clock.hpp>         // duration
#include <parsleyshift/core/ids.hpp>           // customer_id, zone_id
#include <parsleyshift/core/random_source.hpp> // random_source
#include <parsleyshift/messages/action.hpp>    // entry_choice
#include <parsleyshift/messages/peer.hpp>      // member_update
#include <parsleyshift/records/record.hpp>     // fleet_record

#include <cstddef>       // size_t
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief Bounds of entry answers.
struct entry_policy
{
    /// Members that are busier than this are left out while the customer's shard has another one.
    int overloaded_percent = 85;
    /// Most addresses in one answer.
    std::size_t most_entries = 4;
    /// Time for which a caller keeps an answer: from `keep` to `keep * (1 + keep_spread)`.
    duration keep{10'000};
    double keep_spread = 0.5;
    /// The same for an answer from outside the customer's shard or with overloaded members only.
    duration short_keep{1'000};
};

/// @brief Addresses for a caller, best first.
struct entry_ranking
{
    std::vector<entry_choice> entries;
    duration keep{};
};

/// @brief Ranks the instances that a customer's callers should use.
///
/// Members of the customer's shard come first: those in the caller's zone, then in its region, then the others, in
/// random order within each group so that the slots share the traffic. Leaving, suspect, dead and overloaded members
/// are left out. When the shard has none left, its overloaded members are named, then members of other slots in
/// rendezvous order, then any live member, then suspects, and this instance last, so that an answer is never empty.
class entry_selector
{
  public:
    /// @param self this instance; later updates about it come through update()
    explicit entry_selector(const member_update& self, const entry_policy& policy = {});

    // The index by slot points into the members.
    entry_selector(const entry_selector&) = delete;
    entry_selector& operator=(const entry_selector&) = delete;
    entry_selector(entry_selector&&) = default;
    entry_selector& operator=(entry_selector&&) = default;
    ~entry_selector() = default;

    /// @brief Takes the slots and the shard size in force. O(1).
    void configure(const fleet_record& fleet);
    /// @brief Takes one change of the membership view. O(1) on average.
    void update(const member_update& member);
    /// @brief Replaces the whole membership view. O(members).
    void replace(const std::vector<member_update>& members);
    /// @brief Names the region of a zone that no member is in. O(1).
    void learn_zone(const zone_id& zone, const region_id& region);

    /// @brief Region of a zone that learn_zone() has named; empty for another one. O(1).
    [[nodiscard]] region_id region_of(const zone_id& zone) const;
    /// @brief Ranks entries for a caller. O(entry_slots), independent of the number of members, while the shard has a
    /// usable member; otherwise O(entry_slots + members * log(members)).
    /// @param zone the caller's availability zone; an unknown one gives no preference
    [[nodiscard]] entry_ranking select(const customer_id& customer, const zone_id& zone, random_source& random) const;

    /// @brief Ranks entries for callers of a zone, whoever their customer is: the usable members of the zone, with
    /// those of the region where the zone has fewer than `least`, and with all where the region has. O(members).
    /// @param most addresses in the answer
    [[nodiscard]] std::vector<entry_choice> select_near(const zone_id& zone, std::size_t least, std::size_t most,
                                                        random_source& random) const;

    /// @brief True when a customer's traffic belongs to this instance's slot. O(entry_slots).
    [[nodiscard]] bool serves(const customer_id& customer) const;

  private:
    using candidates = std::vector<const member_update*>;

    void detach(const member_update& member);
    [[nodiscard]] bool usable(const member_update& member) const;
    [[nodiscard]] bool overloaded(const member_update& member) const;
    [[nodiscard]] candidates in_slots(const std::vector<int>& slots) const;
    [[nodiscard]] candidates outside_shard(const customer_id& customer) const;
    [[nodiscard]] candidates last_resort() const;
    [[nodiscard]] int distance(const member_update& member, const zone_id& zone) const;
    [[nodiscard]] std::vector<entry_choice> rank(candidates found, const zone_id& zone, std::size_t most,
                                                 random_source& random) const;

    entry_policy policy_;
    fleet_record fleet_;
    instance_id self_;
    std::unordered_map<instance_id, member_update> members_;
    /// Members by slot; two hold the same slot while one replaces the other.
    std::vector<std::vector<const member_update*>> by_slot_;
    std::unordered_map<zone_id, region_id> region_of_;
};

} // namespace parsleyshift
