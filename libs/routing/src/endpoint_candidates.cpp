#include <parsleyshift/routing/endpoint_candidates.hpp> // endpoint_candidates

#include <parsleyshift/core/hash.hpp> // mix_hash, stable_hash

#include <algorithm> // min, nth_element, sort
#include <cmath>     // ceil
#include <utility>   // move

namespace parsleyshift
{

namespace
{

struct scored_endpoint
{
    std::uint64_t score = 0;
    const endpoint_entry* entry = nullptr;
};

using scored_list = std::vector<scored_endpoint>;

/// Scores of rendezvous hashing over (instance, endpoint): each instance selects a stable subset of its own.
scored_list rendezvous_scores(const std::vector<const endpoint_entry*>& members, const instance_id& instance)
{
    const std::uint64_t instance_hash = stable_hash(instance.value());
    scored_list scored;
    scored.reserve(members.size());
    for (const endpoint_entry* entry : members)
    {
        scored.push_back({mix_hash(instance_hash, stable_hash(entry->endpoint.value())), entry});
    }
    return scored;
}

/// Moves the endpoints with the `count` highest scores from `scored` to `chosen`.
void move_highest_scores(scored_list& scored, std::size_t count, std::vector<const endpoint_entry*>& chosen)
{
    const std::size_t selected_count = std::min(count, scored.size());
    const auto selected_end = scored.begin() + static_cast<std::ptrdiff_t>(selected_count);
    std::nth_element(scored.begin(), selected_end, scored.end(),
                     [](const scored_endpoint& left, const scored_endpoint& right)
                     { return left.score > right.score; });
    for (auto best = scored.begin(); best != selected_end; ++best)
    {
        chosen.push_back(best->entry);
    }
    scored.erase(scored.begin(), selected_end);
}

} // namespace

std::vector<const endpoint_entry*> endpoint_subset(const std::vector<const endpoint_entry*>& members,
                                                   const candidate_policy& policy)
{
    if (policy.subset_size == 0 || members.size() <= policy.subset_size)
    {
        return members;
    }
    scored_list same_zone = rendezvous_scores(members, policy.instance);
    scored_list remaining;
    std::erase_if(same_zone,
                  [&](const scored_endpoint& scored)
                  {
                      const bool other_zone = scored.entry->availability_zone != policy.availability_zone;
                      if (other_zone)
                      {
                          remaining.push_back(scored);
                      }
                      return other_zone;
                  });
    const auto same_zone_count =
        static_cast<std::size_t>(std::ceil(static_cast<double>(policy.subset_size) * policy.same_zone_share));
    std::vector<const endpoint_entry*> chosen;
    move_highest_scores(same_zone, same_zone_count, chosen);
    // The remaining places go to endpoints of any zone.
    remaining.insert(remaining.end(), same_zone.begin(), same_zone.end());
    move_highest_scores(remaining, policy.subset_size - chosen.size(), chosen);
    std::sort(chosen.begin(), chosen.end(),
              [](const endpoint_entry* left, const endpoint_entry* right) { return left->endpoint < right->endpoint; });
    return chosen;
}

endpoint_candidates::endpoint_candidates(candidate_policy policy) : policy_(std::move(policy)) {}

const std::vector<const endpoint_entry*>& endpoint_candidates::subset_of(const pool_id& pool,
                                                                         const endpoint_directory& directory)
{
    if (version_ != directory.version())
    {
        subsets_.clear();
        version_ = directory.version();
    }
    const auto cached = subsets_.find(pool);
    if (cached != subsets_.end())
    {
        return cached->second;
    }
    return subsets_[pool] = endpoint_subset(directory.endpoints_of(pool), policy_);
}

link_distance endpoint_candidates::distance_to(const endpoint_entry& entry) const
{
    if (entry.region != policy_.region)
    {
        return link_distance::other_region;
    }
    return entry.availability_zone == policy_.availability_zone ? link_distance::same_zone : link_distance::same_region;
}

void endpoint_candidates::append(const pool_id& pool, const routing_query& query, const endpoint_directory& directory,
                                 const in_flight_tracker& ledger, const endpoint_health& health,
                                 const prefix_index& prefixes, time_point now)
{
    for (const endpoint_entry* entry : subset_of(pool, directory))
    {
        endpoint_candidate candidate;
        candidate.entry = entry;
        candidate.load = ledger.load(*entry);
        candidate.weight = health.weight(entry->endpoint, now);
        candidate.distance = distance_to(*entry);
        candidate.saved_tokens =
            std::min(prefixes.saved_tokens(entry->endpoint, query.prefixes), static_cast<double>(query.prompt_tokens));
        candidates_.push_back(candidate);
    }
}

const std::vector<endpoint_candidate>& endpoint_candidates::gather(const pool_id& pool, const routing_query& query,
                                                                   const endpoint_directory& directory,
                                                                   const in_flight_tracker& ledger,
                                                                   const endpoint_health& health,
                                                                   const prefix_index& prefixes, time_point now)
{
    candidates_.clear();
    append(pool, query, directory, ledger, health, prefixes, now);
    return candidates_;
}

const std::vector<endpoint_candidate>& endpoint_candidates::gather_service(const routing_query& query,
                                                                           const endpoint_directory& directory,
                                                                           const in_flight_tracker& ledger,
                                                                           const endpoint_health& health,
                                                                           const prefix_index& prefixes, time_point now)
{
    candidates_.clear();
    for (const pool_id& pool : directory.pools_of(query.service))
    {
        append(pool, query, directory, ledger, health, prefixes, now);
    }
    return candidates_;
}

} // namespace parsleyshift
