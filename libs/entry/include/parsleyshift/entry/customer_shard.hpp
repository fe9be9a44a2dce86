#pragma once

#include <parsleyshift/core/ids.hpp> // customer_id

#include <vector> // vector

namespace parsleyshift
{

/// @brief Returns the entry slots that share a customer's traffic and rate limit, highest rendezvous score first.
///
/// The result depends only on the arguments, not on which instances are alive, so all instances agree without
/// coordination. A larger number of slots moves a customer only to new slots. O(entry_slots * log(shard_size)).
/// @param entry_slots number of slots that exist, numbered 0 to entry_slots - 1
/// @param shard_size number of slots to choose; all slots are chosen when fewer exist
/// @return distinct slot numbers; empty only when entry_slots or shard_size is not positive
std::vector<int> customer_shard(const customer_id& customer, int entry_slots, int shard_size);

} // namespace parsleyshift
