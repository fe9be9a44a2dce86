#include "command.hpp" // run_entry and the other commands

#include <array>       // array
#include <exception>   // exception
#include <iostream>    // cout, cerr
#include <string_view> // string_view

namespace
{

using namespace parsleyshift::ctl;

struct command
{
    std::string_view name;
    exit_code (*run)(int, char**);
    std::string_view about;
};

constexpr std::array commands{
    command{"entry", run_entry, "ask which instances to use"},
    command{"generate", run_generate, "run a generation and print its tokens as they come"},
    command{"call", run_call, "call an operation that may run twice"},
    command{"order-key", run_order_key, "mint a key for one order"},
    command{"order", run_order, "place an order that must run at most once"},
    command{"order-status", run_order_status, "ask what became of an order"},
    command{"status", run_status, "show the state of instances"},
    command{"top", run_top, "show one line for each instance, again and again"},
    command{"explain", run_explain, "show how a request would be handled, and why"},
    command{"stop", run_stop, "plan a stop of instances"},
    command{"check", run_check, "check a folder of records"},
    command{"diff", run_diff, "compare a folder of records with those in force"},
    command{"schema", run_schema, "print the JSON Schemas of records and settings"},
};

void print_usage(std::ostream& out)
{
    out << "usage: parsleyctl COMMAND [OPTIONS]; --help after a command shows its options\n\n";
    for (const command& each : commands)
    {
        out << "  " << each.name << std::string(14 - each.name.size(), ' ') << each.about << "\n";
    }
    out << "\nexit codes: 0 completed, 2 usage, 3 not_run, 4 failed, 5 unknown, 6 unreachable\n";
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
            return static_cast<int>(each.run(argc - 1, argv + 1));
        }
        catch (const std::exception& failed)
        {
            std::cerr << "parsleyctl " << each.name << ": " << failed.what() << "\n";
            return static_cast<int>(exit_code::usage);
        }
    }
    const bool help = wanted == "--help" || wanted == "help";
    print_usage(help ? std::cout : std::cerr);
    return static_cast<int>(help ? exit_code::completed : exit_code::usage);
}
