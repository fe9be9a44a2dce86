#pragma once

#include <array>       // array
#include <optional>    // optional
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief An enumerator and its name.
template <class Enum>
struct enum_name
{
    Enum value;
    std::string_view name;
};

/// @brief Customization point: names of the enumerators of Enum. Specialize it with a static constexpr std::array
/// `rows` whose elements have the members of enum_name.
///
/// @code
/// template <> struct enum_names<delivery>
/// {
///     static constexpr std::array rows{enum_name<delivery>{delivery::stream, "stream"}, ...};
/// };
/// @endcode
template <class Enum>
struct enum_names;

/// @brief Name of an enumerator, or "invalid" for a value without a row. Linear in the number of rows.
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

/// @brief Enumerator with the given name, or nullopt if there is none. Linear in the number of rows.
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
