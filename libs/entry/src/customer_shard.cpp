#include <parsleyshift/entry/customer_shard.hpp> // customer_shard

#include "slot_score.hpp" // scored_slot, slot_scores, best_slots

#include <cstddef> // size_t

namespace parsleyshift
{

std::vector<int> customer_shard(const customer_id& customer, int entry_slots, int shard_size)
{
    if (entry_slots <= 0 || shard_size <= 0)
    {
        return {};
    }
    return detail::best_slots(detail::slot_scores(customer, entry_slots), static_cast<std::size_t>(shard_size));
}

} // namespace parsleyshift
