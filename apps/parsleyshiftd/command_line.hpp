#pragma once

#include <parsleyshift/records/settings.hpp> // daemon_settings

#include <optional> // optional

namespace parsleyshift
{

/// @brief What the command line asks for: settings to run with, or an exit code when there is nothing to run.
struct start_decision
{
    std::optional<daemon_settings> settings;
    int exit_code = 0;
};

/// @brief Reads the command line and the settings file. Prints the version, the help, the result of a check, or every
/// mistake of the settings file.
start_decision decide_start(int argc, const char* const* argv);

} // namespace parsleyshift
