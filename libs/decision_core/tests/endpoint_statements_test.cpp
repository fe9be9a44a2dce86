#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include "core_fleet.hpp" // core_fleet

#include <algorithm> // all_of, any_of
#include <string>    // string
#include <vector>    // vector

using namespace parsleyshift;
using namespace parsleyshift::literals;
using namespace parsleyshift::test;

namespace
{

endpoint_statement leaving()
{
    endpoint_statement stated;
    stated.leaving = true;
    return stated;
}

endpoint_statement pause_of(duration pause)
{
    endpoint_statement stated;
    stated.pause = pause;
    return stated;
}

listed_instance make_process(const std::string& id, const service_id& service, std::uint64_t started)
{
    listed_instance row = make_endpoint(id, service);
    row.started = incarnation{started};
    return row;
}

} // namespace

TEST_GROUP_BASE(endpoint_statements, core_fixture){
    /// Sends requests until one has been sent to an endpoint; answers the others.
    attempt_id start_at(const std::string& endpoint){for (int tries = 0; tries < 100; ++tries){
        const start_forward* started = core.last_start(core.send_request("/idempotent/1"));
CHECK(started != nullptr);
if (started->endpoint == endpoint_id{endpoint})
{
    return started->attempt;
}
core.feed(forward_answered{started->attempt, answer_sign::success, true, {}});
}
FAIL("the endpoint got no request");
return {};
}
/// Sends requests and counts those that go to an endpoint.
int count_starts(const std::string& endpoint, const std::string& path = "/idempotent/1", int requests = 40)
{
    int count = 0;
    for (int sent = 0; sent < requests; ++sent)
    {
        const start_forward* started = core.last_start(core.send_request(path));
        if (started != nullptr)
        {
            count += started->endpoint == endpoint_id{endpoint} ? 1 : 0;
            core.feed(forward_answered{started->attempt, answer_sign::success, true, {}});
        }
    }
    return count;
}
void list_processes(std::uint64_t started_of_d1)
{
    core.list({make_process("d1", plain_service, started_of_d1), make_process("d2", plain_service, 1),
               make_endpoint("w1", engine_service), make_endpoint("w2", engine_service)});
}
}
;

// Guards against requests to an endpoint whose answers say that it leaves while its entry in the list does not.
TEST(endpoint_statements, a_leaving_endpoint_gets_no_request_from_its_answer_on)
{
    core.configure();
    core.feed(forward_answered{start_at("d1"), answer_sign::success, true, leaving()});
    LONGS_EQUAL(0, count_starts("d1"));
    core.advance(1_s);
    list_processes(1);
    LONGS_EQUAL(0, count_starts("d1"));
}

// Guards against the same when the answer is a rejection or a failure.
TEST(endpoint_statements, a_rejection_tells_that_an_endpoint_leaves)
{
    core.configure();
    core.feed(attempt_failed{start_at("d1"), attempt_failure::not_started, "full", leaving()});
    LONGS_EQUAL(0, count_starts("d1"));
}

// Guards against an older list that brings a departed process back, after the list has lacked it.
TEST(endpoint_statements, an_older_entry_does_not_bring_a_departed_process_back)
{
    core.configure();
    core.feed(forward_answered{start_at("d1"), answer_sign::success, true, leaving()});
    core.advance(100_ms);
    core.list({make_endpoint("d2", plain_service)});
    core.advance(100_ms);
    list_processes(1);
    LONGS_EQUAL(0, count_starts("d1"));
}

// Guards against an endpoint that stays excluded after another process has taken its id.
TEST(endpoint_statements, a_later_process_of_a_departed_endpoint_is_used)
{
    core.configure();
    const attempt_id late = start_at("d1");
    core.feed(endpoint_probed{endpoint_id{"d1"}, probe_result::alive, leaving()});
    core.advance(100_ms);
    list_processes(2);
    // The answer of the process before says nothing about this one.
    core.feed(forward_answered{late, answer_sign::success, true, leaving()});
    CHECK(count_starts("d1") > 0);
}

// Guards against a stream that is cut off because the head of its answer says that its engine leaves.
TEST(endpoint_statements, a_stream_of_a_leaving_engine_runs_on)
{
    core.configure();
    const request_id request = core.send_request("/stream/1");
    const attempt_id attempt = core.last_start(request)->attempt;
    const endpoint_id engine = core.last_start(request)->endpoint;
    core.feed(forward_answered{attempt, answer_sign::success, false, leaving()});
    core.feed(forward_progress{attempt, 3});
    CHECK(core.rejection(request) == nullptr);
    CHECK(std::all_of(core.dropped.begin(), core.dropped.end(), [&](attempt_id each) { return each != attempt; }));
    for (int sent = 0; sent < 6; ++sent)
    {
        const start_forward* next = core.last_start(core.send_request("/stream/1"));
        CHECK(next == nullptr || next->endpoint != engine);
    }
}

// Guards against an instance that tells nobody: the scheduler would grant further starts at the leaving engine.
TEST(endpoint_statements, a_probe_tells_that_an_endpoint_leaves)
{
    core.configure();
    core.feed(endpoint_probed{endpoint_id{"d1"}, probe_result::alive, leaving()});
    LONGS_EQUAL(0, count_starts("d1"));
}

// Guards against requests to an endpoint within the time for which it has asked for none.
TEST(endpoint_statements, a_paused_endpoint_gets_no_request_until_the_time_is_over)
{
    core.configure();
    core.feed(attempt_failed{start_at("d1"), attempt_failure::not_started, "full", pause_of(2'500_ms)});
    LONGS_EQUAL(0, count_starts("d1"));
    core.advance(2_s);
    core.feed(configuration_confirmed{core.now});
    LONGS_EQUAL(0, count_starts("d1"));
    core.advance(600_ms);
    CHECK(count_starts("d1") > 0);
}

// Guards against callers who wait until their deadline although no endpoint accepts requests.
TEST(endpoint_statements, requests_are_rejected_at_once_with_the_time_while_all_endpoints_pause)
{
    core.configure();
    core.feed(attempt_failed{start_at("d1"), attempt_failure::not_started, "full", pause_of(4'000_ms)});
    core.feed(attempt_failed{start_at("d2"), attempt_failure::not_started, "full", pause_of(2'000_ms)});
    const request_id request = core.send_request("/non-idempotent/1");
    CHECK(rejection_outcome(request) == outcome::not_run);
    CHECK(core.rejection(request)->why.retry_after >= 2'000_ms);
    core.advance(2'100_ms);
    CHECK(core.last_start(core.send_request("/non-idempotent/1")) != nullptr);
}

// Guards against permits for paused engines, which would be asked for again and again.
TEST(endpoint_statements, streams_go_to_engines_that_do_not_pause)
{
    core.configure();
    const request_id first = core.send_request("/stream/1");
    const endpoint_id paused = core.last_start(first)->endpoint;
    core.feed(
        attempt_failed{core.last_start(first)->attempt, attempt_failure::not_started, "full", pause_of(3'000_ms)});
    // Their answers are due only after 2 s.
    for (int sent = 0; sent < 4; ++sent)
    {
        const request_id request = core.send_request("/stream/1");
        core.advance(400_ms);
        CHECK(core.last_start(request) != nullptr);
        CHECK(core.last_start(request)->endpoint != paused);
    }
}

// Guards against a field that cannot be read and ends what was known.
TEST(endpoint_statements, an_unreadable_field_changes_nothing)
{
    core.configure();
    endpoint_statement limited;
    limited.starts_per_second = 0.5;
    core.feed(forward_answered{start_at("d1"), answer_sign::success, true, limited});
    endpoint_statement unreadable;
    unreadable.unreadable = "limit=\"x\"";
    core.feed(forward_answered{start_at("d2"), answer_sign::success, true, unreadable});
    CHECK(count_starts("d1") <= 2);
}

TEST_GROUP(endpoint_statements_of_a_fleet){};

// Guards against an engine that gets requests from instances which have not seen its answers.
TEST(endpoint_statements_of_a_fleet, a_departure_reaches_all_instances)
{
    for (const std::size_t instances : {7U, 66U})
    {
        core_fleet fleet({instances, 6, 0.1, 11, 3});
        for (int sent = 0; sent < 40; ++sent)
        {
            fleet.send_plain_request();
            fleet.send_request({"template"});
            fleet.advance(25_ms);
        }
        fleet.state_leaving("d1");
        fleet.state_leaving("w1");
        // The departure is stated in the next answers, and told to peers.
        for (int sent = 0; sent < 400; ++sent)
        {
            fleet.send_plain_request();
            fleet.send_request({"template"});
            fleet.advance(20_ms);
        }
        const int answered_plain = fleet.answered["d1"];
        const int answered_streams = fleet.answered["w1"];
        for (int sent = 0; sent < 200; ++sent)
        {
            fleet.send_plain_request();
            fleet.send_request({"template"});
            fleet.advance(10_ms);
        }
        LONGS_EQUAL(answered_plain, fleet.answered["d1"]);
        LONGS_EQUAL(answered_streams, fleet.answered["w1"]);
        CHECK(fleet.answered["d2"] > 0);
    }
}

// Guards against the one request that each of many instances sends to a paused endpoint after its pause was stated.
TEST(endpoint_statements_of_a_fleet, each_instance_keeps_the_pause_that_it_was_told)
{
    core_fleet fleet({7, 6, 0.0, 12, 3});
    fleet.pause_after("d1", 2'000_ms);
    fleet.pause_after("w1", 2'000_ms);
    for (int sent = 0; sent < 400; ++sent)
    {
        fleet.send_plain_request();
        fleet.send_request({"template"});
        fleet.advance(20_ms);
    }
    // The users' bound is two requests from half a second after the answer on.
    LONGS_EQUAL(0, fleet.most_arrivals_in_pauses);
    CHECK(fleet.answered["d2"] > 0);
}

// Guards against instances that together send a brittle endpoint more than it has slots for, so that it fails.
TEST(endpoint_statements_of_a_fleet, a_brittle_service_does_not_fall_over)
{
    for (const std::size_t instances : {7U, 81U})
    {
        core_fleet fleet({instances, 0, 0.0, 13, 6});
        for (int sent = 0; sent < 200; ++sent)
        {
            fleet.send_plain_request();
            fleet.advance(10_ms);
        }
        fleet.make_brittle(3);
        for (int sent = 0; sent < 400; ++sent)
        {
            fleet.send_plain_request();
            fleet.advance(10_ms);
        }
        fleet.take_tally(false);
        constexpr duration crest{3'000};
        for (duration passed{}; passed < crest; passed += 5_ms)
        {
            // Twice of what the endpoints can process.
            for (int sent = 0; sent < 8; ++sent)
            {
                fleet.send_plain_request();
            }
            fleet.advance(5_ms);
        }
        // The users' bound: 2 and a tenth of the endpoints.
        CHECK(fleet.falls <= 2);
        // A slot is taken for 15 ms by a request and for 20 ms by the messages about it; half of the slots' time is
        // used at the endpoints that have not fallen, which are away for all of the crest.
        const int slots = (6 - fleet.falls) * static_cast<int>(brittle_endpoints::slots);
        CHECK(fleet.take_tally(false).served >= slots * crest / 35_ms / 2);
    }
}
