#pragma once

#include <parsleyshift/core/clock.hpp>               // duration, time_point
#include <parsleyshift/core/ids.hpp>                 // class_id, customer_id
#include <parsleyshift/scheduling/length_sketch.hpp> // length_sketch

#include <cstddef>       // size_t
#include <cstdint>       // int64_t
#include <list>          // list
#include <unordered_map> // unordered_map

namespace parsleyshift
{

/// @brief Settings of length_estimator.
struct length_estimator_settings
{
    /// Time after which the weight of a sample has halved.
    duration half_life{600'000};
    /// Minimum total weight of the samples of a sketch for an estimate to rely on it alone; see "Cold start" at
    /// length_estimator. A new sample has the weight 1.
    double min_sample_weight = 16.0;
    /// Output length assumed for a class without samples, in tokens; the request's own limit still applies.
    std::int64_t cold_start_tokens = 1024;
    /// Maximum number of pairs of class and customer with a sketch of their own; the least recently recorded pair is
    /// evicted. 0 turns sketches per customer off.
    std::size_t max_customer_sketches = 16'384;
    /// Maximum number of classes with a sketch; further classes get the cold-start estimate.
    std::size_t max_classes = 64;
};

/// @brief Estimates output lengths per class and per pair of class and customer from completed outputs.
///
/// Cold start: a pair without enough samples uses the sketch of its class. A class without enough samples uses the
/// larger of the cold-start length and its own quantile, because the first outputs to complete are the short ones and
/// would cause overcommitment. An estimate never exceeds the request's own limit unless the output already does.
class length_estimator
{
  public:
    explicit length_estimator(length_estimator_settings settings = {});

    /// @brief Adds the length of a completed output, in tokens. Amortised constant time.
    void record(const class_id& work_class, const customer_id& customer, std::int64_t tokens, time_point now);
    /// @brief Quantile of the total output length, given that `so_far` tokens exist. Linear in the number of buckets.
    /// @param probability quantile in [0, 1]
    /// @param so_far output tokens produced so far
    /// @param max_tokens the request's own limit; 0 for none
    /// @return output tokens, more than so_far unless max_tokens is reached; at least twice so_far when no sample is
    /// longer than so_far, unless max_tokens is smaller
    [[nodiscard]] std::int64_t total(const class_id& work_class, const customer_id& customer, double probability,
                                     std::int64_t so_far, std::int64_t max_tokens) const;
    /// @brief Expected further output tokens: total() minus so_far.
    [[nodiscard]] std::int64_t residual(const class_id& work_class, const customer_id& customer, double probability,
                                        std::int64_t so_far, std::int64_t max_tokens) const;
    /// @brief Copy of the sketch of a class, to send to other instances; empty for a class without samples.
    [[nodiscard]] length_sketch class_sketch(const class_id& work_class) const;
    /// @brief Merges the sketch of a class from another instance.
    void merge_class(const class_id& work_class, const length_sketch& sketch, time_point now);
    /// @brief Number of pairs of class and customer that have a sketch.
    [[nodiscard]] std::size_t pair_count() const noexcept
    {
        return pairs_.size();
    }

  private:
    struct pair_key
    {
        class_id work_class;
        customer_id customer;

        friend bool operator==(const pair_key&, const pair_key&) = default;
    };
    struct pair_key_hash
    {
        std::size_t operator()(const pair_key& key) const noexcept;
    };
    struct decayed_sketch
    {
        length_sketch sketch;
        time_point as_of;
    };
    struct pair_entry
    {
        decayed_sketch lengths;
        std::list<pair_key>::iterator lru_position;
    };

    void decay_to(decayed_sketch& lengths, time_point now) const;
    decayed_sketch* find_or_create_class(const class_id& work_class);
    pair_entry& find_or_create_pair(const pair_key& key);
    [[nodiscard]] const length_sketch* best_sketch(const class_id& work_class, const customer_id& customer,
                                                   std::int64_t so_far) const;

    length_estimator_settings settings_;
    std::unordered_map<class_id, decayed_sketch> classes_;
    std::unordered_map<pair_key, pair_entry, pair_key_hash> pairs_;
    /// Most recently recorded pair first.
    std::list<pair_key> lru_order_;
};

} // namespace parsleyshift
