#include <parsleyshift/records/json_value.hpp> // field_rule, json_issues

#include <nlohmann/json.hpp> // json

#include <cmath>  // floor, isfinite
#include <map>    // map
#include <regex>  // regex, regex_match
#include <string> // string, to_string

namespace parsleyshift::detail
{
namespace
{

/// Caches compiled patterns per thread, because compiling a pattern costs far more than matching. The cache stays
/// small: patterns come only from the field rules.
bool matches(const std::string& text, std::string_view pattern)
{
    thread_local std::map<std::string_view, std::regex> compiled;
    auto cached = compiled.find(pattern);
    if (cached == compiled.end())
    {
        cached = compiled.emplace(pattern, std::regex{pattern.begin(), pattern.end()}).first;
    }
    return std::regex_match(text, cached->second);
}

std::string format_number(double number)
{
    return nlohmann::json(number == std::floor(number) ? nlohmann::json(static_cast<std::int64_t>(number))
                                                       : nlohmann::json(number))
        .dump();
}

std::string range_remedy(const field_rule& rule)
{
    std::string text = "write a number";
    if (rule.minimum.has_value())
    {
        text += " of at least " + format_number(*rule.minimum);
    }
    if (rule.maximum.has_value())
    {
        text += std::string{rule.minimum.has_value() ? " and" : " of"} + " at most " + format_number(*rule.maximum);
    }
    return text;
}

} // namespace

bool read_string(const nlohmann::json& in, std::string& out, const std::string& path, const field_rule& rule,
                 json_issues& issues)
{
    const auto* text = in.get_ptr<const std::string*>();
    if (text == nullptr)
    {
        issues.add(path, "must be a string", "write the value in double quotes");
        return false;
    }
    if (text->size() > rule.max_length)
    {
        issues.add(path, "is longer than " + std::to_string(rule.max_length) + " characters", "shorten the string");
        return false;
    }
    if (!matches(*text, rule.pattern))
    {
        issues.add(path, "does not match the required pattern", "match " + std::string{rule.pattern});
        return false;
    }
    out = *text;
    return true;
}

bool read_number(const nlohmann::json& in, double& out, const std::string& path, const field_rule& rule,
                 json_issues& issues)
{
    if (!in.is_number())
    {
        issues.add(path, "must be a number", range_remedy(rule));
        return false;
    }
    const auto number = in.get<double>();
    const bool below = rule.minimum.has_value() && number < *rule.minimum;
    const bool above = rule.maximum.has_value() && number > *rule.maximum;
    if (!std::isfinite(number) || below || above)
    {
        issues.add(path, "is out of range", range_remedy(rule));
        return false;
    }
    out = number;
    return true;
}

bool read_integer(const nlohmann::json& in, std::int64_t& out, const std::string& path, const field_rule& rule,
                  json_issues& issues)
{
    double number = 0;
    if (!read_number(in, number, path, rule, issues))
    {
        return false;
    }
    if (number != std::floor(number))
    {
        issues.add(path, "must be a whole number", range_remedy(rule));
        return false;
    }
    // The bounds of an integer rule are within +-2^53, where a double is exact.
    out = static_cast<std::int64_t>(number);
    return true;
}

nlohmann::json string_schema(const field_rule& rule)
{
    return {{"type", "string"}, {"maxLength", rule.max_length}, {"pattern", std::string{rule.pattern}}};
}

nlohmann::json number_schema(const field_rule& rule, bool integer)
{
    const auto bound = [integer](double value)
    {
        return integer ? nlohmann::json(static_cast<std::int64_t>(value)) : nlohmann::json(value);
    };
    nlohmann::json schema{{"type", integer ? "integer" : "number"}};
    if (rule.minimum.has_value())
    {
        schema["minimum"] = bound(*rule.minimum);
    }
    if (rule.maximum.has_value())
    {
        schema["maximum"] = bound(*rule.maximum);
    }
    return schema;
}

} // namespace parsleyshift::detail
