#pragma once

#include <parsleyshift/records/json_issue.hpp> // read_result

#include <nlohmann/json.hpp> // json

#include <cstddef>     // size_t
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief Bounds on a JSON document from an untrusted source.
struct json_bounds
{
    /// The configuration service stores values of at most 1 MB.
    std::size_t max_bytes = std::size_t{1024} * 1024;
    /// Nesting levels of objects and arrays, the outermost included.
    int max_depth = 32;
};

/// @brief Parses JSON text within bounds. Never throws; linear in the size of the text.
/// @return the document, or one issue: too large, nested too deeply, not valid UTF-8 JSON, or a duplicate key in an
/// object
read_result<nlohmann::json> parse_json(std::string_view text, const json_bounds& bounds = {});

} // namespace parsleyshift
