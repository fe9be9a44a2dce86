#pragma once

#include <array>   // array
#include <cstddef> // size_t
#include <cstdint> // int64_t

namespace parsleyshift
{

/// @brief Mergeable histogram of output lengths from 1 to 65,536 tokens, with four logarithmic buckets per doubling.
///
/// A quantile is at most one bucket (19%) above the exact one. Size: 264 bytes.
class length_sketch
{
  public:
    static constexpr std::size_t bucket_count = 65;

    /// @brief Adds one length. Constant time.
    /// @param tokens clamped to 1..65,536
    void add(std::int64_t tokens, double weight = 1.0);
    /// @brief Adds the samples of another sketch. Linear in the number of buckets.
    void merge(const length_sketch& other);
    /// @brief Multiplies the weight of all samples by a factor, which is clamped to [0, 1]. Linear in the number of
    /// buckets.
    void decay(double factor);
    /// @brief Total weight of the samples.
    [[nodiscard]] double weight() const noexcept
    {
        return weight_;
    }
    /// @brief Total weight of the samples longer than `tokens`, to the accuracy of a bucket.
    [[nodiscard]] double weight_above(std::int64_t tokens) const;
    /// @brief Quantile of the lengths of the samples longer than `above`, in tokens, rounded up to a bucket edge.
    /// @param probability clamped to [0, 1]
    /// @return at least above + 1; exactly above + 1 when no sample is longer
    [[nodiscard]] std::int64_t quantile(double probability, std::int64_t above = 0) const;

  private:
    std::array<float, bucket_count> buckets_{};
    float weight_ = 0.0F;
};

} // namespace parsleyshift
