#include <parsleyshift/entry/token_codec.hpp> // token_codec

#include "base64url.hpp"   // base64url_encode, base64url_decode
#include "byte_fields.hpp" // byte_writer, byte_reader

#include <openssl/crypto.h> // CRYPTO_memcmp
#include <openssl/evp.h>    // EVP_sha256
#include <openssl/hmac.h>   // HMAC

#include <algorithm> // any_of, find_if
#include <array>     // array
#include <utility>   // move

namespace parsleyshift
{

namespace
{

constexpr char token_format = 1;
constexpr std::size_t signature_size = 32;
constexpr std::size_t header_size = 3;
constexpr std::size_t longest_key_id = 64;
constexpr std::size_t shortest_secret = 16;

enum purpose : std::uint8_t
{
    purpose_entry = 1,
    purpose_continuation = 2,
    purpose_order_key = 3,
};

using signature = std::array<unsigned char, signature_size>;

const unsigned char* as_bytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

signature signature_of(const token_key& key, std::string_view signed_part)
{
    signature made{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.secret.data(), static_cast<int>(key.secret.size()), as_bytes(signed_part),
         signed_part.size(), made.data(), &size);
    return made;
}

error invalid(std::string detail)
{
    return make_error(error_kind::invalid_token, std::move(detail));
}

std::string reason_against(const token_key& key)
{
    if (key.id.empty() || key.id.size() > longest_key_id)
    {
        return "must have an id of 1 to 64 bytes";
    }
    if (key.secret.size() < shortest_secret)
    {
        return "must have a secret of 16 bytes or more";
    }
    return {};
}

/// Key id in a token whose size has been checked against the header and the signature.
std::string_view key_id_of(std::string_view bytes)
{
    return bytes.substr(header_size, static_cast<unsigned char>(bytes[header_size - 1]));
}

} // namespace

token_codec::token_codec(std::vector<token_key> keys) : keys_(std::move(keys)) {}

result<token_codec> token_codec::make(std::vector<token_key> keys)
{
    if (keys.empty())
    {
        return make_error(error_kind::invalid_field, "token_keys: must hold at least one key");
    }
    for (auto key = keys.begin(); key != keys.end(); ++key)
    {
        const std::string reason = reason_against(*key);
        if (!reason.empty())
        {
            return make_error(error_kind::invalid_field, "token_keys: key '" + key->id + "' " + reason);
        }
        if (std::any_of(keys.begin(), key, [&](const token_key& other) { return other.id == key->id; }))
        {
            return make_error(error_kind::invalid_field, "token_keys: two keys have the id '" + key->id + "'");
        }
    }
    return token_codec{std::move(keys)};
}

result<std::string> token_codec::sign(std::uint8_t purpose, std::string_view payload) const
{
    const token_key& key = keys_.front();
    std::string bytes;
    bytes.push_back(token_format);
    bytes.push_back(static_cast<char>(purpose));
    bytes.push_back(static_cast<char>(key.id.size()));
    bytes += key.id;
    bytes += payload;
    const signature made = signature_of(key, bytes);
    bytes.append(made.begin(), made.end());
    std::string text = detail::base64url_encode(bytes);
    if (text.size() > longest_token)
    {
        return make_error(error_kind::invalid_field, "token: the names in it are too long");
    }
    return text;
}

result<std::string> token_codec::verify(std::uint8_t purpose, std::string_view text) const
{
    if (text.size() > longest_token)
    {
        return invalid("token: longer than any token that is handed out");
    }
    const std::optional<std::string> bytes = detail::base64url_decode(text);
    if (!bytes || bytes->size() < header_size + signature_size)
    {
        return invalid("token: not a signed token");
    }
    const std::string_view signed_part = std::string_view{*bytes}.substr(0, bytes->size() - signature_size);
    const std::string_view key_id = key_id_of(signed_part);
    const auto key =
        std::find_if(keys_.begin(), keys_.end(), [&](const token_key& other) { return other.id == key_id; });
    if (key == keys_.end())
    {
        return invalid("token: signed with an unknown key");
    }
    const signature expected = signature_of(*key, signed_part);
    const std::string_view given = std::string_view{*bytes}.substr(signed_part.size());
    if (CRYPTO_memcmp(expected.data(), given.data(), signature_size) != 0)
    {
        return invalid("token: the signature does not match");
    }
    if (signed_part[0] != token_format || static_cast<std::uint8_t>(signed_part[1]) != purpose)
    {
        return invalid("token: of another type");
    }
    return std::string{signed_part.substr(header_size + key_id.size())};
}

result<std::string> token_codec::encode(const entry_token& token) const
{
    detail::byte_writer fields;
    fields.write(token.instance);
    fields.write(token.started);
    fields.write(token.highest);
    fields.write(token.issued);
    if (fields.too_long())
    {
        return make_error(error_kind::invalid_field, "entry token: a name is too long");
    }
    return sign(purpose_entry, fields.bytes());
}

result<entry_token> token_codec::decode_entry(std::string_view text) const
{
    BOOST_OUTCOME_TRY(const std::string payload, verify(purpose_entry, text));
    detail::byte_reader fields{payload};
    entry_token token;
    fields.read(token.instance);
    fields.read(token.started);
    fields.read(token.highest);
    fields.read(token.issued);
    if (!fields.complete())
    {
        return invalid("entry token: malformed payload");
    }
    return token;
}

result<std::string> token_codec::encode(const continuation_token& token) const
{
    detail::byte_writer fields;
    fields.write(token.instance);
    fields.write(token.started);
    fields.write(token.endpoint);
    fields.write_text(token.endpoint_address);
    fields.write(token.service);
    fields.write(token.attempt);
    fields.write_text(token.generation);
    fields.write(token.customer);
    fields.write(token.work_class);
    fields.write(token.highest);
    fields.write(token.expires);
    fields.write_number(token.how == delivery::whole ? 1 : 0);
    if (fields.too_long())
    {
        return make_error(error_kind::invalid_field, "continuation token: a name is too long");
    }
    return sign(purpose_continuation, fields.bytes());
}

result<continuation_token> token_codec::decode_continuation(std::string_view text, time_point now) const
{
    BOOST_OUTCOME_TRY(const std::string payload, verify(purpose_continuation, text));
    detail::byte_reader fields{payload};
    continuation_token token;
    fields.read(token.instance);
    fields.read(token.started);
    fields.read(token.endpoint);
    token.endpoint_address = fields.read_text();
    fields.read(token.service);
    fields.read(token.attempt);
    token.generation = fields.read_text();
    fields.read(token.customer);
    fields.read(token.work_class);
    fields.read(token.highest);
    fields.read(token.expires);
    token.how = fields.read_number() == 1 ? delivery::whole : delivery::stream;
    if (!fields.complete())
    {
        return invalid("continuation token: malformed payload");
    }
    if (now >= token.expires)
    {
        return make_error(error_kind::token_expired, "continuation token: expired");
    }
    return token;
}

result<std::string> token_codec::encode(const order_key_token& token) const
{
    detail::byte_writer fields;
    fields.write(token.home);
    fields.write(token.started);
    fields.write_text(token.home_peer_address);
    fields.write(token.customer);
    fields.write(token.service);
    fields.write_number(token.sequence);
    fields.write(token.send_deadline);
    fields.write(token.expires);
    if (fields.too_long())
    {
        return make_error(error_kind::invalid_field, "order key: a name is too long");
    }
    return sign(purpose_order_key, fields.bytes());
}

result<order_key_token> token_codec::decode_order_key(std::string_view text, time_point now) const
{
    BOOST_OUTCOME_TRY(const std::string payload, verify(purpose_order_key, text));
    detail::byte_reader fields{payload};
    order_key_token token;
    fields.read(token.home);
    fields.read(token.started);
    token.home_peer_address = fields.read_text();
    fields.read(token.customer);
    fields.read(token.service);
    token.sequence = fields.read_number();
    fields.read(token.send_deadline);
    fields.read(token.expires);
    if (!fields.complete())
    {
        return invalid("order key: malformed payload");
    }
    if (now >= token.expires)
    {
        return make_error(error_kind::key_expired, "order key: expired");
    }
    return token;
}

} // namespace parsleyshift
