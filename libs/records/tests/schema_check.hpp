#pragma once

#include <nlohmann/json.hpp> // json

#include <cmath>  // floor
#include <regex>  // regex, regex_match
#include <set>    // set
#include <string> // string

/// @brief Validates a document against a JSON Schema, independently of json_reader. Supports only the keywords that the
/// generated schemas use.
class schema_check
{
  public:
    using json = nlohmann::json;

    /// @brief Whether the value is valid under the schema.
    static bool accepts(const json& schema, const json& value)
    {
        return matches_type(schema, value) && matches_enum(schema, value) && matches_number(schema, value) &&
               matches_string(schema, value) && matches_array(schema, value) && matches_object(schema, value);
    }

  private:
    static bool matches_type(const json& schema, const json& value)
    {
        const std::string type = schema.at("type");
        if (type == "integer")
        {
            return value.is_number() && value.get<double>() == std::floor(value.get<double>());
        }
        return (type == "number" && value.is_number()) || (type == "string" && value.is_string()) ||
               (type == "boolean" && value.is_boolean()) || (type == "array" && value.is_array()) ||
               (type == "object" && value.is_object());
    }
    static bool matches_enum(const json& schema, const json& value)
    {
        const auto names = schema.find("enum");
        return names == schema.end() || std::find(names->begin(), names->end(), value) != names->end();
    }
    static bool matches_number(const json& schema, const json& value)
    {
        if (!value.is_number())
        {
            return true;
        }
        const auto number = value.get<double>();
        return (!schema.contains("minimum") || number >= schema["minimum"].get<double>()) &&
               (!schema.contains("maximum") || number <= schema["maximum"].get<double>());
    }
    static bool matches_string(const json& schema, const json& value)
    {
        if (!value.is_string() || !schema.contains("pattern"))
        {
            return true;
        }
        const auto text = value.get<std::string>();
        return text.size() <= schema.at("maxLength").get<std::size_t>() &&
               std::regex_match(text, std::regex{schema.at("pattern").get<std::string>()});
    }
    static bool matches_array(const json& schema, const json& value)
    {
        if (!value.is_array())
        {
            return true;
        }
        const std::set<json> distinct(value.begin(), value.end());
        const bool unique = !schema.value("uniqueItems", false) || distinct.size() == value.size();
        const auto accepted = [&schema](const json& item)
        {
            return accepts(schema.at("items"), item);
        };
        return unique && value.size() <= schema.at("maxItems").get<std::size_t>() &&
               std::all_of(value.begin(), value.end(), accepted);
    }
    static bool matches_object(const json& schema, const json& value)
    {
        if (!value.is_object())
        {
            return true;
        }
        for (const auto& required : schema.at("required"))
        {
            if (!value.contains(required.get<std::string>()))
            {
                return false;
            }
        }
        for (const auto& item : value.items())
        {
            const auto property = schema.at("properties").find(item.key());
            if (property == schema.at("properties").end() || !accepts(*property, item.value()))
            {
                return false;
            }
        }
        return true;
    }
};
