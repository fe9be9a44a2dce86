#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include "single_core.hpp" // single_core, core_fixture

#include <algorithm> // all_of, any_of
#include <set>       // set
#include <string>    // to_string

using namespace parsleyshift;
using namespace parsleyshift::literals;
using namespace parsleyshift::test;

TEST_GROUP_BASE(reading_peers, core_fixture){};

// Guards against a single instance that waits for a peer to read the source.
TEST(reading_peers, are_none_without_peers)
{
    CHECK(core.reading_peers().preferred.empty());
    CHECK(core.reading_peers().others.empty());
}

// Guards against source data that crosses the slow link between regions, and against a reader that has left.
TEST(reading_peers, are_live_peers_of_the_region)
{
    const region_id own_region{"r"};
    std::set<std::string> readers;
    for (int each = 0; each < 30; ++each)
    {
        const std::string peer = "p" + std::to_string(each);
        core.receive_member_update("far" + peer, region_id{"other"}, member_state::alive);
        core.receive_member_update(peer, own_region, member_state::alive);
        for (const source_peer& reader : core.reading_peers().preferred)
        {
            readers.insert(reader.instance.value());
            CHECK(reader.instance.value().starts_with("p"));
            STRCMP_EQUAL("10.1.0.1:81", reader.address.c_str());
        }
    }
    CHECK_FALSE(readers.empty());
    const std::string current = core.reading_peers().preferred.front().instance.value();
    core.receive_member_update(current, own_region, member_state::leaving);
    for (const source_peer& reader : core.reading_peers().preferred)
    {
        CHECK(reader.instance.value() != current);
    }
}

// Guards against a region whose instances all read the source when its reader stops answering, and against two
// instances that wait for each other.
TEST(reading_peers, are_four_at_most_and_preferred_to_the_instance_itself)
{
    const region_id own_region{"r"};
    for (int each = 0; each < 30; ++each)
    {
        core.receive_member_update("p" + std::to_string(each), own_region, member_state::alive);
    }
    const auto readers = core.reading_peers().preferred;
    LONGS_EQUAL(4, readers.size());
    CHECK(readers[0].instance != readers[1].instance);
    core.receive_member_update(readers[0].instance.value(), own_region, member_state::leaving);
    // The other readers stay; the parent in the tree may be another one.
    const auto remaining = core.reading_peers().preferred;
    const auto contains = [&remaining](const source_peer& reader)
    {
        return std::any_of(remaining.begin(), remaining.end(),
                           [&reader](const source_peer& each) { return each.instance == reader.instance; });
    };
    CHECK_FALSE(contains(readers[0]));
    CHECK(std::all_of(readers.begin() + 1, readers.end(), contains));
    // Without the members that rank higher, the instance follows fewer, and none at last.
    std::size_t count = core.reading_peers().preferred.size();
    while (count > 0)
    {
        core.receive_member_update(core.reading_peers().preferred.front().instance.value(), own_region,
                                   member_state::leaving);
        const std::size_t next_count = core.reading_peers().preferred.size();
        CHECK(next_count <= count);
        // Four readers at most, the instance itself included.
        CHECK(next_count + core.reading_peers().others.size() <= 4);
        count = next_count;
    }
}
