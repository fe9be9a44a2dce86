#pragma once

#include <compare>    // strong_ordering
#include <cstdint>    // uint64_t
#include <functional> // hash
#include <string>     // string
#include <utility>    // move

namespace parsleyshift
{

/// @brief A string identifier with a type of its own, so that identifiers of different kinds do not convert to each
/// other.
/// @tparam Tag an incomplete or empty type that distinguishes the kinds
template <class Tag>
class strong_name
{
  public:
    strong_name() = default;
    explicit strong_name(std::string value) : value_(std::move(value)) {}

    [[nodiscard]] const std::string& value() const noexcept
    {
        return value_;
    }
    [[nodiscard]] bool empty() const noexcept
    {
        return value_.empty();
    }
    friend auto operator<=>(const strong_name&, const strong_name&) = default;

  private:
    std::string value_;
};

/// @brief An integer identifier with a type of its own, so that identifiers of different kinds do not convert to each
/// other.
/// @tparam Tag an incomplete or empty type that distinguishes the kinds
template <class Tag>
class strong_number
{
  public:
    constexpr strong_number() = default;
    constexpr explicit strong_number(std::uint64_t value) noexcept : value_(value) {}

    [[nodiscard]] constexpr std::uint64_t value() const noexcept
    {
        return value_;
    }
    /// @brief The identifier one higher; wraps around at 2^64.
    [[nodiscard]] constexpr strong_number next() const noexcept
    {
        return strong_number{value_ + 1};
    }
    friend constexpr auto operator<=>(const strong_number&, const strong_number&) = default;

  private:
    std::uint64_t value_ = 0;
};

} // namespace parsleyshift

template <class Tag>
struct std::hash<parsleyshift::strong_name<Tag>>
{
    std::size_t operator()(const parsleyshift::strong_name<Tag>& name) const noexcept
    {
        return std::hash<std::string>{}(name.value());
    }
};

template <class Tag>
struct std::hash<parsleyshift::strong_number<Tag>>
{
    std::size_t operator()(const parsleyshift::strong_number<Tag>& number) const noexcept
    {
        return std::hash<std::uint64_t>{}(number.value());
    }
};
