#pragma once

#include <array>       // array
#include <optional>    // optional
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief One row of a table of enumerator names.
template <class Enum>
struct enum_name
{
    Enum value;
    std::string_view name;
};

/// @brief Customization point: specialize with a static constexpr std::array `rows` of enum_name.
///
/// @code
/// template <> struct enum_names<delivery>
/// {
///     static constexpr std::array rows{enum_name<delivery>{delivery::stream, "stream"}, ...};
/// };
/// @endcode
template <class Enum>
struct enum_names;

/// @brief Name of an enumerator, or "invalid" for a value outside the table. Linear in the table's size.
template <class Enum>
constexpr std::string_view name_of(Enum value) noexcept
{
    for (const auto& row : enum_names<Enum>::rows)
    {
        if (row.value == value)
        {
            return row.name;
        }
    }
    return "invalid";
}

/// @brief Enumerator with the given name, or nothing. Linear in the table's size.
template <class Enum>
constexpr std::optional<Enum> value_of(std::string_view name) noexcept
{
    for (const auto& row : enum_names<Enum>::rows)
    {
        if (row.name == name)
        {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace parsleyshift
