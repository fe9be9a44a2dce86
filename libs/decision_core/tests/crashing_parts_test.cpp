#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include "core_fleet.hpp" // core_fleet

#include <algorithm> // count_if

using namespace parsleyshift;
using namespace parsleyshift::literals;
using namespace parsleyshift::test;

namespace
{

/// The users' bounds: requests with the part that may reach engines later than this after the fifth crash.
constexpr std::size_t max_late_starts = 3;
constexpr std::size_t counted_crashes = 5;
constexpr duration stable_window{4'000};

/// Sends a request every 100 ms; each fifth one has the part that crashes engines. Sound ones share all other parts.
void send_requests(core_fleet& fleet, duration time)
{
    for (int sent = 0; sent < time / 100_ms; ++sent)
    {
        const std::string topic = "topic-" + std::to_string(sent % 3);
        fleet.send_request(sent % 5 == 0 ? std::vector<std::string>{"template", topic, "deadly"}
                                         : std::vector<std::string>{"template", topic});
        fleet.advance(100_ms);
    }
}

std::size_t late_starts(const core_fleet& fleet)
{
    if (fleet.crashes.size() < counted_crashes)
    {
        return 0;
    }
    const time_point limit = fleet.crashes[counted_crashes - 1] + stable_window;
    return static_cast<std::size_t>(std::count_if(fleet.deadly_starts.begin(), fleet.deadly_starts.end(),
                                                  [limit](const auto& each) { return each.when > limit; }));
}

} // namespace

TEST_GROUP(crashing_parts){};

// Guards against a limit on crashes that each instance applies to what it has seen itself.
TEST(crashing_parts, are_counted_over_all_instances)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        core_fleet fleet({7, 12, 0.0, seed});
        send_requests(fleet, 30_s);
        CHECK(fleet.crashes.size() >= 2);
        CHECK(fleet.crashes.size() <= counted_crashes + max_late_starts);
        CHECK(late_starts(fleet) <= max_late_starts);
        LONGS_EQUAL(0, fleet.sound_quarantined);
    }
}

// Guards against a limit that depends on each message between the instances.
TEST(crashing_parts, are_counted_while_messages_are_lost)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed)
    {
        core_fleet fleet({20, 16, 0.3, seed});
        send_requests(fleet, 30_s);
        CHECK(late_starts(fleet) <= max_late_starts);
        LONGS_EQUAL(0, fleet.sound_quarantined);
    }
}

// Guards against instances that crash engines again because they have started after the part was blocked.
TEST(crashing_parts, are_known_to_instances_that_start_later)
{
    core_fleet fleet({5, 12, 0.0, 3});
    send_requests(fleet, 5_s);
    const std::size_t crashes = fleet.crashes.size();
    for (std::size_t restarts = 0; restarts < 5; ++restarts)
    {
        fleet.restart(0);
        fleet.advance(4_s);
    }
    send_requests(fleet, 5_s);
    CHECK(fleet.crashes.size() <= crashes + max_late_starts);
}
