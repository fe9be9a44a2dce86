#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include "simulated_region.hpp" // simulated_region

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <string>  // string, to_string

using namespace parsleyshift;
using namespace parsleyshift::literals;
using namespace parsleyshift::test_support;

namespace
{

constexpr time_point start = at_ms(1'000'000);
/// Time from the start of an instance within which it must have a confirmed copy.
constexpr duration copy_bound{4'000};
/// Instances that read the store at the same time: the seeds, and the readers of the region.
constexpr std::size_t max_readers = 7;
/// An idle reader makes a call every 0.7 s.
constexpr duration call_interval{700};

} // namespace

/// Starts regions whose instances know only the seeds, on links of 20 Mbit/s.
TEST_GROUP(cold_start){static region_shape shape_of(std::size_t instances){region_shape shape;
shape.instances = instances;
shape.reader_link = 2'500;
shape.follower_link = 2'500;
shape.store_link = 18'750;
return shape;
}
static void fill(simulated_region& region)
{
    for (int each = 0; each < 142; ++each)
    {
        region.write("endpoint" + std::to_string(each), std::string(220, 'e'));
    }
    region.write("configuration", std::string(20'000, 'c'));
}
static std::size_t copies(const simulated_region& region, std::size_t instances)
{
    std::size_t count = 0;
    for (std::size_t index = 0; index < instances; ++index)
    {
        count += region.matches_store(index) ? 1 : 0;
    }
    return count;
}
static std::size_t calls_of_readers(duration time)
{
    return max_readers * static_cast<std::size_t>(time / call_interval + 2);
}
}
;

// Guards against a fleet whose instances each list the store when they start together.
TEST(cold_start, few_instances_read_the_store)
{
    for (const std::size_t instances : {9U, 66U, 295U})
    {
        simulated_links links{start};
        simulated_region region{links, shape_of(instances)};
        fill(region);
        region.start_cold(6'000_ms);
        links.run_until(links.now() + copy_bound);
        LONGS_EQUAL(instances, copies(region, instances));
        links.run_until(links.now() + 8'000_ms);
        CHECK(region.store_calls() <= calls_of_readers(12'000_ms));
        for (std::size_t index = 0; index < instances; ++index)
        {
            CHECK(region.age_of(index) < 2'500_ms);
        }
    }
}

// Guards against instances that wait for each other, one since it has not joined yet and the other by its rank.
TEST(cold_start, no_instances_wait_for_each_other)
{
    constexpr std::size_t instances = 66;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        simulated_links links{start};
        region_shape shape = shape_of(instances);
        shape.random_seed = seed;
        simulated_region region{links, shape};
        fill(region);
        region.start_cold(6'000_ms);
        links.run_until(links.now() + copy_bound);
        LONGS_EQUAL(instances, copies(region, instances));
        for (int step = 0; step < 40; ++step)
        {
            links.run_until(links.now() + 200_ms);
            for (std::size_t index = 0; index < instances; ++index)
            {
                CHECK(region.age_of(index) < 4'300_ms);
            }
        }
        CHECK(region.store_calls() <= 2 * calls_of_readers(12'000_ms));
    }
}

// Guards against a larger fleet in which the copies that were asked for at once all come too late.
TEST(cold_start, a_fleet_of_1600_gets_its_copies)
{
    constexpr std::size_t instances = 1'600;
    simulated_links links{start};
    simulated_region region{links, shape_of(instances)};
    fill(region);
    region.start_cold(6'000_ms);
    links.run_until(links.now() + 15'000_ms);
    LONGS_EQUAL(instances, copies(region, instances));
    // Two calls for each instance at most, besides the readers.
    CHECK(region.store_calls() <= 2 * instances + calls_of_readers(15'000_ms));
}

// Guards against instances that wait for seeds which do not answer.
TEST(cold_start, dead_seeds_cost_a_bounded_number_of_calls)
{
    constexpr std::size_t instances = 66;
    for (const std::size_t dead : {1U, 3U})
    {
        simulated_links links{start};
        simulated_region region{links, shape_of(instances)};
        fill(region);
        region.start_cold(3'000_ms);
        links.run_until(links.now() + 300_ms);
        for (std::size_t index = instances - dead; index < instances; ++index)
        {
            region.freeze(index);
        }
        links.run_until(links.now() + copy_bound);
        for (std::size_t index = 0; index < instances - dead; ++index)
        {
            CHECK(region.matches_store(index));
        }
        links.run_until(links.now() + 4'000_ms);
        CHECK(region.store_calls() <= 2 * instances + calls_of_readers(8'300_ms));
    }
}

// Guards against instances that list the store because half of the fleet starts again.
TEST(cold_start, a_restart_of_half_of_the_instances_costs_few_calls)
{
    constexpr std::size_t instances = 148;
    simulated_links links{start};
    simulated_region region{links, shape_of(instances)};
    fill(region);
    region.start();
    links.run_until(links.now() + 8'000_ms);
    const std::size_t calls_before = region.store_calls();
    for (std::size_t index = 0; index < instances; index += 2)
    {
        region.restart(index, 500_ms, 3'000_ms);
    }
    links.run_until(links.now() + 500_ms + copy_bound);
    LONGS_EQUAL(instances, copies(region, instances));
    CHECK(region.store_calls() - calls_before <= calls_of_readers(4'500_ms));
}

// Guards against new instances that use a copy which nobody confirms, or list the store again and again while it does
// not answer.
TEST(cold_start, a_silent_store_is_asked_at_intervals)
{
    constexpr std::size_t instances = 66;
    simulated_links links{start};
    simulated_region region{links, shape_of(instances)};
    fill(region);
    region.set_store_silent(true);
    region.start_cold(2'000_ms);
    links.run_until(links.now() + 6'000_ms);
    LONGS_EQUAL(0, copies(region, instances));
    // A call takes 0.7 s at least until its timeout, and 0.1 s pass before the next one.
    CHECK(region.store_calls() <= instances * 8);
    region.set_store_silent(false);
    links.run_until(links.now() + copy_bound);
    LONGS_EQUAL(instances, copies(region, instances));
}
