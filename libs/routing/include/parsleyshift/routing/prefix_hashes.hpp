#pragma once

#include <array>       // array
#include <cstddef>     // size_t
#include <cstdint>     // int64_t, uint64_t
#include <string_view> // string_view
#include <vector>      // vector

namespace parsleyshift
{

/// @brief Lengths in bytes at which prompt prefixes are hashed. Prompts match only the engines whose cache events hash
/// prefixes of the same lengths.
///
/// Two lengths per doubling limit a prompt to 17 hashes, so that a permit request carries at most 136 bytes of them.
/// Blocks of equal length would need 2 KB for a long prompt, more than the 10 KB/s that an instance may spend on
/// control messages.
inline constexpr std::array<std::size_t, 17> prefix_lengths{64,   128,  256,  384,  512,   768,   1024,  1536, 2048,
                                                            3072, 4096, 6144, 8192, 12288, 16384, 24576, 32768};

/// @brief Average bytes of text per token, for converting prefix lengths to tokens.
inline constexpr std::int64_t bytes_per_token = 4;

/// @brief Hashes the prompt's prefixes of the lengths in prefix_lengths with stable_hash, in one pass.
/// O(length of the prompt).
/// @return longest prefix first; empty for a prompt shorter than the first length
std::vector<std::uint64_t> prefix_hashes(std::string_view prompt);

/// @brief Approximate number of prompt tokens in a prefix. O(1).
/// @param index position in the result of prefix_hashes(), 0 for the longest prefix
/// @param count size of the result of prefix_hashes()
/// @return 0 when `index` or `count` is out of range
std::int64_t prefix_tokens(std::size_t index, std::size_t count);

} // namespace parsleyshift
