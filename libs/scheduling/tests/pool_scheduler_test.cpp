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

/// Runs one request per arrival with the output length that its class predicts, times the factor; returns the largest
/// memory in use at any endpoint.
std::int64_t run_requests(scheduler_harness& harness, const std::vector<std::uint8_t>& arrivals, std::int64_t factor)
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
TEST(pool_scheduler, memory_is_never_exceeded_when_predictions_are_right)
{
    test_support::check_property("memory",
                                 [](const std::vector<std::uint8_t>& arrivals)
                                 {
                                     scheduler_harness harness{3};
                                     RC_ASSERT(run_requests(harness, arrivals, 1) <= scheduler_harness::memory);
                                     RC_ASSERT(harness.unfinished() == 0);
                                 });
}

// Guards against grants at an engine whose memory is exceeded, and against requests that then never finish, when
// outputs are four times as long as predicted and the estimates never improve.
TEST(pool_scheduler, recovers_when_outputs_are_longer_than_predicted)
{
    test_support::check_property("recovery",
                                 [](const std::vector<std::uint8_t>& arrivals)
                                 {
                                     scheduler_harness harness{3};
                                     run_requests(harness, arrivals, 4);
                                     RC_ASSERT(harness.grants_beyond_memory() == 0);
                                     RC_ASSERT(harness.unfinished() == 0);
                                 });
}

// Guards against a request that holds two permits, or gets a permit and a denial, through duplicated messages,
// withdrawals, returns, expiry, and endpoints that are added and removed.
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
                                             harness.return_permit(old);
                                             break;
                                         case 6:
                                             harness.advance_time(duration{step % 3'000});
                                             break;
                                         default:
                                             harness.change_endpoint(step);
                                             break;
                                         }
                                         RC_ASSERT(!harness.has_conflicting_decisions());
                                     }
                                     harness.advance_time(120'000_ms);
                                     RC_ASSERT(!harness.has_conflicting_decisions());
                                     RC_ASSERT(harness.undecided() == 0);
                                     RC_ASSERT(harness.scheduler().waiting() == 0);
                                 });
}

// Guards against starvation by a continuous load of a higher class: the first request of a lower class must start
// within (level difference * aging_step + patience + longest request), from half to three times the load that the
// endpoint can serve. The level difference is 2; the low request arrives after 200 steps of load.
TEST(pool_scheduler, low_class_starts_within_the_stated_bound)
{
    constexpr std::uint64_t low_class_request = 1'000'000;
    const duration longest_request{2'000};
    for (const int requests_per_step : {1, 2, 4, 6})
    {
        scheduler_harness harness{1};
        const duration bound =
            harness.settings().aging_step * 2 + harness.settings().reservation_delay + longest_request;
        std::uint64_t number = 0;
        for (std::int64_t step = 0; step < bound.count() / 10 + 200; ++step)
        {
            for (int sent = 0; sent < requests_per_step; ++sent)
            {
                harness.request(++number, "urgent", "c1");
            }
            if (step == 200)
            {
                harness.request(low_class_request, "plan", "c2");
            }
            harness.run_step(1);
        }
        CHECK(harness.was_granted(low_class_request));
    }
}

// Guards against a flood of one customer that displaces other customers' requests from a full queue (100 requests).
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

// Guards against a denial that is sent after the deadline, here the default timeout of the class (60 s), or without a
// retry time.
TEST(pool_scheduler, request_that_cannot_start_is_denied_at_its_deadline)
{
    scheduler_harness harness{0};
    harness.request(1, "plan", "c1");
    CHECK(harness.scheduler().next_deadline() <= harness.now() + 60'000_ms);
    harness.advance_time(60'000_ms);
    CHECK(harness.was_denied(1));
    LONGS_EQUAL(1, harness.denied_count(error_kind::deadline_unreachable));
    CHECK(harness.every_denial_has_a_retry_time());
}

// Guards against short requests that wait behind long ones although slots are reserved for them.
TEST(pool_scheduler, long_requests_cannot_use_the_reserved_lane)
{
    scheduler_harness harness{1};
    for (std::uint64_t number = 1; number <= 100; ++number)
    {
        harness.request(number, "plan", "c1");
    }
    harness.request(200, "check", "c2");
    CHECK(harness.was_granted(200));
}

// Guards against grants at a leaving or an ejected endpoint.
TEST(pool_scheduler, leaving_and_ejected_endpoints_get_no_requests)
{
    scheduler_harness harness{2};
    harness.scheduler().endpoint_leaving(harness.endpoint(0));
    harness.apply(harness.scheduler().set_health(harness.endpoint(1), 0.0, harness.now()));
    harness.request(1, "plan", "c1");
    CHECK_FALSE(harness.was_granted(1));
    harness.apply(harness.scheduler().set_health(harness.endpoint(1), 1.0, harness.now()));
    CHECK(harness.was_granted(1));
    CHECK(harness.granted_endpoint(1) == harness.endpoint(1));
}

// Guards against a late renewal that adds a removed endpoint again, which then gets requests.
TEST(pool_scheduler, renewal_does_not_add_a_removed_endpoint)
{
    scheduler_harness harness{1};
    harness.request(1, "plan", "c1");
    harness.apply(harness.scheduler().remove_endpoint(harness.endpoint(0), harness.now()));
    harness.register_all();
    LONGS_EQUAL(0, harness.scheduler().endpoint_count());
    harness.advance_time(harness.settings().slow_start + 1_ms);
    harness.request(2, "plan", "c1");
    CHECK_FALSE(harness.was_granted(2));
}

// Guards against permits of crashed instances that occupy an endpoint forever.
TEST(pool_scheduler, permit_without_renewal_expires)
{
    scheduler_harness harness{1};
    harness.request(1, "plan", "c1");
    LONGS_EQUAL(1, harness.scheduler().permits());
    harness.advance_time(harness.settings().permit_lifetime + 1_ms);
    LONGS_EQUAL(0, harness.scheduler().permits());
}

// Guards against a restarted scheduler that overcommits engines, or counts a request twice that is both registered and
// in the load report.
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
    // Without reports and registrations the load is unknown, so nothing is granted.
    CHECK_FALSE(harness.was_granted(1'001));
    harness.report_all();
    CHECK_FALSE(harness.was_granted(1'001));
    harness.register_all();
    LONGS_EQUAL(full, harness.scheduler().permits());
    harness.report_all();
    CHECK_FALSE(harness.was_granted(1'001));
    harness.return_permit(1);
    harness.report_all();
    CHECK(harness.was_granted(1'001));
}
