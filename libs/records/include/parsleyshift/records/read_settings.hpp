#pragma once

#include <parsleyshift/records/json_issue.hpp> // read_result
#include <parsleyshift/records/settings.hpp>   // daemon_settings

#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief Reads the daemon's settings file.
/// @param text JSON; settings_schema() describes each field with its unit and default
/// @return the settings, or every issue with its path, reason and remedy
read_result<daemon_settings> read_settings(std::string_view text);

/// @brief Writes the settings as JSON that read_settings accepts, indented by 4 spaces.
std::string write_settings(const daemon_settings& settings);

/// @brief JSON Schema (draft 2020-12) of the settings file, indented by 4 spaces.
std::string settings_schema();

} // namespace parsleyshift
