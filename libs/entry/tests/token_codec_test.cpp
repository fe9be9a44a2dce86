#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/entry/token_codec.hpp> // token_codec

#include <string> // string

using namespace parsleyshift;
using namespace parsleyshift::literals;

namespace
{

const token_key old_key{"2026-11", "sixteen bytes or more, old"};
const token_key new_key{"2026-12", "sixteen bytes or more, new"};
constexpr time_point expiry = at_ms(1'800'000'000'000);
constexpr time_point before_expiry = expiry - 1_ms;

token_codec codec_of(std::vector<token_key> keys)
{
    return token_codec::make(std::move(keys)).value();
}

continuation_token some_continuation()
{
    return {instance_id{"entry-3"},
            incarnation{7},
            endpoint_id{"engine-9"},
            "127.0.0.9:8000",
            service_id{"narrator"},
            attempt_id{1234567890123},
            "g-1",
            customer_id{"peat"},
            class_id{"long"},
            revision{42},
            expiry,
            delivery::whole};
}

order_key_token some_order_key()
{
    return {instance_id{"entry-3"}, incarnation{7}, "127.0.0.3:7000", customer_id{"peat"}, service_id{"fieldbook"}, 99,
            expiry - 60_s,          expiry};
}

entry_token some_entry()
{
    return {instance_id{"entry-3"}, incarnation{7}, revision{42}, at_ms(1'700'000'000'000)};
}

bool rejected_by_all(const token_codec& codec, const std::string& text)
{
    const auto entry = codec.decode_entry(text);
    const auto continuation = codec.decode_continuation(text, before_expiry);
    const auto order_key = codec.decode_order_key(text, before_expiry);
    return entry.has_error() && entry.error().kind == error_kind::invalid_token && continuation.has_error() &&
           continuation.error().kind == error_kind::invalid_token && order_key.has_error() &&
           order_key.error().kind == error_kind::invalid_token;
}

} // namespace

TEST_GROUP(token_codec){};

// Guards against fields that are lost or swapped between encoding and decoding.
TEST(token_codec, tokens_survive_a_round_trip)
{
    const token_codec codec = codec_of({new_key});
    CHECK(codec.decode_entry(codec.encode(some_entry()).value()).value() == some_entry());
    CHECK(codec.decode_continuation(codec.encode(some_continuation()).value(), before_expiry).value() ==
          some_continuation());
    CHECK(codec.decode_order_key(codec.encode(some_order_key()).value(), before_expiry).value() == some_order_key());

    test_support::check_property("any order key that can be encoded survives a round trip",
                                 [&](const std::string& customer, std::uint64_t sequence, std::int64_t deadline)
                                 {
                                     order_key_token token = some_order_key();
                                     token.customer = customer_id{customer};
                                     token.sequence = sequence;
                                     token.send_deadline = at_ms(deadline);
                                     const auto text = codec.encode(token);
                                     RC_PRE(text.has_value());
                                     RC_ASSERT(codec.decode_order_key(text.value(), before_expiry).value() == token);
                                 });
}

// Guards against a caller that changes the home, the deadline or the customer of a token, and against a second text
// that is accepted as the same token.
TEST(token_codec, a_token_with_any_changed_character_is_rejected)
{
    const token_codec codec = codec_of({new_key, old_key});
    const std::string texts[] = {codec.encode(some_entry()).value(), codec.encode(some_continuation()).value(),
                                 codec.encode(some_order_key()).value()};
    for (const std::string& text : texts)
    {
        for (std::size_t index = 0; index < text.size(); ++index)
        {
            for (int byte = 0; byte < 256; ++byte)
            {
                std::string changed = text;
                changed[index] = static_cast<char>(byte);
                CHECK(changed == text || rejected_by_all(codec, changed));
            }
        }
    }
}

// Guards against a shortened or extended token whose signature check covers only a part of the text.
TEST(token_codec, a_token_with_characters_added_or_removed_is_rejected)
{
    const token_codec codec = codec_of({new_key});
    const std::string text = codec.encode(some_continuation()).value();
    test_support::check_property("a token with text inserted or removed is rejected",
                                 [&](const std::string& inserted)
                                 {
                                     const std::size_t position = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
                                     const std::size_t removed = *rc::gen::inRange<std::size_t>(0, text.size());
                                     const std::string changed = text.substr(0, position) + inserted +
                                                                 text.substr(std::min(text.size(), position + removed));
                                     RC_PRE(changed != text);
                                     RC_ASSERT(rejected_by_all(codec, changed));
                                 });
}

// Guards against a decoder that reads outside of its input.
TEST(token_codec, arbitrary_bytes_are_rejected)
{
    const token_codec codec = codec_of({new_key});
    test_support::check_property("arbitrary bytes are rejected",
                                 [&](const std::string& bytes) { RC_ASSERT(rejected_by_all(codec, bytes)); });
    test_support::check_property("arbitrary base64url text is rejected",
                                 [&]
                                 {
                                     const std::string text = *rc::gen::container<std::string>(
                                         rc::gen::element('A', 'z', '0', '-', '_', '9', 'B', 'k'));
                                     RC_ASSERT(rejected_by_all(codec, text));
                                 });
    CHECK(rejected_by_all(codec, std::string(max_token_length + 1, 'A')));
}

// Guards against a continuation token that is accepted as an order key, or the reverse.
TEST(token_codec, a_token_of_one_type_is_rejected_as_another)
{
    const token_codec codec = codec_of({new_key});
    const std::string entry = codec.encode(some_entry()).value();
    const std::string continuation = codec.encode(some_continuation()).value();
    const std::string order_key = codec.encode(some_order_key()).value();
    // The error shows that the type is checked before the payload, which could by chance be valid for the other type.
    const error expected = make_error(error_kind::invalid_token, "token: wrong format version or token type");
    CHECK(codec.decode_continuation(entry, before_expiry).error() == expected);
    CHECK(codec.decode_order_key(entry, before_expiry).error() == expected);
    CHECK(codec.decode_entry(continuation).error() == expected);
    CHECK(codec.decode_order_key(continuation, before_expiry).error() == expected);
    CHECK(codec.decode_entry(order_key).error() == expected);
    CHECK(codec.decode_continuation(order_key, before_expiry).error() == expected);
}

// Guards against a rotation that invalidates tokens in use, and against a removed key that still verifies.
TEST(token_codec, the_first_key_signs_and_all_keys_verify)
{
    const std::string text = codec_of({old_key}).encode(some_entry()).value();
    CHECK(codec_of({new_key, old_key}).decode_entry(text).has_value());
    CHECK(codec_of({new_key}).decode_entry(text).error().kind == error_kind::invalid_token);
    const std::string rotated = codec_of({new_key, old_key}).encode(some_entry()).value();
    CHECK(codec_of({new_key}).decode_entry(rotated).has_value());
    // A key with the same id but another secret does not verify the token.
    CHECK(codec_of({{old_key.id, "another secret of enough bytes"}}).decode_entry(text).has_error());
}

// Guards against an expired order key whose remedy invites the caller to place the order again.
TEST(token_codec, expired_tokens_have_their_own_errors)
{
    const token_codec codec = codec_of({new_key});
    const std::string continuation = codec.encode(some_continuation()).value();
    const std::string order_key = codec.encode(some_order_key()).value();
    CHECK(codec.decode_continuation(continuation, expiry).error().kind == error_kind::token_expired);
    CHECK(codec.decode_order_key(order_key, expiry).error().kind == error_kind::key_expired);
    CHECK(codec.decode_continuation(continuation, before_expiry).has_value());
    CHECK(codec.decode_order_key(order_key, before_expiry).has_value());
}

// Guards against tokens that encode() issues and decoding rejects because of their length, and against a text that
// overflows its length field.
TEST(token_codec, a_token_that_would_be_too_long_is_not_created)
{
    const token_codec codec = codec_of({new_key});
    continuation_token token = some_continuation();
    token.generation = std::string(max_token_length, 'g');
    CHECK(codec.encode(token).error().kind == error_kind::invalid_field);
    token.generation = std::string(70'000, 'g');
    CHECK(codec.encode(token).error().kind == error_kind::invalid_field);
}

// Guards against tokens that are signed without a key or with one that is easy to guess.
TEST(token_codec, unusable_keys_are_rejected)
{
    CHECK(token_codec::make({}).has_error());
    CHECK(token_codec::make({{"", new_key.secret}}).has_error());
    CHECK(token_codec::make({{"a", "short"}}).has_error());
    CHECK(token_codec::make({{std::string(65, 'a'), new_key.secret}}).has_error());
    CHECK(token_codec::make({new_key, new_key}).has_error());
}
