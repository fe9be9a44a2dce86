#include <parsleyshift/wire/json_string.hpp> // append_json_string

#include <nlohmann/json.hpp> // json

#include <algorithm> // all_of

namespace parsleyshift
{

namespace
{

// Most tokens need no escape; they are copied without a JSON value in between.
bool is_plain(std::string_view text) noexcept
{
    return std::all_of(text.begin(), text.end(),
                       [](char byte) { return byte >= 0x20 && byte < 0x7f && byte != '"' && byte != '\\'; });
}

} // namespace

void append_json_string(std::string& out, std::string_view text)
{
    if (is_plain(text))
    {
        out += '"';
        out += text;
        out += '"';
        return;
    }
    out += nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace parsleyshift
