#include "virtual_network.hpp"

#include "CppUTest/TestHarness.h" // CHECK_TRUE

#include <cmath>   // log2
#include <cstdlib> // abs
#include <numeric> // iota

using namespace parsleyshift;
using namespace parsleyshift::literals;
using parsleyshift::test_support::virtual_network;

namespace
{

using indices = std::vector<std::size_t>;

indices range(std::size_t first, std::size_t last)
{
    indices all(last - first);
    std::iota(all.begin(), all.end(), first);
    return all;
}

std::vector<listed_instance> list_of(const indices& named)
{
    std::vector<listed_instance> list;
    for (const std::size_t index : named)
    {
        list.push_back(virtual_network::listed(index));
    }
    return list;
}

/// Starts the given nodes with views of each other, as after a long quiet time.
void start_all(virtual_network& network, const indices& started)
{
    peer_envelope everyone{instance_id{"0"}, incarnation{1}, "0", {}, member_updates{}};
    auto& updates = std::get<member_updates>(everyone.message).updates;
    for (const std::size_t index : started)
    {
        updates.push_back(virtual_network::describe(index));
    }
    for (const std::size_t index : started)
    {
        network.start(index, list_of(started));
        everyone.sender = instance_id{index == 0 ? "1" : "0"};
        network.call(index, [&](membership& view, membership_output& out) { view.handle(everyone, network.now, out); });
    }
    network.run_for(5_s);
}

member_state state_of(const virtual_network& network, std::size_t observer, std::size_t subject)
{
    const member_update* member = network.nodes[observer].view->find(instance_id{std::to_string(subject)});
    return member == nullptr ? member_state::dead : member->state;
}

/// Number of (observer, subject) pairs in which the subject is not in one of the two given states.
std::size_t disagreements(const virtual_network& network, const indices& observers, const indices& subjects,
                          member_state expected, member_state also)
{
    std::size_t count = 0;
    for (const std::size_t observer : observers)
    {
        for (const std::size_t subject : subjects)
        {
            const member_state seen = state_of(network, observer, subject);
            count += observer != subject && seen != expected && seen != also ? 1 : 0;
        }
    }
    return count;
}

std::size_t not_live(const virtual_network& network, const indices& observers, const indices& subjects)
{
    return disagreements(network, observers, subjects, member_state::alive, member_state::suspect);
}

std::size_t not_dead(const virtual_network& network, const indices& observers, const indices& subjects)
{
    return disagreements(network, observers, subjects, member_state::dead, member_state::dead);
}

/// Promise on the time in which a crash is known everywhere: 5 s until a probe has failed, the suspicion, and 2 s for
/// each doubling of the instances that know.
duration detection_bound(std::size_t size)
{
    const double suspicion = 4'000.0 * std::max(1.0, std::log10(static_cast<double>(size)));
    return duration{static_cast<duration::rep>(5'000 + suspicion + 2'000 * std::log2(static_cast<double>(size)))};
}

} // namespace

TEST_GROUP(membership){};

// Guards against crashes that some instance never learns of, and against blaming members that answer.
TEST(membership, a_crash_is_known_everywhere_within_the_bound)
{
    for (const std::size_t size : {8, 64, 400})
    {
        virtual_network network{size, 11};
        start_all(network, range(0, size));
        network.loss = 0.01;
        network.stop(size - 1);
        const indices rest = range(0, size - 1);
        network.run_for(detection_bound(size));
        LONGS_EQUAL(0, not_dead(network, rest, {size - 1}));
        LONGS_EQUAL(0, not_live(network, rest, rest));
    }
}

// Guards against callers that are still sent to an instance which has announced its stop.
TEST(membership, leaving_is_known_everywhere_within_two_seconds)
{
    for (const std::size_t size : {8, 64, 400})
    {
        virtual_network network{size, 12};
        start_all(network, range(0, size));
        network.loss = 0.05;
        network.call(3, [&](membership& view, membership_output& out) { view.leave(network.now, out); });
        network.run_for(2_s);
        LONGS_EQUAL(0, disagreements(network, range(0, size), {3}, member_state::leaving, member_state::leaving));
    }
}

// Guards against eviction over a link that works in one direction only.
TEST(membership, a_link_cut_in_one_direction_evicts_nobody)
{
    virtual_network network{8, 13};
    start_all(network, range(0, 8));
    network.cut = [](std::size_t from, std::size_t to)
    {
        return from == 0 && to == 3;
    };
    std::size_t evictions = 0;
    network.run_for(300_s, [&] { evictions += not_live(network, range(0, 8), range(0, 8)); });
    LONGS_EQUAL(0, evictions);
}

// Guards against an instance that nobody hears and that therefore evicts everybody from the views of the others.
TEST(membership, an_instance_that_is_not_heard_evicts_nobody_and_returns)
{
    virtual_network network{20, 14};
    start_all(network, range(0, 20));
    network.cut = [](std::size_t from, std::size_t)
    {
        return from == 7;
    };
    std::size_t evictions = 0;
    const indices others = range(8, 20);
    network.run_for(60_s, [&] { evictions += not_live(network, others, others); });
    LONGS_EQUAL(0, not_dead(network, others, {7}));
    network.cut = {};
    network.run_for(20_s, [&] { evictions += not_live(network, others, others); });
    LONGS_EQUAL(0, evictions);
    LONGS_EQUAL(0, not_live(network, range(0, 20), range(0, 20)));
}

// Guards against a process that wakes with old timers and blames the others for the time in which it slept.
TEST(membership, a_paused_instance_that_wakes_evicts_nobody)
{
    for (const duration pause : {2_s, 8_s, 60_s, 600_s})
    {
        virtual_network network{64, 15};
        start_all(network, range(0, 64));
        network.nodes[5].paused_until = network.now + pause;
        const indices others = range(6, 64);
        std::size_t evictions = 0;
        network.run_for(pause + 20_s, [&] { evictions += not_live(network, others, others); });
        LONGS_EQUAL(0, evictions);
        LONGS_EQUAL(0, not_live(network, range(0, 64), range(0, 64)));
    }
}

// Guards against an instance without any link that blames the others when the links return.
TEST(membership, an_isolated_instance_suspects_itself_first)
{
    virtual_network network{64, 16};
    start_all(network, range(0, 64));
    network.cut = [](std::size_t from, std::size_t to)
    {
        return from == 9 || to == 9;
    };
    network.run_for(30_s);
    CHECK(network.nodes[9].view->health_score() > 3);
    LONGS_EQUAL(0, not_live(network, {9}, range(0, 64)));
    network.cut = {};
    std::size_t evictions = 0;
    const indices others = range(10, 64);
    network.run_for(30_s, [&] { evictions += not_live(network, others, others); });
    LONGS_EQUAL(0, evictions);
    LONGS_EQUAL(0, not_live(network, range(0, 64), range(0, 64)));
    LONGS_EQUAL(0, network.nodes[9].view->health_score());
}

// Guards against views that keep former processes, or reject their successors, while a release replaces all.
TEST(membership, all_instances_are_replaced_one_by_one)
{
    virtual_network network{24, 17};
    start_all(network, range(0, 24));
    for (std::size_t index = 0; index < 24; ++index)
    {
        network.call(index, [&](membership& view, membership_output& out) { view.leave(network.now, out); });
        network.run_for(2_s);
        network.stop(index);
        network.start(index, list_of(range(0, 24)), 2);
        network.run_for(1_s);
    }
    network.run_for(20_s);
    LONGS_EQUAL(0, not_live(network, range(0, 24), range(0, 24)));
    for (std::size_t observer = 0; observer < 24; ++observer)
    {
        const membership& view = *network.nodes[observer].view;
        LONGS_EQUAL(24, view.live_count());
        for (int slot = 0; slot < 24; ++slot)
        {
            CHECK(view.holder_of(slot)->started == incarnation{2});
        }
    }
}

// Guards against a view that collapses when half of the instances disappear and others take their places.
TEST(membership, half_of_the_instances_are_replaced_at_once)
{
    virtual_network network{96, 18};
    start_all(network, range(0, 64));
    for (std::size_t index = 0; index < 32; ++index)
    {
        network.stop(index);
        network.start(64 + index, list_of(range(0, 64)));
    }
    network.run_for(2 * detection_bound(96));
    LONGS_EQUAL(0, not_dead(network, range(32, 96), range(0, 32)));
    LONGS_EQUAL(0, not_live(network, range(32, 96), range(32, 96)));
}

// Guards against trust in the platform's list: it names stopped instances and misses running ones.
TEST(membership, a_wrong_list_neither_adds_nor_removes_members)
{
    virtual_network network{20, 19};
    start_all(network, range(0, 16));
    network.stop(15);
    network.run_for(detection_bound(16));
    const indices running = range(0, 17);
    network.start(16, list_of({15, 3, 19}));
    for (int update = 0; update < 20; ++update)
    {
        for (const std::size_t index : {0, 1, 2, 16})
        {
            network.call(index,
                         [&](membership& view, membership_output& out) {
                             view.handle_list(list_of({15, 3, 18}), network.now, out);
                         });
        }
        network.run_for(1_s);
    }
    indices members = range(0, 15);
    members.push_back(16);
    LONGS_EQUAL(0, not_live(network, members, members));
    LONGS_EQUAL(0, not_dead(network, members, {15, 18, 19}));
}

// Guards against two halves that never find each other again, or only one member at a time.
TEST(membership, a_partition_heals)
{
    for (const std::size_t size : {8, 64})
    {
        virtual_network network{size, 20};
        start_all(network, range(0, size));
        network.cut = [](std::size_t from, std::size_t to)
        {
            return (from % 3 == 0) != (to % 3 == 0);
        };
        network.run_for(600_s);
        LONGS_EQUAL(0, not_dead(network, {0, 3, 6}, {1, 2, 4, 5}));
        LONGS_EQUAL(0, not_live(network, {0, 3, 6}, {0, 3, 6}));
        LONGS_EQUAL(0, not_live(network, {1, 2, 4}, {1, 2, 4, 5, 7}));
        network.cut = {};
        network.run_for(30_s);
        LONGS_EQUAL(0, not_live(network, range(0, size), range(0, size)));
    }
}

// Guards against a replaced process that wakes and goes on as if it were still the member.
TEST(membership, a_process_learns_that_it_was_replaced)
{
    membership former{virtual_network::describe(4, 1), {}, 1};
    membership_output out;
    former.expire(at_ms(0), out);
    const peer_envelope news{instance_id{"2"}, incarnation{1}, "2", {}, probe{1, {virtual_network::describe(4, 2)}}};
    former.handle(news, at_ms(1), out);
    CHECK(former.superseded());
}

// Guards against a cost that grows with the size, and holds the traffic between regions to its share.
TEST(membership, the_traffic_of_an_instance_does_not_grow_with_the_size)
{
    for (const std::size_t size : {24, 400})
    {
        virtual_network network{size, 21};
        start_all(network, range(0, size));
        const membership_traffic before = network.nodes[1].view->traffic();
        network.run_for(100_s);
        const membership_traffic& after = network.nodes[1].view->traffic();
        const auto own = after.own_region.messages - before.own_region.messages;
        const auto other = after.other_regions.messages - before.other_regions.messages;
        const auto bytes =
            after.own_region.bytes + after.other_regions.bytes - before.own_region.bytes - before.other_regions.bytes;
        // Two messages a second by the formula, and a tenth of them to other regions; half as much again for chance.
        CHECK(own + other >= 100 && own + other <= 300);
        CHECK(other <= 30);
        CHECK(bytes <= 290'000);
    }
}
