#include <parsleyshift/routing/prefix_index.hpp> // prefix_index

#include <parsleyshift/routing/prefix_hashes.hpp> // prefix_tokens

#include <algorithm> // max, max_element, min_element, sort
#include <bit>       // bit_ceil
#include <iterator>  // next

namespace parsleyshift
{

namespace
{

/// Places in which one prefix can stand; the table is set-associative, so it never grows or moves.
constexpr std::size_t ways = 4;

} // namespace

prefix_index::prefix_index(const prefix_policy& policy) : policy_(policy)
{
    policy_.per_endpoint = std::bit_ceil(std::max(policy.per_endpoint, ways));
}

std::size_t prefix_index::set_of(std::uint64_t prefix) const
{
    return static_cast<std::size_t>(prefix) & (policy_.per_endpoint - 1) & ~(ways - 1);
}

prefix_index::cache* prefix_index::cache_of(const endpoint_id& endpoint)
{
    const auto known = caches_.find(endpoint);
    if (known != caches_.end())
    {
        return &known->second;
    }
    if (caches_.size() >= policy_.most_endpoints)
    {
        return nullptr;
    }
    cache& made = caches_[endpoint];
    made.slots.resize(policy_.per_endpoint);
    return &made;
}

prefix_index::slot* prefix_index::find(cache& known, std::uint64_t prefix) const
{
    const std::size_t first = set_of(prefix);
    for (std::size_t index = first; index < first + ways; ++index)
    {
        slot& place = known.slots[index];
        if (place.epoch != 0 && place.prefix == prefix)
        {
            return &place;
        }
    }
    return nullptr;
}

void prefix_index::learn(cache& known, std::uint64_t prefix, bool confirmed) const
{
    if (slot* place = find(known, prefix))
    {
        const bool still_confirmed = place->confirmed && place->epoch == known.epoch;
        *place = {prefix, known.epoch, confirmed || still_confirmed};
        return;
    }
    // Displaces what is in doubt before what is not, and what is only expected before what is confirmed.
    const auto first = std::next(known.slots.begin(), static_cast<std::ptrdiff_t>(set_of(prefix)));
    const auto worst = std::min_element(first, std::next(first, ways),
                                        [](const slot& left, const slot& right) {
                                            return left.epoch != right.epoch ? left.epoch < right.epoch
                                                                             : left.confirmed < right.confirmed;
                                        });
    // Among equals the place depends on the prefix, so that new prefixes do not keep displacing each other.
    const slot candidate = *worst;
    auto chosen = worst;
    for (std::size_t step = 0; step < ways; ++step)
    {
        const auto place = std::next(first, static_cast<std::ptrdiff_t>(((prefix >> 32U) + step) % ways));
        if (place->epoch == candidate.epoch && place->confirmed == candidate.confirmed)
        {
            chosen = place;
            break;
        }
    }
    *chosen = {prefix, known.epoch, confirmed};
}

void prefix_index::take(cache& known, const cache_event& happened) const
{
    if (happened.sequence <= known.last_sequence)
    {
        return;
    }
    const bool gap = known.last_sequence != 0 && happened.sequence != known.last_sequence + 1;
    if (gap)
    {
        ++known.epoch;
    }
    known.last_sequence = happened.sequence;
    if (happened.cached)
    {
        learn(known, happened.prefix, true);
        return;
    }
    if (slot* place = find(known, happened.prefix))
    {
        *place = {};
    }
}

void prefix_index::apply(const endpoint_id& endpoint, const std::vector<cache_event>& events)
{
    cache* known = events.empty() ? nullptr : cache_of(endpoint);
    if (known == nullptr)
    {
        return;
    }
    std::vector<cache_event> ordered = events;
    std::sort(ordered.begin(), ordered.end(),
              [](const cache_event& left, const cache_event& right) { return left.sequence < right.sequence; });
    if (ordered.back().sequence < known->last_sequence)
    {
        *known = {};
        known->slots.resize(policy_.per_endpoint);
    }
    for (const cache_event& happened : ordered)
    {
        take(*known, happened);
    }
}

void prefix_index::expect(const endpoint_id& endpoint, const std::vector<std::uint64_t>& prefixes)
{
    cache* known = prefixes.empty() ? nullptr : cache_of(endpoint);
    if (known == nullptr)
    {
        return;
    }
    for (const std::uint64_t prefix : prefixes)
    {
        learn(*known, prefix, false);
    }
}

void prefix_index::forget(const endpoint_id& endpoint)
{
    caches_.erase(endpoint);
}

double prefix_index::share(const cache& known, const slot& found) const
{
    if (found.epoch == known.epoch)
    {
        return found.confirmed ? 1.0 : policy_.expected_share;
    }
    const bool one_gap = found.epoch + 1 == known.epoch;
    return one_gap && found.confirmed ? policy_.doubtful_share : 0.0;
}

double prefix_index::saved_tokens(const endpoint_id& endpoint, const std::vector<std::uint64_t>& prefixes) const
{
    const auto known = caches_.find(endpoint);
    if (known == caches_.end())
    {
        return 0.0;
    }
    double most = 0.0;
    for (std::size_t index = 0; index < prefixes.size(); ++index)
    {
        const std::size_t first = set_of(prefixes[index]);
        for (std::size_t place = first; place < first + ways; ++place)
        {
            const slot& found = known->second.slots[place];
            if (found.epoch != 0 && found.prefix == prefixes[index])
            {
                const auto tokens = static_cast<double>(prefix_tokens(index, prefixes.size()));
                most = std::max(most, share(known->second, found) * tokens);
            }
        }
    }
    return most;
}

} // namespace parsleyshift
