#include <parsleyshift/test_support/property.hpp> // check_property

#include "single_core.hpp" // single_core, core_fixture

#include <parsleyshift/core/random_source.hpp> // random_source

#include <map>    // map
#include <vector> // vector

using namespace parsleyshift;
using namespace parsleyshift::literals;
using namespace parsleyshift::test;

TEST_GROUP_BASE(forwarding_core, core_fixture){};

// Guards against a fresh process that denies routes and keys that it does not know yet.
TEST(forwarding_core, refuses_for_now_until_it_knows_a_configuration)
{
    const request_id early = core.ask("/look/1");
    CHECK(why(early) == error_kind::configuration_missing);
    CHECK(how(early) == outcome::not_run);
    CHECK(core.rejection(early)->why.retry_after.has_value());
    CHECK_FALSE(core.ready());
    core.serve();
    CHECK(core.ready());
    CHECK(core.sent(core.ask("/look/1")) != nullptr);
}

TEST(forwarding_core, denies_unknown_routes_and_keys_while_it_is_sure)
{
    core.serve();
    CHECK(why(core.ask("/none/1")) == error_kind::not_found);
    CHECK(why(core.ask("/look/1", "other")) == error_kind::unauthenticated);
    CHECK(why(core.ask("/look/1", "")) == error_kind::unauthenticated);
    CHECK(core.sent(core.ask("/open/1", "")) != nullptr);
    core.pass(5_s);
    CHECK(why(core.ask("/none/1")) == error_kind::configuration_missing);
    CHECK(why(core.ask("/look/1", "other")) == error_kind::configuration_missing);
    CHECK(why(core.ask("/look/1")) == error_kind::configuration_missing);
    CHECK_FALSE(core.ready());
    // A route without keys is served as long as the configuration is known.
    CHECK(core.sent(core.ask("/open/1", "")) != nullptr);
}

// Guards against a request that is sent with a key whose removal this instance may not have seen yet.
TEST(forwarding_core, sends_no_request_after_its_key_may_have_been_removed)
{
    core.serve();
    const request_id request = core.ask("/order/1");
    CHECK(core.sent(request)->not_after <= core.now + 4'300_ms);
    core.feed(attempt_failed{core.sent(request)->attempt, attempt_failure::deadline_passed, "late"});
    CHECK(how(request) == outcome::not_run);
    CHECK(why(request) == error_kind::configuration_missing);
}

// Guards against a lease that grows with the time of an answer instead of the time of its question.
TEST(forwarding_core, counts_the_lease_from_the_time_that_was_confirmed)
{
    core.serve();
    core.pass(4_s);
    core.feed(configuration_confirmed{start + 1_s});
    core.pass(1'200_ms);
    CHECK_TRUE(core.ready());
    core.pass(200_ms);
    CHECK_FALSE(core.ready());
    core.feed(configuration_confirmed{start});
    CHECK_FALSE(core.ready());
}

// Guards against a configuration that goes back within one process.
TEST(forwarding_core, never_goes_back_to_an_older_configuration)
{
    core.serve();
    core.feed(forwarding_configured{configuration(3, {"new"})});
    core.feed(forwarding_configured{configuration(2, {"key"})});
    CHECK(why(core.ask("/look/1", "key")) == error_kind::unauthenticated);
    CHECK(core.sent(core.ask("/look/1", "new")) != nullptr);
}

// Guards against a second run of a request that may run once only.
TEST(forwarding_core, repeats_once_requests_only_with_a_proof)
{
    core.serve();
    const request_id proven = core.ask("/order/1");
    const endpoint_id first = core.sent(proven)->endpoint;
    core.feed(attempt_failed{core.sent(proven)->attempt, attempt_failure::not_started, "full"});
    core.pass(100_ms);
    LONGS_EQUAL(2, core.times_sent(proven));
    CHECK(core.sent(proven)->endpoint != first);
    for (const attempt_failure failure : {attempt_failure::link_broken, attempt_failure::endpoint_error})
    {
        const request_id unsure = core.ask("/order/2");
        core.feed(attempt_failed{core.sent(unsure)->attempt, failure, "reset"});
        core.pass(3'500_ms);
        core.feed(configuration_confirmed{core.now});
        LONGS_EQUAL(1, core.times_sent(unsure));
        CHECK(how(unsure) != outcome::not_run);
    }
}

// Guards against more endpoints for one request than its route allows.
TEST(forwarding_core, keeps_the_attempts_of_the_route)
{
    core.serve();
    const request_id request = core.ask("/look/1");
    core.feed(attempt_failed{core.sent(request)->attempt, attempt_failure::link_broken, "reset"});
    core.pass(200_ms);
    LONGS_EQUAL(2, core.times_sent(request));
    core.feed(attempt_failed{core.sent(request)->attempt, attempt_failure::link_broken, "reset"});
    core.pass(200_ms);
    LONGS_EQUAL(2, core.times_sent(request));
    CHECK(how(request) != outcome::not_run);
}

// Guards against a repeat of a failed answer that costs the caller the answer when no attempt is left.
TEST(forwarding_core, repeats_a_fault_and_delivers_the_last_answer)
{
    core.serve();
    const request_id request = core.ask("/look/1");
    core.feed(forward_answered{core.sent(request)->attempt, answer_sign::fault, true});
    LONGS_EQUAL(2, core.times_sent(request));
    LONGS_EQUAL(1, core.dropped.size());
    LONGS_EQUAL(0, core.delivered.size());
    core.feed(forward_answered{core.sent(request)->attempt, answer_sign::fault, true});
    LONGS_EQUAL(2, core.times_sent(request));
    LONGS_EQUAL(1, core.delivered.size());
    POINTERS_EQUAL(nullptr, core.rejection(request));
}

// Guards against retries that multiply the load of a service that fails.
TEST(forwarding_core, keeps_repeats_within_the_budget)
{
    core.serve();
    std::size_t sent = 0;
    for (int each = 0; each < 40; ++each)
    {
        const request_id request = core.ask("/look/1");
        core.feed(attempt_failed{core.sent(request)->attempt, attempt_failure::link_broken, "reset"});
        core.pass(200_ms);
        core.feed(configuration_confirmed{core.now});
        sent += core.times_sent(request);
    }
    CHECK(sent <= 40 + 3);
}

// Guards against a caller that waits past its time, and a false promise for a request that was sent.
TEST(forwarding_core, answers_at_the_deadline)
{
    core.serve();
    const request_id request = core.ask("/order/1");
    core.pass(2'990_ms);
    POINTERS_EQUAL(nullptr, core.rejection(request));
    core.pass(20_ms);
    CHECK(why(request) == error_kind::deadline_passed);
    CHECK(how(request) == outcome::unknown);
    LONGS_EQUAL(1, core.dropped.size());
}

// Guards against endpoints that work on for callers who have left.
TEST(forwarding_core, drops_the_attempt_of_a_caller_who_left)
{
    core.serve();
    const request_id request = core.ask("/plan/1");
    core.feed(caller_disconnected{request});
    CHECK(core.dropped == std::vector<attempt_id>{core.sent(request)->attempt});
    core.feed(forward_answered{core.sent(request)->attempt, answer_sign::success, false});
    LONGS_EQUAL(0, core.delivered.size());
}

// Guards against a stream that is joined from two runs.
TEST(forwarding_core, ends_a_broken_stream_without_another_run)
{
    core.serve();
    const request_id request = core.ask("/plan/1");
    const attempt_id attempt = core.sent(request)->attempt;
    core.feed(forward_answered{attempt, answer_sign::success, false});
    core.feed(forward_progress{attempt, 3});
    core.feed(attempt_failed{attempt, attempt_failure::link_broken, "reset"});
    core.pass(1_s);
    LONGS_EQUAL(1, core.times_sent(request));
    CHECK(how(request) == outcome::failed);
}

// Guards against a stream that is held open for a caller after its endpoint has gone silent.
TEST(forwarding_core, gives_up_a_silent_stream)
{
    core.serve();
    const request_id request = core.ask("/plan/1");
    const attempt_id attempt = core.sent(request)->attempt;
    core.feed(forward_answered{attempt, answer_sign::success, false});
    core.feed(forward_progress{attempt, 1});
    core.pass(2'600_ms);
    CHECK(why(request) == error_kind::link_broken);
    CHECK(core.dropped == std::vector<attempt_id>{attempt});
}

// Guards against work for an endpoint that leaves, is gone, or is another process under an old name.
TEST(forwarding_core, sends_nothing_to_leaving_endpoints)
{
    core.serve();
    core.list({endpoint("d1", desk, true), endpoint("d2", desk)});
    for (int each = 0; each < 10; ++each)
    {
        CHECK(core.sent(core.ask("/look/1"))->endpoint == endpoint_id{"d2"});
    }
    core.list({endpoint("d1", desk, true)});
    CHECK(why(core.ask("/look/1")) == error_kind::no_endpoint);
    listed_instance reborn = endpoint("d1", desk);
    reborn.started = incarnation{2};
    core.list({reborn});
    CHECK(core.sent(core.ask("/look/1")) != nullptr);
}

// Guards against an outage of the store that takes the endpoints with it, and against endpoints that stay for good.
TEST(forwarding_core, keeps_endpoints_whose_entries_lapsed_during_an_outage)
{
    core.serve();
    core.feed(configuration_unavailable{});
    core.pass(1_s);
    core.feed(configuration_confirmed{core.now});
    core.list({endpoint("w1", writers)});
    CHECK(core.sent(core.ask("/look/1")) != nullptr);
    core.list({endpoint("w1", writers), endpoint("d2", desk)});
    core.pass(3_s);
    core.feed(configuration_confirmed{core.now});
    for (int each = 0; each < 10; ++each)
    {
        CHECK(core.sent(core.ask("/look/1"))->endpoint == endpoint_id{"d2"});
    }
}

// Guards against a request that is refused as one that kills its endpoints, because they were taken away while it ran.
TEST(forwarding_core, blames_no_run_for_engines_that_are_taken_away)
{
    core.serve();
    core.same_content = true;
    for (int engine = 1; engine <= 3; ++engine)
    {
        const request_id request = core.ask("/plan/1");
        LONGS_EQUAL(1, core.times_sent(request));
        const start_forward run = *core.sent(request);
        core.feed(forward_answered{run.attempt, answer_sign::success, false});
        const std::string next = "n" + std::to_string(engine);
        core.list({endpoint("d1", desk), endpoint("d2", desk), endpoint(next, writers)});
        core.feed(attempt_failed{run.attempt, attempt_failure::link_broken, "ended"});
        CHECK(how(request) == outcome::failed);
        core.pass(3_s);
        core.feed(configuration_confirmed{core.now});
    }
}

// Guards against a request that kills its endpoints and is not stopped: their links break before they leave the list.
TEST(forwarding_core, stops_a_request_whose_endpoints_die)
{
    core.serve();
    core.same_content = true;
    for (int engine = 1; engine <= 2; ++engine)
    {
        const request_id request = core.ask("/plan/1");
        const start_forward run = *core.sent(request);
        core.feed(attempt_failed{run.attempt, attempt_failure::link_broken, "reset"});
        const std::string next = "n" + std::to_string(engine);
        core.list({endpoint("d1", desk), endpoint("d2", desk), endpoint(next, writers)});
        core.pass(3_s);
        core.feed(configuration_confirmed{core.now});
    }
    CHECK(why(core.ask("/plan/1")) == error_kind::quarantined);
}

// Guards against callers that are sent to an instance that cannot serve them while another one can.
TEST(forwarding_core, names_itself_when_it_knows_no_other_instance)
{
    core.feed(entry_query{request_id{1}, customer_id{}, zone_id{"z"}});
    LONGS_EQUAL(1, core.entries.size());
    LONGS_EQUAL(1, core.entries[0].entries.size());
    STRCMP_EQUAL("10.0.0.9:80", core.entries[0].entries[0].address.c_str());
}

// Guards against a stop that cuts requests in progress, or that never ends.
TEST(forwarding_core, stops_when_nothing_is_in_progress)
{
    core.serve();
    const request_id request = core.ask("/plan/1");
    core.feed(stop_planned{});
    CHECK_FALSE(core.ready());
    const request_id late = core.ask("/look/1");
    CHECK(core.sent(late) != nullptr);
    core.feed(forward_answered{core.sent(late)->attempt, answer_sign::success, true});
    const attempt_id attempt = core.sent(request)->attempt;
    core.feed(forward_answered{attempt, answer_sign::success, false});
    for (int second = 0; second < 6; ++second)
    {
        core.feed(forward_progress{attempt, second});
        core.pass(1_s);
        CHECK_FALSE(core.stopped);
    }
    core.feed(forward_completed{attempt, 7});
    core.pass(10_ms);
    CHECK_TRUE(core.stopped);
}

// Guards against a stop that goes on as long as callers send requests, until the platform ends the process.
TEST(forwarding_core, refuses_requests_when_the_time_of_its_stop_runs_out)
{
    core.serve();
    const request_id request = core.ask("/plan/1");
    core.feed(forward_answered{core.sent(request)->attempt, answer_sign::success, false});
    core.feed(stop_planned{});
    for (int each = 0; each < 39; ++each)
    {
        core.pass(100_ms);
        core.feed(configuration_confirmed{core.now});
        core.feed(forward_progress{core.sent(request)->attempt, each});
        const request_id late = core.ask("/look/1");
        CHECK(core.sent(late) != nullptr);
        core.feed(forward_answered{core.sent(late)->attempt, answer_sign::success, true});
    }
    core.pass(200_ms);
    const request_id refused = core.ask("/look/1");
    CHECK(why(refused) == error_kind::shutting_down);
    CHECK(how(refused) == outcome::not_run);
    CHECK_FALSE(core.stopped);
    core.feed(forward_completed{core.sent(request)->attempt, 40});
    CHECK_TRUE(core.stopped);
}

// Guards against a stream that is taken long after the start of a planned stop and cut when the process must end.
TEST(forwarding_core, refuses_streams_that_would_outlast_its_stop)
{
    core.serve();
    core.feed(stop_planned{});
    core.pass(2'400_ms);
    core.feed(configuration_confirmed{core.now});
    LONGS_EQUAL(1, core.times_sent(core.ask("/plan/1")));
    core.pass(100_ms);
    const request_id late = core.ask("/plan/1");
    CHECK(why(late) == error_kind::shutting_down);
    CHECK(how(late) == outcome::not_run);
    CHECK_TRUE(core.rejection(late)->why.retry_after.has_value());
    LONGS_EQUAL(1, core.times_sent(core.ask("/look/1")));
}

// Guards against two runs of a once request, a false promise, and a request without an end, over random failures.
TEST(forwarding_core, keeps_its_promises_over_random_failures)
{
    test_support::check_property(
        "each request ends once, and once requests run at most once",
        [](std::uint64_t seed)
        {
            random_source random{seed};
            single_core driven;
            driven.serve();
            std::map<std::uint64_t, int> runs;
            std::size_t seen = 0;
            std::size_t asked = 0;
            const auto settle = [&](const start_forward& begun)
            {
                switch (random.index(6))
                {
                case 0:
                    driven.feed(attempt_failed{begun.attempt, attempt_failure::not_started, "full"});
                    break;
                case 1:
                    driven.feed(attempt_failed{begun.attempt, attempt_failure::connect_failed, "refused"});
                    break;
                case 2:
                    ++runs[begun.request.value()];
                    driven.feed(attempt_failed{begun.attempt, attempt_failure::link_broken, "reset"});
                    break;
                case 3:
                    ++runs[begun.request.value()];
                    driven.feed(forward_answered{begun.attempt, answer_sign::fault, true});
                    break;
                case 4:
                    // No answer at all.
                    ++runs[begun.request.value()];
                    break;
                default:
                    ++runs[begun.request.value()];
                    driven.feed(forward_answered{begun.attempt, answer_sign::success, true});
                    break;
                }
            };
            for (int step = 0; step < 30; ++step)
            {
                driven.ask(random.index(2) == 0 ? "/order/1" : "/plan/1");
                ++asked;
                while (seen < driven.starts.size())
                {
                    const start_forward begun = driven.starts[seen++];
                    settle(begun);
                }
                driven.pass(duration{static_cast<duration::rep>(random.index(400))});
                driven.feed(configuration_confirmed{driven.now});
            }
            while (seen < driven.starts.size())
            {
                const start_forward begun = driven.starts[seen++];
                settle(begun);
            }
            driven.pass(10_s);
            for (const auto& [request, count] : runs)
            {
                RC_ASSERT(count <= 1);
                const request_rejected* rejected = driven.rejection(request_id{request});
                const bool denied = rejected != nullptr && rejected->what == outcome::not_run;
                RC_ASSERT_FALSE(denied);
            }
            RC_ASSERT_FALSE(driven.rejected_twice);
            RC_ASSERT(driven.rejections.size() + driven.delivered.size() == asked);
        });
}
