#pragma once

#include <parsleyshift/core/clock.hpp> // duration

#include <cstddef> // size_t

namespace parsleyshift
{

/// @brief Intervals and bounds of the configuration store.
struct configuration_settings
{
    /// Readers of the configuration service in each region.
    std::size_t readers_per_region = 3;
    /// Longest wait of one watch.
    duration watch_wait{30'000};
    /// Least time between the starts of two reads of this instance, up to twice as long at random.
    duration read_spacing{1'000};
    /// A read without an answer for `watch_wait` plus this time counts as failed.
    duration read_grace{10'000};
    /// Longest time between two reads while the service is down or stale; the time doubles from read_spacing.
    duration longest_backoff{30'000};
    /// Time between two reads of everything by a reader, which finds what a watch has missed.
    duration full_read_interval{300'000};
    /// Time without news from peers after which an instance that has nothing reads the service, up to twice as long.
    duration peer_patience{5'000};
    /// Time between two digests.
    duration digest_interval{1'000};
    /// Least share of the digests that go to other regions; in regions of n < 10 members it is 1/n, since a region
    /// whose readers cannot reach the service depends on them.
    double remote_share = 0.1;
    /// Peers of the own region that a new record is pushed to.
    std::size_t push_peers = 3;
    /// Larger bodies are not pushed; the peers receive the digest at once and pull.
    std::size_t largest_push_bytes = 16'384;
    /// Changes pushed from one answer of the service; more are left to the digests.
    std::size_t most_pushed_records = 16;
    /// Bytes of the records in one message; a larger record travels alone.
    std::size_t message_bytes = 262'144;
    /// Time between two messages of one answer to a pull.
    duration answer_interval{50};
    /// Pulls answered at the same time; more are dropped and asked again.
    std::size_t most_answers = 16;
    /// Least time between two pulls of everything in the buckets that differ.
    duration full_pull_interval{2'000};
};

} // namespace parsleyshift
