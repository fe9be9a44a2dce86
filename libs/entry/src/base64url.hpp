#pragma once

#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift::detail
{

/// @brief Base64url without padding (RFC 4648, section 5). Linear.
std::string base64url_encode(std::string_view bytes);

/// @brief Bytes of a base64url text. Linear.
/// @return nothing unless the text is exactly what base64url_encode() gives for the bytes
std::optional<std::string> base64url_decode(std::string_view text);

} // namespace parsleyshift::detail
