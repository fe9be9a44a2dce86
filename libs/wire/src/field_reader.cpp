#include <parsleyshift/wire/field_reader.hpp> // field_reader

#include <parsleyshift/core/field_text.hpp> // is_control

#include <algorithm> // any_of, find

namespace parsleyshift::detail
{

namespace
{
constexpr std::size_t max_name_bytes = 256;
constexpr std::int64_t max_timeout_ms = 86'400'000;
} // namespace

field_reader::field_reader(const nlohmann::json& object, std::string place) : object_(object), place_(std::move(place))
{
    if (!object_.is_object())
    {
        mistake_ = make_error(error_kind::malformed_request, place_ + "body: must be a JSON object");
    }
}

void field_reader::text(std::string_view name, std::string& out, bool required)
{
    const nlohmann::json* value = find(name, required);
    was_present_ = value != nullptr && value->is_string();
    if (was_present_)
    {
        out = value->get_ref<const std::string&>();
    }
    else if (value != nullptr)
    {
        invalid(name, "must be a text");
    }
}

void field_reader::integer(std::string_view name, std::int64_t& out, std::int64_t lowest, std::int64_t highest,
                           bool required)
{
    const nlohmann::json* value = find(name, required);
    if (value == nullptr)
    {
        return;
    }
    const bool fits = value->is_number_integer() &&
                      !(value->is_number_unsigned() && value->get<std::uint64_t>() > std::uint64_t(INT64_MAX));
    if (!fits || value->get<std::int64_t>() < lowest || value->get<std::int64_t>() > highest)
    {
        invalid(name, "must be a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest));
        return;
    }
    out = value->get<std::int64_t>();
}

void field_reader::number(std::string_view name, std::uint64_t& out, bool required)
{
    const nlohmann::json* value = find(name, required);
    if (value == nullptr)
    {
        return;
    }
    if (!value->is_number_unsigned())
    {
        invalid(name, "must be a whole number that is not negative");
        return;
    }
    out = value->get<std::uint64_t>();
}

void field_reader::boolean(std::string_view name, bool& out)
{
    const nlohmann::json* value = find(name, false);
    if (value == nullptr)
    {
        return;
    }
    if (!value->is_boolean())
    {
        invalid(name, "must be true or false");
        return;
    }
    out = value->get<bool>();
}

void field_reader::milliseconds(std::string_view name, std::optional<duration>& out)
{
    if (object_.is_object() && object_.contains(name))
    {
        std::int64_t count = 1;
        integer(name, count, 1, max_timeout_ms, false);
        out = duration{count};
    }
}

void field_reader::known(std::string_view name)
{
    known_.push_back(name);
}

void field_reader::invalid(std::string_view name, std::string_view why)
{
    fail(error_kind::invalid_field, name, why);
}

const nlohmann::json* field_reader::find(std::string_view name, bool required)
{
    known(name);
    if (!object_.is_object())
    {
        return nullptr;
    }
    const auto found = object_.find(name);
    if (found != object_.end())
    {
        return &*found;
    }
    if (required)
    {
        invalid(name, "is missing");
    }
    return nullptr;
}

void field_reader::reject_unknown()
{
    if (!object_.is_object())
    {
        return;
    }
    for (const auto& member : object_.items())
    {
        if (std::find(known_.begin(), known_.end(), member.key()) == known_.end())
        {
            fail(error_kind::unknown_field, std::string_view(member.key()).substr(0, 64), "is not a known field");
        }
    }
}

bool field_reader::check_name(std::string_view name, std::string_view value)
{
    if (value.empty() || value.size() > max_name_bytes || std::any_of(value.begin(), value.end(), is_control))
    {
        invalid(name, "must be a name of 1 to 256 printable characters");
        return false;
    }
    return true;
}

void field_reader::fail(error_kind kind, std::string_view name, std::string_view why)
{
    if (!mistake_)
    {
        mistake_ = make_error(kind, place_ + std::string(name) + ": " + std::string(why));
    }
}

} // namespace parsleyshift::detail
