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

/// @brief Maximum length of a token in characters, such that it fits into a request path and leaves room for the
/// headers.
inline constexpr std::size_t max_token_length = 2048;

/// @brief Signs tokens and verifies them with HMAC-SHA256.
///
/// A token is the base64url encoding without padding of: format version, token type, key id with its length, payload,
/// signature. The signature covers everything before it, including the token type, so that a token of one type is never
/// accepted as another type. The first key signs; all keys verify.
class token_codec
{
  public:
    /// @brief Creates a codec.
    /// @param keys at least one; ids are unique and of 1 to 64 bytes, secrets of at least 16 bytes
    /// @return invalid_field when there is no key or a key violates these limits
    static result<token_codec> make(std::vector<token_key> keys);

    /// @brief Signs a token. Linear in its length.
    /// @return the token text, or invalid_field when the fields are so long that it would exceed max_token_length
    [[nodiscard]] result<std::string> encode(const entry_token& token) const;
    [[nodiscard]] result<std::string> encode(const continuation_token& token) const;
    [[nodiscard]] result<std::string> encode(const order_key_token& token) const;

    /// @brief Verifies an entry token. It has no time of expiry: the revision in it stays a valid minimum for the
    /// configuration of the instance that receives it.
    /// @return invalid_token for anything that encode() did not produce with one of the keys
    [[nodiscard]] result<entry_token> decode_entry(std::string_view text) const;
    /// @brief Verifies a continuation token.
    /// @return invalid_token as for decode_entry(), or token_expired when `now` is not before the time of expiry
    [[nodiscard]] result<continuation_token> decode_continuation(std::string_view text, time_point now) const;
    /// @brief Verifies an order key.
    /// @return invalid_token as for decode_entry(), or key_expired when `now` is not before the time of expiry. It is
    /// not token_expired, whose advice to the caller would lead it to place the order a second time
    [[nodiscard]] result<order_key_token> decode_order_key(std::string_view text, time_point now) const;

  private:
    explicit token_codec(std::vector<token_key> keys);

    [[nodiscard]] result<std::string> sign(std::uint8_t token_type, std::string_view payload) const;
    [[nodiscard]] result<std::string> verify(std::uint8_t token_type, std::string_view text) const;

    std::vector<token_key> keys_;
};

} // namespace parsleyshift
