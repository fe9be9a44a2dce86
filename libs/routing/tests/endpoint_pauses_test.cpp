#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include <parsleyshift/routing/endpoint_pauses.hpp> // endpoint_pauses

using namespace parsleyshift;
using namespace parsleyshift::literals;

TEST_GROUP(endpoint_pauses){};

// Guards against a pause that ends with a later, shorter one, and against one without end.
TEST(endpoint_pauses, the_longest_pause_counts_and_is_bounded)
{
    endpoint_pauses pauses;
    const endpoint_id endpoint{"e"};
    pauses.record(endpoint, 5'000_ms, at_ms(0));
    pauses.record(endpoint, 100_ms, at_ms(10));
    CHECK(pauses.end(endpoint, at_ms(4'999)) == at_ms(5'000));
    CHECK_FALSE(pauses.end(endpoint, at_ms(5'000)).has_value());
    pauses.record(endpoint, duration::max(), at_ms(0));
    CHECK(pauses.end(endpoint, at_ms(1)) == at_ms(0) + endpoint_pauses::max_pause);
    pauses.record(endpoint, duration::min(), at_ms(0));
    pauses.purge(at_ms(0) + endpoint_pauses::max_pause);
    CHECK(pauses.empty());
}
