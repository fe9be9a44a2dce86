#include <parsleyshift/test_support/property.hpp> // TEST_GROUP_BASE, CHECK

#include "single_core.hpp" // single_core

#include <cstdint> // uint64_t
#include <string>  // to_string
#include <utility> // exchange

using namespace parsleyshift;
using namespace parsleyshift::literals;
using namespace parsleyshift::test;

namespace
{

/// One core with peers, one of which schedules its streams.
struct permit_holder_fixture : public Utest
{
    single_core core;

    permit_holder_fixture()
    {
        core.configure();
        for (int peer = 1; peer <= 8; ++peer)
        {
            core.receive_member_update("p" + std::to_string(peer), region_id{"r"}, member_state::alive, "10.1.0.1:80");
        }
    }
    /// Lets an attempt fail and leaves the probes that follow without a result.
    void doubt_links()
    {
        const request_id failed = core.send_request("/non-idempotent/1");
        core.feed(attempt_failed{core.last_start(failed)->attempt, attempt_failure::connect_failed, "refused"});
        core.advance(60_ms);
    }
    void lose_links()
    {
        for (const probe_endpoint& probe : std::exchange(core.probes, {}))
        {
            core.feed(endpoint_probed{probe.endpoint, probe_result::unknown});
        }
        LONGS_EQUAL(1, core.lines(log_event::links_lost));
    }
    void grant(request_id request, const char* endpoint)
    {
        permit_grant granted;
        granted.request = request;
        granted.permit = permit_id{++permits};
        granted.endpoint = endpoint_id{endpoint};
        core.feed(peer_received{{instance_id{"p1"}, incarnation{1}, "10.1.0.1:81", revision{}, granted}});
    }

    std::uint64_t permits = 0;
};

} // namespace

TEST_GROUP_BASE(permit_holder, permit_holder_fixture){};

// Guards against a declined permit that is requested again while another instance runs the request.
TEST(permit_holder, requests_no_permit_for_a_request_that_was_passed_on)
{
    doubt_links();
    const request_id stream = core.send_request("/stream/1");
    grant(stream, "unknown");
    LONGS_EQUAL(1, core.lines(log_event::permit_declined));
    lose_links();
    LONGS_EQUAL(1, core.start_count(stream));
    CHECK(core.last_start(stream)->relayed);
    const std::size_t requested = core.sent_of<permit_request>().size();
    core.advance(1_s);
    grant(stream, "w1");
    LONGS_EQUAL(1, core.start_count(stream));
    LONGS_EQUAL(requested, core.sent_of<permit_request>().size());
}

// Guards against a permit for a request of an earlier process with the same number, which another service would run.
TEST(permit_holder, starts_nothing_at_an_endpoint_of_another_pool)
{
    const request_id stream = core.send_request("/stream/1");
    grant(stream, "d1");
    LONGS_EQUAL(0, core.start_count(stream));
    LONGS_EQUAL(1, core.sent_of<permit_return>().size());
}
