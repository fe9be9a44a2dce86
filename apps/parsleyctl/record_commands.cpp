#include "command.hpp" // command_line

#include <parsleyshift/client/json_member.hpp>    // member_or
#include <parsleyshift/records/check_records.hpp> // check_records
#include <parsleyshift/records/parse_record.hpp>  // parse_record, record_schema
#include <parsleyshift/records/read_settings.hpp> // settings_schema
#include <parsleyshift/records/record_files.hpp>  // read_record_files

#include <filesystem> // path
#include <fstream>    // ofstream
#include <iostream>   // cout, cerr
#include <map>        // map
#include <stdexcept>  // invalid_argument

namespace parsleyshift::ctl
{
namespace
{

std::vector<raw_record> records_of(const command_line& line)
{
    auto records = read_record_files(line.needed("folder"));
    if (!records)
    {
        throw std::invalid_argument{records.error().message()};
    }
    return std::move(records).value();
}

void add_folder(command_line& line)
{
    line.options().add_options()("folder", "folder of record files", cxxopts::value<std::string>()->default_value(""));
    line.options().parse_positional({"folder"});
    line.options().positional_help("FOLDER");
}

void print_finding(const command_line& line, const record_finding& finding)
{
    if (line.json())
    {
        std::cout << nlohmann::json{{"grade", std::string{name_of(finding.grade)}},
                                    {"kind", finding.kind},
                                    {"name", finding.name},
                                    {"path", finding.issue.path},
                                    {"reason", finding.issue.reason},
                                    {"remedy", finding.issue.remedy}}
                  << "\n";
        return;
    }
    std::cout << name_of(finding.grade) << ": " << finding.kind << "/" << finding.name << " " << finding.issue.path
              << " " << finding.issue.reason << "; " << finding.issue.remedy << "\n";
}

/// Text that is equal for records that mean the same, whatever their schema version.
std::string meaning(const raw_record& record)
{
    if (record.withdrawn)
    {
        return "withdrawn";
    }
    const auto parsed = parse_record(record);
    return parsed ? write_record(parsed.value(), latest_record_schema) : "not accepted: " + parsed.error().detail;
}

std::map<std::string, std::string> meanings(const std::vector<raw_record>& records)
{
    std::map<std::string, std::string> by_name;
    for (const raw_record& record : records)
    {
        by_name[record.kind + "/" + record.name] = meaning(record);
    }
    return by_name;
}

std::vector<raw_record> records_in(const nlohmann::json& body)
{
    std::vector<raw_record> records;
    for (const nlohmann::json& row : body.value("records", nlohmann::json::array()))
    {
        raw_record record;
        record.kind = member_or<std::string>(row, "kind", "");
        record.name = member_or<std::string>(row, "name", "");
        record.schema = member_or<int>(row, "schema", 1);
        record.withdrawn = member_or<bool>(row, "withdrawn", false);
        const nlohmann::json content = row.value("body", nlohmann::json{});
        record.body = content.is_string() ? content.get<std::string>() : content.dump();
        records.push_back(std::move(record));
    }
    return records;
}

/// Prints the differences at one address. @return their number
int print_differences(const std::string& address, const std::map<std::string, std::string>& wanted,
                      const std::map<std::string, std::string>& in_force)
{
    int differences = 0;
    for (const auto& [name, text] : wanted)
    {
        const auto found = in_force.find(name);
        if (found == in_force.end() || found->second != text)
        {
            ++differences;
            std::cout << address << ": " << name << " differs\n  wanted   " << text << "\n  in force "
                      << (found == in_force.end() ? "nothing" : found->second) << "\n";
        }
    }
    for (const auto& [name, text] : in_force)
    {
        if (wanted.count(name) == 0 && text != "withdrawn")
        {
            ++differences;
            std::cout << address << ": " << name << " is in force but not in the folder\n";
        }
    }
    return differences;
}

void write_schemas(const std::filesystem::path& folder)
{
    for (const auto& kind : enum_names<record_kind>::rows)
    {
        for (int schema = 1; schema <= latest_record_schema; ++schema)
        {
            const std::string file = std::string{kind.name} + "." + std::to_string(schema) + ".json";
            std::ofstream{folder / file} << record_schema(kind.value, schema);
        }
    }
    std::ofstream{folder / "settings.json"} << settings_schema();
}

} // namespace

exit_code run_check(int argc, char** argv)
{
    command_line line{"check", "Check a folder of records; exit code 4 when a record would not be accepted"};
    add_folder(line);
    line.options().add_options()("strict", "fail on warnings too");
    if (!line.parse(argc, argv))
    {
        return exit_code::completed;
    }
    const std::vector<raw_record> records = records_of(line);
    int failures = 0;
    for (const record_finding& finding : check_records(records))
    {
        print_finding(line, finding);
        failures += finding.grade == severity::error || line.flag("strict") ? 1 : 0;
    }
    std::cerr << records.size() << " records, " << failures << " failures\n";
    return failures == 0 ? exit_code::completed : exit_code::failed;
}

exit_code run_diff(int argc, char** argv)
{
    command_line line{"diff", "Compare a folder of records with those in force; exit code 4 when they differ"};
    add_folder(line);
    if (!line.parse(argc, argv))
    {
        return exit_code::completed;
    }
    const auto wanted = meanings(records_of(line));
    http_transport transport = line.transport();
    int differences = 0;
    for (const std::string& address : line.addresses())
    {
        const auto answer = transport.call(address, {"GET", "/v1/records", "", line.text("operator-key")});
        if (!answer)
        {
            std::cerr << answer.error().message() << "\n";
            return exit_code::unreachable;
        }
        const caller_answer read = read_caller_answer(answer.value());
        if (read.what != outcome::completed || !read.body.is_object())
        {
            return print_answer(line, read, "");
        }
        differences += print_differences(address, wanted, meanings(records_in(read.body)));
    }
    return differences == 0 ? exit_code::completed : exit_code::failed;
}

exit_code run_schema(int argc, char** argv)
{
    command_line line{"schema", "Print a JSON Schema, or write all of them into a folder"};
    auto add = line.options().add_options();
    add("kind", "service, customer, model, priority, fleet or settings",
        cxxopts::value<std::string>()->default_value("settings"));
    add("schema", "schema version of the records",
        cxxopts::value<std::int64_t>()->default_value(std::to_string(latest_record_schema)));
    add("write", "folder to write all schemas into", cxxopts::value<std::string>());
    line.options().parse_positional({"kind"});
    if (!line.parse(argc, argv))
    {
        return exit_code::completed;
    }
    if (line.given("write"))
    {
        write_schemas(line.text("write"));
        return exit_code::completed;
    }
    if (line.text("kind") == "settings")
    {
        std::cout << settings_schema();
        return exit_code::completed;
    }
    const auto kind = value_of<record_kind>(line.text("kind"));
    const std::int64_t schema = line.number("schema");
    if (!kind.has_value() || schema < 1 || schema > latest_record_schema)
    {
        throw std::invalid_argument{"there is no such kind or schema version"};
    }
    std::cout << record_schema(*kind, static_cast<int>(schema));
    return exit_code::completed;
}

} // namespace parsleyshift::ctl
