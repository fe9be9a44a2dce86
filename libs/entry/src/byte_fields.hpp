#pragma once

#include <parsleyshift/core/clock.hpp>     // time_point
#include <parsleyshift/core/strong_id.hpp> // strong_name, strong_number

#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift::detail
{

/// @brief Serializes fields into a byte string: numbers as 8 bytes, texts as a length of 2 bytes and their bytes.
/// Numbers and lengths are big-endian.
class byte_writer
{
  public:
    void write_number(std::uint64_t value)
    {
        for (int shift = 56; shift >= 0; shift -= 8)
        {
            bytes_.push_back(static_cast<char>(value >> static_cast<unsigned>(shift)));
        }
    }
    void write_text(std::string_view text)
    {
        if (text.size() > max_text_bytes)
        {
            too_long_ = true;
            return;
        }
        bytes_.push_back(static_cast<char>(text.size() >> 8U));
        bytes_.push_back(static_cast<char>(text.size()));
        bytes_.append(text);
    }
    template <class Tag>
    void write(const strong_name<Tag>& name)
    {
        write_text(name.value());
    }
    template <class Tag>
    void write(const strong_number<Tag>& number)
    {
        write_number(number.value());
    }
    void write(time_point point)
    {
        write_number(static_cast<std::uint64_t>(to_ms(point)));
    }
    /// @brief True when a text was omitted because its length exceeds the length field.
    [[nodiscard]] bool too_long() const noexcept
    {
        return too_long_;
    }
    [[nodiscard]] const std::string& bytes() const noexcept
    {
        return bytes_;
    }

  private:
    static constexpr std::size_t max_text_bytes = 0xffff;

    std::string bytes_;
    bool too_long_ = false;
};

/// @brief Parses the output of a byte_writer. A read past the end yields 0 or an empty text, and complete() remains
/// false from then on.
class byte_reader
{
  public:
    explicit byte_reader(std::string_view bytes) : rest_(bytes) {}

    std::uint64_t read_number()
    {
        return read_big_endian(8);
    }
    std::string read_text()
    {
        return std::string{take(static_cast<std::size_t>(read_big_endian(2)))};
    }
    template <class Tag>
    void read(strong_name<Tag>& name)
    {
        name = strong_name<Tag>{read_text()};
    }
    template <class Tag>
    void read(strong_number<Tag>& number)
    {
        number = strong_number<Tag>{read_number()};
    }
    void read(time_point& point)
    {
        point = at_ms(static_cast<std::int64_t>(read_number()));
    }
    /// @brief True when all reads succeeded and no input is left.
    [[nodiscard]] bool complete() const noexcept
    {
        return valid_ && rest_.empty();
    }

  private:
    std::string_view take(std::size_t size)
    {
        if (size > rest_.size())
        {
            valid_ = false;
            rest_ = {};
            return {};
        }
        const std::string_view taken = rest_.substr(0, size);
        rest_.remove_prefix(size);
        return taken;
    }
    std::uint64_t read_big_endian(std::size_t size)
    {
        std::uint64_t value = 0;
        for (const char byte : take(size))
        {
            value = (value << 8U) | static_cast<unsigned char>(byte);
        }
        return value;
    }

    std::string_view rest_;
    bool valid_ = true;
};

} // namespace parsleyshift::detail
