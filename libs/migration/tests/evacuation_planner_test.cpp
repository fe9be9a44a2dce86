#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/migration/evacuation_planner.hpp> // evacuation_planner

#include <set> // set

using namespace parsleyshift;
using namespace parsleyshift::literals;

namespace
{

constexpr time_point start = at_ms(1'000'000);
const endpoint_id source{"source"};
const endpoint_id destination{"destination"};

leaving_run make_run(std::uint64_t permit, std::int64_t tokens, double value, duration expected_remaining = 10'000_ms)
{
    return {permit_id{permit}, tokens, expected_remaining, value};
}

} // namespace

TEST_GROUP(evacuation_planner)
{
    evacuation_planner planner;
};

// Guards against concurrent copies, which delay each other on the link of the leaving endpoint.
TEST(evacuation_planner, migrates_one_run_of_an_endpoint_at_a_time)
{
    planner.start(source, {make_run(1, 3'000, 10), make_run(2, 3'000, 20)}, start);
    CHECK(planner.next(start) == permit_id{2});
    planner.start_move(permit_id{2}, permit_id{12}, destination, start);
    CHECK_FALSE(planner.next(start).has_value());
    CHECK_TRUE(planner.is_destination(destination));
    planner.permit_returned(permit_id{2}, start);
    CHECK_FALSE(planner.is_destination(destination));
    CHECK(planner.next(start) == permit_id{1});
    planner.start_move(permit_id{1}, permit_id{11}, destination, start);
    planner.permit_returned(permit_id{1}, start);
    CHECK_FALSE(planner.next(start).has_value());
}

// Guards against losing a run whose migration fails once, for example because it had not started at the notice.
TEST(evacuation_planner, retries_a_run_whose_migration_failed)
{
    planner.start(source, {make_run(1, 3'000, 10), make_run(2, 3'000, 20)}, start);
    planner.start_move(permit_id{2}, permit_id{12}, destination, start);
    planner.permit_returned(permit_id{12}, start);
    CHECK(planner.next(start) == permit_id{1});
    CHECK_TRUE(planner.is_pending(permit_id{2}));
    planner.start_move(permit_id{1}, permit_id{11}, destination, start);
    planner.permit_returned(permit_id{1}, start + 10_ms);
    CHECK_FALSE(planner.next(start + 149_ms).has_value());
    CHECK(planner.next_deadline() == start + 150_ms);
    CHECK(planner.next(start + 150_ms) == permit_id{2});
}

// Guards against losing a run that was expected to end in time but did not, although there was time to migrate it:
// about half of the expected lengths are off by a factor of three or more.
TEST(evacuation_planner, migrates_runs_expected_to_end_in_time_after_all_others)
{
    planner.start(source, {make_run(1, 3'000, 10, 1'000_ms), make_run(2, 3'000, 5, 1'500_ms)}, start);
    CHECK(planner.next(start) == permit_id{2});
    planner.start_move(permit_id{2}, permit_id{12}, destination, start);
    planner.permit_returned(permit_id{2}, start + 300_ms);
    CHECK(planner.next(start + 300_ms) == permit_id{1});
    planner.permit_returned(permit_id{1}, start + 300_ms);
    CHECK_FALSE(planner.next(start + 300_ms).has_value());
}

// Guards against a large run that delays runs of more worth per token, and so per unit of copy time.
TEST(evacuation_planner, prefers_worth_per_token)
{
    planner.start(source, {make_run(1, 6'000, 20), make_run(2, 2'000, 10)}, start);
    CHECK(planner.next(start) == permit_id{2});
}

// Guards against a lost message about one migration that keeps all other runs at the endpoint until it is gone.
TEST(evacuation_planner, continues_after_a_migration_timeout)
{
    planner.start(source, {make_run(1, 3'000, 10), make_run(2, 3'000, 20)}, start);
    planner.start_move(permit_id{2}, permit_id{12}, destination, start);
    CHECK(planner.next_deadline() == start + 900_ms);
    planner.expire(start + 900_ms);
    CHECK(planner.next(start) == permit_id{1});
    planner.expire(start + 2'000_ms);
    CHECK_FALSE(planner.next(start).has_value());
    CHECK(planner.next_deadline() == never);
}

// Guards against a run that no endpoint has capacity for and that blocks the others, or is never tried again.
TEST(evacuation_planner, retries_a_postponed_run)
{
    planner.start(source, {make_run(1, 3'000, 10), make_run(2, 3'000, 20)}, start);
    planner.postpone(permit_id{2}, start);
    CHECK(planner.next(start) == permit_id{1});
    planner.postpone(permit_id{1}, start);
    CHECK_FALSE(planner.next(start).has_value());
    CHECK(planner.next(start + 150_ms) == permit_id{2});
    for (int attempt = 0; attempt < 20; ++attempt)
    {
        planner.postpone(permit_id{2}, start);
    }
    CHECK(planner.next(start + 150_ms) == permit_id{1});
}

// Guards against a repeated notice of the same endpoint that migrates its runs twice.
TEST(evacuation_planner, ignores_repeated_notices)
{
    planner.start(source, {make_run(1, 3'000, 10)}, start);
    planner.permit_returned(permit_id{1}, start);
    planner.start(source, {make_run(1, 3'000, 10)}, start + 100_ms);
    CHECK_FALSE(planner.next(start).has_value());
}

// Guards against a run that migrates twice, and against an evacuation that never ends.
TEST(evacuation_planner, migrates_each_run_at_most_once)
{
    test_support::check_property(
        "each run migrates at most once",
        [](const std::vector<std::uint8_t>& steps)
        {
            evacuation_planner property_planner;
            std::set<std::uint64_t> migrated_runs;
            std::uint64_t permit = 1;
            time_point now = start;
            std::uint64_t endpoints = 0;
            permit_id last_migrated;
            for (const std::uint8_t step : steps)
            {
                now += duration{step};
                if (step % 3 == 0)
                {
                    std::vector<leaving_run> runs;
                    for (int count = 0; count < step % 5; ++count)
                    {
                        runs.push_back(make_run(++permit, 1'000 + step, step));
                    }
                    property_planner.start(endpoint_id{std::to_string(++endpoints)}, runs, now);
                }
                if (step % 4 == 1)
                {
                    property_planner.permit_returned(last_migrated, now);
                }
                property_planner.expire(now);
                if (const auto next = property_planner.next(now))
                {
                    RC_ASSERT(migrated_runs.insert(next->value()).second);
                    property_planner.start_move(*next, permit_id{1'000'000 + next->value()}, destination, now);
                    last_migrated = *next;
                }
            }
            property_planner.expire(now + 10'000_ms);
            RC_ASSERT_FALSE(property_planner.next(now + 10'000_ms).has_value());
            RC_ASSERT(property_planner.next_deadline() == never);
        });
}
