#pragma once

#include <algorithm>   // all_of, any_of
#include <cstddef>     // size_t
#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift
{

namespace detail
{

constexpr bool is_control(char byte) noexcept
{
    const auto code = static_cast<unsigned char>(byte);
    return code < 0x20 || code == 0x7f;
}

/// Tabs count as blanks.
constexpr bool has_control(std::string_view text) noexcept
{
    return std::any_of(text.begin(), text.end(), [](char byte) { return is_control(byte) && byte != '\t'; });
}

constexpr bool is_blank(char byte) noexcept
{
    return byte == ' ' || byte == '\t';
}

} // namespace detail

/// @brief Returns true for a text that a header field can carry unchanged: it has no control characters but tabs, and
/// no blanks at its ends, which recipients drop (RFC 9110, section 5.5). The empty text is one.
[[nodiscard]] constexpr bool is_field_value(std::string_view text) noexcept
{
    return !detail::has_control(text) &&
           (text.empty() || (!detail::is_blank(text.front()) && !detail::is_blank(text.back())));
}

/// @brief Returns true for a name of a header field or a method: a token of RFC 9110, section 5.6.2.
[[nodiscard]] constexpr bool is_token(std::string_view text) noexcept
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(),
                                        [symbols](char byte)
                                        {
                                            return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') ||
                                                   (byte >= 'A' && byte <= 'Z') ||
                                                   symbols.find(byte) != std::string_view::npos;
                                        });
}

/// @brief Returns true for an identifier that other systems chose, like the id of an endpoint: 1 or more characters,
/// none of them blank or a control character. Bytes of characters outside ASCII are allowed.
[[nodiscard]] constexpr bool is_identifier(std::string_view text) noexcept
{
    return !text.empty() && std::all_of(text.begin(), text.end(),
                                        [](char byte) { return !detail::is_control(byte) && !detail::is_blank(byte); });
}

/// @brief Shows a text of another system in a message: its first bytes, with control characters and backslashes
/// escaped.
[[nodiscard]] inline std::string escaped(std::string_view text)
{
    constexpr std::size_t max_shown_bytes = 96;
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned base = 16;
    std::string shown;
    for (const char byte : text.substr(0, max_shown_bytes))
    {
        if (detail::is_control(byte) || byte == '\\')
        {
            const auto code = static_cast<unsigned char>(byte);
            shown += "\\x";
            shown += digits[code / base];
            shown += digits[code % base];
        }
        else
        {
            shown += byte;
        }
    }
    return text.size() > max_shown_bytes ? shown + "..." : shown;
}

} // namespace parsleyshift
