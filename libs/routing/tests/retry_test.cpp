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

retry_situation failed_with(attempt_failure failure)
{
    retry_situation failed;
    failed.failure = failure;
    failed.time_left = 10_s;
    return failed;
}

const service_id desk{"yard-desk"};

priority_record hedged_class(bool hedged = true)
{
    priority_record priority;
    priority.name = class_id{"short"};
    priority.hedged = hedged;
    return priority;
}

hedge_situation short_work()
{
    hedge_situation work;
    work.service = desk;
    work.time_left = 10_s;
    return work;
}

} // namespace

TEST_GROUP(retry)
{
    random_source random{1};
    retry_budget budget;
    budgeted_retry policy;
};

// Guards against retries that amplify an overload: over any stretch of events, retries <= share * successes + floor.
TEST(retry, the_budget_bounds_retries_over_any_stretch)
{
    test_support::check_property(
        "retries <= share * successes + floor",
        [](std::uint64_t seed)
        {
            random_source source{seed};
            const retry_budget_policy bounds{0.05 + source.fraction() / 2, 1.0 + 10.0 * source.fraction()};
            retry_budget tested{bounds};
            std::vector<int> events;
            for (int index = 0; index < 300; ++index)
            {
                const bool success = source.fraction() < (index < 150 ? 0.9 : 0.2);
                if (success)
                {
                    tested.succeeded();
                }
                events.push_back(success ? 0 : static_cast<int>(tested.try_spend()) + 1);
            }
            for (std::size_t first = 0; first < events.size(); ++first)
            {
                double allowed = bounds.floor + 1e-6;
                for (std::size_t last = first; last < events.size(); ++last)
                {
                    allowed += events[last] == 0 ? bounds.share : 0.0;
                    allowed -= events[last] == 2 ? 1.0 : 0.0;
                    RC_ASSERT(allowed >= 0.0);
                }
            }
        });
}

// Guards against a budget that successes do not refill: ten successes at a share of a tenth allow one retry.
TEST(retry, successes_refill_the_budget)
{
    retry_budget tested{{0.1, 2}};
    CHECK(tested.try_spend());
    CHECK(tested.try_spend());
    CHECK_FALSE(tested.try_spend());
    for (int success = 0; success < 10; ++success)
    {
        tested.succeeded();
    }
    CHECK(tested.try_spend());
    CHECK_FALSE(tested.try_spend());
}

// Guards against a non-idempotent call that runs twice, a stream that goes on with another generation, and a retry
// after the deadline. The table holds whether a restart is allowed by failure, for idempotent work and for other work.
TEST(retry, restarts_are_allowed_by_what_the_failure_proves)
{
    struct row
    {
        attempt_failure failure;
        bool idempotent;
        bool other;
    };
    const row rows[] = {
        {attempt_failure::deadline_passed, false, false}, {attempt_failure::connect_failed, true, true},
        {attempt_failure::not_started, true, true},       {attempt_failure::leaving, true, true},
        {attempt_failure::link_broken, true, false},      {attempt_failure::endpoint_error, true, false},
        {attempt_failure::attempt_unknown, true, false}};
    for (const row& expected : rows)
    {
        retry_situation failed = failed_with(expected.failure);
        failed.kind = service_kind::plain;
        CHECK_EQUAL(expected.idempotent, policy.decide(failed, budget, random).step == retry_step::restart);
        CHECK_EQUAL(expected.idempotent, immediate_retry{}.decide(failed, budget, random).step == retry_step::restart);
        CHECK(no_retry{}.decide(failed, budget, random).step == retry_step::give_up);
        failed.idempotent = false;
        CHECK_EQUAL(expected.other, policy.decide(failed, budget, random).step == retry_step::restart);
        failed.idempotent = true;
        failed.delivered = 1;
        CHECK(policy.decide(failed, budget, random).step == retry_step::give_up);
        CHECK(immediate_retry{}.decide(failed, budget, random).step == retry_step::give_up);
    }
}

// Guards against a second generation while the engine still holds the tokens of the first.
TEST(retry, a_broken_stream_is_resumed_before_it_is_restarted)
{
    retry_situation failed = failed_with(attempt_failure::link_broken);
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

TEST(retry, attempts_time_and_budget_end_the_retries)
{
    retry_situation failed = failed_with(attempt_failure::not_started);
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
    CHECK(refused.budget_spent);
}

// Guards against requests that are refused because endpoints have died, although none has been asked to repeat one; and
// against endless attempts where every endpoint refuses connections.
TEST(retry, attempts_without_a_connection_can_be_free_but_are_counted)
{
    while (budget.try_spend())
    {
    }
    retry_situation failed = failed_with(attempt_failure::connect_failed);
    CHECK(policy.decide(failed, budget, random).step == retry_step::give_up);
    backoff_policy free;
    free.free_without_connection = true;
    const budgeted_retry lenient{free};
    CHECK(lenient.decide(failed, budget, random).step == retry_step::restart);
    CHECK(lenient.decide(failed_with(attempt_failure::not_started), budget, random).step == retry_step::give_up);
    failed.attempts = free.most_attempts;
    CHECK(lenient.decide(failed, budget, random).step == retry_step::give_up);
}

// Guards against retries that come back together or after their deadline.
TEST(retry, delays_grow_are_spread_and_leave_time)
{
    test_support::check_property("the delay is below its bound and leaves 50 ms",
                                 [](std::uint64_t seed)
                                 {
                                     random_source source{seed};
                                     retry_budget plenty;
                                     retry_situation failed = failed_with(attempt_failure::endpoint_error);
                                     failed.attempts = 1 + static_cast<int>(source.index(40));
                                     failed.time_left = duration{50 + static_cast<int>(source.index(3'000))};
                                     backoff_policy bounds;
                                     bounds.most_attempts = 100;
                                     const auto decided = budgeted_retry{bounds}.decide(failed, plenty, source);
                                     RC_ASSERT(decided.step == retry_step::restart);
                                     RC_ASSERT(decided.delay >= 0_ms);
                                     RC_ASSERT(decided.delay <= failed.time_left - 50_ms);
                                     RC_ASSERT(decided.delay <= 2_s);
                                     RC_ASSERT(failed.attempts > 1 || decided.delay <= 50_ms);
                                 });
    std::set<duration> delays;
    retry_situation failed = failed_with(attempt_failure::not_started);
    CHECK(policy.decide(failed, budget, random).delay == 0_ms);
    failed.attempts = 3;
    for (int round = 0; round < 20; ++round)
    {
        retry_budget plenty;
        delays.insert(policy.decide(failed, plenty, random).delay);
    }
    CHECK(delays.size() > 10);
}

TEST_GROUP(hedge)
{
    retry_budget budget{{0.1, 1}};
    hedge_policy policy;
    void learn(int answers)
    {
        for (int index = 0; index < answers; ++index)
        {
            policy.answered(desk, class_id{"short"}, duration{1 + index % 100});
        }
    }
};

// Guards against hedges of work that is long, not idempotent, or of a class that does not allow it.
TEST(hedge, only_short_idempotent_work_of_hedged_classes)
{
    learn(500);
    CHECK(policy.delay(short_work(), hedged_class()).has_value());
    CHECK_FALSE(policy.delay(short_work(), hedged_class(false)).has_value());
    std::vector<hedge_situation> refused(5, short_work());
    refused[0].idempotent = false;
    refused[1].expected_tokens = 257;
    refused[2].attempts = 2;
    refused[3].delivered = 1;
    refused[4].time_left = 0_ms;
    for (const hedge_situation& work : refused)
    {
        CHECK_FALSE(policy.delay(work, hedged_class()).has_value());
        CHECK_FALSE(policy.may_hedge(work, hedged_class(), budget));
    }
    CHECK(policy.may_hedge(short_work(), hedged_class(), budget));
    CHECK_FALSE(policy.may_hedge(short_work(), hedged_class(), budget));
}

// Guards against hedges before the delay is known, and against a delay that forgets to follow the service.
TEST(hedge, the_delay_is_the_learned_percentile_of_recent_answers)
{
    learn(19);
    CHECK_FALSE(policy.delay(short_work(), hedged_class()).has_value());
    learn(1'000);
    const duration learned = *policy.delay(short_work(), hedged_class());
    CHECK(learned >= 90_ms);
    CHECK(learned <= 100_ms);
    for (int index = 0; index < 1'100; ++index)
    {
        policy.answered(desk, class_id{"short"}, 400_ms);
    }
    CHECK(*policy.delay(short_work(), hedged_class()) == 400_ms);
    for (int index = 0; index < 1'100; ++index)
    {
        policy.answered(desk, class_id{"short"}, 4_s);
    }
    CHECK_FALSE(policy.delay(short_work(), hedged_class()).has_value());
}

TEST_GROUP(retry_after){};

// Guards against callers that all come back at once: of 100 rejected by a pool that serves 10 a second, no more than a
// quarter may return within any tenth of the 10 s that it takes to serve them.
TEST(retry_after, returns_are_spread_over_the_serving_time)
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
    std::set<duration> hopeless;
    for (int caller = 0; caller < 100; ++caller)
    {
        const duration after = retry_after({600_s, 1'000'000, 0.0}, random);
        CHECK(after <= 60_s);
        hopeless.insert(after);
    }
    CHECK(hopeless.size() > 90);
    CHECK(retry_after({}, random) >= 100_ms);
}
