#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include <parsleyshift/routing/endpoint_reachability.hpp> // endpoint_reachability

using namespace parsleyshift;
using namespace parsleyshift::literals;

namespace
{

constexpr time_point begin = at_ms(1'000'000);
const endpoint_id first{"a"};
const endpoint_id second{"b"};

} // namespace

TEST_GROUP(endpoint_reachability){};

TEST(endpoint_reachability, is_lost_when_no_probed_endpoint_answers)
{
    endpoint_reachability links;
    CHECK(links.next_round() == never);
    links.record_sent(begin);
    CHECK_FALSE(links.round_due(begin + 499_ms));
    CHECK(links.round_due(begin + 500_ms));
    links.begin_round({first, second}, begin + 500_ms);
    CHECK_FALSE(links.record_unanswered_probe(first, begin + 1'100_ms));
    CHECK(links.record_unanswered_probe(second, begin + 1'100_ms));
    CHECK(links.lost());
    CHECK(links.round_due(begin + 1'600_ms));
    CHECK(links.record_answer());
    CHECK_FALSE(links.lost());
}

// Guards against one silent endpoint that counts as the loss of all links.
TEST(endpoint_reachability, is_kept_when_one_endpoint_answers)
{
    endpoint_reachability links;
    links.record_sent(begin);
    links.begin_round({first, second}, begin + 500_ms);
    links.record_unanswered_probe(first, begin + 600_ms);
    CHECK_FALSE(links.record_answer());
    CHECK_FALSE(links.record_unanswered_probe(second, begin + 1'100_ms));
    CHECK_FALSE(links.lost());
    CHECK(links.next_round() == never);
}

// Guards against a service with a single endpoint whose failure counts as the loss of all links.
TEST(endpoint_reachability, is_not_decided_by_a_single_probe)
{
    endpoint_reachability links;
    links.record_failure(begin);
    links.begin_round({first}, begin + 60_ms);
    CHECK_FALSE(links.record_unanswered_probe(first, begin + 100_ms));
    CHECK_FALSE(links.lost());
}
