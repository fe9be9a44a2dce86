#pragma once

#include <parsleyshift/core/hash.hpp> // mix_hash, stable_hash
#include <parsleyshift/core/ids.hpp>  // customer_id

#include <algorithm> // min, partial_sort
#include <cstddef>   // size_t
#include <cstdint>   // uint64_t
#include <vector>    // vector

namespace parsleyshift::detail
{

/// @brief An entry slot with its rendezvous score for a customer.
struct scored_slot
{
    std::uint64_t score = 0;
    int slot = 0;
};

/// @brief Computes the customer's scores of the slots 0 to entry_slots - 1. O(entry_slots).
inline std::vector<scored_slot> slot_scores(const customer_id& customer, int entry_slots)
{
    const std::uint64_t key = stable_hash(customer.value());
    std::vector<scored_slot> scores;
    scores.reserve(static_cast<std::size_t>(entry_slots));
    for (int slot = 0; slot < entry_slots; ++slot)
    {
        scores.push_back({mix_hash(key, static_cast<std::uint64_t>(slot)), slot});
    }
    return scores;
}

/// @brief Returns the `count` slots with the highest scores, highest first. O(slots * log(count)).
inline std::vector<int> best_slots(std::vector<scored_slot> scores, std::size_t count)
{
    const std::size_t limit = std::min(count, scores.size());
    std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(limit), scores.end(),
                      [](const scored_slot& left, const scored_slot& right)
                      { return left.score != right.score ? left.score > right.score : left.slot < right.slot; });
    std::vector<int> slots;
    slots.reserve(limit);
    for (std::size_t index = 0; index < limit; ++index)
    {
        slots.push_back(scores[index].slot);
    }
    return slots;
}

} // namespace parsleyshift::detail
