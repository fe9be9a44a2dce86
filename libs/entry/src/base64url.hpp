#pragma once

#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift::detail
{

/// @brief Encodes bytes as base64url without padding (RFC 4648, section 5). Linear.
std::string base64url_encode(std::string_view bytes);

/// @brief Decodes base64url text without padding. Linear.
/// @return the bytes, or nothing unless base64url_encode() gives exactly this text for them
std::optional<std::string> base64url_decode(std::string_view text);

} // namespace parsleyshift::detail
