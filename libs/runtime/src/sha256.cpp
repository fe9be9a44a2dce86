#include "sha256.hpp" // hex_sha256

#include <openssl/crypto.h> // CRYPTO_memcmp
#include <openssl/sha.h>    // SHA256

#include <array> // array

namespace parsleyshift
{

std::string hex_sha256(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    for (const unsigned char byte : digest)
    {
        hex += digits[byte >> 4U];
        hex += digits[byte & 0xfU];
    }
    return hex;
}

bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace parsleyshift
