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

constexpr char format_version = 1;
constexpr std::size_t signature_bytes = 32;
constexpr std::size_t header_bytes = 3; // format version, token type, length of the key id
constexpr std::size_t max_key_id_bytes = 64;
constexpr std::size_t min_secret_bytes = 16;

enum token_type : std::uint8_t
{
    token_type_entry = 1,
    token_type_continuation = 2,
    token_type_order_key = 3,
};

using signature = std::array<unsigned char, signature_bytes>;

const unsigned char* as_bytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

signature compute_signature(const token_key& key, std::string_view signed_part)
{
    signature computed{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.secret.data(), static_cast<int>(key.secret.size()), as_bytes(signed_part),
         signed_part.size(), computed.data(), &size);
    return computed;
}

error invalid_token_error(std::string detail)
{
    return make_error(error_kind::invalid_token, std::move(detail));
}

std::string key_error(const token_key& key)
{
    if (key.id.empty() || key.id.size() > max_key_id_bytes)
    {
        return "must have an id of 1 to 64 bytes";
    }
    if (key.secret.size() < min_secret_bytes)
    {
        return "must have a secret of at least 16 bytes";
    }
    return {};
}

/// Returns the key id of a token that has at least the size of a header. The length of the id
/// is not verified yet, so the id ends at the end of the token at the latest.
std::string_view key_id_of(std::string_view bytes)
{
    return bytes.substr(header_bytes, static_cast<unsigned char>(bytes[header_bytes - 1]));
}

} // namespace

token_codec::token_codec(std::vector<token_key> keys) : keys_(std::move(keys)) {}

result<token_codec> token_codec::make(std::vector<token_key> keys)
{
    if (keys.empty())
    {
        return make_error(error_kind::invalid_field, "token_keys: must contain at least one key");
    }
    for (auto key = keys.begin(); key != keys.end(); ++key)
    {
        const std::string reason = key_error(*key);
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

result<std::string> token_codec::sign(std::uint8_t token_type, std::string_view payload) const
{
    const token_key& key = keys_.front();
    std::string bytes;
    bytes.push_back(format_version);
    bytes.push_back(static_cast<char>(token_type));
    bytes.push_back(static_cast<char>(key.id.size()));
    bytes += key.id;
    bytes += payload;
    const signature computed = compute_signature(key, bytes);
    bytes.append(computed.begin(), computed.end());
    std::string text = detail::base64url_encode(bytes);
    if (text.size() > max_token_length)
    {
        return make_error(
            error_kind::invalid_field,
            "token: longer than the maximum length; shorten the instance, customer, service and endpoint names");
    }
    return text;
}

result<std::string> token_codec::verify(std::uint8_t token_type, std::string_view text) const
{
    if (text.size() > max_token_length)
    {
        return invalid_token_error("token: longer than any token that this service issues");
    }
    const std::optional<std::string> bytes = detail::base64url_decode(text);
    if (!bytes || bytes->size() < header_bytes + signature_bytes)
    {
        return invalid_token_error("token: not valid base64url, or too short to contain a signature");
    }
    const std::string_view signed_part = std::string_view{*bytes}.substr(0, bytes->size() - signature_bytes);
    const std::string_view key_id = key_id_of(signed_part);
    const auto key =
        std::find_if(keys_.begin(), keys_.end(), [&](const token_key& other) { return other.id == key_id; });
    if (key == keys_.end())
    {
        return invalid_token_error("token: signed with a key that is not in token_keys");
    }
    const signature expected = compute_signature(*key, signed_part);
    const std::string_view received = std::string_view{*bytes}.substr(signed_part.size());
    if (CRYPTO_memcmp(expected.data(), received.data(), signature_bytes) != 0)
    {
        return invalid_token_error("token: the signature does not match the content");
    }
    if (signed_part[0] != format_version || static_cast<std::uint8_t>(signed_part[1]) != token_type)
    {
        return invalid_token_error("token: wrong format version or token type");
    }
    return std::string{signed_part.substr(header_bytes + key_id.size())};
}

result<std::string> token_codec::encode(const entry_token& token) const
{
    detail::byte_writer fields;
    fields.write(token.instance);
    fields.write(token.started);
    fields.write(token.highest_revision);
    fields.write(token.issued);
    if (fields.too_long())
    {
        return make_error(error_kind::invalid_field, "entry token: a field is too long to be encoded; shorten it");
    }
    return sign(token_type_entry, fields.bytes());
}

result<entry_token> token_codec::decode_entry(std::string_view text) const
{
    BOOST_OUTCOME_TRY(const std::string payload, verify(token_type_entry, text));
    detail::byte_reader fields{payload};
    entry_token token;
    fields.read(token.instance);
    fields.read(token.started);
    fields.read(token.highest_revision);
    fields.read(token.issued);
    if (!fields.complete())
    {
        return invalid_token_error("entry token: malformed payload");
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
    fields.write(token.highest_revision);
    fields.write(token.expires);
    fields.write_number(token.delivery_mode == delivery::whole ? 1 : 0);
    if (fields.too_long())
    {
        return make_error(error_kind::invalid_field,
                          "continuation token: a field is too long to be encoded; shorten it");
    }
    return sign(token_type_continuation, fields.bytes());
}

result<continuation_token> token_codec::decode_continuation(std::string_view text, time_point now) const
{
    BOOST_OUTCOME_TRY(const std::string payload, verify(token_type_continuation, text));
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
    fields.read(token.highest_revision);
    fields.read(token.expires);
    token.delivery_mode = fields.read_number() == 1 ? delivery::whole : delivery::stream;
    if (!fields.complete())
    {
        return invalid_token_error("continuation token: malformed payload");
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
        return make_error(error_kind::invalid_field, "order key: a field is too long to be encoded; shorten it");
    }
    return sign(token_type_order_key, fields.bytes());
}

result<order_key_token> token_codec::decode_order_key(std::string_view text, time_point now) const
{
    BOOST_OUTCOME_TRY(const std::string payload, verify(token_type_order_key, text));
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
        return invalid_token_error("order key: malformed payload");
    }
    if (now >= token.expires)
    {
        return make_error(error_kind::key_expired, "order key: expired");
    }
    return token;
}

} // namespace parsleyshift
