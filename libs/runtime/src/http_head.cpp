#include <parsleyshift/runtime/http_head.hpp> // http_head_builder

#include <parsleyshift/core/field_text.hpp>  // escaped, is_field_value, is_identifier, is_token
#include <parsleyshift/core/http_status.hpp> // is_valid_status

#include <utility> // move

namespace parsleyshift
{

http_head_builder& http_head_builder::request_line(std::string_view method, std::string_view target)
{
    require(is_token(method), "method", method);
    require(is_identifier(target), "target", target);
    text_.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    return *this;
}

http_head_builder& http_head_builder::status_line(unsigned status, std::string_view reason)
{
    const std::string code = std::to_string(status);
    require(is_valid_status(status), "status", code);
    require(!detail::has_control(reason), "reason", reason);
    text_.append("HTTP/1.1 ").append(code).append(" ").append(reason).append("\r\n");
    return *this;
}

http_head_builder& http_head_builder::field(std::string_view name, std::string_view value)
{
    require(is_token(name), "field name", name);
    require(is_field_value(value), name, value);
    text_.append(name).append(": ").append(value).append("\r\n");
    return *this;
}

result<std::string> http_head_builder::finish() &&
{
    if (mistake_)
    {
        return *std::move(mistake_);
    }
    text_.append("\r\n");
    return std::move(text_);
}

void http_head_builder::require(bool valid, std::string_view part, std::string_view text)
{
    if (!valid && !mistake_)
    {
        mistake_ = make_error(error_kind::invalid_field,
                              "HTTP head: " + escaped(part) + " must not be \"" + escaped(text) + "\"");
    }
}

} // namespace parsleyshift
