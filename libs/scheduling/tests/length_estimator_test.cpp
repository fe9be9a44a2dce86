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

// Guards against wrong bucket edges, which put a quantile below the exact one or more than a bucket above it.
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

// Guards against merged sketches that differ from one sketch of all samples, so that instances estimate differently.
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
                                     for (const double probability : {0.1, 0.5, 0.9, 1.0})
                                     {
                                         RC_ASSERT(first.quantile(probability) == both.quantile(probability));
                                     }
                                 });
}

// Guards against an estimate below the tokens already produced, or above the limit of the request.
TEST(length_estimator, total_exceeds_the_tokens_so_far_within_the_limit_of_the_request)
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

// Guards against overcommitted memory at the start, when only the first short outputs have completed.
TEST(length_estimator, few_short_samples_do_not_lower_the_cold_start_estimate)
{
    length_estimator estimator{{.min_sample_weight = 16.0, .cold_start_tokens = 1024}};
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

// Guards against one customer's long outputs that raise the estimate of a customer with short outputs.
TEST(length_estimator, customers_with_enough_samples_are_estimated_separately)
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

// Guards against memory that grows with the number of customers, and against old samples that keep their weight.
TEST(length_estimator, state_is_bounded_and_old_samples_decay)
{
    length_estimator estimator{{.half_life = duration{1'000}, .max_customer_sketches = 8}};
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
