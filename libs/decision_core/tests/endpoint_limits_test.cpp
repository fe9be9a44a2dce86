#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include "core_fleet.hpp" // core_fleet

#include <algorithm>  // count_if
#include <functional> // function

using namespace parsleyshift;
using namespace parsleyshift::literals;
using namespace parsleyshift::test;

namespace
{

/// The users' bound: requests in 4 s from instances that know the limit.
std::size_t allowed_arrivals(double starts_per_second)
{
    return static_cast<std::size_t>(1.5 * 4.0 * starts_per_second) + 5;
}

/// Time from the first naming of a limit after which the bound holds.
constexpr duration stable_window{4'000};

void send_every(core_fleet& fleet, duration interval, duration time, const std::function<void()>& send_request)
{
    for (duration passed{}; passed < time; passed += interval)
    {
        send_request();
        fleet.advance(interval);
    }
}

void send_plain_requests(core_fleet& fleet, duration interval, duration time)
{
    send_every(fleet, interval, time, [&fleet] { fleet.send_plain_request(); });
}

void send_streams(core_fleet& fleet, duration interval, duration time)
{
    send_every(fleet, interval, time, [&fleet] { fleet.send_request({"template"}); });
}

} // namespace

TEST_GROUP(endpoint_limits){};

// Guards against a limit that each instance keeps for itself or not at all.
TEST(endpoint_limits, are_kept_by_all_instances_together_for_plain_requests)
{
    core_fleet fleet({7, 0, 0.0, 1, 3});
    send_plain_requests(fleet, 25_ms, 2_s);
    fleet.name_limit("d1", 2.0);
    fleet.name_limit("d2", 2.6);
    const time_point named = fleet.now();
    send_plain_requests(fleet, 25_ms, 14_s);
    CHECK(fleet.most_arrivals("d1", named + stable_window) <= allowed_arrivals(2.0));
    CHECK(fleet.most_arrivals("d2", named + stable_window) <= allowed_arrivals(2.6));
    LONGS_EQUAL(0, fleet.rejected_after.size());
}

// Guards against shares of a limit that round up to one request for each of many instances.
TEST(endpoint_limits, are_kept_by_more_instances_than_requests_per_second)
{
    core_fleet fleet({81, 0, 0.0, 2, 3});
    send_plain_requests(fleet, 25_ms, 2_s);
    for (const char* endpoint : {"d1", "d2", "d3"})
    {
        fleet.name_limit(endpoint, 2.0);
    }
    const time_point named = fleet.now();
    send_plain_requests(fleet, 25_ms, 14_s);
    int served = 0;
    for (const char* endpoint : {"d1", "d2", "d3"})
    {
        CHECK(fleet.most_arrivals(endpoint, named + stable_window) <= allowed_arrivals(2.0));
        served += static_cast<int>(std::count_if(fleet.limited_arrivals.begin(), fleet.limited_arrivals.end(),
                                                 [&](const auto& arrival) {
                                                     return arrival.endpoint == endpoint_id{endpoint} &&
                                                            arrival.when >= named + stable_window;
                                                 }));
    }
    // Three endpoints bear 2 requests per second each for 10 s, at least four fifths of which are used.
    CHECK(served >= 48);
    CHECK(std::all_of(fleet.rejected_after.begin(), fleet.rejected_after.end(),
                      [](duration waited) { return waited <= 400_ms; }));
}

// Guards against a limit that holds for plain requests only.
TEST(endpoint_limits, are_kept_for_streams)
{
    core_fleet fleet({7, 6, 0.0, 3});
    send_streams(fleet, 50_ms, 2_s);
    for (const char* engine : {"w1", "w2", "w3", "w4"})
    {
        fleet.name_limit(engine, 0.5);
    }
    const time_point named = fleet.now();
    send_streams(fleet, 50_ms, 14_s);
    for (const char* engine : {"w1", "w2", "w3", "w4"})
    {
        CHECK(fleet.most_arrivals(engine, named + stable_window) <= allowed_arrivals(0.5));
    }
}

// Guards against an endpoint that stays limited after its limit has risen or ended.
TEST(endpoint_limits, that_rise_or_end_are_used_at_once)
{
    core_fleet fleet({20, 0, 0.0, 4, 1});
    fleet.name_limit("d1", 2.0);
    send_plain_requests(fleet, 25_ms, 8_s);
    fleet.name_limit("d1", 20.0);
    const int answered_before_rise = fleet.answered["d1"];
    send_plain_requests(fleet, 25_ms, 4_s);
    CHECK(fleet.answered["d1"] - answered_before_rise >= 60);
    fleet.name_limit("d1", std::nullopt);
    fleet.advance(1_s);
    fleet.rejected_after.clear();
    send_plain_requests(fleet, 25_ms, 1_s);
    fleet.rejected_after.clear();
    send_plain_requests(fleet, 25_ms, 4_s);
    LONGS_EQUAL(0, fleet.rejected_after.size());
}

// Guards against a limit that is exceeded while the instance that keeps it is replaced.
TEST(endpoint_limits, are_kept_while_instances_are_replaced)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        core_fleet fleet({7, 0, 0.0, seed, 2});
        send_plain_requests(fleet, 25_ms, 2_s);
        fleet.name_limit("d1", 2.0);
        fleet.name_limit("d2", 2.0);
        const time_point named = fleet.now();
        for (std::size_t restarts = 0; restarts < 7; ++restarts)
        {
            send_plain_requests(fleet, 25_ms, 3_s);
            fleet.restart(0);
        }
        send_plain_requests(fleet, 25_ms, 6_s);
        CHECK(fleet.most_arrivals("d1", named + stable_window) <= allowed_arrivals(2.0));
        CHECK(fleet.most_arrivals("d2", named + stable_window) <= allowed_arrivals(2.0));
    }
}

// Guards against a limit that depends on each message between the instances.
TEST(endpoint_limits, are_kept_while_messages_are_lost)
{
    core_fleet fleet({20, 0, 0.2, 5, 2});
    send_plain_requests(fleet, 25_ms, 2_s);
    fleet.name_limit("d1", 2.0);
    fleet.name_limit("d2", 2.0);
    const time_point named = fleet.now();
    send_plain_requests(fleet, 25_ms, 14_s);
    CHECK(fleet.most_arrivals("d1", named + stable_window) <= allowed_arrivals(2.0));
    CHECK(fleet.most_arrivals("d2", named + stable_window) <= allowed_arrivals(2.0));
}

// Guards against a scheduler that has just started and grants starts before it has learned the limits.
TEST(endpoint_limits, are_known_to_a_scheduler_before_its_first_grant)
{
    core_fleet fleet({40, 4, 0.0, 123, 3});
    const std::vector<std::string> endpoints{"d1", "d2", "d3", "w1", "w2", "w3"};
    const auto send_requests = [&fleet](duration time)
    {
        int sent = 0;
        send_every(fleet, 25_ms, time,
                   [&]
                   {
                       fleet.send_plain_request();
                       if (sent++ % 4 == 0)
                       {
                           fleet.send_request({"t"});
                       }
                   });
    };
    send_requests(2_s);
    for (const std::string& endpoint : endpoints)
    {
        fleet.name_limit(endpoint, 1.0);
    }
    const time_point named = fleet.now();
    for (int restarts = 0; restarts < 5; ++restarts)
    {
        send_requests(1'500_ms);
        fleet.restart(3);
    }
    send_requests(5_s);
    for (const std::string& endpoint : endpoints)
    {
        CHECK(fleet.most_arrivals(endpoint, named + stable_window) <= allowed_arrivals(1.0));
    }
}
