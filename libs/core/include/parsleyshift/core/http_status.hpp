#pragma once

namespace parsleyshift
{

/// @brief Returns true for a status code of one of the five classes. A response with another one is invalid (RFC 9110,
/// section 15).
constexpr bool is_valid_status(unsigned status) noexcept
{
    constexpr unsigned lowest = 100;
    constexpr unsigned highest = 599;
    return status >= lowest && status <= highest;
}

} // namespace parsleyshift
