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

/// Starts the given nodes with complete views of each other and runs them for 5 s.
void start_all(virtual_network& network, const indices& started)
{
    peer_envelope full_view{instance_id{"0"}, incarnation{1}, "0", {}, member_updates{}};
    auto& updates = std::get<member_updates>(full_view.message).updates;
    for (const std::size_t index : started)
    {
        updates.push_back(virtual_network::describe(index));
    }
    for (const std::size_t index : started)
    {
        network.start(index, list_of(started));
        full_view.sender = instance_id{index == 0 ? "1" : "0"};
        network.call(index,
                     [&](membership& view, membership_output& out) { view.handle(full_view, network.now, out); });
    }
    network.run_for(5_s);
}

member_state state_of(const virtual_network& network, std::size_t observer, std::size_t subject)
{
    const member_update* member = network.nodes[observer].view->find(instance_id{std::to_string(subject)});
    return member == nullptr ? member_state::dead : member->state;
}

/// Number of (observer, subject) pairs in which the observer has the subject in neither of the two given states.
std::size_t count_mismatches(const virtual_network& network, const indices& observers, const indices& subjects,
                             member_state expected, member_state also_expected)
{
    std::size_t count = 0;
    for (const std::size_t observer : observers)
    {
        for (const std::size_t subject : subjects)
        {
            const member_state seen = state_of(network, observer, subject);
            count += observer != subject && seen != expected && seen != also_expected ? 1 : 0;
        }
    }
    return count;
}

std::size_t count_not_live(const virtual_network& network, const indices& observers, const indices& subjects)
{
    return count_mismatches(network, observers, subjects, member_state::alive, member_state::suspect);
}

std::size_t count_not_dead(const virtual_network& network, const indices& observers, const indices& subjects)
{
    return count_mismatches(network, observers, subjects, member_state::dead, member_state::dead);
}

/// Guaranteed time in which all instances detect a crash: 5 s until a probe has failed, the suspicion timeout, and 2 s
/// for each doubling of the number of instances that have received the update.
duration detection_bound(std::size_t size)
{
    const double suspicion = 4'000.0 * std::max(1.0, std::log10(static_cast<double>(size)));
    return duration{static_cast<duration::rep>(5'000 + suspicion + 2'000 * std::log2(static_cast<double>(size)))};
}

} // namespace

TEST_GROUP(membership){};

// Guards against a crash that some instance never detects, and against the eviction of members that answer, when
// messages are lost.
TEST(membership, a_crash_is_detected_by_all_instances_within_the_bound)
{
    for (const std::size_t size : {8, 64, 400})
    {
        virtual_network network{size, 11};
        start_all(network, range(0, size));
        network.loss = 0.01;
        network.stop(size - 1);
        const indices survivors = range(0, size - 1);
        network.run_for(detection_bound(size));
        LONGS_EQUAL(0, count_not_dead(network, survivors, {size - 1}));
        LONGS_EQUAL(0, count_not_live(network, survivors, survivors));
    }
}

// Guards against callers that are still sent to an instance after it has announced that it leaves, because the
// announcement was lost on the way to some members.
TEST(membership, a_leave_reaches_all_instances_within_two_seconds)
{
    for (const std::size_t size : {8, 64, 400})
    {
        virtual_network network{size, 12};
        start_all(network, range(0, size));
        network.loss = 0.05;
        network.call(3, [&](membership& view, membership_output& out) { view.leave(network.now, out); });
        network.run_for(2_s);
        LONGS_EQUAL(0, count_mismatches(network, range(0, size), {3}, member_state::leaving, member_state::leaving));
    }
}

// Guards against the eviction of a member when a link to it fails in one direction only.
TEST(membership, a_link_cut_in_one_direction_evicts_nobody)
{
    virtual_network network{8, 13};
    start_all(network, range(0, 8));
    network.is_cut = [](std::size_t from, std::size_t to)
    {
        return from == 0 && to == 3;
    };
    std::size_t evictions = 0;
    network.run_for(300_s, [&] { evictions += count_not_live(network, range(0, 8), range(0, 8)); });
    LONGS_EQUAL(0, evictions);
}

// Guards against an instance whose messages are all lost: all its probes fail, and its updates must not make the other
// members evict each other when its link returns.
TEST(membership, an_instance_that_cannot_send_evicts_nobody_and_returns)
{
    virtual_network network{20, 14};
    start_all(network, range(0, 20));
    network.is_cut = [](std::size_t from, std::size_t)
    {
        return from == 7;
    };
    std::size_t evictions = 0;
    const indices others = range(8, 20);
    network.run_for(60_s, [&] { evictions += count_not_live(network, others, others); });
    LONGS_EQUAL(0, count_not_dead(network, others, {7}));
    network.is_cut = {};
    network.run_for(20_s, [&] { evictions += count_not_live(network, others, others); });
    LONGS_EQUAL(0, evictions);
    LONGS_EQUAL(0, count_not_live(network, range(0, 20), range(0, 20)));
}

// Guards against a process that resumes after a pause with expired timers and evicts members whose answers it has not
// read yet.
TEST(membership, a_paused_instance_that_resumes_evicts_nobody)
{
    for (const duration pause : {2_s, 8_s, 60_s, 600_s})
    {
        virtual_network network{64, 15};
        start_all(network, range(0, 64));
        network.nodes[5].paused_until = network.now + pause;
        const indices others = range(6, 64);
        std::size_t evictions = 0;
        network.run_for(pause + 20_s, [&] { evictions += count_not_live(network, others, others); });
        LONGS_EQUAL(0, evictions);
        LONGS_EQUAL(0, count_not_live(network, range(0, 64), range(0, 64)));
    }
}

// Guards against an instance that loses all links, suspects the other members and announces it when the links return.
TEST(membership, an_isolated_instance_raises_its_health_score_and_evicts_nobody)
{
    virtual_network network{64, 16};
    start_all(network, range(0, 64));
    network.is_cut = [](std::size_t from, std::size_t to)
    {
        return from == 9 || to == 9;
    };
    network.run_for(30_s);
    CHECK(network.nodes[9].view->health_score() > 3);
    LONGS_EQUAL(0, count_not_live(network, {9}, range(0, 64)));
    network.is_cut = {};
    std::size_t evictions = 0;
    const indices others = range(10, 64);
    network.run_for(30_s, [&] { evictions += count_not_live(network, others, others); });
    LONGS_EQUAL(0, evictions);
    LONGS_EQUAL(0, count_not_live(network, range(0, 64), range(0, 64)));
    LONGS_EQUAL(0, network.nodes[9].view->health_score());
}

// Guards against views that keep old processes, or reject their successors, while a release replaces all instances.
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
    LONGS_EQUAL(0, count_not_live(network, range(0, 24), range(0, 24)));
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

// Guards against views that lose live members or keep dead ones when half of the instances are replaced at once.
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
    LONGS_EQUAL(0, count_not_dead(network, range(32, 96), range(0, 32)));
    LONGS_EQUAL(0, count_not_live(network, range(32, 96), range(32, 96)));
}

// Guards against adding or removing members because of the platform's list, which may name stopped instances and miss
// running ones.
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
    LONGS_EQUAL(0, count_not_live(network, members, members));
    LONGS_EQUAL(0, count_not_dead(network, members, {15, 18, 19}));
}

// Guards against two sides of a partition that do not reconnect, or reconnect only one member at a time, after both
// have evicted each other.
TEST(membership, a_partition_heals)
{
    for (const std::size_t size : {8, 64})
    {
        virtual_network network{size, 20};
        start_all(network, range(0, size));
        network.is_cut = [](std::size_t from, std::size_t to)
        {
            return (from % 3 == 0) != (to % 3 == 0);
        };
        network.run_for(600_s);
        LONGS_EQUAL(0, count_not_dead(network, {0, 3, 6}, {1, 2, 4, 5}));
        LONGS_EQUAL(0, count_not_live(network, {0, 3, 6}, {0, 3, 6}));
        LONGS_EQUAL(0, count_not_live(network, {1, 2, 4}, {1, 2, 4, 5, 7}));
        network.is_cut = {};
        network.run_for(30_s);
        LONGS_EQUAL(0, count_not_live(network, range(0, size), range(0, size)));
    }
}

// Guards against a process that was replaced while it was paused and then continues as if it were still the member.
TEST(membership, a_replaced_process_is_superseded)
{
    membership old_process{virtual_network::describe(4, 1), {}, 1};
    membership_output out;
    old_process.expire(at_ms(0), out);
    const peer_envelope successor_probe{
        instance_id{"2"}, incarnation{1}, "2", {}, probe{1, {virtual_network::describe(4, 2)}}};
    old_process.handle(successor_probe, at_ms(1), out);
    CHECK(old_process.superseded());
}

// Guards against traffic per instance that grows with the number of instances, or traffic between regions above its
// share.
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
        // By the formula at membership, two messages per second, a tenth of them to other regions; plus half for
        // chance.
        CHECK(own + other >= 100 && own + other <= 300);
        CHECK(other <= 30);
        CHECK(bytes <= 290'000);
    }
}
