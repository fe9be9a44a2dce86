#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/compression/deflate.hpp> // compress, decompress

#include <cstdint> // uint32_t
#include <string>  // string

using namespace parsleyshift;

namespace
{

constexpr std::size_t limit = 100'000;

} // namespace

TEST_GROUP(compression){};

// Guards against values that change on the way to a peer.
TEST(compression, keeps_any_bytes)
{
    test_support::check_property("decompressed bytes equal the original", [](const std::string& bytes)
                                 { RC_ASSERT(decompress(compress(bytes), limit).value() == bytes); });
    const std::string large(limit, 'x');
    CHECK(decompress(compress(large), limit).value() == large);
    CHECK(compress(large).size() < large.size() / 100);
}

// Guards against a small message of a faulty peer that fills the memory.
TEST(compression, refuses_a_result_above_the_limit)
{
    const std::string packed = compress(std::string(limit + 1, 'x'));
    CHECK(decompress(packed, limit).error().kind == error_kind::body_too_large);
    CHECK(decompress(packed, limit + 1).has_value());
    CHECK(decompress(compress("x"), 0).has_error());
    CHECK(decompress(compress(""), 0).has_value());
}

// Guards against damaged or truncated input that crashes, hangs or yields a wrong value.
TEST(compression, refuses_damaged_input)
{
    const std::string text = "a configuration with some routes";
    test_support::check_property("damaged bytes decompress to an error or the original",
                                 [&text](std::uint32_t at, std::uint8_t byte, std::uint32_t size)
                                 {
                                     std::string packed = compress(text);
                                     packed[at % packed.size()] = static_cast<char>(byte);
                                     packed.resize(size % (packed.size() + 1));
                                     const auto out = decompress(packed, limit);
                                     // RC_ASSERT evaluates both sides of a disjunction.
                                     const bool correct = out.has_error() || out.value() == text;
                                     RC_ASSERT(correct);
                                 });
    CHECK(decompress("", limit).has_error());
    CHECK(decompress(compress(text) + "x", limit).has_error());
}
