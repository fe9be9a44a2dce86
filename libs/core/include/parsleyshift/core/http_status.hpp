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

/// @brief Number of interim responses (1xx) that a client drops before a request fails.
inline constexpr int max_interim_responses = 16;

} // namespace parsleyshift
