#pragma once

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

/// @brief Hash of a text that is the same on every machine and build, unlike std::hash. Linear in the length.
constexpr std::uint64_t stable_hash(std::string_view text) noexcept
{
    // FNV-1a with a final mix.
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char byte : text)
    {
        hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3ULL;
    }
    return mix_hash(hash, text.size());
}

/// @brief Score of a candidate for a key; the candidate with the highest score owns the key (rendezvous hashing).
constexpr std::uint64_t rendezvous_score(std::string_view key, std::string_view candidate) noexcept
{
    return mix_hash(stable_hash(key), stable_hash(candidate));
}

} // namespace parsleyshift
