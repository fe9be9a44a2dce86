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

/// @brief Regular expressions (ECMAScript) for the text fields of documents.
namespace patterns
{
inline constexpr std::string_view printable = "^[ -~]*$";
inline constexpr std::string_view name = "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$";
inline constexpr std::string_view name_or_empty = "^([A-Za-z0-9][A-Za-z0-9._-]{0,62})?$";
inline constexpr std::string_view sha256_or_empty = "^([0-9a-f]{64})?$";
/// IPv4 address and port; instances are reached by address, never by host name.
inline constexpr std::string_view address =
    "^(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])(\\.(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])){3}"
    ":(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[0-9]{1,4})$";
} // namespace patterns

/// @brief What one field allows; the reader and the JSON Schema are both made from it.
struct field_rule
{
    /// Meaning and unit, for the schema and the documentation.
    std::string_view about = "";
    bool required = false;
    /// Inclusive bounds of a number, in the field's unit.
    std::optional<double> minimum = std::nullopt;
    std::optional<double> maximum = std::nullopt;
    /// Regular expression for text.
    std::string_view pattern = patterns::printable;
    /// Longest text; kept small, since matching recurses over the text.
    std::size_t max_length = 256;
    /// Most elements of a list.
    std::size_t max_items = 1000;
};

namespace detail
{
bool read_text(const nlohmann::json& in, std::string& out, const std::string& path, const field_rule& rule,
               json_issues& issues);
bool read_number(const nlohmann::json& in, double& out, const std::string& path, const field_rule& rule,
                 json_issues& issues);
bool read_integer(const nlohmann::json& in, std::int64_t& out, const std::string& path, const field_rule& rule,
                  json_issues& issues);
nlohmann::json text_schema(const field_rule& rule);
nlohmann::json number_schema(const field_rule& rule, bool integer);
} // namespace detail

/// @brief Customization point: how a type is read, written and described; see the specializations below.
template <class V>
struct json_value;

template <>
struct json_value<std::string>
{
    static void read(const nlohmann::json& in, std::string& out, const std::string& path, const field_rule& rule,
                     json_issues& issues)
    {
        detail::read_text(in, out, path, rule, issues);
    }
    static nlohmann::json write(const std::string& value)
    {
        return value;
    }
    static nlohmann::json schema(const field_rule& rule)
    {
        return detail::text_schema(rule);
    }
};

template <class Tag>
struct json_value<strong_name<Tag>>
{
    static void read(const nlohmann::json& in, strong_name<Tag>& out, const std::string& path, const field_rule& rule,
                     json_issues& issues)
    {
        std::string text;
        if (detail::read_text(in, text, path, rule, issues))
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
        return detail::text_schema(rule);
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
        if (detail::read_integer(in, number, path, within_type(rule), issues))
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
        return detail::number_schema(within_type(rule), true);
    }

  private:
    /// Integers beyond 2^53 are not exact in the JSON of other languages.
    static field_rule within_type(field_rule rule)
    {
        constexpr double exact = 9007199254740992.0;
        constexpr auto lowest = static_cast<double>(std::numeric_limits<V>::min());
        constexpr auto highest = static_cast<double>(std::numeric_limits<V>::max());
        rule.minimum = rule.minimum.value_or(lowest < -exact ? -exact : lowest);
        rule.maximum = rule.maximum.value_or(highest > exact ? exact : highest);
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

/// Durations are whole milliseconds; the field's name ends in `_ms`.
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

/// Enumerators are written by the name in their table.
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

/// A list of values without duplicates; the rule's text and number bounds hold for each element.
template <class V>
struct json_value<std::vector<V>>
{
    static void read(const nlohmann::json& in, std::vector<V>& out, const std::string& path, const field_rule& rule,
                     json_issues& issues)
    {
        if (!in.is_array() || in.size() > rule.max_items)
        {
            issues.add(path, "must be a list of at most " + std::to_string(rule.max_items) + " elements",
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
            issues.add(path, "lists an element twice", "remove the duplicate");
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
