#pragma once

#include <parsleyshift/core/ids.hpp>          // endpoint_id
#include <parsleyshift/messages/endpoint.hpp> // cache_event

#include <cstddef>       // size_t
#include <cstdint>       // int64_t, uint64_t
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief Parameters of the prefix index.
struct prefix_policy
{
    /// Prefixes stored per endpoint, 16 bytes each; rounded up to a power of two.
    std::size_t prefixes_per_endpoint = 1'024;
    /// Endpoints with stored prefixes; further endpoints have no affinity.
    std::size_t max_endpoints = 2'048;
    /// Share of a prefix's tokens that counts as saved when its event arrived before the last gap in the sequence.
    double stale_share = 0.25;
    /// The same for a prefix that this instance sent to the endpoint but that no event has confirmed.
    double unconfirmed_share = 0.5;
};

/// @brief Estimates the contents of the engines' prefix caches from cache events, which arrive late and with gaps.
///
/// A gap in the sequence makes all entries of the endpoint stale, since an eviction may have been missed. The next gap
/// invalidates the entries that are still stale; unconfirmed entries are invalidated by the first gap. Memory is at
/// most 16 bytes * prefixes_per_endpoint * max_endpoints, 32 MB by default.
class prefix_index
{
  public:
    explicit prefix_index(const prefix_policy& policy = {});

    /// @brief Applies a batch of events in the order of their sequence numbers; repeated events are ignored. A batch
    /// whose highest sequence number is below the last one applied comes from a new process, whose cache was empty: all
    /// entries of the endpoint are discarded first. O(events * log(events)).
    void apply(const endpoint_id& endpoint, const std::vector<cache_event>& events);
    /// @brief Adds unconfirmed entries for a prompt that was sent to an endpoint, which will cache its prefixes soon.
    /// O(prefixes).
    /// @param prefixes result of prefix_hashes()
    void add_unconfirmed(const endpoint_id& endpoint, const std::vector<std::uint64_t>& prefixes);
    /// @brief Discards the entries of an endpoint. O(1) on average.
    void remove(const endpoint_id& endpoint);

    /// @brief Prompt tokens that the endpoint is expected to read from its cache instead of computing them.
    /// O(prefixes).
    /// @param prefixes result of prefix_hashes()
    /// @return 0 for an unknown endpoint
    [[nodiscard]] double saved_tokens(const endpoint_id& endpoint, const std::vector<std::uint64_t>& prefixes) const;

  private:
    struct slot
    {
        std::uint64_t prefix = 0;
        /// Epoch of the cache when the prefix was inserted; 0 marks a free slot.
        std::uint32_t epoch = 0;
        bool confirmed = false;
    };
    struct endpoint_cache
    {
        std::vector<slot> slots;
        std::uint64_t last_sequence = 0;
        /// Incremented at each gap in the sequence.
        std::uint32_t epoch = 1;
    };

    endpoint_cache* find_or_create_cache(const endpoint_id& endpoint);
    void insert(endpoint_cache& cache, std::uint64_t prefix, bool confirmed) const;
    void apply_event(endpoint_cache& cache, const cache_event& event) const;
    slot* find(endpoint_cache& cache, std::uint64_t prefix) const;
    [[nodiscard]] std::size_t set_start(std::uint64_t prefix) const;
    [[nodiscard]] double saved_share(const endpoint_cache& cache, const slot& found) const;

    prefix_policy policy_;
    std::unordered_map<endpoint_id, endpoint_cache> caches_;
};

} // namespace parsleyshift
