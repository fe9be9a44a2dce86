#include <parsleyshift/test_support/property.hpp> // check_property

#include "single_core.hpp" // single_core, core_fixture

#include <set>    // set
#include <vector> // vector

using namespace parsleyshift;
using namespace parsleyshift::literals;
using namespace parsleyshift::test;

TEST_GROUP_BASE(forwarding_moves, core_fixture){};

// Guards against a run that is lost with its engine, goes on in two places, or goes on before its last events are
// there.
TEST(forwarding_moves, moves_a_run_away_from_a_leaving_engine)
{
    core.serve();
    const request_id request = core.ask("/plan/1");
    const start_forward first = *core.sent(request);
    core.feed(forward_answered{first.attempt, answer_sign::success, false});
    core.feed(forward_progress{first.attempt, 2});
    leave(first.endpoint);
    LONGS_EQUAL(1, core.copies.size());
    CHECK_FALSE(core.copies[0].stop);
    core.feed(run_copied{first.attempt, copy_result::complete, "h1", 2});
    LONGS_EQUAL(2, core.copies.size());
    CHECK_TRUE(core.copies[1].stop);
    LONGS_EQUAL(1, core.times_sent(request));
    core.feed(run_copied{first.attempt, copy_result::complete, "h2", 4});
    LONGS_EQUAL(1, core.times_sent(request));
    core.feed(forward_progress{first.attempt, 4});
    LONGS_EQUAL(2, core.times_sent(request));
    const start_forward second = *core.sent(request);
    CHECK(second.endpoint != first.endpoint);
    STRCMP_EQUAL("h2", second.continuation->handle.c_str());
    CHECK(core.dropped == std::vector<attempt_id>{first.attempt});
    core.feed(forward_answered{second.attempt, answer_sign::success, false});
    core.feed(forward_completed{second.attempt, 9});
    POINTERS_EQUAL(nullptr, core.rejection(request));
}

// Guards against copies over the link between regions, which is too narrow for them and keeps other runs waiting.
TEST(forwarding_moves, moves_runs_within_their_region_only)
{
    fleet_hints hints;
    hints.zones = {{zone_id{"z"}, region_id{"r"}}, {zone_id{"far"}, region_id{"other"}}};
    single_core split{hints};
    split.feed(forwarding_configured{configuration(1, {"key"})});
    split.feed(configuration_confirmed{split.now});
    listed_instance far = endpoint("w2", writers);
    far.availability_zone = zone_id{"far"};
    split.list({endpoint("w1", writers), far});
    const request_id request = split.ask("/plan/1");
    CHECK(split.sent(request)->endpoint == endpoint_id{"w1"});
    split.list({endpoint("w1", writers, true), far});
    LONGS_EQUAL(0, split.copies.size());
    split.list({endpoint("w1", writers, true), far, endpoint("w3", writers)});
    split.pass(200_ms);
    LONGS_EQUAL(1, split.copies.size());
}

TEST(forwarding_moves, goes_on_when_the_stream_of_a_stopped_run_has_ended)
{
    core.serve();
    const request_id request = core.ask("/plan/1");
    const start_forward first = *core.sent(request);
    core.feed(forward_answered{first.attempt, answer_sign::success, false});
    leave(first.endpoint);
    core.feed(run_copied{first.attempt, copy_result::complete, "h1", 0});
    core.feed(attempt_failed{first.attempt, attempt_failure::link_broken, "ended"});
    POINTERS_EQUAL(nullptr, core.rejection(request));
    core.feed(run_copied{first.attempt, copy_result::complete, "h2", 7});
    LONGS_EQUAL(2, core.times_sent(request));
}

// Guards against a run that goes on elsewhere although it may still run where it was.
TEST(forwarding_moves, leaves_a_run_where_it_is_when_it_cannot_tell_whether_it_stopped)
{
    core.serve();
    const request_id request = core.ask("/plan/1");
    const start_forward first = *core.sent(request);
    core.feed(forward_answered{first.attempt, answer_sign::success, false});
    leave(first.endpoint);
    core.feed(run_copied{first.attempt, copy_result::complete, "h1", 0});
    core.feed(run_copied{first.attempt, copy_result::unknown, {}, 0});
    LONGS_EQUAL(1, core.times_sent(request));
    core.feed(attempt_failed{first.attempt, attempt_failure::link_broken, "ended"});
    LONGS_EQUAL(1, core.times_sent(request));
    CHECK(how(request) == outcome::failed);
}

// Guards against a run that had not begun at the notice and is never tried again.
TEST(forwarding_moves, tries_to_move_a_run_again_that_could_not)
{
    core.serve();
    const request_id request = core.ask("/plan/1");
    const start_forward first = *core.sent(request);
    leave(first.endpoint);
    LONGS_EQUAL(1, core.copies.size());
    core.feed(run_copied{first.attempt, copy_result::refused, {}, 0});
    LONGS_EQUAL(1, core.copies.size());
    core.pass(160_ms);
    LONGS_EQUAL(2, core.copies.size());
}

// Guards against a second run of a request whose first run has stopped to move: the refusal of the engine that was to
// go on with it proves nothing about the first one.
TEST(forwarding_moves, starts_no_other_run_when_nobody_goes_on_with_the_first)
{
    core.serve();
    const request_id request = core.ask("/plan/1");
    const start_forward first = *core.sent(request);
    leave(first.endpoint);
    core.feed(run_copied{first.attempt, copy_result::complete, "h1", 0});
    core.feed(run_copied{first.attempt, copy_result::complete, "h2", 0});
    LONGS_EQUAL(2, core.times_sent(request));
    core.feed(attempt_failed{core.sent(request)->attempt, attempt_failure::not_started, "used"});
    core.pass(1_s);
    LONGS_EQUAL(2, core.times_sent(request));
    CHECK(how(request) == outcome::failed);
}

// Guards against a run that is lost with its engine because the list of endpoints, which would tell that the engine
// leaves, is not to be had.
TEST(forwarding_moves, asks_engines_whether_they_leave_while_the_list_is_out_of_date)
{
    core.serve();
    const request_id request = core.ask("/plan/1");
    const start_forward first = *core.sent(request);
    core.pass(1'140_ms);
    CHECK_TRUE(core.watched.empty());
    core.pass(20_ms);
    CHECK(core.watched == (std::set<endpoint_id>{endpoint_id{"w1"}, endpoint_id{"w2"}}));
    load_report report;
    report.endpoint = first.endpoint;
    core.feed(load_reported{report});
    LONGS_EQUAL(0, core.copies.size());
    report.leaving = true;
    core.feed(load_reported{report});
    LONGS_EQUAL(1, core.copies.size());
    core.feed(configuration_confirmed{core.now});
    core.pass(1_ms);
    CHECK_TRUE(core.watched.empty());
}

// Guards against seconds of silence before engines are asked, when the source says that it cannot answer.
TEST(forwarding_moves, asks_engines_at_once_when_the_source_fails)
{
    core.serve();
    core.ask("/plan/1");
    core.feed(configuration_unavailable{});
    LONGS_EQUAL(2, core.watched.size());
    core.list({endpoint("w1", writers), endpoint("w3", writers)});
    core.pass(400_ms);
    CHECK(core.watched == (std::set<endpoint_id>{endpoint_id{"w1"}, endpoint_id{"w3"}}));
}
