#include "bounded_json.hpp" // read_bounded_json

#include <cstddef>  // ptrdiff_t
#include <iterator> // input_iterator_tag
#include <utility>  // move
#include <vector>   // vector

namespace parsleyshift::detail
{

namespace
{

using nlohmann::json;

/// Input of the parser that tells how far it has read.
struct tracked_iterator
{
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    const char* at = nullptr;
    const char** reached = nullptr;

    reference operator*() const
    {
        return *at;
    }
    tracked_iterator& operator++()
    {
        ++at;
        *reached = at;
        return *this;
    }
    friend bool operator==(const tracked_iterator& left, const tracked_iterator& right)
    {
        return left.at == right.at;
    }
    friend bool operator!=(const tracked_iterator& left, const tracked_iterator& right)
    {
        return left.at != right.at;
    }
};

/// Builds the document from parser events and stops the parser at a bound.
class document_builder final : public json::json_sax_t
{
  public:
    document_builder(int max_depth, std::string_view raw_member, const char* const& reached)
        : max_depth_(max_depth), raw_member_(raw_member), reached_(reached)
    {
    }

    bool null() override
    {
        return add(nullptr, 0);
    }
    bool boolean(bool value) override
    {
        return add(value, 0);
    }
    // The parser reads one character beyond a number.
    bool number_integer(number_integer_t value) override
    {
        return add(value, 1);
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        return add(value, 1);
    }
    bool number_float(number_float_t value, const string_t& /*text*/) override
    {
        return add(value, 1);
    }
    bool string(string_t& value) override
    {
        return add(std::move(value), 0);
    }
    bool binary(binary_t& /*value*/) override
    {
        return false;
    }
    bool start_object(std::size_t /*size*/) override
    {
        return open(json::object());
    }
    bool start_array(std::size_t /*size*/) override
    {
        return open(json::array());
    }
    bool end_object() override
    {
        return close();
    }
    bool end_array() override
    {
        return close();
    }
    bool key(string_t& name) override
    {
        level& top = levels_.back();
        if (top.value.contains(name) || (levels_.size() == 1 && raw_start_ != nullptr && name == raw_member_))
        {
            problem_ = "the key \"" + name.substr(0, 64) + "\" is given twice";
            return false;
        }
        if (levels_.size() == 1 && !raw_member_.empty() && name == raw_member_)
        {
            raw_start_ = reached_;
        }
        top.key = std::move(name);
        return true;
    }
    bool parse_error(std::size_t position, const std::string& /*token*/,
                     const nlohmann::detail::exception& /*failure*/) override
    {
        problem_ = "no JSON at byte " + std::to_string(position);
        return false;
    }

    [[nodiscard]] const std::string& problem() const noexcept
    {
        return problem_;
    }
    bounded_json take()
    {
        return {std::move(document_), std::move(raw_)};
    }

  private:
    struct level
    {
        json value;
        std::string key;
    };

    bool open(json empty)
    {
        if (static_cast<int>(levels_.size()) >= max_depth_)
        {
            problem_ = "nested deeper than " + std::to_string(max_depth_) + " levels";
            return false;
        }
        levels_.push_back({std::move(empty), {}});
        return true;
    }
    bool close()
    {
        json done = std::move(levels_.back().value);
        levels_.pop_back();
        return add(std::move(done), 0);
    }
    bool add(json value, std::ptrdiff_t read_beyond)
    {
        if (levels_.empty())
        {
            document_ = std::move(value);
            return true;
        }
        level& top = levels_.back();
        if (top.value.is_array())
        {
            top.value.push_back(std::move(value));
        }
        else if (levels_.size() == 1 && raw_start_ != nullptr && raw_.empty())
        {
            keep_raw(reached_ - read_beyond);
        }
        else
        {
            top.value[top.key] = std::move(value);
        }
        return true;
    }
    void keep_raw(const char* end)
    {
        std::string_view text(raw_start_, static_cast<std::size_t>(end - raw_start_));
        text.remove_prefix(text.find(':') + 1);
        text.remove_prefix(text.find_first_not_of(" \t\r\n"));
        raw_ = text;
    }

    int max_depth_;
    std::string_view raw_member_;
    const char* const& reached_;
    const char* raw_start_ = nullptr;
    std::string raw_;
    std::vector<level> levels_;
    json document_;
    std::string problem_;
};

} // namespace

result<bounded_json> read_bounded_json(std::string_view text, const body_bounds& bounds, std::string_view raw_member)
{
    if (text.size() > bounds.max_bytes)
    {
        return make_error(error_kind::body_too_large,
                          "body: larger than " + std::to_string(bounds.max_bytes) + " bytes");
    }
    const char* reached = text.data();
    document_builder builder(bounds.max_depth, raw_member, reached);
    const tracked_iterator first{text.data(), &reached};
    const tracked_iterator last{text.data() + text.size(), &reached};
    if (!json::sax_parse(first, last, &builder))
    {
        return make_error(error_kind::malformed_request, "body: " + builder.problem());
    }
    return builder.take();
}

} // namespace parsleyshift::detail
