#pragma once

#include <parsleyshift/core/error.hpp>       // result
#include <parsleyshift/wire/body_bounds.hpp> // body_bounds

#include <nlohmann/json.hpp> // json

#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift::detail
{

/// @brief A parsed JSON object and the unchanged text of one of its members.
struct bounded_json
{
    nlohmann::json value;
    /// Empty when the object has no such member.
    std::string raw;
};

/// @brief Parses JSON within bounds; stops at the first byte that exceeds one. Linear in the size of the text.
/// @param raw_member member of the outermost object whose text is kept as it is; it is left out of the value
/// @return errors body_too_large, malformed_request (no JSON, too deep, a key twice)
result<bounded_json> read_bounded_json(std::string_view text, const body_bounds& bounds,
                                       std::string_view raw_member = {});

} // namespace parsleyshift::detail
