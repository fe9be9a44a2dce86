#include <parsleyshift/routing/prefix_hashes.hpp> // prefix_hashes

#include <parsleyshift/core/hash.hpp> // stable_hasher

#include <algorithm> // reverse

namespace parsleyshift
{

std::vector<std::uint64_t> prefix_hashes(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    stable_hasher hasher;
    std::size_t hashed_bytes = 0;
    for (const std::size_t length : prefix_lengths)
    {
        if (length > prompt.size())
        {
            break;
        }
        hasher.append(prompt.substr(hashed_bytes, length - hashed_bytes));
        hashed_bytes = length;
        hashes.push_back(hasher.value());
    }
    std::reverse(hashes.begin(), hashes.end());
    return hashes;
}

std::int64_t prefix_tokens(std::size_t index, std::size_t count)
{
    if (index >= count || count > prefix_lengths.size())
    {
        return 0;
    }
    return static_cast<std::int64_t>(prefix_lengths[count - 1 - index]) / bytes_per_token;
}

} // namespace parsleyshift
