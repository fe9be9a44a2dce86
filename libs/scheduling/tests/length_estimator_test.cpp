#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/scheduling/length_estimator.hpp> // length_estimator

#include <algorithm> // max, sort
#include <cstdint>   // int64_t
#include <string>    // to_string
#include <vector>    // vector

using namespace parsleyshift;

namespace
{

const class_id plan{"plan"};
const customer_id customer{"c1"};

std::vector<std::int64_t> lengths_from(const std::vector<int>& raw)
{
    std::vector<std::int64_t> lengths;
    for (const int value : raw)
    {
        lengths.push_back(1 + std::abs(value % 60'000));
    }
    return lengths;
}

} // namespace

TEST_GROUP(length_estimator){};

// Guards against bucket edges that let a quantile fall below the true length or far above it.
TEST(length_estimator, quantile_is_at_most_one_bucket_above_the_exact_one)
{
    test_support::check_property("quantile error",
                                 [](const std::vector<int>& raw)
                                 {
                                     std::vector<std::int64_t> lengths = lengths_from(raw);
                                     RC_PRE(!lengths.empty());
                                     length_sketch sketch;
                                     for (const std::int64_t length : lengths)
                                     {
                                         sketch.add(length);
                                     }
                                     std::sort(lengths.begin(), lengths.end());
                                     const auto exact = static_cast<double>(lengths[(lengths.size() - 1) / 2]);
                                     const auto estimate = static_cast<double>(sketch.quantile(0.5));
                                     RC_ASSERT(estimate + 1.0 >= exact);
                                     RC_ASSERT(estimate <= exact * 1.19 + 1.0);
                                 });
}

// Guards against a merge whose result depends on which instance merges.
TEST(length_estimator, merge_equals_recording_everything_in_one_sketch)
{
    test_support::check_property("merge",
                                 [](const std::vector<int>& left, const std::vector<int>& right)
                                 {
                                     length_sketch first;
                                     length_sketch second;
                                     length_sketch both;
                                     for (const std::int64_t length : lengths_from(left))
                                     {
                                         first.add(length);
                                         both.add(length);
                                     }
                                     for (const std::int64_t length : lengths_from(right))
                                     {
                                         second.add(length);
                                         both.add(length);
                                     }
                                     first.merge(second);
                                     for (const double share : {0.1, 0.5, 0.9, 1.0})
                                     {
                                         RC_ASSERT(first.quantile(share) == both.quantile(share));
                                     }
                                 });
}

// Guards against an estimate that a stream has already outgrown, or that exceeds what the request allows.
TEST(length_estimator, total_exceeds_the_tokens_so_far_and_respects_the_request)
{
    test_support::check_property("total",
                                 [](const std::vector<int>& raw, std::uint16_t so_far, std::uint16_t limit)
                                 {
                                     length_estimator estimator;
                                     for (const std::int64_t length : lengths_from(raw))
                                     {
                                         estimator.record(plan, customer, length, at_ms(1'000));
                                     }
                                     const std::int64_t total = estimator.total(plan, customer, 0.7, so_far, 0);
                                     RC_ASSERT(total > so_far);
                                     const std::int64_t max_tokens = std::max<std::int64_t>(limit, so_far + 1);
                                     const std::int64_t bounded =
                                         estimator.total(plan, customer, 0.7, so_far, max_tokens);
                                     RC_ASSERT(bounded <= max_tokens);
                                 });
}

// Guards against overcommitment at the start, when only the first short outputs have ended.
TEST(length_estimator, few_short_samples_do_not_lower_the_cold_start_estimate)
{
    length_estimator estimator{{.enough_samples = 16.0, .cold_start_tokens = 1024}};
    LONGS_EQUAL(1024, estimator.total(plan, customer, 0.7, 0, 0));
    LONGS_EQUAL(200, estimator.total(plan, customer, 0.7, 0, 200));
    estimator.record(plan, customer, 10, at_ms(1'000));
    LONGS_EQUAL(1024, estimator.total(plan, customer, 0.7, 0, 0));
    for (int sample = 0; sample < 32; ++sample)
    {
        estimator.record(plan, customer, 10, at_ms(1'000));
    }
    CHECK(estimator.total(plan, customer, 0.7, 0, 0) < 20);
}

// Guards against estimates that mix a customer with long outputs into one with short outputs.
TEST(length_estimator, customers_with_enough_samples_are_estimated_apart)
{
    length_estimator estimator;
    for (int sample = 0; sample < 40; ++sample)
    {
        estimator.record(plan, customer_id{"short"}, 20, at_ms(1'000));
        estimator.record(plan, customer_id{"long"}, 4'000, at_ms(1'000));
    }
    CHECK(estimator.total(plan, customer_id{"short"}, 0.9, 0, 0) < 30);
    CHECK(estimator.total(plan, customer_id{"long"}, 0.1, 0, 0) > 3'000);
}

// Guards against memory that grows with the number of customers, and against old samples that never fade.
TEST(length_estimator, state_is_bounded_and_old_samples_fade)
{
    length_estimator estimator{{.half_life = duration{1'000}, .max_pairs = 8}};
    for (int sample = 0; sample < 100; ++sample)
    {
        estimator.record(plan, customer_id{std::to_string(sample)}, 5'000, at_ms(1'000));
    }
    LONGS_EQUAL(8, estimator.pair_count());
    for (int sample = 0; sample < 100; ++sample)
    {
        estimator.record(plan, customer, 50, at_ms(21'000));
    }
    CHECK(estimator.class_sketch(plan).quantile(0.99) < 100);
}
