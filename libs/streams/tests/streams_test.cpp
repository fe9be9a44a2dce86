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

/// Tokens "first" to "end - 1" in decimal.
token_list numbered_tokens(std::int64_t first, std::int64_t end)
{
    token_list tokens;
    for (std::int64_t number = first; number < end; ++number)
    {
        tokens.push_back(std::to_string(number));
    }
    return tokens;
}

/// Records the actions of the machine; its guards return the values that a test sets.
struct recording_flow
{
    bool allow_retry = false;
    bool allow_resume = false;
    bool allow_restart = false;
    std::int64_t expected = 0;
    std::vector<std::string> actions;

    bool may_retry(attempt_failure)
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
        actions.emplace_back("start");
    }
    void schedule_retry(attempt_failure)
    {
        actions.emplace_back("ask_again");
    }
    void deliver(token_list& batch)
    {
        expected += static_cast<std::int64_t>(batch.size());
        actions.emplace_back("deliver");
    }
    void complete()
    {
        actions.emplace_back("complete");
    }
    void schedule_resume()
    {
        actions.emplace_back("schedule_resume");
    }
    void send_resume()
    {
        actions.emplace_back("send_resume");
    }
    void reject(const error&)
    {
        actions.emplace_back("reject");
    }
    void finish_timed_out()
    {
        actions.emplace_back("reject_late");
    }
    void fail(attempt_failure)
    {
        actions.emplace_back("fail");
    }
    void fail_incomplete(std::int64_t)
    {
        actions.emplace_back("fail_incomplete");
    }
    void finish_cancelled()
    {
        actions.emplace_back("abandon");
    }
};

std::string join(const std::vector<std::string>& actions)
{
    std::string text;
    for (const auto& action : actions)
    {
        text += text.empty() ? action : " " + action;
    }
    return text;
}

} // namespace

TEST_GROUP(streams)
{
    recording_flow flow;
    generation_machine<recording_flow> machine{&flow};
    token_list batch = numbered_tokens(0, 3);
    permit_grant grant;

    void setup() override
    {
        machine.start();
    }
    void run_to_streaming()
    {
        machine.process_event(generation_events::granted{grant});
        machine.process_event(generation_events::tokens_received{batch});
    }
};

// Guards against lost, duplicated or reordered tokens when batches overlap, repeat or arrive late after a resume.
TEST(streams, cursor_accepts_each_token_once_and_in_order)
{
    test_support::check_property("any overlapping batches give a prefix of the generation",
                                 [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& batches)
                                 {
                                     token_cursor cursor;
                                     token_list accepted;
                                     for (const auto& [start, length] : batches)
                                     {
                                         token_list tokens = numbered_tokens(start, start + length);
                                         const auto arrival = cursor.accept(start, tokens);
                                         RC_ASSERT((arrival == token_arrival::next) == !tokens.empty());
                                         RC_ASSERT((arrival == token_arrival::gap) == (start > accepted.size()));
                                         accepted.insert(accepted.end(), tokens.begin(), tokens.end());
                                     }
                                     RC_ASSERT(accepted == numbered_tokens(0, cursor.next()));
                                 });
}

// Guards against an overflow on offsets from a faulty engine: negative ones and the largest integer.
TEST(streams, cursor_reports_a_gap_for_impossible_offsets)
{
    token_cursor cursor;
    token_list tokens = numbered_tokens(0, 2);
    CHECK(cursor.accept(-1, tokens) == token_arrival::gap);
    tokens = numbered_tokens(0, 2);
    CHECK(cursor.accept(INT64_MAX, tokens) == token_arrival::gap);
    LONGS_EQUAL(0, cursor.next());
}

// Guards against not_run for a request of which one attempt may have run, when a later attempt is proven not to have.
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

// Guards against a truncated stream that is reported as completed.
TEST(streams, generation_completes_only_with_the_right_count)
{
    run_to_streaming();
    machine.process_event(generation_events::end_received{2});
    STRCMP_EQUAL("start deliver fail_incomplete", join(flow.actions).c_str());
}

// Guards against a generation that runs a second time although its engine can still continue the stream.
TEST(streams, broken_link_resumes_before_it_restarts)
{
    flow.allow_resume = true;
    flow.allow_restart = true;
    run_to_streaming();
    machine.process_event(generation_events::attempt_failed{attempt_failure::link_broken});
    machine.process_event(generation_events::resume_due{});
    machine.process_event(generation_events::tokens_received{batch});
    machine.process_event(generation_events::end_received{6});
    STRCMP_EQUAL("start deliver schedule_resume send_resume deliver complete", join(flow.actions).c_str());
}

// Guards against a request that ends twice, when events of the engine or the scheduler arrive after its end.
TEST(streams, events_after_the_end_are_ignored)
{
    run_to_streaming();
    machine.process_event(generation_events::cancelled{});
    const auto actions_at_end = flow.actions.size();
    machine.process_event(generation_events::tokens_received{batch});
    machine.process_event(generation_events::end_received{3});
    machine.process_event(generation_events::granted{grant});
    machine.process_event(generation_events::timed_out{});
    CHECK_EQUAL(actions_at_end, flow.actions.size());
}

// Guards against a stream that stalls for good: tokens of the lost connection that arrive before the resume must not
// cancel it.
TEST(streams, late_tokens_do_not_cancel_the_resume)
{
    flow.allow_resume = true;
    run_to_streaming();
    machine.process_event(generation_events::attempt_failed{attempt_failure::link_broken});
    machine.process_event(generation_events::tokens_received{batch});
    machine.process_event(generation_events::resume_due{});
    STRCMP_EQUAL("start deliver schedule_resume deliver send_resume", join(flow.actions).c_str());
}

// Guards against a second run of a generation when the connection is lost before the first token and the engine still
// runs it.
TEST(streams, broken_link_before_the_first_token_resumes_the_same_attempt)
{
    flow.allow_resume = true;
    flow.allow_retry = true;
    machine.process_event(generation_events::granted{grant});
    machine.process_event(generation_events::attempt_failed{attempt_failure::link_broken});
    machine.process_event(generation_events::resume_due{});
    machine.process_event(generation_events::tokens_received{batch});
    STRCMP_EQUAL("start schedule_resume send_resume deliver", join(flow.actions).c_str());
}

// Guards against a request that fails although another endpoint could run it.
TEST(streams, failure_before_the_first_token_requests_another_endpoint)
{
    flow.allow_retry = true;
    machine.process_event(generation_events::granted{grant});
    machine.process_event(generation_events::attempt_failed{attempt_failure::connect_failed});
    machine.process_event(generation_events::granted{grant});
    STRCMP_EQUAL("start ask_again start", join(flow.actions).c_str());
}
