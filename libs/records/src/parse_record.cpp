#include <parsleyshift/records/parse_record.hpp> // parse_record

#include "record_readers.hpp" // record_readers

#include <optional> // optional
#include <regex>    // regex, regex_match
#include <string>   // string, to_string
#include <utility>  // move
#include <variant>  // visit

namespace parsleyshift
{
namespace
{

template <class Record>
void set_name(Record& record, const std::string& name)
{
    if constexpr (requires { record.name; })
    {
        record.name = decltype(record.name){name};
    }
}

template <class Record>
read_result<record_body> read_as(const raw_record& raw)
{
    auto parsed = detail::record_readers<Record>::reader_for(raw.schema).read_text(raw.body);
    if (!parsed)
    {
        return parsed.error();
    }
    Record record = std::move(parsed).value();
    set_name(record, raw.name);
    return record_body{std::move(record)};
}

read_result<record_body> read_body(record_kind kind, const raw_record& raw)
{
    switch (kind)
    {
    case record_kind::service:
        return read_as<service_record>(raw);
    case record_kind::customer:
        return read_as<customer_record>(raw);
    case record_kind::model:
        return read_as<model_record>(raw);
    case record_kind::priority:
        return read_as<priority_record>(raw);
    case record_kind::fleet:
        break;
    }
    return read_as<fleet_record>(raw);
}

record_body empty_record(record_kind kind)
{
    switch (kind)
    {
    case record_kind::service:
        return service_record{};
    case record_kind::customer:
        return customer_record{};
    case record_kind::model:
        return model_record{};
    case record_kind::priority:
        return priority_record{};
    case record_kind::fleet:
        break;
    }
    return fleet_record{};
}

/// An error in the kind, name, schema version or withdrawn flag of a record; the body is not read.
struct header_error
{
    error_kind kind;
    json_issue issue;
};

std::optional<header_error> check_header(const raw_record& raw)
{
    const auto kind = value_of<record_kind>(raw.kind);
    if (!kind.has_value())
    {
        return header_error{error_kind::unknown_name,
                            {"kind", "is not a record kind", "write service, customer, model, priority or fleet"}};
    }
    if (raw.schema < 1 || raw.schema > latest_record_schema)
    {
        return header_error{error_kind::unsupported_schema,
                            {"schema", "is version " + std::to_string(raw.schema) + ", which this build does not read",
                             "publish the record in schema 1 to " + std::to_string(latest_record_schema)}};
    }
    static const std::regex name_pattern{patterns::name.begin(), patterns::name.end()};
    // 63 is the length that patterns::name allows; it is checked first because std::regex recurses once per character.
    if (raw.name.size() > 63 || !std::regex_match(raw.name, name_pattern))
    {
        return header_error{error_kind::invalid_field,
                            {"name", "does not match the required pattern", "match " + std::string{patterns::name}}};
    }
    if (*kind == record_kind::fleet && raw.name != fleet_record_name)
    {
        return header_error{error_kind::invalid_field, {"name", "must be fleet", "rename the record"}};
    }
    if (raw.withdrawn)
    {
        return header_error{
            error_kind::invalid_field,
            {"withdrawn", "is true: the record was withdrawn and has no body", "publish the record again with a body"}};
    }
    return std::nullopt;
}

} // namespace

read_result<record_body> parse_record_with_issues(const raw_record& raw)
{
    if (auto rejected = check_header(raw))
    {
        json_issues issues;
        issues.add(rejected->issue.path, rejected->issue.reason, rejected->issue.remedy);
        return issues;
    }
    return read_body(*value_of<record_kind>(raw.kind), raw);
}

result<record_body> parse_record(const raw_record& raw)
{
    // The kind and the name are not validated yet; they are cut to keep the message short.
    const std::string label = raw.kind.substr(0, 64) + "/" + raw.name.substr(0, 64) + ": ";
    if (const auto rejected = check_header(raw))
    {
        return make_error(rejected->kind, label + rejected->issue.path + " " + rejected->issue.reason);
    }
    auto read = read_body(*value_of<record_kind>(raw.kind), raw);
    if (!read)
    {
        return make_error(error_kind::invalid_field, label + read.error().text());
    }
    return std::move(read).value();
}

std::string write_record(const record_body& body, int schema_version)
{
    const auto write = [schema_version]<class Record>(const Record& record)
    {
        return detail::record_readers<Record>::reader_for(schema_version).write(record).dump();
    };
    return std::visit(write, body);
}

std::string record_schema(record_kind kind, int schema_version)
{
    const auto get_schema = [schema_version]<class Record>(const Record&)
    {
        return detail::record_readers<Record>::reader_for(schema_version).schema();
    };
    nlohmann::json json_schema = std::visit(get_schema, empty_record(kind));
    json_schema["$schema"] = "https://json-schema.org/draft/2020-12/schema";
    json_schema["title"] = std::string{name_of(kind)} + " record, schema " + std::to_string(schema_version);
    return json_schema.dump(4) + "\n";
}

} // namespace parsleyshift
