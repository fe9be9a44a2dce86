#pragma once

#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief Appends a JSON string with its quotes; bytes that are not UTF-8 become U+FFFD. Linear in the length.
void append_json_string(std::string& out, std::string_view text);

} // namespace parsleyshift
