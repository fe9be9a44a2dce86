#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/core/hash.hpp>             // stable_hash
#include <parsleyshift/routing/prefix_hashes.hpp> // prefix_hashes, prefix_tokens
#include <parsleyshift/routing/prefix_index.hpp>  // prefix_index

#include <string> // string

using namespace parsleyshift;

namespace
{

const endpoint_id engine{"engine-1"};
const std::string prompt(300, 'p');

} // namespace

TEST_GROUP(prefix_index)
{
    prefix_index index;
    std::vector<std::uint64_t> hashes = prefix_hashes(prompt);
};

// Guards against hashes that engines, which hash prefixes of the listed lengths, never announce.
TEST(prefix_index, hashes_are_those_of_the_listed_lengths_longest_first)
{
    test_support::check_property(
        "hash and length belong together",
        [](const std::string& seed)
        {
            std::string text;
            const auto size = *rc::gen::inRange<std::size_t>(0, 40'000);
            while (text.size() < size)
            {
                text += seed + std::to_string(text.size());
            }
            const std::vector<std::uint64_t> found = prefix_hashes(text);
            for (std::size_t place = 0; place < found.size(); ++place)
            {
                const std::size_t length = prefix_lengths[found.size() - 1 - place];
                RC_ASSERT(found[place] == stable_hash(text.substr(0, length)));
                RC_ASSERT(prefix_tokens(place, found.size()) * bytes_per_token == static_cast<std::int64_t>(length));
            }
            RC_ASSERT(found.size() == prefix_lengths.size() || prefix_lengths[found.size()] > text.size());
        });
    CHECK(prefix_hashes(std::string(63, 'p')).empty());
}

TEST(prefix_index, the_longest_cached_prefix_counts)
{
    LONGS_EQUAL(3, hashes.size());
    index.apply(engine, {{1, hashes[2], true}, {2, hashes[1], true}});
    DOUBLES_EQUAL(32, index.saved_tokens(engine, hashes), 0);
    index.apply(engine, {{4, hashes[0], true}, {3, hashes[1], false}});
    DOUBLES_EQUAL(64, index.saved_tokens(engine, hashes), 0);
    index.apply(engine, {{5, hashes[0], false}});
    DOUBLES_EQUAL(16, index.saved_tokens(engine, hashes), 0);
    index.forget(engine);
    DOUBLES_EQUAL(0, index.saved_tokens(engine, hashes), 0);
}

// Guards against affinity to prefixes that were evicted in events that never arrived.
TEST(prefix_index, a_gap_puts_in_doubt_what_was_known)
{
    index.apply(engine, {{1, hashes[0], true}});
    index.apply(engine, {{3, 77, true}});
    DOUBLES_EQUAL(16, index.saved_tokens(engine, hashes), 0);
    index.apply(engine, {{5, 78, true}});
    DOUBLES_EQUAL(0, index.saved_tokens(engine, hashes), 0);
    index.apply(engine, {{6, hashes[0], true}});
    DOUBLES_EQUAL(64, index.saved_tokens(engine, hashes), 0);
    // Repeated events are no gap.
    index.apply(engine, {{6, hashes[0], true}});
    DOUBLES_EQUAL(64, index.saved_tokens(engine, hashes), 0);
    // A lower sequence comes from a new process with an empty cache.
    index.apply(engine, {{1, 79, true}});
    DOUBLES_EQUAL(0, index.saved_tokens(engine, hashes), 0);
}

TEST(prefix_index, a_prompt_sent_there_counts_in_part_until_it_is_confirmed)
{
    index.expect(engine, hashes);
    DOUBLES_EQUAL(32, index.saved_tokens(engine, hashes), 0);
    index.apply(engine, {{1, hashes[0], true}});
    index.expect(engine, hashes);
    DOUBLES_EQUAL(64, index.saved_tokens(engine, hashes), 0);
}

// Guards against memory that grows with the prefixes, and against new prefixes that find no place.
TEST(prefix_index, a_full_index_keeps_what_came_last)
{
    prefix_policy policy;
    policy.per_endpoint = 64;
    policy.most_endpoints = 1;
    prefix_index narrow{policy};
    for (std::uint64_t sequence = 1; sequence <= 10'000; ++sequence)
    {
        const std::uint64_t prefix = mix_hash(sequence, 0);
        narrow.apply(engine, {{sequence, prefix, true}});
        DOUBLES_EQUAL(16, narrow.saved_tokens(engine, {prefix}), 0);
    }
    narrow.apply(endpoint_id{"another"}, {{1, 5, true}});
    DOUBLES_EQUAL(0, narrow.saved_tokens(endpoint_id{"another"}, {5}), 0);
}
