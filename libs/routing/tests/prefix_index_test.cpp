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

// Guards against hashes that never match the engines' cache events, because they cover other prefixes than those of the
// lengths in prefix_lengths.
TEST(prefix_index, hashes_prefixes_of_listed_lengths_longest_first)
{
    test_support::check_property("each hash and token count belongs to the prefix of its length",
                                 [](const std::string& seed)
                                 {
                                     std::string text;
                                     const auto min_size = *rc::gen::inRange<std::size_t>(0, 40'000);
                                     while (text.size() < min_size)
                                     {
                                         text += seed + std::to_string(text.size());
                                     }
                                     const std::vector<std::uint64_t> result = prefix_hashes(text);
                                     for (std::size_t position = 0; position < result.size(); ++position)
                                     {
                                         const std::size_t length = prefix_lengths[result.size() - 1 - position];
                                         RC_ASSERT(result[position] == stable_hash(text.substr(0, length)));
                                         RC_ASSERT(prefix_tokens(position, result.size()) * bytes_per_token ==
                                                   static_cast<std::int64_t>(length));
                                     }
                                     RC_ASSERT(result.size() == prefix_lengths.size() ||
                                               prefix_lengths[result.size()] > text.size());
                                 });
    CHECK(prefix_hashes(std::string(63, 'p')).empty());
}

// Guards against saved tokens of a shorter prefix than the longest cached one, or of a prefix that was evicted.
TEST(prefix_index, uses_longest_cached_prefix)
{
    LONGS_EQUAL(3, hashes.size());
    index.apply(engine, {{1, hashes[2], true}, {2, hashes[1], true}});
    DOUBLES_EQUAL(32, index.saved_tokens(engine, hashes), 0);
    index.apply(engine, {{4, hashes[0], true}, {3, hashes[1], false}});
    DOUBLES_EQUAL(64, index.saved_tokens(engine, hashes), 0);
    index.apply(engine, {{5, hashes[0], false}});
    DOUBLES_EQUAL(16, index.saved_tokens(engine, hashes), 0);
    index.remove(engine);
    DOUBLES_EQUAL(0, index.saved_tokens(engine, hashes), 0);
}

// Guards against affinity to prefixes whose eviction events were lost in a gap of the sequence.
TEST(prefix_index, gap_makes_entries_stale)
{
    index.apply(engine, {{1, hashes[0], true}});
    index.apply(engine, {{3, 77, true}});
    DOUBLES_EQUAL(16, index.saved_tokens(engine, hashes), 0);
    index.apply(engine, {{5, 78, true}});
    DOUBLES_EQUAL(0, index.saved_tokens(engine, hashes), 0);
    index.apply(engine, {{6, hashes[0], true}});
    DOUBLES_EQUAL(64, index.saved_tokens(engine, hashes), 0);
    // A repeated event is not a gap.
    index.apply(engine, {{6, hashes[0], true}});
    DOUBLES_EQUAL(64, index.saved_tokens(engine, hashes), 0);
    // A lower sequence number comes from a new process with an empty cache.
    index.apply(engine, {{1, 79, true}});
    DOUBLES_EQUAL(0, index.saved_tokens(engine, hashes), 0);
}

// Guards against prompts sent recently that have no affinity until their events arrive, and against a confirmed prefix
// that becomes unconfirmed when it is sent again.
TEST(prefix_index, sent_prompt_counts_partially_until_confirmed)
{
    index.add_unconfirmed(engine, hashes);
    DOUBLES_EQUAL(32, index.saved_tokens(engine, hashes), 0);
    index.apply(engine, {{1, hashes[0], true}});
    index.add_unconfirmed(engine, hashes);
    DOUBLES_EQUAL(64, index.saved_tokens(engine, hashes), 0);
}

// Guards against memory that grows with the number of prefixes, and against a full index that drops new prefixes.
TEST(prefix_index, full_index_keeps_latest_prefixes)
{
    prefix_policy policy;
    policy.prefixes_per_endpoint = 64;
    policy.max_endpoints = 1;
    prefix_index small_index{policy};
    for (std::uint64_t sequence = 1; sequence <= 10'000; ++sequence)
    {
        const std::uint64_t prefix = mix_hash(sequence, 0);
        small_index.apply(engine, {{sequence, prefix, true}});
        DOUBLES_EQUAL(16, small_index.saved_tokens(engine, {prefix}), 0);
    }
    small_index.apply(endpoint_id{"another"}, {{1, 5, true}});
    DOUBLES_EQUAL(0, small_index.saved_tokens(endpoint_id{"another"}, {5}), 0);
}
