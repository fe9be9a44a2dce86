#pragma once

#include <nlohmann/json.hpp> // json

#include <string_view> // string_view
#include <type_traits> // is_arithmetic_v, is_same_v

namespace parsleyshift
{

/// @brief Returns a member of an object, or the fallback if `object` is no object or the member is absent or of another
/// type. Mistyped members are no errors, since later versions of a service may add and remove members.
template <class T>
T member_or(const nlohmann::json& object, std::string_view name, T fallback)
{
    if (!object.is_object() || !object.contains(name))
    {
        return fallback;
    }
    const nlohmann::json& member = object.find(name).value();
    if constexpr (std::is_same_v<T, bool>)
    {
        return member.is_boolean() ? member.get<bool>() : fallback;
    }
    else if constexpr (std::is_arithmetic_v<T>)
    {
        return member.is_number() ? member.get<T>() : fallback;
    }
    else
    {
        return member.is_string() ? member.get<T>() : fallback;
    }
}

} // namespace parsleyshift
