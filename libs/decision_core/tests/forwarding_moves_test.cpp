#include <parsleyshift/test_support/property.hpp> // check_property

#include "single_core.hpp" // single_core, core_fixture

#include <cstdint> // int64_t
#include <set>     // set
#include <vector>  // vector

using namespace parsleyshift;
using namespace parsleyshift::literals;
using namespace parsleyshift::test;

namespace
{

struct move_fixture : public core_fixture
{
    /// Starts a stream whose run is told to stop, and whose connection closes after five events.
    request_id stop_run_of_unframed_stream()
    {
        core.configure();
        const request_id request = core.send_request("/stream/1");
        const start_forward first = *core.last_start(request);
        core.feed(forward_answered{first.attempt, answer_sign::success, false});
        list_as_leaving(first.endpoint);
        core.feed(run_copied{first.attempt, copy_result::complete, "h1", 0});
        core.feed(forward_completed{first.attempt, 5, answer_end::connection_closed});
        return request;
    }
};

/// Starts a stream without framing whose run is asked to stop by a call with an unknown result.
struct unknown_stop_fixture : public move_fixture
{
    void lose_answer_to_stop()
    {
        core.configure();
        request = core.send_request("/stream/1");
        run = *core.last_start(request);
        core.feed(forward_answered{run.attempt, answer_sign::success, false});
        list_as_leaving(run.endpoint);
        core.feed(run_copied{run.attempt, copy_result::complete, "h1", 0});
        core.feed(forward_progress{run.attempt, 4});
        core.feed(run_copied{run.attempt, copy_result::unknown, {}, 0});
    }
    void close_after(std::int64_t events)
    {
        core.feed(forward_completed{run.attempt, events, answer_end::connection_closed});
        core.feed(endpoint_probed{run.endpoint, probe_result::alive, {}, run.attempt});
    }
    [[nodiscard]] bool is_complete() const
    {
        return core.delivered.size() == 2 && core.rejection(request) == nullptr;
    }
    [[nodiscard]] bool is_broken_off() const
    {
        return core.delivered.size() == 1 && rejection_kind(request) == error_kind::incomplete_answer;
    }

    request_id request;
    start_forward run;
};

} // namespace

TEST_GROUP_BASE(unknown_stops, unknown_stop_fixture){};

// Guards against a part of a stream that its caller gets as complete, because its engine stopped the run when it read
// the call late, after the move had been given up.
TEST(unknown_stops, break_off_a_stream_that_is_closed_without_framing)
{
    lose_answer_to_stop();
    POINTERS_EQUAL(nullptr, core.rejection(request));
    close_after(5);
    CHECK(is_broken_off());
    CHECK(rejection_outcome(request) == outcome::failed);
}

// Guards against a lost call that is forgotten because a later call to the same engine was refused.
TEST(unknown_stops, are_not_disproved_by_the_refusal_of_a_later_call)
{
    lose_answer_to_stop();
    core.advance(200_ms);
    LONGS_EQUAL(3, core.copies.size());
    core.feed(run_copied{run.attempt, copy_result::complete, "h2", 4});
    LONGS_EQUAL(4, core.copies.size());
    core.feed(run_copied{run.attempt, copy_result::refused, {}, 0});
    close_after(5);
    CHECK(is_broken_off());
}

// Guards against a run that could be resumed and is not, because its engine has answered the call late.
TEST(unknown_stops, are_resolved_by_a_late_answer)
{
    core.configure();
    request = core.send_request("/stream/1");
    run = *core.last_start(request);
    core.feed(forward_answered{run.attempt, answer_sign::success, false});
    list_as_leaving(run.endpoint);
    core.feed(run_copied{run.attempt, copy_result::complete, "h1", 0});
    for (std::int64_t events = 1; events <= 4; ++events)
    {
        core.advance(1_s);
        core.feed(configuration_confirmed{core.now});
        core.feed(forward_progress{run.attempt, events});
    }
    core.feed(forward_completed{run.attempt, 5, answer_end::connection_closed});
    core.feed(run_copied{run.attempt, copy_result::complete, "h2", 5});
    LONGS_EQUAL(2, core.start_count(request));
    LONGS_EQUAL(1, core.delivered.size());
    POINTERS_EQUAL(nullptr, core.rejection(request));
}

// Guards against complete streams that are broken off because the answer to a call was lost.
TEST(unknown_stops, leave_streams_complete_whose_end_is_certain)
{
    lose_answer_to_stop();
    core.feed(forward_completed{run.attempt, 5, answer_end::framed});
    CHECK(is_complete());
    core = single_core{};
    lose_answer_to_stop();
    // The token limit of the request.
    core.feed(forward_completed{run.attempt, 100, answer_end::connection_closed});
    CHECK(is_complete());
}

// Guards against a lost call that counts for the engine that has continued the run since.
TEST(unknown_stops, do_not_concern_the_engine_that_continues_the_run)
{
    lose_answer_to_stop();
    core.advance(200_ms);
    core.feed(run_copied{run.attempt, copy_result::complete, "h2", 4});
    core.feed(run_copied{run.attempt, copy_result::complete, "h3", 4});
    LONGS_EQUAL(2, core.start_count(request));
    run = *core.last_start(request);
    core.feed(forward_answered{run.attempt, answer_sign::success, false});
    core.delivered.resize(1);
    close_after(9);
    CHECK(is_complete());
}

TEST_GROUP_BASE(forwarding_moves, move_fixture){};

// Guards against a run that is lost with its leaving engine, continues at two engines, or is resumed before its last
// events have arrived.
TEST(forwarding_moves, moves_a_run_away_from_a_leaving_engine)
{
    core.configure();
    const request_id request = core.send_request("/stream/1");
    const start_forward first = *core.last_start(request);
    core.feed(forward_answered{first.attempt, answer_sign::success, false});
    core.feed(forward_progress{first.attempt, 2});
    list_as_leaving(first.endpoint);
    LONGS_EQUAL(1, core.copies.size());
    CHECK_FALSE(core.copies[0].stop);
    core.feed(run_copied{first.attempt, copy_result::complete, "h1", 2});
    LONGS_EQUAL(2, core.copies.size());
    CHECK_TRUE(core.copies[1].stop);
    LONGS_EQUAL(1, core.start_count(request));
    core.feed(run_copied{first.attempt, copy_result::complete, "h2", 4});
    LONGS_EQUAL(1, core.start_count(request));
    core.feed(forward_progress{first.attempt, 4});
    LONGS_EQUAL(2, core.start_count(request));
    const start_forward second = *core.last_start(request);
    CHECK(second.endpoint != first.endpoint);
    STRCMP_EQUAL("h2", second.continuation->handle.c_str());
    CHECK(core.dropped == std::vector<attempt_id>{first.attempt});
    core.feed(forward_answered{second.attempt, answer_sign::success, false});
    core.feed(forward_completed{second.attempt, 9});
    POINTERS_EQUAL(nullptr, core.rejection(request));
}

// Guards against copies over the link between regions, which is too slow for them and delays the moves of other
// runs.
TEST(forwarding_moves, moves_runs_within_their_region_only)
{
    bootstrap_settings hints;
    hints.zones = {{zone_id{"z"}, region_id{"r"}}, {zone_id{"far"}, region_id{"other"}}};
    single_core two_regions{hints};
    two_regions.feed(forwarding_configured{make_configuration(1, {"key"})});
    two_regions.feed(configuration_confirmed{two_regions.now});
    listed_instance far = make_endpoint("w2", engine_service);
    far.availability_zone = zone_id{"far"};
    two_regions.list({make_endpoint("w1", engine_service), far});
    const request_id request = two_regions.send_request("/stream/1");
    CHECK(two_regions.last_start(request)->endpoint == endpoint_id{"w1"});
    two_regions.list({make_endpoint("w1", engine_service, true), far});
    LONGS_EQUAL(0, two_regions.copies.size());
    two_regions.list({make_endpoint("w1", engine_service, true), far, make_endpoint("w3", engine_service)});
    two_regions.advance(200_ms);
    LONGS_EQUAL(1, two_regions.copies.size());
}

// Guards against a moved run that waits for events that cannot arrive, or is rejected, because its stream ended when it
// was stopped.
TEST(forwarding_moves, resumes_a_stopped_run_whose_stream_has_ended)
{
    core.configure();
    const request_id request = core.send_request("/stream/1");
    const start_forward first = *core.last_start(request);
    core.feed(forward_answered{first.attempt, answer_sign::success, false});
    list_as_leaving(first.endpoint);
    core.feed(run_copied{first.attempt, copy_result::complete, "h1", 0});
    core.feed(attempt_failed{first.attempt, attempt_failure::link_broken, "ended"});
    POINTERS_EQUAL(nullptr, core.rejection(request));
    core.feed(run_copied{first.attempt, copy_result::complete, "h2", 7});
    LONGS_EQUAL(2, core.start_count(request));
}

// Guards against a stream that is ended as complete because its engine closed it to stop the run.
TEST(forwarding_moves, resumes_a_stopped_run_whose_unframed_stream_was_closed)
{
    const request_id request = stop_run_of_unframed_stream();
    const start_forward first = *core.last_start(request);
    LONGS_EQUAL(1, core.delivered.size());
    core.feed(run_copied{first.attempt, copy_result::complete, "h2", 5});
    LONGS_EQUAL(2, core.start_count(request));
    LONGS_EQUAL(1, core.delivered.size());
}

// Guards against a complete stream that is rejected because its run was to be stopped when it ended.
TEST(forwarding_moves, completes_an_unframed_stream_whose_run_had_ended_before_the_stop)
{
    const request_id request = stop_run_of_unframed_stream();
    const start_forward first = *core.last_start(request);
    core.feed(run_copied{first.attempt, copy_result::refused, {}, 0});
    LONGS_EQUAL(1, core.delivered.size());
    core.feed(endpoint_probed{first.endpoint, probe_result::alive, {}, first.attempt});
    LONGS_EQUAL(2, core.delivered.size());
    POINTERS_EQUAL(nullptr, core.rejection(request));
}

// Guards against a stream that is ended as complete although its run may have been stopped.
TEST(forwarding_moves, rejects_a_closed_unframed_stream_whose_run_may_have_stopped)
{
    const request_id request = stop_run_of_unframed_stream();
    const start_forward first = *core.last_start(request);
    core.feed(run_copied{first.attempt, copy_result::unknown, {}, 0});
    LONGS_EQUAL(1, core.delivered.size());
    CHECK(core.dropped == std::vector<attempt_id>{first.attempt});
    CHECK(rejection_outcome(request) == outcome::failed);
}

// Guards against a run that is resumed at another engine although it may still run at the first one.
TEST(forwarding_moves, does_not_resume_a_run_that_may_not_have_stopped)
{
    core.configure();
    const request_id request = core.send_request("/stream/1");
    const start_forward first = *core.last_start(request);
    core.feed(forward_answered{first.attempt, answer_sign::success, false});
    list_as_leaving(first.endpoint);
    core.feed(run_copied{first.attempt, copy_result::complete, "h1", 0});
    core.feed(run_copied{first.attempt, copy_result::unknown, {}, 0});
    LONGS_EQUAL(1, core.start_count(request));
    core.feed(attempt_failed{first.attempt, attempt_failure::link_broken, "ended"});
    LONGS_EQUAL(1, core.start_count(request));
    CHECK(rejection_outcome(request) == outcome::failed);
}

// Guards against a run that had not begun when its engine announced that it leaves, and whose move is not retried.
TEST(forwarding_moves, retries_a_refused_move)
{
    core.configure();
    const request_id request = core.send_request("/stream/1");
    const start_forward first = *core.last_start(request);
    list_as_leaving(first.endpoint);
    LONGS_EQUAL(1, core.copies.size());
    core.feed(run_copied{first.attempt, copy_result::refused, {}, 0});
    LONGS_EQUAL(1, core.copies.size());
    core.advance(160_ms);
    LONGS_EQUAL(2, core.copies.size());
}

// Guards against the result of a copy for a move that was given up, taken for that of a later copy: a refusal would
// hide that the later call is still under way.
TEST(forwarding_moves, copies_a_run_once_at_a_time)
{
    core.configure();
    const request_id request = core.send_request("/stream/1");
    const start_forward first = *core.last_start(request);
    core.feed(forward_answered{first.attempt, answer_sign::success, false});
    list_as_leaving(first.endpoint);
    LONGS_EQUAL(1, core.copies.size());
    core.feed(zones_evacuated{{zone_id{"z"}}});
    core.feed(zones_evacuated{{}});
    core.advance(400_ms);
    LONGS_EQUAL(1, core.copies.size());
    core.feed(run_copied{first.attempt, copy_result::complete, "h1", 2});
    LONGS_EQUAL(1, core.copies.size());
    core.advance(400_ms);
    LONGS_EQUAL(2, core.copies.size());
    CHECK_FALSE(core.copies[1].stop);
}

// Guards against a run that is resumed at an engine that has begun to leave while the run was copied.
TEST(forwarding_moves, resumes_in_place_when_the_destination_leaves)
{
    core.configure();
    const request_id request = core.send_request("/stream/1");
    const start_forward first = *core.last_start(request);
    core.feed(forward_answered{first.attempt, answer_sign::success, false});
    core.feed(forward_progress{first.attempt, 2});
    list_as_leaving(first.endpoint);
    core.feed(run_copied{first.attempt, copy_result::complete, "h1", 2});
    core.list({make_endpoint("w1", engine_service, true), make_endpoint("w2", engine_service, true)});
    core.feed(run_copied{first.attempt, copy_result::complete, "h2", 2});
    LONGS_EQUAL(2, core.start_count(request));
    CHECK(core.last_start(request)->endpoint == first.endpoint);
}

// Guards against a second run of a request whose first run was stopped for a move: when the destination engine proves
// that it did not resume the run, the first engine has still run it.
TEST(forwarding_moves, does_not_restart_a_run_that_was_not_resumed)
{
    core.configure();
    const request_id request = core.send_request("/stream/1");
    const start_forward first = *core.last_start(request);
    list_as_leaving(first.endpoint);
    core.feed(run_copied{first.attempt, copy_result::complete, "h1", 0});
    core.feed(run_copied{first.attempt, copy_result::complete, "h2", 0});
    LONGS_EQUAL(2, core.start_count(request));
    core.feed(attempt_failed{core.last_start(request)->attempt, attempt_failure::not_started, "used"});
    core.advance(1_s);
    LONGS_EQUAL(2, core.start_count(request));
    CHECK(rejection_outcome(request) == outcome::failed);
}

// Guards against a run that is lost with its engine because the list of endpoints, which says that the engine is
// leaving, is unavailable.
TEST(forwarding_moves, watches_engines_while_the_list_is_out_of_date)
{
    core.configure();
    const request_id request = core.send_request("/stream/1");
    const start_forward first = *core.last_start(request);
    core.advance(1'140_ms);
    CHECK_TRUE(core.watched.empty());
    core.advance(20_ms);
    CHECK(core.watched == (std::set<endpoint_id>{endpoint_id{"w1"}, endpoint_id{"w2"}}));
    load_report report;
    report.endpoint = first.endpoint;
    core.feed(load_reported{report});
    LONGS_EQUAL(0, core.copies.size());
    report.leaving = true;
    core.feed(load_reported{report});
    LONGS_EQUAL(1, core.copies.size());
    core.feed(configuration_confirmed{core.now});
    core.advance(1_ms);
    CHECK_TRUE(core.watched.empty());
}

// Guards against a wait for the source's answer before engines are watched, when the source has reported a failure.
TEST(forwarding_moves, watches_engines_at_once_when_the_source_fails)
{
    core.configure();
    core.send_request("/stream/1");
    core.feed(configuration_unavailable{});
    LONGS_EQUAL(2, core.watched.size());
    core.list({make_endpoint("w1", engine_service), make_endpoint("w3", engine_service)});
    core.advance(400_ms);
    CHECK(core.watched == (std::set<endpoint_id>{endpoint_id{"w1"}, endpoint_id{"w3"}}));
}
