#include <parsleyshift/scheduling/length_sketch.hpp> // length_sketch

#include <algorithm> // clamp, max
#include <cmath>     // ceil, exp2, log2

namespace parsleyshift
{

namespace
{

constexpr double buckets_per_doubling = 4.0;

std::size_t bucket_of(std::int64_t tokens)
{
    if (tokens <= 1)
    {
        return 0;
    }
    const double position = std::ceil(std::log2(static_cast<double>(tokens)) * buckets_per_doubling - 1e-9);
    return std::min(static_cast<std::size_t>(position), length_sketch::bucket_count - 1);
}

std::int64_t upper_edge(std::size_t bucket)
{
    return static_cast<std::int64_t>(std::exp2(static_cast<double>(bucket) / buckets_per_doubling));
}

} // namespace

void length_sketch::add(std::int64_t tokens, double weight)
{
    buckets_[bucket_of(tokens)] += static_cast<float>(weight);
    weight_ += static_cast<float>(weight);
}

void length_sketch::merge(const length_sketch& other)
{
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
    {
        buckets_[bucket] += other.buckets_[bucket];
    }
    weight_ += other.weight_;
}

void length_sketch::decay(double factor)
{
    const auto scale = static_cast<float>(std::clamp(factor, 0.0, 1.0));
    weight_ = 0.0F;
    for (float& bucket : buckets_)
    {
        bucket *= scale;
        weight_ += bucket;
    }
}

double length_sketch::weight_above(std::int64_t tokens) const
{
    double sum = 0.0;
    for (std::size_t bucket = bucket_count; bucket-- > 0 && upper_edge(bucket) > tokens;)
    {
        sum += buckets_[bucket];
    }
    return sum;
}

std::int64_t length_sketch::quantile(double probability, std::int64_t above) const
{
    const double target = std::clamp(probability, 0.0, 1.0) * weight_above(above);
    double sum = 0.0;
    std::int64_t result = above + 1;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
    {
        if (upper_edge(bucket) <= above || buckets_[bucket] <= 0.0F)
        {
            continue;
        }
        sum += buckets_[bucket];
        result = std::max(above + 1, upper_edge(bucket));
        if (sum >= target)
        {
            break;
        }
    }
    return result;
}

} // namespace parsleyshift
