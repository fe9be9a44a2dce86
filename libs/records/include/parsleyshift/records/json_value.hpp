#pragma once

#include <parsleyshift/core/clock.hpp>         // duration
#include <parsleyshift/core/name_table.hpp>    // enum_names
#include <parsleyshift/core/strong_id.hpp>     // strong_name
#include <parsleyshift/records/json_issue.hpp> // json_issues

#include <nlohmann/json.hpp> // json

#include <algorithm>   // adjacent_find, sort
#include <concepts>    // integral
#include <cstddef>     // size_t
#include <cstdint>     // int64_t
#include <limits>      // numeric_limits
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <type_traits> // is_enum_v
#include <utility>     // move
#include <vector>      // vector

namespace parsleyshift
{

/// @brief Regular expressions (ECMAScript) for string fields; a value must match as a whole.
namespace patterns
{
/// Printable ASCII, also empty.
inline constexpr std::string_view printable = "^[ -~]*$";
/// Name of a record, model, zone and the like; at most 63 characters.
inline constexpr std::string_view name = "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$";
inline constexpr std::string_view name_or_empty = "^([A-Za-z0-9][A-Za-z0-9._-]{0,62})?$";
inline constexpr std::string_view sha256_or_empty = "^([0-9a-f]{64})?$";
/// IPv4 address and port; host names are not resolved.
inline constexpr std::string_view address =
    "^(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])(\\.(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])){3}"
    ":(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[0-9]{1,4})$";
} // namespace patterns

/// @brief Constraints on one field; used both by the reader and by the JSON Schema.
struct field_rule
{
    /// Meaning and unit, the `description` in the JSON Schema.
    std::string_view description;
    bool required = false;
    /// Inclusive bounds of a number, in the field's unit.
    std::optional<double> minimum = std::nullopt;
    std::optional<double> maximum = std::nullopt;
    /// Regular expression that a string must match as a whole.
    std::string_view pattern = patterns::printable;
    /// Largest size of a string, in bytes; kept small because std::regex recurses once per character.
    std::size_t max_length = 256;
    /// Largest number of elements of an array.
    std::size_t max_items = 1000;
};

namespace detail
{
// Each read function checks the rule; on failure it adds an issue, leaves `out` unchanged and returns false.
bool read_string(const nlohmann::json& in, std::string& out, const std::string& path, const field_rule& rule,
                 json_issues& issues);
bool read_number(const nlohmann::json& in, double& out, const std::string& path, const field_rule& rule,
                 json_issues& issues);
bool read_integer(const nlohmann::json& in, std::int64_t& out, const std::string& path, const field_rule& rule,
                  json_issues& issues);
nlohmann::json string_schema(const field_rule& rule);
nlohmann::json number_schema(const field_rule& rule, bool integer);
} // namespace detail

/// @brief Customization point: reads and writes a type and gives its JSON Schema. A specialization has the static
/// functions read, write and schema; on failure read adds an issue.
template <class V>
struct json_value;

template <>
struct json_value<std::string>
{
    static void read(const nlohmann::json& in, std::string& out, const std::string& path, const field_rule& rule,
                     json_issues& issues)
    {
        detail::read_string(in, out, path, rule, issues);
    }
    static nlohmann::json write(const std::string& value)
    {
        return value;
    }
    static nlohmann::json schema(const field_rule& rule)
    {
        return detail::string_schema(rule);
    }
};

template <class Tag>
struct json_value<strong_name<Tag>>
{
    static void read(const nlohmann::json& in, strong_name<Tag>& out, const std::string& path, const field_rule& rule,
                     json_issues& issues)
    {
        std::string text;
        if (detail::read_string(in, text, path, rule, issues))
        {
            out = strong_name<Tag>{std::move(text)};
        }
    }
    static nlohmann::json write(const strong_name<Tag>& value)
    {
        return value.value();
    }
    static nlohmann::json schema(const field_rule& rule)
    {
        return detail::string_schema(rule);
    }
};

template <>
struct json_value<bool>
{
    static void read(const nlohmann::json& in, bool& out, const std::string& path, const field_rule& /*rule*/,
                     json_issues& issues)
    {
        if (!in.is_boolean())
        {
            issues.add(path, "must be true or false", "write true or false without quotes");
            return;
        }
        out = in.get<bool>();
    }
    static nlohmann::json write(bool value)
    {
        return value;
    }
    static nlohmann::json schema(const field_rule& /*rule*/)
    {
        return {{"type", "boolean"}};
    }
};

template <std::integral V>
struct json_value<V>
{
    static void read(const nlohmann::json& in, V& out, const std::string& path, const field_rule& rule,
                     json_issues& issues)
    {
        std::int64_t number = 0;
        if (detail::read_integer(in, number, path, with_default_bounds(rule), issues))
        {
            out = static_cast<V>(number);
        }
    }
    static nlohmann::json write(V value)
    {
        return value;
    }
    static nlohmann::json schema(const field_rule& rule)
    {
        return detail::number_schema(with_default_bounds(rule), true);
    }

  private:
    /// The rule with missing bounds set to the range of V, at most +-2^53: JSON parsers that store numbers as doubles
    /// round larger integers.
    static field_rule with_default_bounds(field_rule rule)
    {
        constexpr double max_exact = 9007199254740992.0;
        constexpr auto lowest = static_cast<double>(std::numeric_limits<V>::min());
        constexpr auto highest = static_cast<double>(std::numeric_limits<V>::max());
        rule.minimum = rule.minimum.value_or(lowest < -max_exact ? -max_exact : lowest);
        rule.maximum = rule.maximum.value_or(highest > max_exact ? max_exact : highest);
        return rule;
    }
};

template <>
struct json_value<double>
{
    static void read(const nlohmann::json& in, double& out, const std::string& path, const field_rule& rule,
                     json_issues& issues)
    {
        detail::read_number(in, out, path, rule, issues);
    }
    static nlohmann::json write(double value)
    {
        return value;
    }
    static nlohmann::json schema(const field_rule& rule)
    {
        return detail::number_schema(rule, false);
    }
};

/// Durations are whole milliseconds; the key of the field ends in `_ms`.
template <>
struct json_value<duration>
{
    static void read(const nlohmann::json& in, duration& out, const std::string& path, const field_rule& rule,
                     json_issues& issues)
    {
        std::int64_t milliseconds = out.count();
        json_value<std::int64_t>::read(in, milliseconds, path, rule, issues);
        out = duration{milliseconds};
    }
    static nlohmann::json write(duration value)
    {
        return value.count();
    }
    static nlohmann::json schema(const field_rule& rule)
    {
        return json_value<std::int64_t>::schema(rule);
    }
};

/// Enumerators are written as their names in enum_names.
template <class Enum>
requires std::is_enum_v<Enum>
struct json_value<Enum>
{
    static void read(const nlohmann::json& in, Enum& out, const std::string& path, const field_rule& /*rule*/,
                     json_issues& issues)
    {
        const auto* text = in.get_ptr<const std::string*>();
        const auto value = text == nullptr ? std::nullopt : value_of<Enum>(*text);
        if (!value.has_value())
        {
            issues.add(path, "is not one of the allowed names", "write one of " + schema({}).at("enum").dump());
            return;
        }
        out = *value;
    }
    static nlohmann::json write(Enum value)
    {
        return std::string{name_of(value)};
    }
    static nlohmann::json schema(const field_rule& /*rule*/)
    {
        nlohmann::json names = nlohmann::json::array();
        for (const auto& row : enum_names<Enum>::rows)
        {
            names.push_back(std::string{row.name});
        }
        return {{"type", "string"}, {"enum", names}};
    }
};

/// An array of distinct values; the rule's string and number constraints apply to each element.
template <class V>
struct json_value<std::vector<V>>
{
    static void read(const nlohmann::json& in, std::vector<V>& out, const std::string& path, const field_rule& rule,
                     json_issues& issues)
    {
        if (!in.is_array() || in.size() > rule.max_items)
        {
            issues.add(path, "must be an array of at most " + std::to_string(rule.max_items) + " elements",
                       "write a JSON array of that size");
            return;
        }
        out.clear();
        for (std::size_t index = 0; index < in.size(); ++index)
        {
            V element{};
            json_value<V>::read(in[index], element, path + "[" + std::to_string(index) + "]", rule, issues);
            out.push_back(std::move(element));
        }
        report_duplicates(in, path, issues);
    }
    static nlohmann::json write(const std::vector<V>& values)
    {
        nlohmann::json list = nlohmann::json::array();
        for (const V& value : values)
        {
            list.push_back(json_value<V>::write(value));
        }
        return list;
    }
    static nlohmann::json schema(const field_rule& rule)
    {
        return {{"type", "array"},
                {"items", json_value<V>::schema(rule)},
                {"maxItems", rule.max_items},
                {"uniqueItems", true}};
    }

  private:
    static void report_duplicates(const nlohmann::json& in, const std::string& path, json_issues& issues)
    {
        std::vector<nlohmann::json> sorted = in.get<std::vector<nlohmann::json>>();
        std::sort(sorted.begin(), sorted.end());
        if (std::adjacent_find(sorted.begin(), sorted.end()) != sorted.end())
        {
            issues.add(path, "contains an element twice", "remove the duplicate");
        }
    }
};

/// An absent field leaves the optional empty.
template <class V>
struct json_value<std::optional<V>>
{
    static void read(const nlohmann::json& in, std::optional<V>& out, const std::string& path, const field_rule& rule,
                     json_issues& issues)
    {
        V value{};
        json_value<V>::read(in, value, path, rule, issues);
        out = std::move(value);
    }
    static nlohmann::json write(const std::optional<V>& value)
    {
        return value.has_value() ? json_value<V>::write(*value) : nlohmann::json{};
    }
    static nlohmann::json schema(const field_rule& rule)
    {
        return json_value<V>::schema(rule);
    }
};

} // namespace parsleyshift
