#pragma once

#include <parsleyshift/core/ids.hpp>          // endpoint_id
#include <parsleyshift/messages/endpoint.hpp> // cache_event

#include <cstddef>       // size_t
#include <cstdint>       // int64_t, uint64_t
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief Bounds of the prefix index.
struct prefix_policy
{
    /// Prefixes remembered per endpoint, 16 bytes each; a power of two.
    std::size_t per_endpoint = 1'024;
    /// Endpoints remembered; further ones have no affinity.
    std::size_t most_endpoints = 2'048;
    /// Share of the saved tokens that a prefix counts for when it was learned before a gap in the events.
    double doubtful_share = 0.25;
    /// The same for a prefix that this instance sent there but that no event has confirmed.
    double expected_share = 0.5;
};

/// @brief What the engines hold in their prefix caches, learned from late events with gaps.
///
/// A gap in the sequence puts all that was known of the endpoint in doubt; the next gap discards what is still in
/// doubt. Memory is 16 bytes * per_endpoint * most_endpoints at most, 32 MB by default.
class prefix_index
{
  public:
    explicit prefix_index(const prefix_policy& policy = {});

    /// @brief Takes a batch of events. A batch whose highest sequence is below what is known comes from a new process:
    /// everything older is discarded. O(events).
    void apply(const endpoint_id& endpoint, const std::vector<cache_event>& events);
    /// @brief Notes that a prompt was sent to an endpoint, which will hold its prefixes soon. O(prefixes).
    void expect(const endpoint_id& endpoint, const std::vector<std::uint64_t>& prefixes);
    /// @brief Discards an endpoint. O(1) on average.
    void forget(const endpoint_id& endpoint);

    /// @brief Prompt tokens that the endpoint is expected not to compute again. O(prefixes).
    /// @param prefixes result of prefix_hashes()
    [[nodiscard]] double saved_tokens(const endpoint_id& endpoint, const std::vector<std::uint64_t>& prefixes) const;

  private:
    struct slot
    {
        std::uint64_t prefix = 0;
        /// Number of the last gap before the prefix was learned; 0 marks a free slot.
        std::uint32_t epoch = 0;
        bool confirmed = false;
    };
    struct cache
    {
        std::vector<slot> slots;
        std::uint64_t last_sequence = 0;
        std::uint32_t epoch = 1;
    };

    cache* cache_of(const endpoint_id& endpoint);
    void learn(cache& known, std::uint64_t prefix, bool confirmed) const;
    void take(cache& known, const cache_event& happened) const;
    slot* find(cache& known, std::uint64_t prefix) const;
    [[nodiscard]] std::size_t set_of(std::uint64_t prefix) const;
    [[nodiscard]] double share(const cache& known, const slot& found) const;

    prefix_policy policy_;
    std::unordered_map<endpoint_id, cache> caches_;
};

} // namespace parsleyshift
