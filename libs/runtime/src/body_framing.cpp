#include <parsleyshift/runtime/body_framing.hpp> // framing_scanner

#include <boost/beast/core/string.hpp> // iequals
#include <boost/beast/http/field.hpp>  // field

#include <algorithm>    // all_of, min
#include <charconv>     // from_chars
#include <system_error> // errc
#include <utility>      // move

namespace parsleyshift
{

namespace http = boost::beast::http;

namespace
{

// 19 decimal digits always fit in 64 bits, and so do 16 hexadecimal ones.
constexpr std::size_t max_length_digits = 19;
constexpr std::size_t max_size_digits = 16;

bool is_digit(char byte) noexcept
{
    return byte >= '0' && byte <= '9';
}

bool is_hex_digit(char byte) noexcept
{
    return is_digit(byte) || (byte >= 'a' && byte <= 'f') || (byte >= 'A' && byte <= 'F');
}

bool is_blank(char byte) noexcept
{
    return byte == ' ' || byte == '\t';
}

/// True for the characters of a token (RFC 9110, section 5.6.2).
bool is_token_char(char byte) noexcept
{
    const bool is_letter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    return is_letter || is_digit(byte) ||
           (byte != '\0' && std::string_view{"!#$%&'*+-.^_`|~"}.find(byte) != std::string_view::npos);
}

/// True for the characters that a quoted string may hold, alone or after a backslash.
bool is_text(char byte) noexcept
{
    const auto code = static_cast<unsigned char>(byte);
    return code == '\t' || (code >= 0x20 && code != 0x7F);
}

/// Reads a chunk extension from front to back.
class extension_reader
{
  public:
    explicit extension_reader(std::string_view text) : text_(text) {}

    /// Returns true if the text is a sequence of extensions, which may be empty.
    bool is_valid()
    {
        while (!text_.empty())
        {
            skip_blanks();
            if (!skip(';'))
            {
                return false;
            }
            skip_blanks();
            if (!skip_token() || !skip_value())
            {
                return false;
            }
        }
        return true;
    }

  private:
    bool skip(char byte)
    {
        if (text_.empty() || text_.front() != byte)
        {
            return false;
        }
        text_.remove_prefix(1);
        return true;
    }
    void skip_blanks()
    {
        while (!text_.empty() && is_blank(text_.front()))
        {
            text_.remove_prefix(1);
        }
    }
    bool skip_token()
    {
        const std::size_t before = text_.size();
        while (!text_.empty() && is_token_char(text_.front()))
        {
            text_.remove_prefix(1);
        }
        return text_.size() < before;
    }
    bool skip_value()
    {
        const std::string_view before = text_;
        skip_blanks();
        if (!skip('='))
        {
            // The blanks belong to the next extension; none may follow the last one.
            text_ = before;
            return true;
        }
        skip_blanks();
        return skip('"') ? skip_quoted() : skip_token();
    }
    bool skip_quoted()
    {
        while (!text_.empty() && text_.front() != '"')
        {
            skip('\\');
            if (text_.empty() || !is_text(text_.front()))
            {
                return false;
            }
            text_.remove_prefix(1);
        }
        return skip('"');
    }

    std::string_view text_;
};

/// Decides on the fields that both requests and responses have. Returns nothing when the head has none of them.
std::optional<framing_result> fields_framing(const http::fields& head, unsigned version)
{
    const std::size_t codings = head.count(http::field::transfer_encoding);
    const std::size_t lengths = head.count(http::field::content_length);
    if (codings > 0)
    {
        if (lengths > 0)
        {
            return framing_result{framing_fault::coding_and_length};
        }
        if (version < 11)
        {
            return framing_result{framing_fault::coding_in_http_1_0};
        }
        if (codings > 1)
        {
            return framing_result{framing_fault::repeated_coding};
        }
        if (!boost::beast::iequals(head[http::field::transfer_encoding], "chunked"))
        {
            return framing_result{framing_fault::unknown_coding};
        }
        return framing_result{body_framing{body_end::chunks}};
    }
    if (lengths == 0)
    {
        return std::nullopt;
    }
    const auto field = head[http::field::content_length];
    const std::string_view digits{field.data(), field.size()};
    if (lengths > 1 || digits.find(',') != std::string_view::npos)
    {
        return framing_result{framing_fault::several_lengths};
    }
    std::uint64_t length = 0;
    const bool are_digits = !digits.empty() && std::all_of(digits.begin(), digits.end(), is_digit);
    if (!are_digits || digits.size() > max_length_digits)
    {
        return framing_result{framing_fault::invalid_length};
    }
    std::from_chars(digits.data(), digits.data() + digits.size(), length);
    return framing_result{body_framing{length > 0 ? body_end::length : body_end::none, length}};
}

} // namespace

framing_result request_framing(const http::fields& head, unsigned version)
{
    return fields_framing(head, version).value_or(framing_result{body_framing{}});
}

framing_result response_body_framing(const http::fields& head, unsigned version, unsigned status)
{
    const auto stated = fields_framing(head, version);
    if (stated && stated->has_error())
    {
        return *stated;
    }
    const bool is_empty_by_status = status / 100 == 1 || status == 204;
    if (is_empty_by_status && stated && stated->value().end != body_end::none)
    {
        return framing_fault::unexpected_body;
    }
    // A 304 states the length that the body of a 200 would have.
    if (is_empty_by_status || status == 304)
    {
        return body_framing{};
    }
    return stated.value_or(framing_result{body_framing{body_end::connection}});
}

std::optional<framing_fault> framing_scanner::scan(std::string_view unparsed)
{
    while (ahead_ < unparsed.size() && section_ != section::done)
    {
        if (section_ == section::chunk_data)
        {
            const std::uint64_t available = unparsed.size() - ahead_;
            const auto skipped = static_cast<std::size_t>(std::min(chunk_rest_, available));
            ahead_ += skipped;
            chunk_rest_ -= skipped;
            section_ = chunk_rest_ == 0 ? section::chunk_end : section::chunk_data;
            continue;
        }
        if (auto fault = scan_byte(unparsed[ahead_]))
        {
            return fault;
        }
        ++ahead_;
    }
    return std::nullopt;
}

void framing_scanner::consumed(std::size_t bytes) noexcept
{
    ahead_ -= std::min(ahead_, bytes);
}

void framing_scanner::expect_chunks() noexcept
{
    section_ = section::chunk_line;
}

std::optional<framing_fault> framing_scanner::scan_byte(char byte)
{
    if (after_cr_)
    {
        after_cr_ = false;
        return byte == '\n' ? end_line() : framing_fault::bare_line_end;
    }
    if (byte == '\n')
    {
        return framing_fault::bare_line_end;
    }
    if (byte == '\r')
    {
        after_cr_ = true;
        return std::nullopt;
    }
    if (section_ == section::chunk_end)
    {
        return framing_fault::unterminated_chunk;
    }
    if (section_ != section::chunk_line && line_bytes_ == 0 && is_blank(byte))
    {
        return framing_fault::obsolete_folding;
    }
    ++line_bytes_;
    if (section_ == section::chunk_line)
    {
        line_ += byte;
    }
    trailer_bytes_ += section_ == section::trailer ? 1 : 0;
    if (line_.size() > max_chunk_line_bytes || trailer_bytes_ > max_trailer_bytes)
    {
        return framing_fault::oversized_chunk_line;
    }
    return std::nullopt;
}

std::optional<framing_fault> framing_scanner::end_line()
{
    const bool is_blank_line = line_bytes_ == 0;
    line_bytes_ = 0;
    if (section_ == section::chunk_end)
    {
        section_ = section::chunk_line;
        return std::nullopt;
    }
    if (section_ != section::chunk_line)
    {
        section_ = is_blank_line ? section::done : section_;
        return std::nullopt;
    }
    const std::string line = std::move(line_);
    line_.clear();
    std::size_t digits = 0;
    while (digits < line.size() && is_hex_digit(line[digits]))
    {
        ++digits;
    }
    const auto read = std::from_chars(line.data(), line.data() + digits, chunk_rest_, 16);
    if (digits == 0 || digits > max_size_digits || read.ec != std::errc{})
    {
        return framing_fault::invalid_chunk_size;
    }
    if (!extension_reader{std::string_view{line}.substr(digits)}.is_valid())
    {
        return framing_fault::invalid_chunk_extension;
    }
    section_ = chunk_rest_ == 0 ? section::trailer : section::chunk_data;
    return std::nullopt;
}

} // namespace parsleyshift
