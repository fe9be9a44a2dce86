#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include <parsleyshift/scheduling/pool_scheduler.hpp> // pool_scheduler

#include <optional> // optional
#include <string>   // to_string
#include <variant>  // get_if

using namespace parsleyshift;
using namespace parsleyshift::literals;

namespace
{

constexpr time_point start = at_ms(1'000'000);
const instance_id requester{"i"};
const pool_id pool{"p"};
const class_id work_class{"c"};
const endpoint_id left{"e1"};
const endpoint_id right{"e2"};

scheduler_settings settings_of_engines()
{
    scheduler_settings made;
    made.prompt_tokens_per_ms = 10.0;
    made.slowness_penalty = 2.0;
    made.slow_start = 0_ms;
    return made;
}

permit_request asked(std::uint64_t number, std::int64_t prompt, std::int64_t expected = 0)
{
    permit_request made;
    made.pool = pool;
    made.work.request = request_id{number};
    made.work.work_class = work_class;
    made.work.prompt_tokens = prompt;
    made.work.max_tokens = 1'000;
    made.work.expected_tokens = expected;
    made.work.start_by = start + 60_s;
    return made;
}

} // namespace

/// A pool of two engines with room for several requests each.
TEST_GROUP(prompts_and_moves)
{
    length_estimator lengths;
    pool_scheduler scheduler{pool, settings_of_engines(), lengths, 1, start};

    void setup() override
    {
        for (const endpoint_id& engine : {left, right})
        {
            scheduler.add_endpoint(engine, start);
            load_report size;
            size.endpoint = engine;
            size.as_of = start;
            size.slots = 8;
            size.memory_capacity = 40'000;
            scheduler.report(size, start);
        }
        scheduler.advance(start);
    }
    static std::optional<permit_grant> grant_of(const scheduling_decisions& decisions)
    {
        for (const auto& decision : decisions)
        {
            if (const auto* grant = std::get_if<permit_grant>(&decision.message))
            {
                return *grant;
            }
        }
        return std::nullopt;
    }
    std::optional<permit_grant> request(const permit_request& wanted, time_point now = start)
    {
        return grant_of(scheduler.request(requester, wanted, now));
    }
    void tell_gap(const permit_grant& held, duration gap)
    {
        permit_registration told;
        told.pool = pool;
        told.permit = held.permit;
        told.endpoint = held.endpoint;
        told.usual_gap = gap;
        scheduler.register_permit(requester, told, start);
    }
};

// Guards against prompts that pile up at one engine, where they delay its running streams and each other.
TEST(prompts_and_moves, spreads_prompts_and_keeps_them_waiting_in_the_queue)
{
    const auto first = request(asked(1, 6'000));
    const auto second = request(asked(2, 6'000));
    CHECK(first->endpoint != second->endpoint);
    // Both engines read for 600 ms; a third prompt waits until one has less than 500 ms left.
    CHECK_FALSE(request(asked(3, 100)).has_value());
    CHECK(scheduler.next_deadline() == start + 100_ms);
    CHECK_FALSE(grant_of(scheduler.advance(start + 99_ms)).has_value());
    CHECK_TRUE(grant_of(scheduler.advance(start + 100_ms)).has_value());
}

// Guards against memory that is booked for the class's length although the caller expects far less, or more.
TEST(prompts_and_moves, books_memory_by_the_callers_estimate)
{
    const auto without = request(asked(1, 100));
    const auto few = request(asked(2, 100, 10));
    const auto many = request(asked(3, 100, 1'000));
    CHECK(few->reserved < without->reserved);
    CHECK(many->reserved > few->reserved);
}

// Guards against a slow engine that gets as much work as the others.
TEST(prompts_and_moves, prefers_engines_with_the_usual_gap)
{
    const auto first = request(asked(1, 10));
    const auto second = request(asked(2, 10));
    tell_gap(*first, 30_ms);
    tell_gap(*second, 45_ms);
    for (std::uint64_t number = 3; number < 7; ++number)
    {
        CHECK(request(asked(number, 10))->endpoint == first->endpoint);
    }
}

// Guards against a run that is offered the engine that it leaves, or one that may not take it.
TEST(prompts_and_moves, offers_a_run_a_place_elsewhere)
{
    const auto held = request(asked(1, 3'000));
    const auto runs = scheduler.running_at(held->endpoint, start + 10_ms);
    LONGS_EQUAL(1, runs.size());
    const auto anywhere = [](const endpoint_id&) -> std::optional<double>
    {
        return 0.0;
    };
    const auto offer = scheduler.offer_place(runs[0], start + 10_ms, anywhere);
    const auto& place = std::get<permit_grant>(offer->message);
    CHECK(place.endpoint != held->endpoint);
    CHECK(place.permit != held->permit);
    CHECK(place.request == held->request);
    CHECK(offer->to == requester);
    LONGS_EQUAL(2, scheduler.permits());
    const auto nowhere = [](const endpoint_id&) -> std::optional<double>
    {
        return std::nullopt;
    };
    CHECK_FALSE(scheduler.offer_place(runs[0], start + 10_ms, nowhere).has_value());
    // The requester returns the permit that it does not use.
    permit_return returned;
    returned.pool = pool;
    returned.permit = place.permit;
    returned.endpoint = place.endpoint;
    scheduler.give_back(requester, returned, start + 20_ms);
    LONGS_EQUAL(1, scheduler.permits());
}

// Guards against a place at an engine without room, where the run would be preempted.
TEST(prompts_and_moves, offers_no_place_without_room)
{
    const auto held = request(asked(1, 20'000));
    const auto other = request(asked(2, 30'000), start + 5_s);
    CHECK(held->endpoint != other->endpoint);
    const auto runs = scheduler.running_at(held->endpoint, start + 5_s);
    const auto anywhere = [](const endpoint_id&) -> std::optional<double>
    {
        return 0.0;
    };
    CHECK_FALSE(scheduler.offer_place(runs[0], start + 5_s, anywhere).has_value());
}
