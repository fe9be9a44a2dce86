#include <parsleyshift/test_support/property.hpp> // check_property

#include "scheduler_harness.hpp" // scheduler_harness

#include <cstdint> // uint8_t
#include <set>     // set
#include <string>  // to_string
#include <vector>  // vector

using namespace parsleyshift;
using namespace parsleyshift::literals;
using parsleyshift::test::scheduler_harness;

namespace
{

/// Streams with lengths that the class's samples predict, or exceed by a factor; returns the peak memory.
std::int64_t run_streams(scheduler_harness& harness, const std::vector<std::uint8_t>& arrivals, std::int64_t factor)
{
    std::int64_t peak = 0;
    std::uint64_t number = 0;
    for (std::int64_t step = 0; step < 4'000; ++step)
    {
        if (step % 10 == 0 && step / 10 < static_cast<std::int64_t>(arrivals.size()))
        {
            const std::uint8_t value = arrivals[step / 10];
            const bool is_long = value % 2 == 0;
            harness.request(++number, is_long ? "plan" : "check", "c" + std::to_string(value % 4));
        }
        harness.run_step(factor);
        peak = std::max(peak, harness.largest_memory_used());
    }
    return peak;
}

} // namespace

TEST_GROUP(pool_scheduler){};

// Guards against overcommitted engine memory, which stalls and preempts running streams.
TEST(pool_scheduler, permits_never_exceed_memory_when_predictions_are_right)
{
    test_support::check_property("memory",
                                 [](const std::vector<std::uint8_t>& arrivals)
                                 {
                                     scheduler_harness harness{3};
                                     RC_ASSERT(run_streams(harness, arrivals, 1) <= scheduler_harness::memory);
                                     RC_ASSERT(harness.unfinished() == 0);
                                 });
}

// Guards against an estimate that stays wrong: while an engine holds too much it gets nothing, then work goes on.
TEST(pool_scheduler, recovers_when_outputs_are_longer_than_predicted)
{
    test_support::check_property("recovery",
                                 [](const std::vector<std::uint8_t>& arrivals)
                                 {
                                     scheduler_harness harness{3};
                                     run_streams(harness, arrivals, 4);
                                     RC_ASSERT(harness.grants_while_full() == 0);
                                     RC_ASSERT(harness.unfinished() == 0);
                                 });
}

// Guards against a request that holds two permits, or gets a permit and a denial, under duplicated messages,
// withdrawals, returns, expiry and endpoints that come and go.
TEST(pool_scheduler, at_most_one_grant_per_request)
{
    test_support::check_property("single grant",
                                 [](const std::vector<std::uint16_t>& steps)
                                 {
                                     scheduler_harness harness{2};
                                     std::uint64_t number = 0;
                                     for (const std::uint16_t step : steps)
                                     {
                                         const std::uint64_t old = number == 0 ? 0 : 1 + step / 8 % number;
                                         switch (step % 8)
                                         {
                                         case 0:
                                         case 1:
                                         case 2:
                                             harness.request(++number, step % 3 == 0 ? "check" : "plan",
                                                             "c" + std::to_string(step % 5));
                                             break;
                                         case 3:
                                             harness.repeat_request(old);
                                             break;
                                         case 4:
                                             harness.withdraw(old);
                                             break;
                                         case 5:
                                             harness.give_back(old);
                                             break;
                                         case 6:
                                             harness.pass(duration{step % 3'000});
                                             break;
                                         default:
                                             harness.change_endpoint(step);
                                             break;
                                         }
                                         RC_ASSERT(!harness.contradiction());
                                     }
                                     harness.pass(120'000_ms);
                                     RC_ASSERT(!harness.contradiction());
                                     RC_ASSERT(harness.undecided() == 0);
                                     RC_ASSERT(harness.scheduler().waiting() == 0);
                                 });
}

// Guards against starvation: with endless work of a higher class, the first request of a lower class starts within
// level difference * aging_step + patience + the longest run. The table holds every pressure from half to three times
// what the endpoint serves.
TEST(pool_scheduler, low_class_starts_within_the_stated_bound)
{
    constexpr std::uint64_t low = 1'000'000;
    const duration longest_run{2'000};
    for (const int pressure : {1, 2, 4, 6})
    {
        scheduler_harness harness{1};
        const duration bound = harness.settings().aging_step * 2 + harness.settings().patience + longest_run;
        std::uint64_t number = 0;
        for (std::int64_t step = 0; step < bound.count() / 10 + 200; ++step)
        {
            for (int sent = 0; sent < pressure; ++sent)
            {
                harness.request(++number, "urgent", "c1");
            }
            if (step == 200)
            {
                harness.request(low, "plan", "c2");
            }
            harness.run_step(1);
        }
        CHECK(harness.was_granted(low));
    }
}

// Guards against a flood that takes the places of other customers in a bounded queue.
TEST(pool_scheduler, flood_of_one_customer_denies_only_its_own_requests)
{
    scheduler_harness harness{1};
    for (std::uint64_t number = 1; number <= 500; ++number)
    {
        harness.request(number, "plan", "flood");
    }
    harness.request(501, "plan", "other");
    CHECK(harness.denied_count(error_kind::queue_full) > 300);
    CHECK_FALSE(harness.was_denied(501));
}

// Guards against a denial that comes after the deadline, or without a time to retry.
TEST(pool_scheduler, request_that_cannot_start_is_denied_at_its_deadline)
{
    scheduler_harness harness{0};
    harness.request(1, "plan", "c1");
    CHECK(harness.scheduler().next_deadline() <= harness.now() + 60'000_ms);
    harness.pass(60'000_ms);
    CHECK(harness.was_denied(1));
    LONGS_EQUAL(1, harness.denied_count(error_kind::deadline_unreachable));
    CHECK(harness.every_denial_has_a_retry_time());
}

// Guards against short work that waits behind long work although a part of the slots is reserved for it.
TEST(pool_scheduler, long_work_cannot_take_the_reserved_lane)
{
    scheduler_harness harness{1};
    for (std::uint64_t number = 1; number <= 100; ++number)
    {
        harness.request(number, "plan", "c1");
    }
    harness.request(200, "check", "c2");
    CHECK(harness.was_granted(200));
}

// Guards against new work for a leaving or an ejected endpoint.
TEST(pool_scheduler, leaving_and_ejected_endpoints_get_no_work)
{
    scheduler_harness harness{2};
    harness.scheduler().endpoint_leaving(harness.endpoint(0));
    harness.take(harness.scheduler().set_health(harness.endpoint(1), 0.0, harness.now()));
    harness.request(1, "plan", "c1");
    CHECK_FALSE(harness.was_granted(1));
    harness.take(harness.scheduler().set_health(harness.endpoint(1), 1.0, harness.now()));
    CHECK(harness.was_granted(1));
    CHECK(harness.granted_endpoint(1) == harness.endpoint(1));
}

// Guards against a late renewal that makes a removed endpoint known again, which then gets work.
TEST(pool_scheduler, renewal_does_not_bring_back_a_removed_endpoint)
{
    scheduler_harness harness{1};
    harness.request(1, "plan", "c1");
    harness.take(harness.scheduler().remove_endpoint(harness.endpoint(0), harness.now()));
    harness.register_all();
    LONGS_EQUAL(0, harness.scheduler().endpoint_count());
    harness.pass(harness.settings().slow_start + 1_ms);
    harness.request(2, "plan", "c1");
    CHECK_FALSE(harness.was_granted(2));
}

// Guards against permits of dead instances that occupy an endpoint for ever.
TEST(pool_scheduler, permit_without_renewal_expires)
{
    scheduler_harness harness{1};
    harness.request(1, "plan", "c1");
    LONGS_EQUAL(1, harness.scheduler().permits());
    harness.pass(harness.settings().permit_lifetime + 1_ms);
    LONGS_EQUAL(0, harness.scheduler().permits());
}

// Guards against a restarted scheduler that overcommits engines, or counts registered work twice.
TEST(pool_scheduler, restarted_scheduler_rebuilds_from_reports_and_registrations)
{
    scheduler_harness harness{1};
    for (std::uint64_t number = 1; number <= 100; ++number)
    {
        harness.request(number, "plan", "c1");
    }
    const std::size_t full = harness.scheduler().permits();
    CHECK(full > 0);
    harness.restart();
    harness.request(1'001, "plan", "c1");
    // Without a report and without registrations nothing is known, so nothing is granted.
    CHECK_FALSE(harness.was_granted(1'001));
    harness.report_all();
    CHECK_FALSE(harness.was_granted(1'001));
    harness.register_all();
    LONGS_EQUAL(full, harness.scheduler().permits());
    harness.report_all();
    CHECK_FALSE(harness.was_granted(1'001));
    harness.give_back(1);
    harness.report_all();
    CHECK(harness.was_granted(1'001));
}
