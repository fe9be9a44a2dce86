#pragma once

#include <parsleyshift/core/error.hpp>        // result
#include <parsleyshift/messages/platform.hpp> // raw_record

#include <filesystem> // path
#include <vector>     // vector

namespace parsleyshift
{

/// @brief Reads the record files `*.json` of a folder, each `{"kind","name","schema","body"}`, in the order of their
/// file names. Does not validate the bodies; check_records() does. Files beyond the first 50 000 found are ignored.
/// @return the records; error_kind::file_unreadable or error_kind::malformed_request with the path of the file
result<std::vector<raw_record>> read_record_files(const std::filesystem::path& folder);

} // namespace parsleyshift
