#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include "simulated_region.hpp" // simulated_region

#include <parsleyshift/core/random_source.hpp> // random_source

#include <algorithm> // max
#include <cstddef>   // size_t
#include <cstdint>   // uint64_t
#include <string>    // string, to_string
#include <vector>    // vector

using namespace parsleyshift;
using namespace parsleyshift::literals;
using namespace parsleyshift::test_support;

namespace
{

constexpr time_point start = at_ms(1'000'000);
/// Time after its confirmation within which a change must be in force at every instance.
constexpr duration application_bound{4'000};
/// An instance rejects requests when its copy has not been confirmed for this long.
constexpr duration freshness_lease{4'300};
/// Time after the start of many instances within which they must serve again.
constexpr duration recovery_bound{15'000};
constexpr std::size_t large_configuration = 54'000;
constexpr std::size_t very_large_configuration = 390'000;
/// The store accepts values up to 1 MB.
constexpr std::size_t largest_configuration = 1'000'000;

std::string random_name(random_source& random, std::size_t length)
{
    std::string name;
    while (name.size() < length)
    {
        name += static_cast<char>('a' + random.index(26));
    }
    return name;
}

/// A configuration of about the given size, whose routes have random names and paths.
std::string configuration_text(std::uint64_t version, std::size_t bytes)
{
    random_source random{version};
    std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    while (text.size() < bytes)
    {
        text += R"({"name":"r-)" + random_name(random, 7) + R"(","host":")" + random_name(random, 6) +
                R"(.example","path_start":"/)" + random_name(random, 8) +
                R"(/","kind":"idempotent","timeout":1200,"objective":400,"priority":2,"target":")" +
                random_name(random, 7) +
                R"(","attempts":2,"anonymous":true,"prefix_affinity":false,"resumable":false},)";
    }
    return text;
}

} // namespace

/// Follows how long changes take to reach the instances of a region.
TEST_GROUP(configuration_spread)
{
    struct confirmed_change
    {
        time_point at;
        std::uint64_t number;
    };
    simulated_links links{start};
    std::vector<confirmed_change> confirmed;
    duration longest_age{};

    void write(simulated_region & region, std::size_t bytes)
    {
        region.write("configuration", configuration_text(region.store_revision(), bytes));
        confirmed.push_back({links.now(), region.store_revision()});
    }
    /// Starts the region and lets all instances read the items.
    void settle(simulated_region & region)
    {
        for (int each = 0; each < 51; ++each)
        {
            region.write("endpoint" + std::to_string(each), std::string(200, 'e'));
        }
        write(region, large_configuration);
        region.start();
        links.run_until(links.now() + 8'000_ms);
        confirmed.clear();
    }
    /// Writes a configuration every 100 ms.
    void write_series(simulated_region & region, int count, std::size_t bytes)
    {
        for (int each = 0; each < count; ++each)
        {
            write(region, bytes);
            run(region, 100_ms);
        }
    }
    /// Runs the simulation and records the greatest age of a copy.
    void run(simulated_region & region, duration time, std::size_t instances = region_shape{}.instances)
    {
        const time_point end = links.now() + time;
        while (links.now() < end)
        {
            links.run_until(links.now() + 50_ms);
            check_applied(region, instances);
        }
    }
    /// Writes a configuration many times as large as the one before, after a time, and checks that no copy gets too
    /// old.
    void grow(simulated_region & region, duration after)
    {
        run(region, after);
        write(region, very_large_configuration);
        run(region, 20'000_ms);
        CHECK(longest_age < freshness_lease);
    }
    /// Lets the store lose two seconds of changes, and checks that all instances follow it.
    void lose_changes(simulated_region & region)
    {
        region.copy_store();
        write_series(region, 20, large_configuration);
        region.set_store_silent(true);
        run(region, 500_ms);
        region.restore_store();
        region.set_store_silent(false);
        // The revisions of the era before say nothing about the new one.
        confirmed.clear();
        run(region, 300_ms);
        region.write("configuration", configuration_text(99, large_configuration));
        links.run_until(links.now() + application_bound);
        for (std::size_t index = 0; index < region_shape{}.instances; ++index)
        {
            CHECK_TRUE(region.matches_store(index));
        }
    }
    /// Checks that each change confirmed longer ago than the bound is in force everywhere.
    void check_applied(const simulated_region& region, std::size_t instances)
    {
        for (std::size_t index = 0; index < instances; ++index)
        {
            if (region.frozen(index))
            {
                continue;
            }
            longest_age = std::max(longest_age, region.age_of(index));
            for (const confirmed_change& change : confirmed)
            {
                const bool overdue = links.now() > change.at + application_bound;
                CHECK_FALSE(overdue && region.revision_of(index) < revision{change.number});
            }
        }
    }
};

// Guards against instances that read the whole history again and again after a series of changes.
TEST(configuration_spread, a_series_of_changes_is_in_force_in_time)
{
    simulated_region region{links, {}};
    settle(region);
    write_series(region, 80, large_configuration);
    run(region, 20'000_ms);
    CHECK(longest_age < freshness_lease);
}

// Guards against a region whose instances all read a large configuration from the store at once.
TEST(configuration_spread, a_large_configuration_is_in_force_in_time)
{
    simulated_region region{links, {}};
    settle(region);
    write(region, very_large_configuration);
    run(region, 20'000_ms);
    CHECK(longest_age < freshness_lease);
}

// Guards against instances that cannot catch up when the store returns and changes follow at once.
TEST(configuration_spread, changes_after_an_outage_of_the_store_are_in_force_in_time)
{
    simulated_region region{links, {}};
    settle(region);
    region.set_store_silent(true);
    run(region, 8'000_ms);
    region.set_store_silent(false);
    write_series(region, 30, large_configuration);
    run(region, 20'000_ms);
}

// Guards against followers that all turn to the store when the reader of their region stops answering.
TEST(configuration_spread, changes_are_in_force_in_time_when_the_reader_freezes)
{
    simulated_region region{links, {}};
    settle(region);
    write_series(region, 5, large_configuration);
    region.freeze(0);
    write_series(region, 30, large_configuration);
    run(region, 20'000_ms);
    CHECK(longest_age < freshness_lease);
}

// Guards against a region whose instances all read the store because it refuses the calls of both readers.
TEST(configuration_spread, changes_are_in_force_in_time_when_the_store_refuses_the_readers)
{
    simulated_region region{links, {}};
    settle(region);
    region.set_refused(0, true);
    region.set_refused(1, true);
    write_series(region, 80, large_configuration);
    run(region, 10'000_ms);
    CHECK(longest_age < freshness_lease);
}

// Guards against a configuration that grows far beyond its size before and meets a store that refuses half of the
// calls.
TEST(configuration_spread, a_configuration_that_grows_is_in_force_in_time_while_the_store_refuses_half_of_the_calls)
{
    simulated_region region{links, {}};
    settle(region);
    region.set_refusals(0.5);
    grow(region, 3'000_ms);
}

// Guards against a configuration that grows far beyond its size before and meets a store whose answers take long.
TEST(configuration_spread, a_configuration_that_grows_is_in_force_in_time_while_the_store_is_slow)
{
    simulated_region region{links, {}};
    settle(region);
    region.set_store_delay(300_ms);
    grow(region, 2'000_ms);
}

// The same with answers that take longer than the first time-out of a call.
TEST(configuration_spread, a_configuration_that_grows_is_in_force_in_time_while_the_store_is_very_slow)
{
    simulated_region region{links, {}};
    settle(region);
    region.set_store_delay(400_ms);
    grow(region, 2'000_ms);
}

// The same for other times that the store takes for an answer.
TEST(configuration_spread, a_configuration_that_grows_is_in_force_in_time_whatever_the_store_takes_for_an_answer)
{
    for (const duration one_way : {100_ms, 500_ms, 600_ms, 750_ms})
    {
        links = simulated_links{start};
        confirmed.clear();
        longest_age = {};
        simulated_region region{links, {}};
        settle(region);
        region.set_store_delay(one_way);
        grow(region, 2'000_ms);
    }
}

// Guards against instances that keep what a store has lost, or miss what was written since, after it came back from a
// copy twice in series.
TEST(configuration_spread, a_store_that_comes_back_from_a_copy_is_followed_in_time)
{
    simulated_region region{links, {}};
    settle(region);
    lose_changes(region);
    lose_changes(region);
}

// Guards against the same at instances that follow others, since the store refuses their calls.
TEST(configuration_spread, a_store_that_comes_back_from_a_copy_is_followed_by_instances_that_it_refuses)
{
    simulated_region region{links, {}};
    settle(region);
    for (std::size_t index = 0; index < region_shape{}.instances; index += 2)
    {
        region.set_refused(index, true);
    }
    lose_changes(region);
    lose_changes(region);
}

// Guards against instances that start together and never complete a listing, since all of them share the link.
TEST(configuration_spread, a_region_that_starts_at_once_gets_the_largest_configuration)
{
    simulated_region region{links, {}};
    write(region, largest_configuration);
    region.start();
    links.run_until(links.now() + recovery_bound);
    for (std::size_t index = 0; index < region_shape{}.instances; ++index)
    {
        CHECK(region.revision_of(index) == revision{region.store_revision()});
    }
}
