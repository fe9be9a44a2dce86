#include "standin.hpp" // run_engine, run_plain, run_configuration, run_list, run_ports, run_publish, run_request, run_store

#include <array>       // array
#include <exception>   // exception
#include <iostream>    // cerr
#include <string_view> // string_view

namespace
{

struct command
{
    std::string_view name;
    int (*run)(int, char**);
    std::string_view about;
};

using namespace parsleyshift::standins;

constexpr std::array commands{
    command{"engine", run_engine, "engine that batches continuously"},
    command{"plain", run_plain, "plain service that counts executed orders"},
    command{"configuration", run_configuration, "configuration service with a watch"},
    command{"list", run_list, "platform's list of instances, which lags"},
    command{"store", run_store, "weight store with a rate"},
    command{"publish", run_publish, "write a folder of records at the configuration stand-in"},
    command{"ports", run_ports, "print free ports of 127.0.0.1"},
    command{"request", run_request, "send one HTTP request and print the answer's body"},
};

int usage()
{
    std::cerr << "usage: standins COMMAND [OPTIONS]; --help after a command shows its options\n";
    for (const command& each : commands)
    {
        std::cerr << "  " << each.name << ": " << each.about << "\n";
    }
    return 2;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string_view wanted = argc > 1 ? argv[1] : "";
    for (const command& each : commands)
    {
        if (each.name != wanted)
        {
            continue;
        }
        try
        {
            return each.run(argc - 1, argv + 1);
        }
        catch (const std::exception& failed)
        {
            std::cerr << "standins " << each.name << ": " << failed.what() << "\n";
            return 2;
        }
    }
    return usage();
}
