#include "CppUTest/TestHarness.h" // TEST

#include <parsleyshift/messages/action.hpp> // action
#include <parsleyshift/messages/event.hpp>  // event, proves_not_run

using namespace parsleyshift;

TEST_GROUP(messages){};

// Guards against reporting not_run after bytes were sent without proof from the endpoint that it did not start.
TEST(messages, only_failures_before_the_send_or_with_a_refusal_prove_that_nothing_ran)
{
    CHECK(proves_not_run(attempt_failure::deadline_passed));
    CHECK(proves_not_run(attempt_failure::connect_failed));
    CHECK(proves_not_run(attempt_failure::not_started));
    CHECK(proves_not_run(attempt_failure::leaving));
    CHECK_FALSE(proves_not_run(attempt_failure::link_broken));
    CHECK_FALSE(proves_not_run(attempt_failure::endpoint_error));
    CHECK_FALSE(proves_not_run(attempt_failure::attempt_unknown));
}

// Guards against an enumerator without a name, which would appear as "invalid" in logs and answers.
TEST(messages, outcome_names_can_be_parsed_back)
{
    for (const auto& row : enum_names<outcome>::rows)
    {
        CHECK(value_of<outcome>(row.name) == row.value);
    }
}
