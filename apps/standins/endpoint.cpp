#include "endpoint.hpp" // registration

#include <parsleyshift/client/client_connection.hpp> // client_connection

#include <nlohmann/json.hpp> // json

#include <chrono>   // milliseconds
#include <cstdlib>  // quick_exit
#include <iostream> // cerr
#include <thread>   // thread

namespace parsleyshift::standins
{

void add_endpoint_options(cxxopts::Options& options)
{
    auto add = options.add_options();
    add("address", "ip:port to listen on; port 0 takes a free port",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("id", "name of the endpoint", cxxopts::value<std::string>()->default_value("endpoint-1"));
    add("service", "service that the endpoint belongs to", cxxopts::value<std::string>()->default_value("service"));
    add("zone", "availability zone", cxxopts::value<std::string>()->default_value("zone-1"));
    add("region", "region", cxxopts::value<std::string>()->default_value("region-1"));
    add("list", "ip:port of the list stand-in to register at", cxxopts::value<std::string>()->default_value(""));
    add("leave-ms", "milliseconds from SIGUSR1 to the end of the process; 0: it stays",
        cxxopts::value<long>()->default_value("0"));
    add("help", "print this text");
}

registration read_registration(const cxxopts::ParseResult& parsed, const std::string& role)
{
    const auto text = [&parsed](const char* name)
    {
        return parsed[name].as<std::string>();
    };
    return {text("list"), text("id"), role, text("service"), text("zone"), text("region"), ""};
}

void announce(const registration& endpoint, const std::string& state)
{
    if (endpoint.list.empty())
    {
        return;
    }
    const nlohmann::json row{{"id", endpoint.id},
                             {"role", endpoint.role},
                             {"service", endpoint.service},
                             {"address", endpoint.address},
                             {"availability_zone", endpoint.zone},
                             {"region", endpoint.region},
                             {"state", state}};
    client_connection list{endpoint.list, duration{2'000}};
    const auto answer = list.call({"PUT", "/instances/" + url_escape(endpoint.id), row.dump(), ""});
    if (!answer || answer.value().status != 200)
    {
        std::cerr << "standins: could not register at the list: "
                  << (answer ? answer.value().body : answer.error().message()) << "\n";
    }
}

void exit_after(long milliseconds)
{
    std::thread{[milliseconds]
                {
                    std::this_thread::sleep_for(std::chrono::milliseconds{milliseconds});
                    std::quick_exit(0);
                }}
        .detach();
}

} // namespace parsleyshift::standins
