#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include <parsleyshift/runtime/log_budget.hpp> // log_budget

using namespace parsleyshift;
using namespace parsleyshift::literals;

TEST_GROUP(log_budget){};

// Guards against a log that grows with the square of the fleet, when each instance logs each change of another.
TEST(log_budget, bounds_the_lines_of_each_kind_in_a_second_and_counts_the_others)
{
    log_budget budget;
    std::size_t written = 0;
    for (int each = 0; each < 295; ++each)
    {
        written += budget.admit(log_event::member_changed, at_ms(1'000 + each)).has_value() ? 1 : 0;
    }
    LONGS_EQUAL(log_budget::max_lines, written);
    CHECK(budget.admit(log_event::endpoint_leaving, at_ms(1'300)) == 0U);
    CHECK(budget.admit(log_event::member_changed, at_ms(2'000)) == 295 - log_budget::max_lines);
    CHECK(budget.admit(log_event::member_changed, at_ms(2'001)) == 0U);
}

// Guards against a line about a request that is left out, which would be its only trace.
TEST(log_budget, leaves_lines_about_requests_alone)
{
    CHECK_FALSE(is_budgeted(log_event::request_sent));
    CHECK_FALSE(is_budgeted(log_event::request_ended));
    CHECK(is_budgeted(log_event::member_changed));
}
