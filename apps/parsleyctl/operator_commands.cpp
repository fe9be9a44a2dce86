#include "command.hpp" // command_line, print_answer

#include <iomanip>   // setw
#include <iostream>  // cout
#include <sstream>   // ostringstream
#include <stdexcept> // invalid_argument

namespace parsleyshift::ctl
{
namespace
{

caller_answer ask(const command_line& line, http_transport& transport, const std::string& address,
                  client_request request)
{
    request.bearer = line.text("operator-key");
    const auto answer = transport.call(address, request);
    if (answer)
    {
        return read_caller_answer(answer.value());
    }
    const bool sent = answer.error().kind != error_kind::no_endpoint;
    caller_answer failed = failed_answer(sent ? outcome::unknown : outcome::not_run, answer.error());
    failed.unreachable = !sent;
    return failed;
}

/// Asks each address; the exit code is that of the first address that did not answer.
exit_code ask_all(const command_line& line, const client_request& request)
{
    http_transport transport = line.transport();
    exit_code worst = exit_code::completed;
    for (const std::string& address : line.addresses())
    {
        const exit_code code = print_answer(line, ask(line, transport, address, request), "");
        worst = worst == exit_code::completed ? code : worst;
    }
    return worst;
}

/// Numbers and texts of a status, one line; nested objects get dotted names.
void print_flat(std::ostream& out, const nlohmann::json& value, const std::string& name)
{
    if (value.is_object())
    {
        for (const auto& item : value.items())
        {
            print_flat(out, item.value(), name.empty() ? item.key() : name + "." + item.key());
        }
    }
    else if (!value.is_array())
    {
        out << " " << name << "=" << (value.is_string() ? value.get<std::string>() : value.dump());
    }
    else
    {
        out << " " << name << "=" << value.size();
    }
}

void print_row(const std::string& address, const caller_answer& answer)
{
    std::ostringstream row;
    row << std::left << std::setw(22) << address;
    if (answer.what == outcome::completed)
    {
        print_flat(row, answer.body, "");
    }
    else
    {
        row << " " << answer.why->message;
    }
    std::cout << row.str() << "\n";
}

} // namespace

exit_code run_status(int argc, char** argv)
{
    command_line line{"status", "Show the state of instances and their view of the deployment"};
    return line.parse(argc, argv) ? ask_all(line, {"GET", "/v1/status", "", ""}) : exit_code::completed;
}

exit_code run_top(int argc, char** argv)
{
    command_line line{"top", "Show one line for each instance, again and again"};
    auto add = line.options().add_options();
    add("count", "number of rounds", cxxopts::value<std::int64_t>()->default_value("1"));
    add("interval-ms", "time between two rounds", cxxopts::value<std::int64_t>()->default_value("1000"));
    if (!line.parse(argc, argv))
    {
        return exit_code::completed;
    }
    http_transport transport = line.transport();
    exit_code last = exit_code::completed;
    for (std::int64_t round = 0; round < line.number("count"); ++round)
    {
        if (round > 0)
        {
            http_transport::wait(duration{line.number("interval-ms")});
        }
        last = exit_code::unreachable;
        for (const std::string& address : line.addresses())
        {
            const caller_answer answer = ask(line, transport, address, {"GET", "/v1/status", "", ""});
            print_row(address, answer);
            last = answer.what == outcome::completed ? exit_code::completed : last;
        }
    }
    return last;
}

exit_code run_explain(int argc, char** argv)
{
    command_line line{"explain", "Show how a request would be handled now, and why"};
    auto add = line.options().add_options();
    add("customer", "name of the customer", cxxopts::value<std::string>()->default_value(""));
    add("service", "name of the service", cxxopts::value<std::string>()->default_value(""));
    if (!line.parse(argc, argv))
    {
        return exit_code::completed;
    }
    return ask_all(line, {"GET",
                          "/v1/explain?customer=" + url_escape(line.needed("customer")) +
                              "&service=" + url_escape(line.needed("service")),
                          "", ""});
}

exit_code run_stop(int argc, char** argv)
{
    command_line line{"stop", "Plan a stop of instances; they finish what they have accepted"};
    if (!line.parse(argc, argv))
    {
        return exit_code::completed;
    }
    if (!line.given("address"))
    {
        throw std::invalid_argument{"the option address is needed, so that no other instance is stopped by mistake"};
    }
    return ask_all(line, {"POST", "/v1/stop", "", ""});
}

} // namespace parsleyshift::ctl
