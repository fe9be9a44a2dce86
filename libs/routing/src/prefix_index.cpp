#include <parsleyshift/routing/prefix_index.hpp> // prefix_index

#include <parsleyshift/routing/prefix_hashes.hpp> // prefix_tokens

#include <algorithm> // max, max_element, min_element, sort
#include <bit>       // bit_ceil
#include <iterator>  // next

namespace parsleyshift
{

namespace
{

/// Slots in which a prefix may be stored. The table is set-associative, so it never grows and entries never move.
constexpr std::size_t ways_per_set = 4;

} // namespace

prefix_index::prefix_index(const prefix_policy& policy) : policy_(policy)
{
    policy_.prefixes_per_endpoint = std::bit_ceil(std::max(policy.prefixes_per_endpoint, ways_per_set));
}

std::size_t prefix_index::set_start(std::uint64_t prefix) const
{
    return static_cast<std::size_t>(prefix) & (policy_.prefixes_per_endpoint - 1) & ~(ways_per_set - 1);
}

prefix_index::endpoint_cache* prefix_index::find_or_create_cache(const endpoint_id& endpoint)
{
    const auto found = caches_.find(endpoint);
    if (found != caches_.end())
    {
        return &found->second;
    }
    if (caches_.size() >= policy_.max_endpoints)
    {
        return nullptr;
    }
    endpoint_cache& created = caches_[endpoint];
    created.slots.resize(policy_.prefixes_per_endpoint);
    return &created;
}

prefix_index::slot* prefix_index::find(endpoint_cache& cache, std::uint64_t prefix) const
{
    const std::size_t first = set_start(prefix);
    for (std::size_t index = first; index < first + ways_per_set; ++index)
    {
        slot& candidate = cache.slots[index];
        if (candidate.epoch != 0 && candidate.prefix == prefix)
        {
            return &candidate;
        }
    }
    return nullptr;
}

void prefix_index::insert(endpoint_cache& cache, std::uint64_t prefix, bool confirmed) const
{
    if (slot* existing = find(cache, prefix))
    {
        const bool still_confirmed = existing->confirmed && existing->epoch == cache.epoch;
        *existing = {prefix, cache.epoch, confirmed || still_confirmed};
        return;
    }
    // Stale entries are evicted before current ones, and unconfirmed entries before confirmed ones.
    const auto first = std::next(cache.slots.begin(), static_cast<std::ptrdiff_t>(set_start(prefix)));
    const auto lowest_ranked = std::min_element(first, std::next(first, ways_per_set),
                                                [](const slot& left, const slot& right) {
                                                    return left.epoch != right.epoch ? left.epoch < right.epoch
                                                                                     : left.confirmed < right.confirmed;
                                                });
    // Among equal entries the slot depends on the prefix, so that new prefixes do not keep evicting each other. The
    // upper bits are taken, since set_start() uses the lower ones.
    const slot lowest_rank = *lowest_ranked;
    auto evicted = lowest_ranked;
    for (std::size_t step = 0; step < ways_per_set; ++step)
    {
        const auto candidate = std::next(first, static_cast<std::ptrdiff_t>(((prefix >> 32U) + step) % ways_per_set));
        if (candidate->epoch == lowest_rank.epoch && candidate->confirmed == lowest_rank.confirmed)
        {
            evicted = candidate;
            break;
        }
    }
    *evicted = {prefix, cache.epoch, confirmed};
}

void prefix_index::apply_event(endpoint_cache& cache, const cache_event& event) const
{
    if (event.sequence <= cache.last_sequence)
    {
        return;
    }
    const bool gap = cache.last_sequence != 0 && event.sequence != cache.last_sequence + 1;
    if (gap)
    {
        ++cache.epoch;
    }
    cache.last_sequence = event.sequence;
    if (event.cached)
    {
        insert(cache, event.prefix, true);
        return;
    }
    if (slot* existing = find(cache, event.prefix))
    {
        *existing = {};
    }
}

void prefix_index::apply(const endpoint_id& endpoint, const std::vector<cache_event>& events)
{
    endpoint_cache* cache = events.empty() ? nullptr : find_or_create_cache(endpoint);
    if (cache == nullptr)
    {
        return;
    }
    std::vector<cache_event> ordered = events;
    std::sort(ordered.begin(), ordered.end(),
              [](const cache_event& left, const cache_event& right) { return left.sequence < right.sequence; });
    if (ordered.back().sequence < cache->last_sequence)
    {
        *cache = {};
        cache->slots.resize(policy_.prefixes_per_endpoint);
    }
    for (const cache_event& event : ordered)
    {
        apply_event(*cache, event);
    }
}

void prefix_index::add_unconfirmed(const endpoint_id& endpoint, const std::vector<std::uint64_t>& prefixes)
{
    endpoint_cache* cache = prefixes.empty() ? nullptr : find_or_create_cache(endpoint);
    if (cache == nullptr)
    {
        return;
    }
    for (const std::uint64_t prefix : prefixes)
    {
        insert(*cache, prefix, false);
    }
}

void prefix_index::remove(const endpoint_id& endpoint)
{
    caches_.erase(endpoint);
}

double prefix_index::saved_share(const endpoint_cache& cache, const slot& candidate) const
{
    if (candidate.epoch == cache.epoch)
    {
        return candidate.confirmed ? 1.0 : policy_.unconfirmed_share;
    }
    const bool one_gap = candidate.epoch + 1 == cache.epoch;
    return one_gap && candidate.confirmed ? policy_.stale_share : 0.0;
}

double prefix_index::saved_tokens(const endpoint_id& endpoint, const std::vector<std::uint64_t>& prefixes) const
{
    const auto found = caches_.find(endpoint);
    if (found == caches_.end())
    {
        return 0.0;
    }
    double best = 0.0;
    for (std::size_t index = 0; index < prefixes.size(); ++index)
    {
        const std::size_t first = set_start(prefixes[index]);
        for (std::size_t position = first; position < first + ways_per_set; ++position)
        {
            const slot& candidate = found->second.slots[position];
            if (candidate.epoch != 0 && candidate.prefix == prefixes[index])
            {
                const auto tokens = static_cast<double>(prefix_tokens(index, prefixes.size()));
                best = std::max(best, saved_share(found->second, candidate) * tokens);
            }
        }
    }
    return best;
}

} // namespace parsleyshift
