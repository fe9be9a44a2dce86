#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include <parsleyshift/routing/endpoint_start_limits.hpp> // endpoint_start_limits

using namespace parsleyshift;
using namespace parsleyshift::literals;

namespace
{

const endpoint_id endpoint{"e"};

} // namespace

TEST_GROUP(endpoint_start_limits){};

TEST(endpoint_start_limits, follow_the_answers)
{
    endpoint_start_limits limits;
    CHECK_FALSE(limits.record_answer(endpoint, std::nullopt, at_ms(1), at_ms(2)));
    CHECK(limits.record_answer(endpoint, 2.0, at_ms(1), at_ms(3)));
    CHECK_FALSE(limits.record_answer(endpoint, 2.0, at_ms(4), at_ms(5)));
    CHECK(limits.record_answer(endpoint, 3.0, at_ms(4), at_ms(6)));
    CHECK(limits.limit(endpoint) == 3.0);
    CHECK(limits.record_answer(endpoint, std::nullopt, at_ms(7), at_ms(8)));
    CHECK_FALSE(limits.limit(endpoint).has_value());
}

// Guards against an answer from before the limit that arrives late and ends it.
TEST(endpoint_start_limits, outlast_answers_to_requests_sent_before)
{
    endpoint_start_limits limits;
    limits.record_answer(endpoint, 2.0, at_ms(1), at_ms(10));
    CHECK_FALSE(limits.record_answer(endpoint, std::nullopt, at_ms(9), at_ms(20)));
    CHECK(limits.limit(endpoint) == 2.0);
}

// Guards against a notice that is older than the latest answer and undoes it.
TEST(endpoint_start_limits, take_the_later_of_answers_and_notices)
{
    endpoint_start_limits limits;
    CHECK_FALSE(limits.merge({endpoint, false, 0.0, 0_ms}, at_ms(100)));
    CHECK(limits.merge({endpoint, true, 2.0, 50_ms}, at_ms(100)));
    CHECK_FALSE(limits.merge({endpoint, false, 0.0, 70_ms}, at_ms(110)));
    CHECK(limits.limit(endpoint) == 2.0);
    CHECK(limits.merge({endpoint, false, 0.0, 10_ms}, at_ms(110)));
    CHECK_FALSE(limits.limit(endpoint).has_value());
    LONGS_EQUAL(1, limits.notices(at_ms(110)).size());
    LONGS_EQUAL(0, limits.notices(at_ms(60'000)).size());
}
