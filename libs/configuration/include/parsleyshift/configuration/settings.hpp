#pragma once

#include <parsleyshift/core/clock.hpp> // duration

#include <cstddef> // size_t

namespace parsleyshift
{

/// @brief Intervals and limits of `configuration_store`.
struct configuration_settings
{
    /// Number of instances per region that read the configuration service.
    std::size_t readers_per_region = 3;
    /// Longest time for which the service may hold one watch (long poll) open.
    duration watch_wait{30'000};
    /// Shortest time between the starts of two reads by this instance; jittered up to twice this value.
    duration min_read_interval{1'000};
    /// Time beyond the wait of a read after which a read without an answer counts as failed.
    duration read_timeout_margin{10'000};
    /// Longest delay before jitter between two reads while the service is down or stale; the delay doubles from
    /// `min_read_interval`.
    duration max_backoff{30'000};
    /// Time between two full reads by a reader, which find changes that a watch has missed.
    duration full_read_interval{300'000};
    /// Time after which an instance that has received no records from peers reads the service itself; jittered up to
    /// twice this value.
    duration peer_wait_timeout{5'000};
    /// Time between two digests sent by this instance.
    duration digest_interval{1'000};
    /// Smallest fraction of the digests that go to other regions. In a region of n < 10 members the fraction is 1/n,
    /// because a region whose readers cannot reach the service depends on these digests.
    double min_remote_share = 0.1;
    /// Number of peers of the own region to which a new record is pushed.
    std::size_t push_fanout = 3;
    /// Size of the records in one push; when they are larger, the peers get the digest at once and pull.
    std::size_t max_push_bytes = 16'384;
    /// Number of records in one push; when there are more, the peers get the digest at once and pull.
    std::size_t max_push_records = 16;
    /// Size of the records in one message; a larger record is sent in a message of its own.
    std::size_t max_message_bytes = 262'144;
    /// Time between two messages of the answer to a pull.
    duration answer_interval{50};
    /// Number of pulls answered concurrently; further ones are dropped, and their senders pull again later.
    std::size_t max_concurrent_answers = 16;
    /// Shortest time between two pulls of all records in the differing buckets.
    duration full_pull_interval{2'000};
};

} // namespace parsleyshift
