#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include "core_fleet.hpp" // core_fleet

using namespace parsleyshift;
using namespace parsleyshift::literals;
using namespace parsleyshift::test;

namespace
{

using link_state = core_fleet::link_state;

/// Time from the loss of the links after which the users' bound holds.
constexpr duration stable_window{4'000};

void send_mixed_requests(core_fleet& fleet, duration time)
{
    for (duration passed{}; passed < time; passed += 100_ms)
    {
        for (int plain = 0; plain < 4; ++plain)
        {
            fleet.send_plain_request();
        }
        fleet.send_request({"template"});
        fleet.advance(100_ms);
    }
}

/// The users' bound: callers of instances without links are served at least two thirds as often as the others, and at
/// most 10 + 1 in 50 of all their requests fail otherwise.
bool served_alike(const core_fleet::tally& broken, const core_fleet::tally& sound)
{
    const int failed = broken.sent - broken.served;
    return broken.served * sound.sent * 3 >= sound.served * broken.sent * 2 ||
           failed <= 10 + (broken.sent + sound.sent) / 50;
}

/// Cuts some instances off all endpoints and returns whether their callers were served as often as the others.
bool serves_alike_without(std::size_t broken, link_state links, std::uint64_t seed)
{
    core_fleet fleet({7, 8, 0.0, seed, 3});
    send_mixed_requests(fleet, 3_s);
    for (std::size_t index = 0; index < broken; ++index)
    {
        fleet.set_links(index, links);
    }
    send_mixed_requests(fleet, stable_window);
    fleet.advance(3_s);
    fleet.take_tally(true);
    fleet.take_tally(false);
    send_mixed_requests(fleet, 8_s);
    fleet.advance(4_s);
    const core_fleet::tally at_broken = fleet.take_tally(true);
    return at_broken.sent > 20 && served_alike(at_broken, fleet.take_tally(false));
}

} // namespace

TEST_GROUP(lost_links){};

// Guards against an instance that takes the loss of its own links for failures of all endpoints.
TEST(lost_links, of_an_instance_do_not_fail_its_callers_while_they_are_silent)
{
    CHECK(serves_alike_without(1, link_state::silent, 1));
    CHECK(serves_alike_without(4, link_state::silent, 2));
}

// Guards against a connection that is not established and costs the request its time.
TEST(lost_links, of_an_instance_do_not_fail_its_callers_while_they_are_reset)
{
    CHECK(serves_alike_without(4, link_state::reset, 3));
}

// Guards against answers on the remaining connections that hide the loss of all others.
TEST(lost_links, of_an_instance_do_not_fail_its_callers_while_new_ones_are_refused)
{
    CHECK(serves_alike_without(4, link_state::new_refused, 4));
}

// Guards against a sound endpoint that is silent for a second and counts as the loss of all links.
TEST(lost_links, are_not_concluded_from_one_silent_endpoint)
{
    core_fleet fleet({7, 8, 0.0, 5, 3});
    send_mixed_requests(fleet, 2_s);
    fleet.silence_endpoint("d1", fleet.now() + 1'500_ms);
    send_mixed_requests(fleet, 4_s);
    LONGS_EQUAL(0, fleet.relayed_requests);
}

// Guards against refused connections that count as deaths of engines and block sound prompts everywhere.
TEST(lost_links, block_no_prompt_parts)
{
    for (const link_state links : {link_state::reset, link_state::new_refused})
    {
        core_fleet fleet({7, 8, 0.0, 6, 3});
        send_mixed_requests(fleet, 3_s);
        for (std::size_t index = 0; index < 4; ++index)
        {
            fleet.set_links(index, links);
        }
        send_mixed_requests(fleet, 8_s);
        LONGS_EQUAL(0, fleet.sound_quarantined);
    }
}

// Guards against an instance that goes on passing requests to others after its links are back.
TEST(lost_links, are_used_again_when_an_endpoint_answers)
{
    core_fleet fleet({7, 8, 0.0, 7, 3});
    send_mixed_requests(fleet, 2_s);
    fleet.set_links(0, link_state::silent);
    send_mixed_requests(fleet, 5_s);
    CHECK(fleet.relayed_requests > 0);
    fleet.set_links(0, link_state::sound);
    send_mixed_requests(fleet, 2_s);
    fleet.relayed_requests = 0;
    send_mixed_requests(fleet, 4_s);
    LONGS_EQUAL(0, fleet.relayed_requests);
}
