#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include "single_core.hpp" // single_core, core_fixture

#include <set>    // set
#include <string> // to_string

using namespace parsleyshift;
using namespace parsleyshift::literals;
using namespace parsleyshift::test;

TEST_GROUP_BASE(reading_peer, core_fixture){};

// Guards against a single instance that waits for a peer to read the source.
TEST(reading_peer, is_the_instance_itself_without_peers)
{
    CHECK_FALSE(core.reading_peer().has_value());
}

// Guards against source data that crosses the slow link between regions, and against a reader that has left.
TEST(reading_peer, is_a_live_peer_of_the_region)
{
    const region_id own_region{"r"};
    std::set<std::string> readers;
    for (int each = 0; each < 30; ++each)
    {
        const std::string peer = "p" + std::to_string(each);
        core.receive_member_update("far" + peer, region_id{"other"}, member_state::alive);
        core.receive_member_update(peer, own_region, member_state::alive);
        const auto reader = core.reading_peer();
        if (reader)
        {
            readers.insert(reader->instance.value());
            CHECK(reader->instance.value().starts_with("p"));
            STRCMP_EQUAL("10.1.0.1:81", reader->address.c_str());
        }
    }
    CHECK_FALSE(readers.empty());
    const std::string current = core.reading_peer()->instance.value();
    core.receive_member_update(current, own_region, member_state::leaving);
    CHECK(core.reading_peer()->instance.value() != current);
}
