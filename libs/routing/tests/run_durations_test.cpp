#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include <parsleyshift/routing/run_durations.hpp> // run_durations

using namespace parsleyshift;
using namespace parsleyshift::literals;

TEST_GROUP(run_durations){};

// Guards against an expectation that rests on too few requests, or that mixes the requests of two routes.
TEST(run_durations, expects_the_time_of_most_requests_of_a_route)
{
    run_durations durations;
    for (int count = 0; count < 7; ++count)
    {
        durations.record("long", 7_s);
        CHECK_FALSE(durations.expected("long").has_value());
    }
    durations.record("long", 7_s);
    for (int count = 1; count <= 100; ++count)
    {
        durations.record("short", duration{count});
    }
    LONGS_EQUAL(7'000, durations.expected("long")->count());
    const auto expected = durations.expected("short");
    CHECK(*expected >= 85_ms && *expected <= 95_ms);
}

// Guards against memory that grows with the names of all routes that there ever were.
TEST(run_durations, forgets_routes_that_are_no_longer_configured)
{
    run_durations durations;
    for (int count = 0; count < 8; ++count)
    {
        durations.record("old", 1_s);
        durations.record("kept", 1_s);
    }
    route kept;
    kept.name = "kept";
    durations.retain({kept});
    CHECK_FALSE(durations.expected("old").has_value());
    CHECK_TRUE(durations.expected("kept").has_value());
}
