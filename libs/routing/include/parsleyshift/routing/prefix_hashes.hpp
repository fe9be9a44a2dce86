#pragma once

#include <array>       // array
#include <cstddef>     // size_t
#include <cstdint>     // int64_t, uint64_t
#include <string_view> // string_view
#include <vector>      // vector

namespace parsleyshift
{

/// @brief Lengths in bytes at which prompt prefixes are hashed; an engine that announces cached prefixes at these
/// lengths can be matched.
///
/// Steps of a half bound the hashes of a prompt to 17, so that a permit request carries at most 136 bytes of them; even
/// blocks would need 2 KB for a long prompt, more than the 10 KB/s that an instance may spend on control messages.
inline constexpr std::array<std::size_t, 17> prefix_lengths{64,   128,  256,  384,  512,   768,   1024,  1536, 2048,
                                                            3072, 4096, 6144, 8192, 12288, 16384, 24576, 32768};

/// @brief Bytes of text that one token stands for on average, to turn prefix lengths into tokens.
inline constexpr std::int64_t bytes_per_token = 4;

/// @brief stable_hash of the prompt's prefixes at prefix_lengths, longest first; empty for a prompt shorter than the
/// first length. O(length of the prompt), in one pass.
std::vector<std::uint64_t> prefix_hashes(std::string_view prompt);

/// @brief Prompt tokens that the prefix at an index of prefix_hashes() covers. O(1).
/// @param index position, 0 is the longest @param count number of hashes of the prompt
std::int64_t prefix_tokens(std::size_t index, std::size_t count);

} // namespace parsleyshift
