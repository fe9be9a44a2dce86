#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include "single_core.hpp" // single_core, core_fixture

#include <set>    // set
#include <string> // to_string

using namespace parsleyshift;
using namespace parsleyshift::literals;
using namespace parsleyshift::test;

TEST_GROUP_BASE(source_reader, core_fixture){};

// Guards against an instance that is alone and waits for a peer to read for it.
TEST(source_reader, an_instance_alone_reads_itself)
{
    CHECK_FALSE(core.source_reader().has_value());
}

// Guards against readings that cross the narrow link between regions, and against a reader that has gone.
TEST(source_reader, is_a_live_peer_of_the_region)
{
    const region_id own{"r"};
    std::set<std::string> named;
    for (int each = 0; each < 30; ++each)
    {
        const std::string peer = "p" + std::to_string(each);
        core.hear_of("far" + peer, region_id{"other"}, member_state::alive);
        core.hear_of(peer, own, member_state::alive);
        const auto reader = core.source_reader();
        if (reader)
        {
            named.insert(reader->instance.value());
            CHECK(reader->instance.value().starts_with("p"));
            STRCMP_EQUAL("10.1.0.1:81", reader->address.c_str());
        }
    }
    CHECK_FALSE(named.empty());
    const std::string last = core.source_reader()->instance.value();
    core.hear_of(last, own, member_state::leaving);
    CHECK(core.source_reader()->instance.value() != last);
}
