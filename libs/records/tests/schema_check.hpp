#pragma once

#include <nlohmann/json.hpp> // json

#include <cmath>  // floor
#include <regex>  // regex, regex_match
#include <set>    // set
#include <string> // string

/// @brief Judges a document by a JSON Schema, independently of the reader; knows the keywords that our schemas use.
class schema_check
{
  public:
    using json = nlohmann::json;

    static bool accepts(const json& schema, const json& value)
    {
        return has_type(schema, value) && within_enum(schema, value) && within_numbers(schema, value) &&
               within_text(schema, value) && within_list(schema, value) && within_object(schema, value);
    }

  private:
    static bool has_type(const json& schema, const json& value)
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
    static bool within_enum(const json& schema, const json& value)
    {
        const auto names = schema.find("enum");
        return names == schema.end() || std::find(names->begin(), names->end(), value) != names->end();
    }
    static bool within_numbers(const json& schema, const json& value)
    {
        if (!value.is_number())
        {
            return true;
        }
        const auto number = value.get<double>();
        return (!schema.contains("minimum") || number >= schema["minimum"].get<double>()) &&
               (!schema.contains("maximum") || number <= schema["maximum"].get<double>());
    }
    static bool within_text(const json& schema, const json& value)
    {
        if (!value.is_string() || !schema.contains("pattern"))
        {
            return true;
        }
        const auto text = value.get<std::string>();
        return text.size() <= schema.at("maxLength").get<std::size_t>() &&
               std::regex_match(text, std::regex{schema.at("pattern").get<std::string>()});
    }
    static bool within_list(const json& schema, const json& value)
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
    static bool within_object(const json& schema, const json& value)
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
            const auto known = schema.at("properties").find(item.key());
            if (known == schema.at("properties").end() || !accepts(*known, item.value()))
            {
                return false;
            }
        }
        return true;
    }
};
