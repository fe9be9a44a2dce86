#pragma once

#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief Lower-case hex SHA-256 of a text. Linear in its length.
std::string hex_sha256(std::string_view text);

/// @brief Compares two texts in a time that depends only on their lengths, which prevents timing attacks on keys.
bool equal_in_constant_time(std::string_view left, std::string_view right);

} // namespace parsleyshift
