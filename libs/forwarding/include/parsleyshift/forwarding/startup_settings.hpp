#pragma once

#include <parsleyshift/core/clock.hpp>                 // duration
#include <parsleyshift/core/error.hpp>                 // result
#include <parsleyshift/records/forwarder_settings.hpp> // forwarder_settings
#include <parsleyshift/runtime/settings_file.hpp>      // settings_file

namespace parsleyshift
{

/// @brief Reads and validates a settings file.
/// @return error file_unreadable or invalid_field, with all issues
result<forwarder_settings> read_settings(settings_file& file);

/// @brief Reads a settings file at the start of the process. While it is missing or invalid, for example because it is
/// being written, it is read again until `patience` is over or a signal asks for a stop.
/// @param patience milliseconds
/// @return the error of the last read
result<forwarder_settings> await_settings(settings_file& file, duration patience);

} // namespace parsleyshift
