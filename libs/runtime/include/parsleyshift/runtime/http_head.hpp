#pragma once

#include <parsleyshift/core/error.hpp> // result

#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief Builds the head of an HTTP/1.1 message and checks every part that is written into it.
///
/// A line end or another control character in a part would begin a field of its own or end the head, so that the
/// recipient reads another message than the one that was meant. finish() returns an error for such a head; there is no
/// other way to obtain its text.
class http_head_builder
{
  public:
    /// @brief Starts the head of a request.
    http_head_builder& request_line(std::string_view method, std::string_view target);
    /// @brief Starts the head of a response.
    http_head_builder& status_line(unsigned status, std::string_view reason);
    /// @brief Appends a header field.
    /// @param name a token of RFC 9110, section 5.6.2
    /// @param value a field value of RFC 9110, section 5.5
    http_head_builder& field(std::string_view name, std::string_view value);
    /// @brief Returns the head with its final blank line.
    /// @return error invalid_field for the first part that a head cannot carry
    [[nodiscard]] result<std::string> finish() &&;

  private:
    void require(bool valid, std::string_view part, std::string_view text);

    std::string text_;
    std::optional<error> mistake_;
};

} // namespace parsleyshift
