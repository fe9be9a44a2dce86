#include "command_line.hpp" // decide_start

#include <parsleyshift/core/error.hpp>            // make_error
#include <parsleyshift/records/read_settings.hpp> // read_settings

#include <cxxopts.hpp> // Options

#include <fstream>  // ifstream
#include <iostream> // cout, cerr
#include <sstream>  // ostringstream
#include <string>   // string

namespace parsleyshift
{

namespace
{

cxxopts::Options known_options()
{
    cxxopts::Options options("parsleyshiftd", "Routes requests to model engines and plain services.");
    auto add = options.add_options();
    add("settings", "settings file in JSON", cxxopts::value<std::string>(), "FILE");
    add("check", "check the settings file, list every mistake, and exit with 0 or 1");
    add("version", "print the version and exit");
    add("help", "print this text and exit");
    return options;
}

result<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
    {
        return make_error(error_kind::file_unreadable, path);
    }
    return text.str();
}

start_decision load(const std::string& path, bool only_check)
{
    const auto text = read_file(path);
    if (text.has_error())
    {
        std::cerr << text.error().message() << '\n';
        return {std::nullopt, 1};
    }
    auto settings = read_settings(text.value());
    if (settings.has_error())
    {
        for (const json_issue& each : settings.error().all())
        {
            std::cerr << path << ": " << each.path << ": " << each.reason << "; " << each.remedy << '\n';
        }
        return {std::nullopt, 1};
    }
    if (only_check)
    {
        std::cout << path << ": correct\n";
        return {std::nullopt, 0};
    }
    return {std::move(settings.value()), 0};
}

} // namespace

start_decision decide_start(int argc, const char* const* argv)
{
    cxxopts::Options options = known_options();
    try
    {
        const auto given = options.parse(argc, argv);
        if (given.count("help") != 0)
        {
            std::cout << options.help();
            return {};
        }
        if (given.count("version") != 0)
        {
            std::cout << "parsleyshiftd " << PARSLEYSHIFT_VERSION << '\n';
            return {};
        }
        if (given.count("settings") == 0)
        {
            std::cerr << "--settings: is missing; name the settings file\n";
            return {std::nullopt, 1};
        }
        return load(given["settings"].as<std::string>(), given.count("check") != 0);
    }
    catch (const cxxopts::exceptions::exception& mistake)
    {
        std::cerr << mistake.what() << "; see --help\n";
        return {std::nullopt, 1};
    }
}

} // namespace parsleyshift
