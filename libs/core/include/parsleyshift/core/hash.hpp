#pragma once

#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief Combines two hashes; order matters. The result is the same on every machine, so that instances reach the same
/// decisions without exchanging messages.
constexpr std::uint64_t mix_hash(std::uint64_t first, std::uint64_t second) noexcept
{
    // Finalizer of SplitMix64.
    std::uint64_t mixed = first + 0x9e3779b97f4a7c15ULL + second * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

/// @brief Incremental stable_hash; hashes all prefixes of a text in one pass.
class stable_hasher
{
  public:
    /// @brief Appends text. Linear in its length.
    constexpr void append(std::string_view text_part) noexcept
    {
        for (const char byte : text_part)
        {
            hash_ = (hash_ ^ static_cast<unsigned char>(byte)) * 0x100000001b3ULL;
        }
        size_ += text_part.size();
    }
    /// @brief stable_hash of all text appended so far. Constant time.
    [[nodiscard]] constexpr std::uint64_t value() const noexcept
    {
        return mix_hash(hash_, size_);
    }

  private:
    // FNV-1a; value() mixes in the length.
    std::uint64_t hash_ = 0xcbf29ce484222325ULL;
    std::size_t size_ = 0;
};

/// @brief Hash of a text that, unlike std::hash, is the same on every machine and in every build. Linear in the length.
constexpr std::uint64_t stable_hash(std::string_view text) noexcept
{
    stable_hasher hasher;
    hasher.append(text);
    return hasher.value();
}

/// @brief Rendezvous hashing: score of a candidate for a key. The candidate with the highest score owns the key.
constexpr std::uint64_t rendezvous_score(std::string_view key, std::string_view candidate) noexcept
{
    return mix_hash(stable_hash(key), stable_hash(candidate));
}

} // namespace parsleyshift
