#include "base64url.hpp"

#include <openssl/evp.h> // EVP_EncodeBlock, EVP_DecodeBlock

#include <algorithm> // replace
#include <cstddef>   // size_t

namespace parsleyshift::detail
{

namespace
{

const unsigned char* as_bytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

unsigned char* as_bytes(std::string& text)
{
    return reinterpret_cast<unsigned char*>(text.data());
}

} // namespace

std::string base64url_encode(std::string_view bytes)
{
    // EVP_EncodeBlock writes a terminating zero after the text.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(as_bytes(text), as_bytes(bytes), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    std::replace(text.begin(), text.end(), '+', '-');
    std::replace(text.begin(), text.end(), '/', '_');
    text.resize(text.find_last_not_of('=') + 1);
    return text;
}

std::optional<std::string> base64url_decode(std::string_view text)
{
    std::string padded{text};
    std::replace(padded.begin(), padded.end(), '-', '+');
    std::replace(padded.begin(), padded.end(), '_', '/');
    const std::size_t padding = (4 - padded.size() % 4) % 4;
    padded.append(padding, '=');
    std::string bytes(padded.size() / 4 * 3, '\0');
    const int length = EVP_DecodeBlock(as_bytes(bytes), as_bytes(padded), static_cast<int>(padded.size()));
    if (length < 0 || static_cast<std::size_t>(length) < padding)
    {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(length) - padding);
    // EVP_DecodeBlock skips white space and ignores the unused bits of the last character, so that several texts decode
    // to the same bytes. Only the canonical one is accepted.
    if (base64url_encode(bytes) != text)
    {
        return std::nullopt;
    }
    return bytes;
}

} // namespace parsleyshift::detail
