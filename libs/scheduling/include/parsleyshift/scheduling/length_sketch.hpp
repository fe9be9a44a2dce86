#pragma once

#include <array>   // array
#include <cstddef> // size_t
#include <cstdint> // int64_t

namespace parsleyshift
{

/// @brief Mergeable histogram of output lengths with log-spaced buckets; four buckets per doubling, 1 to 65,536 tokens.
///
/// The relative error of a quantile is at most one bucket (19%). Size: 264 bytes.
class length_sketch
{
  public:
    static constexpr std::size_t bucket_count = 65;

    /// @brief Adds one length. Constant time. @param tokens clamped to 1..65,536 @param weight weight of the sample
    void add(std::int64_t tokens, double weight = 1.0);
    /// @brief Adds the samples of another sketch. Linear in the number of buckets.
    void merge(const length_sketch& other);
    /// @brief Multiplies the weight of all samples. @param factor in [0, 1]
    void decay(double factor);
    /// @brief Total weight of the samples.
    [[nodiscard]] double weight() const noexcept
    {
        return weight_;
    }
    /// @brief Total weight of the samples that are longer than the given length.
    [[nodiscard]] double weight_above(std::int64_t tokens) const;
    /// @brief Quantile of the lengths among the samples longer than `above`, in tokens (upper edge of its bucket).
    /// @param share in [0, 1]
    /// @return at least above + 1; above + 1 when no sample is longer
    [[nodiscard]] std::int64_t quantile(double share, std::int64_t above = 0) const;

  private:
    std::array<float, bucket_count> buckets_{};
    float weight_ = 0.0F;
};

} // namespace parsleyshift
