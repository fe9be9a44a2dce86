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

/// @brief Strict reader, writer and JSON Schema of one kind of object, all made from one table of fields.
///
/// Reading collects every mistake with its path; unknown keys are mistakes. Absent optional fields keep the
/// value that they have in a default-constructed T.
/// @code
/// const auto reader = json_reader<customer_record>{"A customer."}
///                         .field("weight", &customer_record::weight, {.about = "Relative share.", .minimum = 0.001});
/// read_result<customer_record> customer = reader.read_text(text);
/// @endcode
/// @tparam T a default-constructible struct
template <class T>
class json_reader
{
  public:
    explicit json_reader(std::string about) : about_(std::move(about)) {}

    /// @brief Adds a field that one member holds. @param name key in the object
    template <class V>
    json_reader& field(std::string_view name, V T::*member, field_rule rule)
    {
        return computed<V>(
            name, [member](const T& from) { return from.*member; },
            [member](T& into, V value) { into.*member = std::move(value); }, rule);
    }
    /// @brief Adds a field that is written and read through functions.
    template <class V>
    json_reader& computed(std::string_view name, std::function<V(const T&)> get, std::function<void(T&, V)> set,
                          field_rule rule)
    {
        entry added{std::string{name}, rule.required, {}, {}, {}};
        added.read = [get, set, rule](const nlohmann::json& in, T& out, const std::string& path, json_issues& issues)
        {
            V value = get(out);
            json_value<V>::read(in, value, path, rule, issues);
            set(out, std::move(value));
        };
        added.write = [get](const T& from)
        {
            return json_value<V>::write(get(from));
        };
        added.schema = [rule]
        {
            nlohmann::json schema = json_value<V>::schema(rule);
            schema["description"] = std::string{rule.about};
            return schema;
        };
        fields_.push_back(std::move(added));
        return *this;
    }
    /// @brief Adds a nested object whose fields are members of the same struct.
    /// @param required the object must be present
    json_reader& group(std::string_view name, json_reader nested, bool required = false)
    {
        entry added{std::string{name}, required, {}, {}, {}};
        added.read = [nested](const nlohmann::json& in, T& out, const std::string& path, json_issues& issues)
        {
            nested.read(in, out, path, issues);
        };
        added.write = [nested](const T& from)
        {
            return nested.write(from);
        };
        added.schema = [nested]
        {
            return nested.schema();
        };
        fields_.push_back(std::move(added));
        return *this;
    }
    /// @brief Adds a nested object that one member holds.
    template <class M>
    json_reader& object(std::string_view name, M T::*member, json_reader<M> nested)
    {
        entry added{std::string{name}, false, {}, {}, {}};
        added.read = [nested, member](const nlohmann::json& in, T& out, const std::string& path, json_issues& issues)
        {
            nested.read(in, out.*member, path, issues);
        };
        added.write = [nested, member](const T& from)
        {
            return nested.write(from.*member);
        };
        added.schema = [nested]
        {
            return nested.schema();
        };
        fields_.push_back(std::move(added));
        return *this;
    }
    /// @brief Adds a list of objects.
    template <class M>
    json_reader& list(std::string_view name, std::vector<M> T::*member, json_reader<M> nested, field_rule rule)
    {
        entry added{std::string{name}, rule.required, {}, {}, {}};
        added.read =
            [nested, member, rule](const nlohmann::json& in, T& out, const std::string& path, json_issues& issues)
        {
            read_list(nested, in, out.*member, path, rule, issues);
        };
        added.write = [nested, member](const T& from)
        {
            nlohmann::json list = nlohmann::json::array();
            for (const M& element : from.*member)
            {
                list.push_back(nested.write(element));
            }
            return list;
        };
        added.schema = [nested, rule]
        {
            return nlohmann::json{{"type", "array"},
                                  {"items", nested.schema()},
                                  {"maxItems", rule.max_items},
                                  {"description", std::string{rule.about}}};
        };
        fields_.push_back(std::move(added));
        return *this;
    }
    /// @brief Adds a condition over several fields, checked when each field alone is correct. JSON Schema cannot
    /// state it, so the schema carries the reason as a comment.
    json_reader& condition(std::function<bool(const T&)> holds, std::string path, std::string reason,
                           std::string remedy)
    {
        conditions_.push_back({std::move(holds), {std::move(path), std::move(reason), std::move(remedy)}});
        return *this;
    }

    /// @brief Reads an object; mistakes are added to the issues. Linear in the size of the object.
    /// @param path place of the object in the document, empty for the document itself
    void read(const nlohmann::json& in, T& out, const std::string& path, json_issues& issues) const
    {
        if (!in.is_object())
        {
            issues.add(path, "must be an object", "write a JSON object");
            return;
        }
        const std::size_t before = issues.all().size();
        report_unknown_keys(in, path, issues);
        for (const entry& known : fields_)
        {
            const auto found = in.find(known.name);
            if (found != in.end())
            {
                known.read(*found, out, join(path, known.name), issues);
            }
            else if (known.required)
            {
                issues.add(join(path, known.name), "is missing", "add the field");
            }
        }
        if (issues.all().size() == before)
        {
            report_conditions(out, path, issues);
        }
    }
    /// @brief Reads a document into a default-constructed struct.
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
    /// @brief Parses and reads text within bounds; never throws.
    [[nodiscard]] read_result<T> read_text(std::string_view text, const json_bounds& bounds = {}) const
    {
        const auto parsed = parse_json(text, bounds);
        if (!parsed)
        {
            return parsed.error();
        }
        return read_document(parsed.value());
    }
    /// @brief The object with all fields; empty optionals are left out.
    [[nodiscard]] nlohmann::json write(const T& from) const
    {
        nlohmann::json out = nlohmann::json::object();
        for (const entry& known : fields_)
        {
            nlohmann::json value = known.write(from);
            if (!value.is_null())
            {
                out[known.name] = std::move(value);
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
        for (const entry& known : fields_)
        {
            nlohmann::json field = known.schema();
            add_default(field, known, defaults);
            properties[known.name] = std::move(field);
            if (known.required)
            {
                required.push_back(known.name);
            }
        }
        nlohmann::json out{{"type", "object"},
                           {"description", about_},
                           {"properties", properties},
                           {"required", required},
                           {"additionalProperties", false}};
        for (const auto& each : conditions_)
        {
            out["$comment"] = out.value("$comment", std::string{"Further conditions:"}) + " " + each.broken.path + " " +
                              each.broken.reason + ".";
        }
        return out;
    }

  private:
    struct entry
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
        json_issue broken;
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
            issues.add(path, "must be a list of at most " + std::to_string(rule.max_items) + " objects",
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
    static void add_default(nlohmann::json& field, const entry& known, const T& defaults)
    {
        const nlohmann::json value = known.write(defaults);
        if (!known.required && !value.is_null() && !value.is_object())
        {
            field["default"] = value;
        }
    }
    void report_unknown_keys(const nlohmann::json& in, const std::string& path, json_issues& issues) const
    {
        for (const auto& item : in.items())
        {
            const auto same_name = [&item](const entry& known)
            {
                return known.name == item.key();
            };
            if (std::none_of(fields_.begin(), fields_.end(), same_name))
            {
                issues.add(join(path, item.key().substr(0, 64)), "is not a known field", "remove or rename it");
            }
        }
    }
    void report_conditions(const T& out, const std::string& path, json_issues& issues) const
    {
        for (const auto& each : conditions_)
        {
            if (!each.holds(out))
            {
                issues.add(join(path, each.broken.path), each.broken.reason, each.broken.remedy);
            }
        }
    }

    std::string about_;
    std::vector<entry> fields_;
    std::vector<checked_condition> conditions_;
};

} // namespace parsleyshift
