#include "command.hpp" // command_line, print_answer

#include <parsleyshift/client/json_member.hpp> // member_or

#include <iostream>  // cout, cerr
#include <stdexcept> // invalid_argument

namespace parsleyshift::ctl
{
namespace
{

using http_caller = caller<http_transport>;

void add_caller_options(command_line& line)
{
    auto add = line.options().add_options();
    add("customer", "name of the customer", cxxopts::value<std::string>()->default_value(""));
    add("zone", "availability zone of the caller", cxxopts::value<std::string>()->default_value(""));
}

void add_service_option(command_line& line)
{
    line.options().add_options()("service", "name of the service", cxxopts::value<std::string>()->default_value(""));
}

void add_operation_options(command_line& line)
{
    auto add = line.options().add_options();
    add("operation", "operation of the service", cxxopts::value<std::string>()->default_value(""));
    add("payload", "JSON for the service", cxxopts::value<std::string>()->default_value("{}"));
}

nlohmann::json payload_of(const command_line& line)
{
    nlohmann::json payload = nlohmann::json::parse(line.text("payload"), nullptr, false);
    if (payload.is_discarded())
    {
        throw std::invalid_argument{"the payload is not JSON"};
    }
    return payload;
}

nlohmann::json generation_body(const command_line& line)
{
    nlohmann::json body{{"customer", line.needed("customer")},
                        {"service", line.needed("service")},
                        {"prompt", line.needed("prompt")},
                        {"delivery", line.flag("whole") ? "whole" : "stream"}};
    if (line.given("model"))
    {
        body["model"] = line.text("model");
    }
    if (line.given("class"))
    {
        body["class"] = line.text("class");
    }
    if (line.given("max-tokens"))
    {
        body["max_tokens"] = line.number("max-tokens");
    }
    if (line.given("deadline-ms"))
    {
        body["deadline_ms"] = line.number("deadline-ms");
    }
    return body;
}

exit_code generate_whole(const command_line& line, http_caller& client)
{
    caller_answer answer =
        client.send({"POST", "/v1/generations", generation_body(line).dump(), ""}, repetition::harmless);
    if (answer.what != outcome::completed || line.json())
    {
        return print_answer(line, answer, "");
    }
    const auto tokens = answer.body.value("tokens", nlohmann::json::array());
    for (const nlohmann::json& token : tokens)
    {
        std::cout << (token.is_string() ? token.get<std::string>() : token.dump());
    }
    std::cout << "\n";
    if (member_or<std::size_t>(answer.body, "count", 0) != tokens.size())
    {
        std::cerr << "failed: the answer's count differs from its tokens\n";
        return exit_code::failed;
    }
    return exit_code::completed;
}

/// Mints a key at an instance that accepts work. @return the answer; its body holds the key
caller_answer mint_key(const command_line& line, http_caller& client)
{
    const nlohmann::json body{{"customer", line.needed("customer")}, {"service", line.needed("service")}};
    return client.send({"POST", "/v1/orders/keys", body.dump(), ""}, repetition::harmless);
}

} // namespace

exit_code run_entry(int argc, char** argv)
{
    command_line line{"entry", "Ask which instances to use"};
    add_caller_options(line);
    if (!line.parse(argc, argv))
    {
        return exit_code::completed;
    }
    http_transport transport = line.transport();
    http_caller client{transport, line.caller()};
    return print_answer(line, client.fetch_entries(), "");
}

exit_code run_generate(int argc, char** argv)
{
    command_line line{"generate", "Run a generation and print its tokens as they come"};
    add_caller_options(line);
    add_service_option(line);
    auto add = line.options().add_options();
    add("prompt", "text to go on from", cxxopts::value<std::string>()->default_value(""));
    add("model", "name of the model", cxxopts::value<std::string>());
    add("class", "class of work", cxxopts::value<std::string>());
    add("max-tokens", "most tokens to generate", cxxopts::value<std::int64_t>());
    add("deadline-ms", "time for the first token, or for the whole answer", cxxopts::value<std::int64_t>());
    add("whole", "deliver the answer whole");
    if (!line.parse(argc, argv))
    {
        return exit_code::completed;
    }
    http_transport transport = line.transport();
    http_caller client{transport, line.caller()};
    if (line.flag("whole"))
    {
        return generate_whole(line, client);
    }
    const auto announce = [](const std::string& instance)
    {
        std::cerr << "at " << instance << std::endl;
    };
    const auto print = [&line](const std::string& token)
    {
        if (!line.json())
        {
            std::cout << token << std::flush;
        }
    };
    const caller_answer answer = client.generate(generation_body(line), {announce, print});
    if (line.json() || answer.what != outcome::completed)
    {
        std::cout << (line.json() ? "" : "\n");
        return print_answer(line, answer, "");
    }
    std::cout << std::endl;
    std::cerr << "completed: " << answer.body["count"] << " tokens, " << answer.resumes << " resumes\n";
    return exit_code::completed;
}

exit_code run_call(int argc, char** argv)
{
    command_line line{"call", "Call an operation of a plain service that may run twice"};
    add_caller_options(line);
    add_service_option(line);
    add_operation_options(line);
    auto add = line.options().add_options();
    add("deadline-ms", "time for the answer", cxxopts::value<std::int64_t>());
    add("repeat", "send the call again when its fate is unknown");
    if (!line.parse(argc, argv))
    {
        return exit_code::completed;
    }
    nlohmann::json body{{"customer", line.needed("customer")},
                        {"service", line.needed("service")},
                        {"operation", line.needed("operation")},
                        {"payload", payload_of(line)}};
    if (line.given("deadline-ms"))
    {
        body["deadline_ms"] = line.number("deadline-ms");
    }
    http_transport transport = line.transport();
    http_caller client{transport, line.caller()};
    const auto again = line.flag("repeat") ? repetition::harmless : repetition::forbidden;
    return print_answer(line, client.send({"POST", "/v1/calls", body.dump(), ""}, again), "result");
}

exit_code run_order_key(int argc, char** argv)
{
    command_line line{"order-key", "Mint a key for one order"};
    add_caller_options(line);
    add_service_option(line);
    if (!line.parse(argc, argv))
    {
        return exit_code::completed;
    }
    http_transport transport = line.transport();
    http_caller client{transport, line.caller()};
    return print_answer(line, mint_key(line, client), "key");
}

exit_code run_order(int argc, char** argv)
{
    command_line line{"order", "Place an order that must run at most once"};
    add_caller_options(line);
    add_service_option(line);
    add_operation_options(line);
    line.options().add_options()("key", "key of the order; absent: mint one", cxxopts::value<std::string>());
    if (!line.parse(argc, argv))
    {
        return exit_code::completed;
    }
    nlohmann::json body{{"customer", line.needed("customer")},
                        {"service", line.needed("service")},
                        {"operation", line.needed("operation")},
                        {"payload", payload_of(line)}};
    http_transport transport = line.transport();
    http_caller client{transport, line.caller()};
    std::string key = line.given("key") ? line.text("key") : "";
    if (key.empty())
    {
        const caller_answer minted = mint_key(line, client);
        if (minted.what != outcome::completed)
        {
            return print_answer(line, minted, "");
        }
        key = member_or<std::string>(minted.body, "key", "");
        std::cerr << "key " << key << "\n";
    }
    body["key"] = key;
    // The key makes the order run at most once, so that it may be sent again under the same key.
    return print_answer(line, client.send({"POST", "/v1/orders", body.dump(), ""}, repetition::harmless), "result");
}

exit_code run_order_status(int argc, char** argv)
{
    command_line line{"order-status", "Ask what became of an order"};
    add_caller_options(line);
    line.options().add_options()("key", "key of the order", cxxopts::value<std::string>()->default_value(""));
    if (!line.parse(argc, argv))
    {
        return exit_code::completed;
    }
    const std::string target = "/v1/orders/" + url_escape(line.needed("key"));
    http_transport transport = line.transport();
    http_caller client{transport, line.caller()};
    return print_answer(line, client.send({"GET", target, "", ""}, repetition::harmless), "result");
}

} // namespace parsleyshift::ctl
