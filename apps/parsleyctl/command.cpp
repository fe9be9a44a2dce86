#include "command.hpp" // command_line, print_answer

#include <iostream>  // cout, cerr
#include <stdexcept> // invalid_argument

namespace parsleyshift::ctl
{
namespace
{

exit_code code_of(const caller_answer& answer)
{
    if (answer.unreachable)
    {
        return exit_code::unreachable;
    }
    switch (answer.what)
    {
    case outcome::completed:
        return exit_code::completed;
    case outcome::not_run:
        return exit_code::not_run;
    case outcome::failed:
        return exit_code::failed;
    case outcome::unknown:
        break;
    }
    return exit_code::unknown;
}

nlohmann::json as_json(const caller_answer& answer)
{
    nlohmann::json body = answer.body.is_object() ? answer.body : nlohmann::json::object();
    body["outcome"] = std::string{name_of(answer.what)};
    if (answer.why.has_value())
    {
        body["kind"] = std::string{name_of(answer.why->kind)};
        body["message"] = answer.why->message;
        body["remedy"] = answer.why->remedy;
    }
    if (answer.unreachable)
    {
        body["unreachable"] = true;
    }
    body["tries"] = answer.tries;
    body["resumes"] = answer.resumes;
    return body;
}

void print_problem(const caller_answer& answer)
{
    std::cerr << name_of(answer.what) << ": [" << static_cast<int>(answer.why->kind) << " " << name_of(answer.why->kind)
              << "] " << answer.why->message << "; " << answer.why->remedy;
    if (answer.why->retry_after.has_value())
    {
        std::cerr << " (retry after " << answer.why->retry_after->count() << " ms)";
    }
    if (answer.body.is_object() && answer.body.contains("settled_after_ms"))
    {
        std::cerr << " (settled after " << answer.body["settled_after_ms"] << ")";
    }
    std::cerr << "\n";
}

} // namespace

command_line::command_line(const std::string& name, const std::string& about) : options_("parsleyctl " + name, about)
{
    auto add = options_.add_options("Common");
    add("address", "ip:port of an instance; several, separated by commas",
        cxxopts::value<std::vector<std::string>>()->default_value("127.0.0.1:8080"));
    add("json", "print JSON");
    add("operator-key", "key of operator calls", cxxopts::value<std::string>()->default_value(""));
    add("customer-key", "key of the customer", cxxopts::value<std::string>()->default_value(""));
    add("stall-ms", "longest time without any progress", cxxopts::value<std::int64_t>()->default_value("30000"));
    add("help", "print this text");
}

bool command_line::parse(int argc, char** argv)
{
    parsed_ = options_.parse(argc, argv);
    if (!parsed_.unmatched().empty())
    {
        throw std::invalid_argument{"unexpected argument " + parsed_.unmatched().front()};
    }
    if (flag("help"))
    {
        std::cout << options_.help();
        return false;
    }
    return true;
}

std::string command_line::text(const std::string& name) const
{
    return parsed_[name].as<std::string>();
}

std::string command_line::needed(const std::string& name) const
{
    std::string value = parsed_.count(name) == 0 ? "" : text(name);
    if (value.empty())
    {
        throw std::invalid_argument{"the option " + name + " is needed; --help shows all options"};
    }
    return value;
}

std::int64_t command_line::number(const std::string& name) const
{
    return parsed_[name].as<std::int64_t>();
}

bool command_line::flag(const std::string& name) const
{
    return parsed_.count(name) != 0 && parsed_[name].as<bool>();
}

bool command_line::given(const std::string& name) const
{
    return parsed_.count(name) != 0;
}

std::vector<std::string> command_line::addresses() const
{
    return parsed_["address"].as<std::vector<std::string>>();
}

caller_options command_line::caller() const
{
    caller_options made;
    made.addresses = addresses();
    made.customer = needed("customer");
    made.availability_zone = text("zone");
    made.customer_key = text("customer-key");
    return made;
}

http_transport command_line::transport() const
{
    return http_transport{duration{number("stall-ms")}};
}

exit_code print_answer(const command_line& line, const caller_answer& answer, const std::string& member)
{
    if (line.json())
    {
        std::cout << as_json(answer).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
        return code_of(answer);
    }
    if (answer.what != outcome::completed)
    {
        print_problem(answer);
        return code_of(answer);
    }
    if (answer.body.is_object())
    {
        const bool part = !member.empty() && answer.body.contains(member);
        const nlohmann::json& shown = part ? answer.body[member] : answer.body;
        std::cout << (shown.is_string() ? shown.get<std::string>() : shown.dump(4)) << "\n";
    }
    return code_of(answer);
}

} // namespace parsleyshift::ctl
