#pragma once

#include <parsleyshift/core/clock.hpp>       // time_point
#include <parsleyshift/core/error.hpp>       // result
#include <parsleyshift/entry/token.hpp>      // entry_token, continuation_token, order_key_token
#include <parsleyshift/records/settings.hpp> // token_key

#include <cstddef>     // size_t
#include <cstdint>     // uint8_t
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace parsleyshift
{

/// @brief Longest token in characters; it fits into a request path beside other headers.
inline constexpr std::size_t longest_token = 2048;

/// @brief Signs tokens and verifies them with HMAC-SHA256.
///
/// A token is base64url without padding of: format, purpose, key id, payload, signature. The signature covers all that
/// precedes it, so a token of one type is never accepted as another type. The first key signs; all keys verify.
class token_codec
{
  public:
    /// @brief Makes a codec. @param keys at least one; ids are unique and of 1 to 64 bytes, secrets of 16 bytes or more
    /// @return invalid_field when a key is unusable
    static result<token_codec> make(std::vector<token_key> keys);

    /// @brief Signs a token. Linear in its length.
    /// @return the text, or invalid_field when a field is so long that the token would exceed longest_token
    [[nodiscard]] result<std::string> encode(const entry_token& token) const;
    [[nodiscard]] result<std::string> encode(const continuation_token& token) const;
    [[nodiscard]] result<std::string> encode(const order_key_token& token) const;

    /// @brief Verifies an entry token; it does not expire, since a revision that was seen remains a valid floor.
    /// @return invalid_token for anything that encode() did not produce with one of the keys
    [[nodiscard]] result<entry_token> decode_entry(std::string_view text) const;
    /// @brief Verifies a continuation token.
    /// @return invalid_token, or token_expired from its time of expiry on
    [[nodiscard]] result<continuation_token> decode_continuation(std::string_view text, time_point now) const;
    /// @brief Verifies an order key.
    /// @return invalid_token, or key_expired from its time of expiry on: the remedy of token_expired would invite the
    /// caller to place the order a second time
    [[nodiscard]] result<order_key_token> decode_order_key(std::string_view text, time_point now) const;

  private:
    explicit token_codec(std::vector<token_key> keys);

    [[nodiscard]] result<std::string> sign(std::uint8_t purpose, std::string_view payload) const;
    [[nodiscard]] result<std::string> verify(std::uint8_t purpose, std::string_view text) const;

    std::vector<token_key> keys_;
};

} // namespace parsleyshift
