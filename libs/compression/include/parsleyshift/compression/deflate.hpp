#pragma once

#include <parsleyshift/core/error.hpp> // result

#include <cstddef>     // size_t
#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief Compresses bytes in the zlib format, at the level that needs the least processor time.
std::string compress(std::string_view bytes);

/// @brief Decompresses bytes in the zlib format.
/// @param max_size largest size of the result in bytes
/// @return error malformed_request for bytes in another format or damaged ones, body_too_large for a larger result
result<std::string> decompress(std::string_view bytes, std::size_t max_size);

} // namespace parsleyshift
