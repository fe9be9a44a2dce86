#pragma once

#include <parsleyshift/core/ids.hpp> // customer_id

#include <vector> // vector

namespace parsleyshift
{

/// @brief Entry slots that share a customer's traffic and limit, highest rendezvous score first.
///
/// Depends on the slot numbers only, never on which instances are alive, so all instances agree without talking.
/// Raising the number of slots moves a customer only to new slots. O(entry_slots * log(shard_size)).
/// @param entry_slots slots that exist, 0 to entry_slots - 1
/// @param shard_size slots wanted; all slots when there are fewer
/// @return slot numbers without repetition; empty only when entry_slots or shard_size is not positive
std::vector<int> customer_shard(const customer_id& customer, int entry_slots, int shard_size);

} // namespace parsleyshift
