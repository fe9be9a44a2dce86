#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include <parsleyshift/routing/endpoint_start_limits.hpp> // endpoint_start_limits

using namespace parsleyshift;
using namespace parsleyshift::literals;

namespace
{

const endpoint_id endpoint{"e"};

endpoint_statement stated(std::optional<double> starts_per_second)
{
    endpoint_statement statement;
    statement.starts_per_second = starts_per_second;
    return statement;
}

} // namespace

TEST_GROUP(endpoint_start_limits){};

TEST(endpoint_start_limits, follow_the_answers)
{
    endpoint_start_limits limits;
    CHECK_FALSE(limits.record_answer(endpoint, stated(std::nullopt), at_ms(1), at_ms(2)));
    CHECK(limits.record_answer(endpoint, stated(2.0), at_ms(1), at_ms(3)));
    CHECK_FALSE(limits.record_answer(endpoint, stated(2.0), at_ms(4), at_ms(5)));
    CHECK(limits.record_answer(endpoint, stated(3.0), at_ms(4), at_ms(6)));
    CHECK(limits.limit(endpoint) == 3.0);
    CHECK(limits.record_answer(endpoint, stated(std::nullopt), at_ms(7), at_ms(8)));
    CHECK_FALSE(limits.limit(endpoint).has_value());
}

// Guards against an answer from before the limit that arrives late and ends it.
TEST(endpoint_start_limits, outlast_answers_to_requests_sent_before)
{
    endpoint_start_limits limits;
    limits.record_answer(endpoint, stated(2.0), at_ms(1), at_ms(10));
    CHECK_FALSE(limits.record_answer(endpoint, stated(std::nullopt), at_ms(9), at_ms(20)));
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

// Guards against a brittle endpoint that is forgotten because it names no limit on requests per second.
TEST(endpoint_start_limits, keep_which_endpoints_are_brittle)
{
    endpoint_start_limits limits;
    endpoint_statement brittle;
    brittle.tolerated_rejections = 3;
    CHECK(limits.record_answer(endpoint, brittle, at_ms(1), at_ms(10)));
    CHECK(limits.brittle(endpoint));
    CHECK_FALSE(limits.record_answer(endpoint, stated(std::nullopt), at_ms(9), at_ms(20)));
    CHECK(limits.notice_of(endpoint, at_ms(30)).brittle);
    endpoint_start_limits other;
    CHECK(other.merge(limits.notice_of(endpoint, at_ms(30)), at_ms(30)));
    CHECK(other.brittle(endpoint));
    CHECK(other.record_answer(endpoint, stated(std::nullopt), at_ms(40), at_ms(41)));
    CHECK_FALSE(other.brittle(endpoint));
}
