#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include <parsleyshift/configuration/reader_ranking.hpp> // readers_for_rank

#include <algorithm> // max
#include <cstddef>   // size_t
#include <map>       // map
#include <string>    // to_string
#include <vector>    // vector

using namespace parsleyshift;

namespace
{

std::vector<source_peer> ranking_of(std::size_t instances)
{
    std::vector<source_peer> ranking;
    for (std::size_t rank = 0; rank < instances; ++rank)
    {
        ranking.push_back({instance_id{std::to_string(rank)}, std::to_string(rank)});
    }
    return ranking;
}

} // namespace

TEST_GROUP(reader_ranking){};

// Guards against two instances that follow each other, directly or in a circle.
TEST(reader_ranking, each_instance_follows_only_higher_ranks)
{
    for (const std::size_t instances : {1U, 2U, 5U, 33U, 42U, 148U, 800U})
    {
        const auto ranking = ranking_of(instances);
        for (std::size_t rank = 0; rank < instances; ++rank)
        {
            const source_readers readers = readers_for_rank(ranking, rank);
            LONGS_EQUAL(rank > 0, !readers.preferred.empty());
            for (const source_peer& reader : readers.preferred)
            {
                CHECK(std::stoul(reader.address) < rank);
            }
            for (const source_peer& reader : readers.others)
            {
                CHECK(std::stoul(reader.address) > rank);
            }
        }
    }
}

// Guards against one instance that answers a whole region, and against a change that takes many steps.
TEST(reader_ranking, a_large_region_is_a_tree_of_two_steps)
{
    for (const std::size_t instances : {33U, 148U, 800U})
    {
        const auto ranking = ranking_of(instances);
        std::map<std::size_t, std::size_t> followers;
        std::size_t deepest = 0;
        for (std::size_t rank = 1; rank < instances; ++rank)
        {
            ++followers[std::stoul(readers_for_rank(ranking, rank).preferred.front().address)];
            std::size_t steps = 0;
            for (std::size_t at = rank; at != 0; ++steps)
            {
                at = std::stoul(readers_for_rank(ranking, at).preferred.front().address);
            }
            deepest = std::max(deepest, steps);
        }
        for (const auto& [reader, count] : followers)
        {
            CHECK(count <= std::max<std::size_t>(12, follower_count(instances)));
        }
        CHECK(deepest <= 2);
    }
}

// Guards against an instance that is given no other reader when its parent does not answer.
TEST(reader_ranking, the_readers_of_the_region_follow_the_parent)
{
    const auto readers = readers_for_rank(ranking_of(148), 100).preferred;
    LONGS_EQUAL(5, readers.size());
    STRCMP_EQUAL("7", readers[0].address.c_str());
    STRCMP_EQUAL("0", readers[1].address.c_str());
    // An instance that is not ranked, since it is stopping, follows the readers.
    LONGS_EQUAL(4, readers_for_rank(ranking_of(148), 148).preferred.size());
}
