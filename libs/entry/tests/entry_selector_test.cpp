#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/entry/customer_shard.hpp> // customer_shard
#include <parsleyshift/entry/entry_selector.hpp> // entry_selector

#include <algorithm> // all_of, find
#include <set>       // set
#include <string>    // string, to_string

using namespace parsleyshift;
using namespace parsleyshift::literals;

namespace
{

const zone_id ikeja{"ikeja"};
const zone_id apapa{"apapa"};
const zone_id garki{"garki"};
const customer_id customer{"pitchmark"};

member_update member(int slot, const zone_id& zone)
{
    member_update made;
    made.instance = instance_id{"entry-" + std::to_string(slot)};
    made.address = "127.0.0." + std::to_string(slot + 1) + ":80";
    made.availability_zone = zone;
    made.region = region_id{zone == garki ? "abuja" : "lagos"};
    made.entry_slot = slot;
    return made;
}

fleet_record fleet_of(int slots, int shard_size)
{
    fleet_record fleet;
    fleet.entry_slots = slots;
    fleet.shard_size = shard_size;
    return fleet;
}

/// Eight instances, slots 0 to 7, zones in turn.
std::vector<member_update> eight_members()
{
    const zone_id zones[] = {ikeja, apapa, garki};
    std::vector<member_update> members;
    for (int slot = 0; slot < 8; ++slot)
    {
        members.push_back(member(slot, zones[slot % 3]));
    }
    return members;
}

entry_selector selector_of(const std::vector<member_update>& members, int shard_size = 3)
{
    entry_selector selector{members.front()};
    selector.configure(fleet_of(static_cast<int>(members.size()), shard_size));
    selector.replace(members);
    return selector;
}

bool names(const entry_ranking& ranking, const member_update& wanted)
{
    return std::any_of(ranking.entries.begin(), ranking.entries.end(),
                       [&](const entry_choice& entry) { return entry.instance == wanted.instance; });
}

} // namespace

TEST_GROUP(entry_selector)
{
    random_source random{1};
};

TEST(entry_selector, a_shard_has_distinct_valid_slots)
{
    test_support::check_property("a shard has the wanted number of distinct slots",
                                 [](const std::string& name)
                                 {
                                     const int slots = *rc::gen::inRange(1, 1'700);
                                     const int size = *rc::gen::inRange(1, 9);
                                     const std::vector<int> shard = customer_shard(customer_id{name}, slots, size);
                                     const std::set<int> distinct(shard.begin(), shard.end());
                                     RC_ASSERT(distinct.size() == static_cast<std::size_t>(std::min(slots, size)));
                                     RC_ASSERT(*distinct.begin() >= 0);
                                     RC_ASSERT(*distinct.rbegin() < slots);
                                 });
    CHECK(customer_shard(customer, 0, 3).empty());
    CHECK(customer_shard(customer, 8, 0).empty());
}

// Guards against a change of the number of slots that moves customers between slots that stay.
TEST(entry_selector, adding_slots_moves_customers_to_new_slots_only)
{
    test_support::check_property("a slot that is new in a shard is a new slot",
                                 [](const std::string& name)
                                 {
                                     const int slots = *rc::gen::inRange(1, 200);
                                     const int more = slots + *rc::gen::inRange(1, 50);
                                     const std::vector<int> before = customer_shard(customer_id{name}, slots, 3);
                                     for (const int slot : customer_shard(customer_id{name}, more, 3))
                                     {
                                         const bool kept =
                                             std::find(before.begin(), before.end(), slot) != before.end();
                                         RC_ASSERT(kept || slot >= slots);
                                     }
                                 });
}

// Guards against hashing that gives some slots far more customers than others: with 8,200 customers and 3 of 100 slots
// each, a slot has 246 on average with a standard deviation of 16; six of those are allowed.
TEST(entry_selector, shards_spread_customers_evenly)
{
    std::vector<int> held(100, 0);
    for (int index = 0; index < 8'200; ++index)
    {
        for (const int slot : customer_shard(customer_id{"customer-" + std::to_string(index)}, 100, 3))
        {
            ++held[static_cast<std::size_t>(slot)];
        }
    }
    CHECK(std::all_of(held.begin(), held.end(), [](int count) { return count > 150 && count < 342; }));
}

TEST(entry_selector, the_answer_holds_the_shard_nearest_first)
{
    const std::vector<member_update> members = eight_members();
    const entry_selector selector = selector_of(members, 8);
    const entry_ranking ranking = selector.select(customer, apapa, random);
    LONGS_EQUAL(4, ranking.entries.size());
    // Three members are in apapa and three more in its region.
    CHECK(ranking.entries[0].availability_zone == apapa);
    CHECK(ranking.entries[1].availability_zone == apapa);
    CHECK(ranking.entries[2].availability_zone == apapa);
    CHECK(ranking.entries[3].availability_zone == ikeja);

    const entry_selector narrow = selector_of(members, 3);
    const std::vector<int> shard = customer_shard(customer, 8, 3);
    for (const entry_choice& entry : narrow.select(customer, garki, random).entries)
    {
        CHECK(std::any_of(shard.begin(), shard.end(),
                          [&](int slot)
                          { return entry.instance == members[static_cast<std::size_t>(slot)].instance; }));
    }
}

// Guards against callers that are sent to an instance after the first sign that it is not fit, and against answers
// without any address. Whatever the states, the answer holds the fit members of the shard and nobody else while there
// are any, and no leaving or dead instance while another is alive.
TEST(entry_selector, unfit_members_are_left_out_and_the_answer_is_never_empty)
{
    test_support::check_property(
        "states decide who is named",
        [&]
        {
            std::vector<member_update> members = eight_members();
            const std::vector<int> shard = customer_shard(customer, 8, 3);
            entry_selector selector = selector_of(members);
            bool fit_in_shard = false;
            bool any_alive = false;
            for (member_update& one : members)
            {
                one.state = *rc::gen::element(member_state::alive, member_state::suspect, member_state::leaving,
                                              member_state::dead);
                one.busy_percent = *rc::gen::element(0, 85, 86, 100);
                selector.update(one);
                const bool in_shard = std::find(shard.begin(), shard.end(), one.entry_slot) != shard.end();
                const bool alive = one.state == member_state::alive;
                any_alive = any_alive || alive;
                fit_in_shard = fit_in_shard || (in_shard && alive && one.busy_percent <= 85);
            }
            const entry_ranking ranking = selector.select(customer, *rc::gen::element(ikeja, garki), random);
            RC_ASSERT(!ranking.entries.empty());
            for (const member_update& one : members)
            {
                if (!names(ranking, one))
                {
                    continue;
                }
                const bool in_shard = std::find(shard.begin(), shard.end(), one.entry_slot) != shard.end();
                RC_ASSERT(!any_alive || one.state == member_state::alive);
                RC_ASSERT(!fit_in_shard || (in_shard && one.busy_percent <= 85));
            }
        });
}

// Guards against a customer whose overload reaches the slots of the others.
TEST(entry_selector, an_overloaded_shard_is_not_widened)
{
    std::vector<member_update> members = eight_members();
    const std::vector<int> shard = customer_shard(customer, 8, 3);
    entry_selector selector = selector_of(members);
    for (const int slot : shard)
    {
        members[static_cast<std::size_t>(slot)].busy_percent = 100;
        selector.update(members[static_cast<std::size_t>(slot)]);
    }
    const entry_ranking ranking = selector.select(customer, ikeja, random);
    LONGS_EQUAL(3, ranking.entries.size());
    CHECK(ranking.keep <= 1'500_ms);
}

// Guards against a replaced instance whose old address is still named, and against a slot that keeps a moved member.
TEST(entry_selector, a_slot_follows_its_holder)
{
    const std::vector<member_update> members = eight_members();
    entry_selector selector = selector_of(members, 8);
    member_update gone = members[1];
    gone.state = member_state::dead;
    selector.update(gone);
    member_update successor = member(1, apapa);
    successor.instance = instance_id{"entry-1b"};
    selector.update(successor);
    const entry_ranking ranking = selector.select(customer, apapa, random);
    CHECK(names(ranking, successor));
    CHECK_FALSE(names(ranking, members[1]));

    successor.entry_slot = -1;
    selector.update(successor);
    CHECK_FALSE(names(selector.select(customer, apapa, random), successor));
}

// Guards against all callers asking again at the same moment, and against all of a customer's callers using one slot.
TEST(entry_selector, keep_times_and_orders_vary)
{
    const entry_selector selector = selector_of(eight_members(), 8);
    std::set<duration> keeps;
    std::set<instance_id> first;
    for (int round = 0; round < 100; ++round)
    {
        const entry_ranking ranking = selector.select(customer, ikeja, random);
        keeps.insert(ranking.keep);
        first.insert(ranking.entries.front().instance);
        CHECK(ranking.keep >= 10'000_ms);
        CHECK(ranking.keep < 15'000_ms);
    }
    CHECK(keeps.size() > 50);
    LONGS_EQUAL(3, first.size());
}

TEST(entry_selector, serves_tells_whether_the_shard_holds_the_own_slot)
{
    const entry_selector selector = selector_of(eight_members());
    const std::vector<int> shard = customer_shard(customer, 8, 3);
    CHECK_EQUAL(std::find(shard.begin(), shard.end(), 0) != shard.end(), selector.serves(customer));
    CHECK(selector_of(eight_members(), 8).serves(customer));
}
