#pragma once

#include <parsleyshift/records/json_issue.hpp> // json_issues, read_result
#include <parsleyshift/records/json_text.hpp>  // parse_json, json_bounds
#include <parsleyshift/records/json_value.hpp> // json_value, field_rule

#include <nlohmann/json.hpp> // json

#include <algorithm>   // none_of
#include <cstddef>     // size_t
#include <functional>  // function
#include <string>      // string, to_string
#include <string_view> // string_view
#include <utility>     // move
#include <vector>      // vector

namespace parsleyshift
{

/// @brief Strict reader, writer and JSON Schema generator for one type of object, driven by one list of fields.
///
/// Reading reports every issue with its path, not only the first one; an unknown key is an issue. An absent optional
/// field keeps the value that it has in a default-constructed T.
/// @code
/// const auto reader = json_reader<customer_record>{"A customer."}
///                         .field("weight", &customer_record::weight,
///                                {.description = "Relative share.", .minimum = 0.001});
/// read_result<customer_record> customer = reader.read_text(text);
/// @endcode
/// @tparam T a default-constructible struct
template <class T>
class json_reader
{
  public:
    /// @param description text of the object in the JSON Schema
    explicit json_reader(std::string description) : description_(std::move(description)) {}

    /// @brief Adds a field stored in a data member. @param name key in the object
    template <class V>
    json_reader& field(std::string_view name, V T::*member, field_rule rule)
    {
        return field_with_accessors<V>(
            name, [member](const T& from) { return from.*member; },
            [member](T& into, V value) { into.*member = std::move(value); }, rule);
    }
    /// @brief Adds a field that is read and written through accessor functions. Reading starts with the value of `get`,
    /// which an invalid value leaves unchanged, and stores the result with `set`.
    template <class V>
    json_reader& field_with_accessors(std::string_view name, std::function<V(const T&)> get,
                                      std::function<void(T&, V)> set, field_rule rule)
    {
        field_entry new_entry{std::string{name}, rule.required, {}, {}, {}};
        new_entry.read =
            [get, set, rule](const nlohmann::json& in, T& out, const std::string& path, json_issues& issues)
        {
            V value = get(out);
            json_value<V>::read(in, value, path, rule, issues);
            set(out, std::move(value));
        };
        new_entry.write = [get](const T& from)
        {
            return json_value<V>::write(get(from));
        };
        new_entry.schema = [rule]
        {
            nlohmann::json schema = json_value<V>::schema(rule);
            schema["description"] = std::string{rule.description};
            return schema;
        };
        fields_.push_back(std::move(new_entry));
        return *this;
    }
    /// @brief Adds a nested JSON object whose fields are data members of T itself.
    /// @param required whether the object must be present
    json_reader& nested_fields(std::string_view name, json_reader nested, bool required = false)
    {
        field_entry new_entry{std::string{name}, required, {}, {}, {}};
        new_entry.read = [nested](const nlohmann::json& in, T& out, const std::string& path, json_issues& issues)
        {
            nested.read(in, out, path, issues);
        };
        new_entry.write = [nested](const T& from)
        {
            return nested.write(from);
        };
        new_entry.schema = [nested]
        {
            return nested.schema();
        };
        fields_.push_back(std::move(new_entry));
        return *this;
    }
    /// @brief Adds an optional nested JSON object stored in a data member.
    template <class M>
    json_reader& nested_object(std::string_view name, M T::*member, json_reader<M> nested)
    {
        field_entry new_entry{std::string{name}, false, {}, {}, {}};
        new_entry.read =
            [nested, member](const nlohmann::json& in, T& out, const std::string& path, json_issues& issues)
        {
            nested.read(in, out.*member, path, issues);
        };
        new_entry.write = [nested, member](const T& from)
        {
            return nested.write(from.*member);
        };
        new_entry.schema = [nested]
        {
            return nested.schema();
        };
        fields_.push_back(std::move(new_entry));
        return *this;
    }
    /// @brief Adds an array of objects stored in a data member.
    template <class M>
    json_reader& list(std::string_view name, std::vector<M> T::*member, json_reader<M> nested, field_rule rule)
    {
        field_entry new_entry{std::string{name}, rule.required, {}, {}, {}};
        new_entry.read =
            [nested, member, rule](const nlohmann::json& in, T& out, const std::string& path, json_issues& issues)
        {
            read_list(nested, in, out.*member, path, rule, issues);
        };
        new_entry.write = [nested, member](const T& from)
        {
            nlohmann::json list = nlohmann::json::array();
            for (const M& element : from.*member)
            {
                list.push_back(nested.write(element));
            }
            return list;
        };
        new_entry.schema = [nested, rule]
        {
            return nlohmann::json{{"type", "array"},
                                  {"items", nested.schema()},
                                  {"maxItems", rule.max_items},
                                  {"description", std::string{rule.description}}};
        };
        fields_.push_back(std::move(new_entry));
        return *this;
    }
    /// @brief Adds a condition over several fields, checked only if every field is valid on its own. JSON Schema cannot
    /// express it, so the schema lists it in its `$comment`.
    /// @param path path of the issue, relative to the object
    json_reader& condition(std::function<bool(const T&)> holds, std::string path, std::string reason,
                           std::string remedy)
    {
        conditions_.push_back({std::move(holds), {std::move(path), std::move(reason), std::move(remedy)}});
        return *this;
    }

    /// @brief Reads an object and appends every issue to `issues`. Linear in the number of keys times the number of
    /// fields.
    /// @param out fields without a key in the object keep their value
    /// @param path path of the object in the document, empty for the document itself
    void read(const nlohmann::json& in, T& out, const std::string& path, json_issues& issues) const
    {
        if (!in.is_object())
        {
            issues.add(path, "must be an object", "write a JSON object");
            return;
        }
        const std::size_t issue_count_before = issues.all().size();
        report_unknown_keys(in, path, issues);
        for (const field_entry& entry : fields_)
        {
            const auto found = in.find(entry.name);
            if (found != in.end())
            {
                entry.read(*found, out, join(path, entry.name), issues);
            }
            else if (entry.required)
            {
                issues.add(join(path, entry.name), "is missing", "add the field");
            }
        }
        if (issues.all().size() == issue_count_before)
        {
            report_conditions(out, path, issues);
        }
    }
    /// @brief Reads a parsed document into a default-constructed T.
    [[nodiscard]] read_result<T> read_document(const nlohmann::json& document) const
    {
        T out{};
        json_issues issues;
        read(document, out, "", issues);
        if (!issues.empty())
        {
            return issues;
        }
        return out;
    }
    /// @brief Parses JSON text within the bounds and reads it. Never throws.
    [[nodiscard]] read_result<T> read_text(std::string_view text, const json_bounds& bounds = {}) const
    {
        const auto parsed = parse_json(text, bounds);
        if (!parsed)
        {
            return parsed.error();
        }
        return read_document(parsed.value());
    }
    /// @brief Writes an object with all fields; empty optionals are omitted.
    [[nodiscard]] nlohmann::json write(const T& from) const
    {
        nlohmann::json out = nlohmann::json::object();
        for (const field_entry& entry : fields_)
        {
            nlohmann::json value = entry.write(from);
            if (!value.is_null())
            {
                out[entry.name] = std::move(value);
            }
        }
        return out;
    }
    /// @brief JSON Schema (draft 2020-12) of the object; the defaults are those of a default-constructed T.
    [[nodiscard]] nlohmann::json schema() const
    {
        nlohmann::json properties = nlohmann::json::object();
        nlohmann::json required = nlohmann::json::array();
        const T defaults{};
        for (const field_entry& entry : fields_)
        {
            nlohmann::json field_schema = entry.schema();
            add_default(field_schema, entry, defaults);
            properties[entry.name] = std::move(field_schema);
            if (entry.required)
            {
                required.push_back(entry.name);
            }
        }
        nlohmann::json out{{"type", "object"},
                           {"description", description_},
                           {"properties", properties},
                           {"required", required},
                           {"additionalProperties", false}};
        for (const auto& condition : conditions_)
        {
            out["$comment"] = out.value("$comment", std::string{"Further conditions:"}) + " " + condition.issue.path +
                              " " + condition.issue.reason + ".";
        }
        return out;
    }

  private:
    struct field_entry
    {
        std::string name;
        bool required = false;
        std::function<void(const nlohmann::json&, T&, const std::string&, json_issues&)> read;
        std::function<nlohmann::json(const T&)> write;
        std::function<nlohmann::json()> schema;
    };
    struct checked_condition
    {
        std::function<bool(const T&)> holds;
        /// Reported when the condition does not hold.
        json_issue issue;
    };

    static std::string join(const std::string& path, const std::string& name)
    {
        return path.empty() || name.empty() ? path + name : path + "." + name;
    }
    template <class M>
    static void read_list(const json_reader<M>& nested, const nlohmann::json& in, std::vector<M>& out,
                          const std::string& path, const field_rule& rule, json_issues& issues)
    {
        if (!in.is_array() || in.size() > rule.max_items)
        {
            issues.add(path, "must be an array of at most " + std::to_string(rule.max_items) + " objects",
                       "write a JSON array of that size");
            return;
        }
        out.clear();
        for (std::size_t index = 0; index < in.size(); ++index)
        {
            M element{};
            nested.read(in[index], element, path + "[" + std::to_string(index) + "]", issues);
            out.push_back(std::move(element));
        }
    }
    static void add_default(nlohmann::json& field_schema, const field_entry& entry, const T& defaults)
    {
        const nlohmann::json value = entry.write(defaults);
        if (!entry.required && !value.is_null() && !value.is_object())
        {
            field_schema["default"] = value;
        }
    }
    void report_unknown_keys(const nlohmann::json& in, const std::string& path, json_issues& issues) const
    {
        for (const auto& item : in.items())
        {
            const auto same_name = [&item](const field_entry& entry)
            {
                return entry.name == item.key();
            };
            if (std::none_of(fields_.begin(), fields_.end(), same_name))
            {
                // Cut to keep the message short.
                issues.add(join(path, item.key().substr(0, 64)), "is not a known field", "remove or rename it");
            }
        }
    }
    void report_conditions(const T& out, const std::string& path, json_issues& issues) const
    {
        for (const auto& condition : conditions_)
        {
            if (!condition.holds(out))
            {
                issues.add(join(path, condition.issue.path), condition.issue.reason, condition.issue.remedy);
            }
        }
    }

    std::string description_;
    std::vector<field_entry> fields_;
    std::vector<checked_condition> conditions_;
};

} // namespace parsleyshift
