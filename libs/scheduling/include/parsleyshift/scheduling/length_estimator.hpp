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
    /// Time after which a sample counts half.
    duration half_life{600'000};
    /// Weight of samples below which an estimate falls back on the next wider sketch.
    double enough_samples = 16.0;
    /// Output assumed when nothing is known about a class; also bounded by the request's own limit.
    std::int64_t cold_start_tokens = 1024;
    /// Pairs of class and customer that have a sketch of their own; the least recently recorded pair is dropped.
    std::size_t max_pairs = 16'384;
    /// Classes that have a sketch; further classes get the cold-start answer.
    std::size_t max_classes = 64;
};

/// @brief Learns how long the outputs of each class and of each customer in a class are.
///
/// Cold start: a pair without enough samples is answered from its class. A class without enough samples answers the
/// larger of the cold-start length and its own quantile, so that few early short outputs cannot cause
/// overcommitment. The answer never exceeds the request's own limit.
class length_estimator
{
  public:
    explicit length_estimator(length_estimator_settings settings = {});

    /// @brief Learns the true length of a completed output. Amortised constant time.
    void record(const class_id& work_class, const customer_id& customer, std::int64_t tokens, time_point now);
    /// @brief Expected total length given the tokens so far, as a quantile. Linear in the number of buckets.
    /// @param share quantile in [0, 1]
    /// @param so_far tokens that exist already; the answer is larger
    /// @param max_tokens the request's own limit; 0 for none
    /// @return total tokens of output; beyond all known samples a doubling of so_far
    [[nodiscard]] std::int64_t total(const class_id& work_class, const customer_id& customer, double share,
                                     std::int64_t so_far, std::int64_t max_tokens) const;
    /// @brief Tokens still to come: total() minus so_far.
    [[nodiscard]] std::int64_t residual(const class_id& work_class, const customer_id& customer, double share,
                                        std::int64_t so_far, std::int64_t max_tokens) const;
    /// @brief The sketch of a class for exchange with other instances; empty when nothing is known.
    [[nodiscard]] length_sketch class_sketch(const class_id& work_class) const;
    /// @brief Merges a sketch of a class that another instance has learned.
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
        std::list<pair_key>::iterator recency;
    };

    void decay_to(decayed_sketch& lengths, time_point now) const;
    decayed_sketch* class_entry(const class_id& work_class);
    pair_entry& touch_pair(const pair_key& key);
    [[nodiscard]] const length_sketch* best_sketch(const class_id& work_class, const customer_id& customer,
                                                   std::int64_t so_far) const;

    length_estimator_settings settings_;
    std::unordered_map<class_id, decayed_sketch> classes_;
    std::unordered_map<pair_key, pair_entry, pair_key_hash> pairs_;
    /// Pairs, the most recently recorded first.
    std::list<pair_key> recency_;
};

} // namespace parsleyshift
