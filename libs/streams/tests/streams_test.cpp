#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/streams/generation_machine.hpp> // generation_machine
#include <parsleyshift/streams/outcome_tracker.hpp>    // outcome_tracker
#include <parsleyshift/streams/token_cursor.hpp>       // token_cursor

#include <algorithm> // min
#include <string>    // string, to_string
#include <vector>    // vector

using namespace parsleyshift;

namespace
{

token_list numbered(std::int64_t from, std::int64_t to)
{
    token_list tokens;
    for (std::int64_t number = from; number < to; ++number)
    {
        tokens.push_back(std::to_string(number));
    }
    return tokens;
}

/// Records the steps that the machine takes; the guards answer what the test sets.
struct recording_flow
{
    bool allow_retry = false;
    bool allow_resume = false;
    bool allow_restart = false;
    std::int64_t expected = 0;
    std::vector<std::string> steps;

    bool may_try_again(attempt_failure)
    {
        return allow_retry;
    }
    bool may_resume(attempt_failure)
    {
        return allow_resume;
    }
    bool may_restart(attempt_failure)
    {
        return allow_restart;
    }
    bool is_complete(std::int64_t count)
    {
        return count == expected;
    }
    void start_attempt(const permit_grant&)
    {
        steps.emplace_back("start");
    }
    void ask_again(attempt_failure)
    {
        steps.emplace_back("ask_again");
    }
    void deliver(token_list& batch)
    {
        expected += static_cast<std::int64_t>(batch.size());
        steps.emplace_back("deliver");
    }
    void complete()
    {
        steps.emplace_back("complete");
    }
    void schedule_resume()
    {
        steps.emplace_back("schedule_resume");
    }
    void send_resume()
    {
        steps.emplace_back("send_resume");
    }
    void reject(const error&)
    {
        steps.emplace_back("reject");
    }
    void reject_late()
    {
        steps.emplace_back("reject_late");
    }
    void fail(attempt_failure)
    {
        steps.emplace_back("fail");
    }
    void fail_incomplete(std::int64_t)
    {
        steps.emplace_back("fail_incomplete");
    }
    void abandon()
    {
        steps.emplace_back("abandon");
    }
};

std::string joined(const std::vector<std::string>& steps)
{
    std::string text;
    for (const auto& step : steps)
    {
        text += text.empty() ? step : " " + step;
    }
    return text;
}

} // namespace

TEST_GROUP(streams)
{
    recording_flow flow;
    generation_machine<recording_flow> machine{&flow};
    token_list batch = numbered(0, 3);
    permit_grant grant;

    void setup() override
    {
        machine.start();
    }
    void run_to_streaming()
    {
        machine.process_event(generation_events::permitted{grant});
        machine.process_event(generation_events::tokens{batch});
    }
};

// Guards against tokens lost, doubled or reordered when batches overlap, repeat or come late after a resume.
TEST(streams, cursor_lets_each_token_pass_once_and_in_order)
{
    test_support::check_property("any overlapping batches give a prefix of the generation",
                                 [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& batches)
                                 {
                                     token_cursor cursor;
                                     token_list seen;
                                     for (const auto& [start, length] : batches)
                                     {
                                         token_list tokens = numbered(start, start + length);
                                         const auto arrival = cursor.accept(start, tokens);
                                         RC_ASSERT((arrival == token_arrival::next) == !tokens.empty());
                                         RC_ASSERT((arrival == token_arrival::gap) == (start > seen.size()));
                                         seen.insert(seen.end(), tokens.begin(), tokens.end());
                                     }
                                     RC_ASSERT(seen == numbered(0, cursor.next()));
                                 });
}

TEST(streams, cursor_rejects_offsets_that_an_engine_cannot_have)
{
    token_cursor cursor;
    token_list tokens = numbered(0, 2);
    CHECK(cursor.accept(-1, tokens) == token_arrival::gap);
    tokens = numbered(0, 2);
    CHECK(cursor.accept(INT64_MAX, tokens) == token_arrival::gap);
    LONGS_EQUAL(0, cursor.next());
}

// Guards against not_run for a request of which one attempt may have run.
TEST(streams, not_run_needs_proof_for_every_attempt)
{
    outcome_tracker tracker;
    CHECK(tracker.without_answer() == outcome::not_run);
    tracker.attempt_sent();
    CHECK(tracker.without_answer() == outcome::unknown);
    tracker.attempt_failed(attempt_failure::link_broken);
    tracker.attempt_sent();
    tracker.attempt_failed(attempt_failure::not_started);
    CHECK(tracker.without_answer() == outcome::unknown);
    tracker.attempt_ran();
    CHECK(tracker.without_answer() == outcome::failed);
}

TEST(streams, generation_completes_only_with_the_right_count)
{
    run_to_streaming();
    machine.process_event(generation_events::ended{2});
    STRCMP_EQUAL("start deliver fail_incomplete", joined(flow.steps).c_str());
}

TEST(streams, broken_link_resumes_before_it_restarts)
{
    flow.allow_resume = true;
    flow.allow_restart = true;
    run_to_streaming();
    machine.process_event(generation_events::attempt_lost{attempt_failure::link_broken});
    machine.process_event(generation_events::resume_due{});
    machine.process_event(generation_events::tokens{batch});
    machine.process_event(generation_events::ended{6});
    STRCMP_EQUAL("start deliver schedule_resume send_resume deliver complete", joined(flow.steps).c_str());
}

// Guards against a second end of one request when answers come late or crossed.
TEST(streams, nothing_happens_after_the_end)
{
    run_to_streaming();
    machine.process_event(generation_events::abandoned{});
    const auto steps_at_end = flow.steps.size();
    machine.process_event(generation_events::tokens{batch});
    machine.process_event(generation_events::ended{3});
    machine.process_event(generation_events::permitted{grant});
    machine.process_event(generation_events::timed_out{});
    CHECK_EQUAL(steps_at_end, flow.steps.size());
}

// Guards against a stream that is never read again, because late tokens of the broken link arrive before the resume.
TEST(streams, late_tokens_do_not_cancel_the_resume)
{
    flow.allow_resume = true;
    run_to_streaming();
    machine.process_event(generation_events::attempt_lost{attempt_failure::link_broken});
    machine.process_event(generation_events::tokens{batch});
    machine.process_event(generation_events::resume_due{});
    STRCMP_EQUAL("start deliver schedule_resume deliver send_resume", joined(flow.steps).c_str());
}

// Guards against a second run of a generation whose engine is alive behind a broken link.
TEST(streams, broken_link_before_the_first_token_resumes_the_same_attempt)
{
    flow.allow_resume = true;
    flow.allow_retry = true;
    machine.process_event(generation_events::permitted{grant});
    machine.process_event(generation_events::attempt_lost{attempt_failure::link_broken});
    machine.process_event(generation_events::resume_due{});
    machine.process_event(generation_events::tokens{batch});
    STRCMP_EQUAL("start schedule_resume send_resume deliver", joined(flow.steps).c_str());
}

TEST(streams, failure_before_the_first_token_asks_for_another_endpoint)
{
    flow.allow_retry = true;
    machine.process_event(generation_events::permitted{grant});
    machine.process_event(generation_events::attempt_lost{attempt_failure::connect_failed});
    machine.process_event(generation_events::permitted{grant});
    STRCMP_EQUAL("start ask_again start", joined(flow.steps).c_str());
}
