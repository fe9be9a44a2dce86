#pragma once

#include <parsleyshift/core/error.hpp>        // result
#include <parsleyshift/messages/platform.hpp> // raw_record

#include <filesystem> // path
#include <vector>     // vector

namespace parsleyshift
{

/// @brief Reads a folder of record files, `*.json`, each `{"kind","name","schema","body"}`, ordered by file name.
/// The bodies are not checked; check_records() does that.
/// @return the records, or error_kind::file_unreadable or error_kind::malformed_request with the file's name
result<std::vector<raw_record>> read_record_files(const std::filesystem::path& folder);

} // namespace parsleyshift
