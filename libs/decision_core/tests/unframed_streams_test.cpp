#include <parsleyshift/test_support/property.hpp> // TEST_GROUP_BASE, CHECK

#include "single_core.hpp" // single_core, core_fixture

#include <algorithm> // count_if
#include <vector>    // vector

using namespace parsleyshift;
using namespace parsleyshift::literals;
using namespace parsleyshift::test;

namespace
{

/// Tokens of 100 events of four tokens are the limit of each request; see single_core.
constexpr std::int64_t events_at_token_limit = 100;

struct unframed_fixture : public core_fixture
{
    /// Starts a stream and ends it by the close of its connection.
    void end_stream(std::int64_t events = 5)
    {
        begin_stream();
        close_after(events);
    }
    void begin_stream()
    {
        core.configure();
        request = core.send_request("/stream/1");
        run = *core.last_start(request);
        core.feed(forward_answered{run.attempt, answer_sign::success, false});
    }
    void close_after(std::int64_t events)
    {
        core.feed(forward_progress{run.attempt, events - 1});
        core.feed(forward_completed{run.attempt, events, answer_end::connection_closed});
    }
    /// Number of probes that judge the end of the stream.
    [[nodiscard]] std::size_t probe_count() const
    {
        return static_cast<std::size_t>(std::count_if(core.probes.begin(), core.probes.end(),
                                                      [this](const probe_endpoint& each) {
                                                          return each.endpoint == run.endpoint &&
                                                                 each.attempt == run.attempt;
                                                      }));
    }
    void answer_probe(probe_result result)
    {
        core.feed(endpoint_probed{run.endpoint, result, {}, run.attempt});
    }
    /// The caller has the head of its stream, and the end of a complete one.
    [[nodiscard]] bool is_complete() const
    {
        return core.delivered.size() == 2 && core.rejection(request) == nullptr;
    }
    [[nodiscard]] bool is_broken_off() const
    {
        return core.delivered.size() == 1 && rejection_kind(request) == error_kind::incomplete_answer &&
               core.dropped == std::vector<attempt_id>{run.attempt};
    }
    [[nodiscard]] bool is_open() const
    {
        return core.delivered.size() == 1 && core.rejection(request) == nullptr;
    }

    request_id request;
    start_forward run;
};

} // namespace

TEST_GROUP_BASE(unframed_streams, unframed_fixture){};

// Guards against a part of a stream that its caller gets as complete, because its engine was killed between two events.
TEST(unframed_streams, are_broken_off_when_their_engine_has_died)
{
    end_stream();
    CHECK(is_open());
    answer_probe(probe_result::refused);
    CHECK(is_broken_off());
}

// Guards against whole streams of sound engines that are broken off.
TEST(unframed_streams, are_complete_when_their_engine_still_runs)
{
    end_stream();
    LONGS_EQUAL(1, probe_count());
    answer_probe(probe_result::alive);
    CHECK(is_complete());
}

// Guards against a probe, and a later last chunk, for a stream that cannot continue; its engine may have left at once.
TEST(unframed_streams, are_complete_at_their_token_limit)
{
    end_stream(events_at_token_limit);
    LONGS_EQUAL(0, probe_count());
    CHECK(is_complete());
}

// Guards against a pause of a process, or one lost probe, that counts as its death.
TEST(unframed_streams, wait_for_an_engine_that_pauses)
{
    end_stream();
    core.advance(900_ms);
    answer_probe(probe_result::unknown);
    CHECK(is_open());
    core.advance(100_ms);
    LONGS_EQUAL(2, probe_count());
    answer_probe(probe_result::alive);
    CHECK(is_complete());
}

// Guards against a broken answer that counts as one of the engine, which may have ended.
TEST(unframed_streams, are_not_confirmed_by_a_malformed_answer)
{
    end_stream();
    answer_probe(probe_result::malformed);
    CHECK(is_open());
    core.advance(100_ms);
    LONGS_EQUAL(2, probe_count());
    answer_probe(probe_result::alive);
    CHECK(is_complete());
}

// Guards against a caller that waits without end for its last chunk, or gets a part of its stream as complete.
TEST(unframed_streams, are_broken_off_when_nothing_tells_whether_their_engine_runs)
{
    end_stream();
    core.advance(900_ms);
    answer_probe(probe_result::unknown);
    core.advance(599_ms);
    CHECK(is_open());
    core.advance(1_ms);
    CHECK(is_broken_off());
}

// Guards against an instance without links that takes the refusals of its own network for deaths of engines.
TEST(unframed_streams, are_not_judged_by_a_refusal_while_links_are_in_doubt)
{
    end_stream();
    core.send_request("/stream/2");
    core.advance(700_ms);
    answer_probe(probe_result::refused);
    CHECK(is_open());
    core.advance(100_ms);
    answer_probe(probe_result::alive);
    CHECK(is_complete());
}

// Guards against an answer of the process that has taken the place of the one that died.
TEST(unframed_streams, are_broken_off_when_another_process_has_replaced_their_engine)
{
    end_stream();
    listed_instance first = make_endpoint("w1", engine_service);
    listed_instance second = make_endpoint("w2", engine_service);
    (run.endpoint == endpoint_id{"w1"} ? first : second).started = incarnation{2};
    core.list({first, second});
    answer_probe(probe_result::alive);
    CHECK(is_broken_off());
}

// Guards against a whole stream that is broken off because its second engine is not the process that it began at.
TEST(unframed_streams, are_judged_by_the_engine_that_their_run_has_moved_to)
{
    begin_stream();
    listed_instance other = make_endpoint(run.endpoint == endpoint_id{"w1"} ? "w2" : "w1", engine_service);
    other.started = incarnation{2};
    core.list({make_endpoint(run.endpoint.value(), engine_service, true), other});
    core.feed(run_copied{run.attempt, copy_result::complete, "h1", 0});
    core.feed(run_copied{run.attempt, copy_result::complete, "h2", 0});
    LONGS_EQUAL(2, core.start_count(request));
    run = *core.last_start(request);
    core.feed(forward_answered{run.attempt, answer_sign::success, false});
    close_after(5);
    answer_probe(probe_result::alive);
    LONGS_EQUAL(3, core.delivered.size());
    POINTERS_EQUAL(nullptr, core.rejection(request));
}

// Guards against a run that is moved to another engine although its stream may have ended.
TEST(unframed_streams, are_not_moved_while_their_end_is_judged)
{
    end_stream();
    list_as_leaving(run.endpoint);
    LONGS_EQUAL(0, core.copies.size());
    answer_probe(probe_result::alive);
    CHECK(is_complete());
}

// Guards against a probe to an endpoint that has asked this instance to send nothing for a time.
TEST(unframed_streams, are_judged_when_a_pause_of_their_engine_is_over)
{
    begin_stream();
    endpoint_statement statement;
    statement.pause = 800_ms;
    for (int number = 0; number < 4; ++number)
    {
        const start_forward* other = core.last_start(core.send_request("/stream/2"));
        if (other != nullptr && other->endpoint == run.endpoint)
        {
            core.feed(attempt_failed{other->attempt, attempt_failure::not_started, "full", statement});
            break;
        }
    }
    close_after(5);
    core.advance(700_ms);
    LONGS_EQUAL(0, probe_count());
    core.advance(200_ms);
    LONGS_EQUAL(1, probe_count());
    answer_probe(probe_result::alive);
    CHECK(is_complete());
}
