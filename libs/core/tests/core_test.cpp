#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/core/bounded_ring.hpp> // bounded_ring
#include <parsleyshift/core/error.hpp>        // error, name_of, value_of
#include <parsleyshift/core/field_text.hpp>   // escaped, is_field_value, is_identifier
#include <parsleyshift/core/hash.hpp>         // rendezvous_score
#include <parsleyshift/core/http_status.hpp>  // is_valid_status
#include <parsleyshift/core/ids.hpp>          // request_id

#include <array>   // array
#include <cstddef> // size_t
#include <string>  // string

using namespace parsleyshift;

TEST_GROUP(core){};

// Guards against an error message without a remedy, and against two error kinds with the same name.
TEST(core, every_error_kind_has_a_name_and_a_remedy)
{
    for (const auto& row : enum_names<error_kind>::rows)
    {
        CHECK_FALSE(row.name.empty());
        CHECK_FALSE(row.remedy.empty());
        CHECK(value_of<error_kind>(row.name) == row.value);
    }
}

// Guards against a change of the message format, which callers and operators see.
TEST(core, error_message_contains_number_name_detail_and_remedy)
{
    const error failed = make_error(error_kind::invalid_field, "customer.weight: must be positive");
    STRCMP_EQUAL("[102 invalid_field] customer.weight: must be positive; correct the named field",
                 failed.message().c_str());
}

// Guards against a full ring that moves from or drops the element that it rejects.
TEST(core, full_ring_rejects_and_keeps_the_element_unchanged)
{
    bounded_ring<std::string> ring{1};
    std::string first = "first";
    std::string second = "second";
    CHECK(ring.try_push(first));
    CHECK_FALSE(ring.try_push(second));
    STRCMP_EQUAL("second", second.c_str());
    std::string taken;
    CHECK(ring.try_pop(taken));
    STRCMP_EQUAL("first", taken.c_str());
    CHECK_FALSE(ring.try_pop(taken));
}

// Guards against a hash with which removing a candidate also moves keys between the remaining candidates.
TEST(core, rendezvous_hashing_moves_only_the_keys_of_a_removed_candidate)
{
    test_support::check_property("removing a candidate keeps the owners of the keys of other candidates",
                                 [](const std::string& key)
                                 {
                                     const auto owner_of = [&key](int candidates)
                                     {
                                         int best = 0;
                                         for (int candidate = 1; candidate < candidates; ++candidate)
                                         {
                                             if (rendezvous_score(key, std::to_string(candidate)) >
                                                 rendezvous_score(key, std::to_string(best)))
                                             {
                                                 best = candidate;
                                             }
                                         }
                                         return best;
                                     };
                                     const int owner = owner_of(9);
                                     RC_PRE(owner != 8);
                                     RC_ASSERT(owner_of(8) == owner);
                                 });
}

// Guards against a status code outside the five classes that passes for one of a response.
TEST(core, valid_statuses_have_a_class)
{
    for (const unsigned status : {100U, 200U, 599U})
    {
        CHECK(is_valid_status(status));
    }
    for (const unsigned status : {0U, 99U, 600U, 999U})
    {
        CHECK_FALSE(is_valid_status(status));
    }
}

// Guards against an identifier of another system that brings a line end into a head or is trimmed there, and against
// one that is rejected although HTTP carries it unchanged.
TEST(core, tells_identifiers_from_other_texts)
{
    for (const char* text : {"i-7f3a91c2", "a/b", "caf\xc3\xa9", "\"quoted\""})
    {
        CHECK_TEXT(is_identifier(text), text);
    }
    for (const char* text : {"", " ", "a b", "a\r\n", "a\n", "a\r", "\ta", "a\x7f"})
    {
        CHECK_FALSE_TEXT(is_identifier(text), text);
    }
    CHECK_FALSE(is_identifier(std::string_view{"a\0b", 3}));
    CHECK_TRUE(is_identifier(std::string(192, 'x')));
}

// Guards against an arbitrary text that passes as a field value with a byte that RFC 9110 does not allow there.
TEST(core, field_values_have_no_control_characters)
{
    for (int code = 0; code < 256; ++code)
    {
        const std::array<char, 3> text{'a', static_cast<char>(code), 'b'};
        const bool is_allowed = code == '\t' || (code >= 0x20 && code != 0x7f);
        CHECK_EQUAL(is_allowed, is_field_value({text.data(), text.size()}));
    }
    CHECK_TRUE(is_field_value(""));
    CHECK_FALSE(is_field_value("a "));
    CHECK_FALSE(is_field_value("\ta"));
}

// Guards against a message in which a text of another system forges a line, or one that a long text fills.
TEST(core, shows_texts_escaped_and_shortened)
{
    STRCMP_EQUAL("a\\x0d\\x0ab\\x5c", escaped("a\r\nb\\").c_str());
    const std::size_t shown_size = escaped(std::string(1'000, 'x')).size();
    CHECK(shown_size < 100);
}
