#pragma once

#include <parsleyshift/configuration/source_relay.hpp> // source_peer, source_readers

#include <cstddef> // size_t
#include <vector>  // vector

namespace parsleyshift
{

/// @brief Limits of the tree in which a region's copies of the source spread.
struct reader_ranking_settings
{
    /// Number of instances at the top of the ranking that may read the source for the region. More than two are for the
    /// case that the source refuses the calls of the first ones.
    std::size_t max_readers = 4;
    /// Followers that one instance serves; a region with more of them is a tree. An answer of 50 KB to each of 12
    /// followers takes 0.5 s on a link of 10 Mbit/s, and 1.6 s to each of 40.
    std::size_t max_followers = 12;
};

/// @brief Number of followers that each instance of a region serves: all, or in a larger region the square root of its
/// size, so that a change reaches every instance in two steps.
[[nodiscard]] std::size_t follower_count(std::size_t instances, const reader_ranking_settings& settings = {});

/// @brief Chooses the instances that one of a region follows. All instances rank the region alike; each follows only
/// higher ranks while its own reads succeed, so that no two wait for each other.
/// @param ranking the instances of the region, highest rank first
/// @param own_rank position of the instance itself
/// @return preferred: the parent in the tree, then the readers of the region; others: readers that rank lower
[[nodiscard]] source_readers readers_for_rank(const std::vector<source_peer>& ranking, std::size_t own_rank,
                                              const reader_ranking_settings& settings = {});

} // namespace parsleyshift
