#include <parsleyshift/wire/endpoint_codec.hpp> // parse_generation_line

#include <nlohmann/json.hpp> // json

#include <optional> // optional
#include <utility>  // move

namespace parsleyshift
{

namespace
{

using nlohmann::json;

constexpr int max_line_depth = 8;

enum class member
{
    other,
    offset,
    tokens,
    end,
    count,
    error,
};

/// Reads the members of a line from parser events; lines are the hot path, and a document would allocate for each
/// member.
class line_reader final : public json::json_sax_t
{
  public:
    bool null() override
    {
        return is_other();
    }
    bool boolean(bool value) override
    {
        if (depth_ == 1 && current_ == member::end)
        {
            ended_ = value;
            return true;
        }
        return is_other();
    }
    bool number_integer(number_integer_t /*negative*/) override
    {
        return is_other();
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        const bool wanted = depth_ == 1 && (current_ == member::offset || current_ == member::count);
        if (!wanted)
        {
            return is_other();
        }
        if (value > static_cast<number_unsigned_t>(INT64_MAX))
        {
            return false;
        }
        (current_ == member::offset ? offset_ : count_) = static_cast<std::int64_t>(value);
        return true;
    }
    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override
    {
        return is_other();
    }
    bool string(string_t& value) override
    {
        if (depth_ == 2 && current_ == member::tokens)
        {
            tokens_.push_back(value);
            return true;
        }
        if (depth_ == 1 && current_ == member::error)
        {
            error_ = value;
            return true;
        }
        return is_other();
    }
    bool binary(binary_t& /*value*/) override
    {
        return false;
    }
    bool start_object(std::size_t /*size*/) override
    {
        const bool allowed = depth_ == 0 || current_ == member::other;
        return allowed && ++depth_ <= max_line_depth;
    }
    bool end_object() override
    {
        --depth_;
        return true;
    }
    bool start_array(std::size_t /*size*/) override
    {
        const bool is_tokens = depth_ == 1 && current_ == member::tokens;
        has_tokens_ = has_tokens_ || is_tokens;
        const bool allowed = depth_ > 0 && (is_tokens || current_ == member::other);
        return allowed && ++depth_ <= max_line_depth;
    }
    bool end_array() override
    {
        --depth_;
        return true;
    }
    bool key(string_t& name) override
    {
        if (depth_ == 1)
        {
            current_ = member_named(name);
        }
        return true;
    }
    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& /*failure*/) override
    {
        return false;
    }

    std::optional<generation_line> take()
    {
        if (error_)
        {
            return error_line{std::move(*error_)};
        }
        if (ended_ && count_)
        {
            return end_line{*count_};
        }
        if (offset_ && has_tokens_)
        {
            return token_line{*offset_, std::move(tokens_)};
        }
        return std::nullopt;
    }

  private:
    static member member_named(std::string_view name) noexcept
    {
        if (name == "offset")
        {
            return member::offset;
        }
        if (name == "tokens")
        {
            return member::tokens;
        }
        if (name == "end")
        {
            return member::end;
        }
        if (name == "count")
        {
            return member::count;
        }
        return name == "error" ? member::error : member::other;
    }
    // A known member of another type than expected makes the line malformed.
    [[nodiscard]] bool is_other() const noexcept
    {
        return depth_ > 0 && current_ == member::other;
    }

    int depth_ = 0;
    member current_ = member::other;
    bool ended_ = false;
    bool has_tokens_ = false;
    std::optional<std::int64_t> offset_;
    std::optional<std::int64_t> count_;
    std::optional<std::string> error_;
    token_list tokens_;
};

} // namespace

result<generation_line> parse_generation_line(std::string_view line)
{
    line_reader reader;
    if (json::sax_parse(line.begin(), line.end(), &reader))
    {
        if (auto read = reader.take())
        {
            return std::move(*read);
        }
    }
    return make_error(error_kind::malformed_request, "line of a generation: neither tokens, end nor error");
}

} // namespace parsleyshift
