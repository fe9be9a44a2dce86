#pragma once

#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief Mixes two hashes; the same on every machine, so that instances agree without talking.
constexpr std::uint64_t mix_hash(std::uint64_t first, std::uint64_t second) noexcept
{
    // Finalizer of splitmix64.
    std::uint64_t mixed = first + 0x9e3779b97f4a7c15ULL + second * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

/// @brief Computes stable_hash piece by piece, so that all prefixes of a text are hashed in one pass.
class stable_hasher
{
  public:
    /// @brief Adds a piece of text. Linear in its length.
    constexpr void append(std::string_view piece) noexcept
    {
        for (const char byte : piece)
        {
            hash_ = (hash_ ^ static_cast<unsigned char>(byte)) * 0x100000001b3ULL;
        }
        size_ += piece.size();
    }
    /// @brief stable_hash of all pieces so far. O(1).
    [[nodiscard]] constexpr std::uint64_t value() const noexcept
    {
        return mix_hash(hash_, size_);
    }

  private:
    // FNV-1a with a final mix.
    std::uint64_t hash_ = 0xcbf29ce484222325ULL;
    std::size_t size_ = 0;
};

/// @brief Hash of a text that is the same on every machine and build, unlike std::hash. Linear in the length.
constexpr std::uint64_t stable_hash(std::string_view text) noexcept
{
    stable_hasher hasher;
    hasher.append(text);
    return hasher.value();
}

/// @brief Score of a candidate for a key; the candidate with the highest score owns the key (rendezvous hashing).
constexpr std::uint64_t rendezvous_score(std::string_view key, std::string_view candidate) noexcept
{
    return mix_hash(stable_hash(key), stable_hash(candidate));
}

} // namespace parsleyshift
