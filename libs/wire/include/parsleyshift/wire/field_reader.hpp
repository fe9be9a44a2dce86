#pragma once

#include <parsleyshift/core/clock.hpp> // duration
#include <parsleyshift/core/error.hpp> // result, error

#include <nlohmann/json.hpp> // json

#include <cstdint>     // int64_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <utility>     // move
#include <vector>      // vector

namespace parsleyshift::detail
{

/// @brief Reads the members of one JSON object and keeps the first mistake, which names the field.
class field_reader
{
  public:
    /// @param place prefix of the field names in errors, for example "instances[3]."
    explicit field_reader(const nlohmann::json& object, std::string place = {});

    /// @brief Reads a text. A member that is absent leaves the value as it is unless it is required.
    void text(std::string_view name, std::string& out, bool required = true);
    /// @brief Reads a name: 1 to 256 printable characters.
    template <class Name>
    void name(std::string_view field, Name& out, bool required = true)
    {
        std::string value;
        text(field, value, required);
        if (was_present_ && check_name(field, value))
        {
            out = Name{std::move(value)};
        }
    }
    /// @brief Reads an integer within inclusive bounds.
    void integer(std::string_view name, std::int64_t& out, std::int64_t lowest, std::int64_t highest, bool required);
    /// @brief Reads a 64-bit number without a sign.
    void number(std::string_view name, std::uint64_t& out, bool required);
    void boolean(std::string_view name, bool& out);
    /// @brief Reads a positive number of milliseconds of at most a day.
    void milliseconds(std::string_view name, std::optional<duration>& out);
    /// @brief Reads an enumerator by its name.
    template <class Enum>
    void enumerator(std::string_view name, Enum& out, bool required = false)
    {
        std::string value;
        text(name, value, required);
        if (!was_present_)
        {
            return;
        }
        if (const auto known = value_of<Enum>(value))
        {
            out = *known;
            return;
        }
        invalid(name, "is not one of the allowed names");
    }
    /// @brief Counts a member as known without reading it.
    void known(std::string_view name);
    /// @brief Records a mistake unless there is one already.
    void invalid(std::string_view name, std::string_view why);
    /// @brief The member, or nullptr; also counts it as known.
    const nlohmann::json* find(std::string_view name, bool required);
    /// @brief Reports members that were not read as mistakes.
    void reject_unknown();

    [[nodiscard]] const std::optional<error>& mistake() const noexcept
    {
        return mistake_;
    }
    /// @brief The value, or the first mistake.
    template <class T>
    result<T> finish(T value) const
    {
        if (mistake_)
        {
            return *mistake_;
        }
        return value;
    }

  private:
    bool check_name(std::string_view name, std::string_view value);
    void fail(error_kind kind, std::string_view name, std::string_view why);

    const nlohmann::json& object_;
    std::string place_;
    std::vector<std::string_view> known_;
    std::optional<error> mistake_;
    bool was_present_ = false;
};

} // namespace parsleyshift::detail
