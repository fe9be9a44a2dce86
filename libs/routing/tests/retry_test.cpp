#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/routing/hedge_policy.hpp> // hedge_policy
#include <parsleyshift/routing/retry_after.hpp>  // retry_after
#include <parsleyshift/routing/retry_policy.hpp> // budgeted_retry

#include <set>    // set
#include <vector> // vector

using namespace parsleyshift;
using namespace parsleyshift::literals;

namespace
{

retry_conditions make_failed_attempt(attempt_failure failure)
{
    retry_conditions failed;
    failed.failure = failure;
    failed.time_left = 10_s;
    return failed;
}

const service_id service{"yard-desk"};

priority_record make_priority(bool hedged = true)
{
    priority_record priority;
    priority.name = class_id{"short"};
    priority.hedged = hedged;
    return priority;
}

hedge_candidate make_short_request()
{
    hedge_candidate request;
    request.service = service;
    request.time_left = 10_s;
    return request;
}

} // namespace

TEST_GROUP(retry)
{
    random_source random{1};
    retry_budget budget;
    budgeted_retry policy;
};

// Guards against retries that amplify an overload: in any interval, retries <= refill_per_success * successes +
// capacity.
TEST(retry, budget_limits_retries_in_any_interval)
{
    test_support::check_property(
        "retries <= share * successes + floor",
        [](std::uint64_t seed)
        {
            random_source source{seed};
            const retry_budget_policy bounds{0.05 + source.fraction() / 2, 1.0 + 10.0 * source.fraction()};
            retry_budget limited_budget{bounds};
            // 0: a success, 1: a refused retry, 2: a retry that was charged to the budget.
            std::vector<int> events;
            for (int index = 0; index < 300; ++index)
            {
                const bool success = source.fraction() < (index < 150 ? 0.9 : 0.2);
                if (success)
                {
                    limited_budget.record_success();
                }
                events.push_back(success ? 0 : static_cast<int>(limited_budget.try_spend()) + 1);
            }
            for (std::size_t first = 0; first < events.size(); ++first)
            {
                double allowed = bounds.capacity + 1e-6;
                for (std::size_t last = first; last < events.size(); ++last)
                {
                    allowed += events[last] == 0 ? bounds.refill_per_success : 0.0;
                    allowed -= events[last] == 2 ? 1.0 : 0.0;
                    RC_ASSERT(allowed >= 0.0);
                }
            }
        });
}

// Guards against a budget that is not refilled by successes: ten successes at a share of 0.1 allow one retry.
TEST(retry, successes_refill_budget)
{
    retry_budget limited_budget{{0.1, 2}};
    CHECK(limited_budget.try_spend());
    CHECK(limited_budget.try_spend());
    CHECK_FALSE(limited_budget.try_spend());
    for (int success = 0; success < 10; ++success)
    {
        limited_budget.record_success();
    }
    CHECK(limited_budget.try_spend());
    CHECK_FALSE(limited_budget.try_spend());
}

// Guards against a non-idempotent call that runs twice, a stream that continues with a different generation, and a
// retry after the deadline. The table lists for each failure whether a restart is allowed for idempotent calls and for
// others.
TEST(retry, failure_determines_whether_restart_is_allowed)
{
    struct row
    {
        attempt_failure failure;
        bool idempotent;
        bool non_idempotent;
    };
    const row rows[] = {
        {attempt_failure::deadline_passed, false, false}, {attempt_failure::connect_failed, true, true},
        {attempt_failure::not_started, true, true},       {attempt_failure::leaving, true, true},
        {attempt_failure::link_broken, true, false},      {attempt_failure::endpoint_error, true, false},
        {attempt_failure::attempt_unknown, true, false}};
    for (const row& expected : rows)
    {
        retry_conditions failed = make_failed_attempt(expected.failure);
        failed.kind = service_kind::plain;
        CHECK_EQUAL(expected.idempotent, policy.decide(failed, budget, random).step == retry_step::restart);
        CHECK_EQUAL(expected.idempotent, immediate_retry{}.decide(failed, budget, random).step == retry_step::restart);
        CHECK(no_retry{}.decide(failed, budget, random).step == retry_step::give_up);
        failed.idempotent = false;
        CHECK_EQUAL(expected.non_idempotent, policy.decide(failed, budget, random).step == retry_step::restart);
        failed.idempotent = true;
        failed.delivered = 1;
        CHECK(policy.decide(failed, budget, random).step == retry_step::give_up);
        CHECK(immediate_retry{}.decide(failed, budget, random).step == retry_step::give_up);
    }
}

// Guards against a second generation while the engine still holds the tokens of the first.
TEST(retry, resumes_broken_stream_before_restarting_it)
{
    retry_conditions failed = make_failed_attempt(attempt_failure::link_broken);
    failed.delivered = 7;
    failed.time_left = 0_ms;
    for (failed.resumes = 0; failed.resumes < 3; ++failed.resumes)
    {
        CHECK(policy.decide(failed, budget, random).step == retry_step::resume);
    }
    CHECK(policy.decide(failed, budget, random).step == retry_step::give_up);
    failed.delivered = 0;
    failed.time_left = 10_s;
    CHECK(policy.decide(failed, budget, random).step == retry_step::restart);
}

// Guards against retries beyond the limit of attempts, shortly before the deadline, or with an exhausted budget.
TEST(retry, attempts_time_and_budget_limit_retries)
{
    retry_conditions failed = make_failed_attempt(attempt_failure::not_started);
    failed.attempts = 4;
    CHECK(policy.decide(failed, budget, random).step == retry_step::give_up);
    failed.attempts = 1;
    failed.time_left = 49_ms;
    CHECK(policy.decide(failed, budget, random).step == retry_step::give_up);
    const double unspent = budget.available();
    DOUBLES_EQUAL(20, unspent, 0);
    while (budget.try_spend())
    {
    }
    failed.time_left = 10_s;
    const retry_decision refused = policy.decide(failed, budget, random);
    CHECK(refused.step == retry_step::give_up);
    CHECK(refused.budget_exhausted);
}

// Guards against requests that fail because unreachable endpoints exhausted the budget although no endpoint received an
// attempt, and against endless attempts when every endpoint refuses connections.
TEST(retry, failed_connections_can_bypass_budget_but_count_as_attempts)
{
    while (budget.try_spend())
    {
    }
    retry_conditions failed = make_failed_attempt(attempt_failure::connect_failed);
    CHECK(policy.decide(failed, budget, random).step == retry_step::give_up);
    backoff_policy exempt_policy;
    exempt_policy.connect_failures_exempt_from_budget = true;
    const budgeted_retry unbudgeted{exempt_policy};
    CHECK(unbudgeted.decide(failed, budget, random).step == retry_step::restart);
    CHECK(unbudgeted.decide(make_failed_attempt(attempt_failure::not_started), budget, random).step ==
          retry_step::give_up);
    failed.attempts = exempt_policy.max_attempts;
    CHECK(unbudgeted.decide(failed, budget, random).step == retry_step::give_up);
}

// Guards against retries that start at the same time or too late for their deadline.
TEST(retry, delays_are_bounded_jittered_and_end_before_deadline)
{
    test_support::check_property("the delay is below its limit and leaves 50 ms before the deadline",
                                 [](std::uint64_t seed)
                                 {
                                     random_source source{seed};
                                     retry_budget full_budget;
                                     retry_conditions failed = make_failed_attempt(attempt_failure::endpoint_error);
                                     failed.attempts = 1 + static_cast<int>(source.index(40));
                                     failed.time_left = duration{50 + static_cast<int>(source.index(3'000))};
                                     backoff_policy bounds;
                                     bounds.max_attempts = 100;
                                     const auto decision = budgeted_retry{bounds}.decide(failed, full_budget, source);
                                     RC_ASSERT(decision.step == retry_step::restart);
                                     RC_ASSERT(decision.delay >= 0_ms);
                                     RC_ASSERT(decision.delay <= failed.time_left - 50_ms);
                                     RC_ASSERT(decision.delay <= 2_s);
                                     RC_ASSERT(failed.attempts > 1 || decision.delay <= 50_ms);
                                 });
    std::set<duration> delays;
    retry_conditions failed = make_failed_attempt(attempt_failure::not_started);
    CHECK(policy.decide(failed, budget, random).delay == 0_ms);
    failed.attempts = 3;
    for (int trial = 0; trial < 20; ++trial)
    {
        retry_budget full_budget;
        delays.insert(policy.decide(failed, full_budget, random).delay);
    }
    CHECK(delays.size() > 10);
}

TEST_GROUP(hedge)
{
    retry_budget budget{{0.1, 1}};
    hedge_policy policy;
    void record_answers(int answers)
    {
        for (int index = 0; index < answers; ++index)
        {
            policy.record_latency(service, class_id{"short"}, duration{1 + index % 100});
        }
    }
};

// Guards against hedging requests that are long, not idempotent, or of a priority class that does not allow it.
TEST(hedge, hedges_only_short_idempotent_requests_of_hedged_classes)
{
    record_answers(500);
    CHECK(policy.delay(make_short_request(), make_priority()).has_value());
    CHECK_FALSE(policy.delay(make_short_request(), make_priority(false)).has_value());
    std::vector<hedge_candidate> refused_requests(5, make_short_request());
    refused_requests[0].idempotent = false;
    refused_requests[1].expected_tokens = 257;
    refused_requests[2].attempts = 2;
    refused_requests[3].delivered = 1;
    refused_requests[4].time_left = 0_ms;
    for (const hedge_candidate& request : refused_requests)
    {
        CHECK_FALSE(policy.delay(request, make_priority()).has_value());
        CHECK_FALSE(policy.try_hedge(request, make_priority(), budget));
    }
    CHECK(policy.try_hedge(make_short_request(), make_priority(), budget));
    CHECK_FALSE(policy.try_hedge(make_short_request(), make_priority(), budget));
}

// Guards against hedging before enough answer times are recorded, and against a delay that does not follow changes of
// the service's answer times.
TEST(hedge, delay_is_quantile_of_recent_answer_times)
{
    record_answers(19);
    CHECK_FALSE(policy.delay(make_short_request(), make_priority()).has_value());
    record_answers(1'000);
    const duration quantile = *policy.delay(make_short_request(), make_priority());
    CHECK(quantile >= 90_ms);
    CHECK(quantile <= 100_ms);
    for (int index = 0; index < 1'100; ++index)
    {
        policy.record_latency(service, class_id{"short"}, 400_ms);
    }
    CHECK(*policy.delay(make_short_request(), make_priority()) == 400_ms);
    for (int index = 0; index < 1'100; ++index)
    {
        policy.record_latency(service, class_id{"short"}, 4_s);
    }
    CHECK_FALSE(policy.delay(make_short_request(), make_priority()).has_value());
}

TEST_GROUP(retry_after){};

// Guards against callers that all retry at once: of 100 callers rejected by a pool that completes 10 requests per
// second, at most a quarter may retry within any one second of the 10 s that the pool needs to serve them.
TEST(retry_after, retries_are_spread_over_serving_time)
{
    random_source random{1};
    std::vector<int> per_second(40, 0);
    for (int caller = 0; caller < 100; ++caller)
    {
        const duration after = retry_after({2_s, 100, 10.0}, random);
        CHECK(after >= 2_s);
        CHECK(after <= 12_s);
        ++per_second[static_cast<std::size_t>(after / 1_s)];
    }
    CHECK(std::all_of(per_second.begin(), per_second.end(), [](int count) { return count <= 25; }));
    std::set<duration> overloaded_times;
    for (int caller = 0; caller < 100; ++caller)
    {
        const duration after = retry_after({600_s, 1'000'000, 0.0}, random);
        CHECK(after <= 60_s);
        overloaded_times.insert(after);
    }
    CHECK(overloaded_times.size() > 90);
    CHECK(retry_after({}, random) >= 100_ms);
}
