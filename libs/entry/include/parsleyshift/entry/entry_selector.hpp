#pragma once

#include <parsleyshift/core/clock.hpp>         // duration
#include <parsleyshift/core/ids.hpp>           // customer_id, zone_id
#include <parsleyshift/core/random_source.hpp> // random_source
#include <parsleyshift/messages/action.hpp>    // entry_candidate
#include <parsleyshift/messages/peer.hpp>      // member_update
#include <parsleyshift/records/record.hpp>     // fleet_record

#include <cstddef>       // size_t
#include <unordered_map> // unordered_map
#include <unordered_set> // unordered_set
#include <vector>        // vector

namespace parsleyshift
{

/// @brief Limits and cache times of entry answers.
struct entry_policy
{
    /// A member whose busy_percent exceeds this is overloaded. It is omitted while the customer's shard has an
    /// available member: one that is alive and not overloaded.
    int overloaded_percent = 85;
    /// Maximum number of addresses in one answer.
    std::size_t max_entries = 4;
    /// Time for which a caller may cache an answer, chosen at random from `ttl` to `ttl * (1 + ttl_jitter)`, so that
    /// the callers do not ask again at the same moment.
    duration ttl{10'000};
    double ttl_jitter = 0.5;
    /// Replaces `ttl` for an answer that has no available member of the customer's shard.
    duration short_ttl{1'000};
};

/// @brief The content of an entry answer: addresses, best first, and the time for which the caller may cache them.
struct entry_ranking
{
    std::vector<entry_candidate> entries;
    duration ttl{};
};

/// @brief Ranks the instances that a customer's callers should use.
///
/// An answer contains members of the customer's shard: those in the caller's zone, then those in its region, then the
/// others, in random order within each group so that the slots share the traffic. Leaving, suspect, dead and overloaded
/// members are omitted. When no member of the shard is left, the first non-empty one of these groups is used instead:
/// overloaded members of the shard, the members of other slots with the highest rendezvous scores, any alive members,
/// not overloaded ones first, suspect members, this instance. An answer is therefore never empty.
class entry_selector
{
  public:
    /// @param self this instance; later changes of it are passed to update()
    explicit entry_selector(const member_update& self, const entry_policy& policy = {});

    // by_slot_ contains pointers into members_.
    entry_selector(const entry_selector&) = delete;
    entry_selector& operator=(const entry_selector&) = delete;
    entry_selector(entry_selector&&) = default;
    entry_selector& operator=(entry_selector&&) = default;
    ~entry_selector() = default;

    /// @brief Sets the number of slots and the shard size. O(1).
    void configure(const fleet_record& fleet);
    /// @brief Applies one change of the membership view. O(1) on average.
    void update(const member_update& member);
    /// @brief Replaces the whole membership view; this instance remains a member. O(members).
    void replace(const std::vector<member_update>& members);
    /// @brief Sets the region of a zone, which is needed for zones without members. It takes precedence over what
    /// members in the zone say. O(1).
    void set_zone_region(const zone_id& zone, const region_id& region);

    /// @brief Region of a zone, as set by set_zone_region() or by a member in that zone; empty for an unknown zone.
    /// O(1).
    [[nodiscard]] region_id region_of(const zone_id& zone) const;
    /// @brief Whether a zone with a known region is in one of the regions. O(zones * log(regions)).
    [[nodiscard]] bool has_zone_in(const region_set& regions) const;

    /// @brief Ranks entries for a caller. O(entry_slots), independent of the number of members, while the shard has an
    /// alive member; otherwise O(entry_slots + members * log(members)).
    /// @param zone the caller's availability zone; an unknown zone gives no preference
    [[nodiscard]] entry_ranking select(const customer_id& customer, const zone_id& zone, random_source& random) const;

    /// @brief Ranks entries for callers in a zone, independent of the customer. O(members * log(members)).
    ///
    /// The candidates are the members in the zone. While there are fewer than `min_members`, those in the zone's region
    /// are added, then all others; beside a member of the region, only as many others as `min_members` calls for, since
    /// callers that choose any address would leave their region. Of the members, only the available ones count, or if
    /// there are none, the first non-empty of: overloaded members, suspect members, this instance.
    /// @param min_members number of candidates up to which more distant members are added
    /// @param max_entries maximum number of addresses in the answer
    [[nodiscard]] std::vector<entry_candidate> select_for_zone(const zone_id& zone, std::size_t min_members,
                                                               std::size_t max_entries, random_source& random) const;

    /// @brief True when the customer's shard contains this instance's slot. O(entry_slots).
    [[nodiscard]] bool serves(const customer_id& customer) const;

  private:
    using candidates = std::vector<const member_update*>;

    void remove_from_slot(const member_update& member);
    [[nodiscard]] bool is_alive(const member_update& member) const;
    [[nodiscard]] bool overloaded(const member_update& member) const;
    [[nodiscard]] candidates alive_in_slots(const std::vector<int>& slots) const;
    /// Alive members of the slots with the highest scores among those with an available member.
    [[nodiscard]] candidates outside_shard(const customer_id& customer) const;
    /// The first non-empty of: alive members not overloaded, overloaded ones, suspect ones, this instance.
    [[nodiscard]] candidates fallback_members() const;
    /// 0 in the zone, 1 in the zone's region, 2 elsewhere or when the region of the zone is unknown.
    [[nodiscard]] int distance(const member_update& member, const zone_id& zone) const;
    /// Sorts by distance, in random order at the same distance, and keeps the first `max_entries`.
    [[nodiscard]] std::vector<entry_candidate> rank(candidates found, const zone_id& zone, std::size_t max_entries,
                                                    random_source& random) const;

    entry_policy policy_;
    fleet_record fleet_;
    instance_id self_;
    std::unordered_map<instance_id, member_update> members_;
    /// Members by slot. Two members hold the same slot while one replaces the other.
    std::vector<std::vector<const member_update*>> by_slot_;
    /// Regions of the zones: those that were set, and those that members say of zones for which none was set.
    std::unordered_map<zone_id, region_id> region_of_;
    std::unordered_set<zone_id> set_zones_;
};

} // namespace parsleyshift
