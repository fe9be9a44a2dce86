#include <parsleyshift/test_support/property.hpp> // TEST_GROUP_BASE, CHECK

#include "single_core.hpp" // single_core, core_fixture

#include <string>  // string
#include <utility> // exchange

using namespace parsleyshift;
using namespace parsleyshift::literals;
using namespace parsleyshift::test;

namespace
{

struct rejected_answers_fixture : public core_fixture
{
    /// Sends requests one after the other. The answers of one endpoint are rejected, all others are sound.
    /// @return the number of requests that were sent to that endpoint first
    int send_requests(const std::string& path, const endpoint_id& faulty, int count)
    {
        int at_faulty = 0;
        for (int each = 0; each < count; ++each)
        {
            const request_id request = core.send_request(path);
            POINTERS_EQUAL(nullptr, core.rejection(request));
            start_forward attempt = *core.last_start(request);
            if (attempt.endpoint == faulty)
            {
                ++at_faulty;
                core.feed(attempt_failed{attempt.attempt, attempt_failure::endpoint_error, "HTTP: invalid status"});
                // A request that may run twice is repeated at once or after a delay.
                core.advance(50_ms);
                attempt = *core.last_start(request);
            }
            if (attempt.endpoint != faulty)
            {
                core.feed(forward_answered{attempt.attempt, answer_sign::success, true});
            }
            core.advance(10_ms);
            core.feed(configuration_confirmed{core.now});
        }
        return at_faulty;
    }
};

} // namespace

TEST_GROUP_BASE(rejected_answers, rejected_answers_fixture){};

// Guards against an instance that takes broken answers to all its probes for the loss of its links.
TEST(rejected_answers, to_probes_show_that_links_work)
{
    core.configure();
    const request_id failed = core.send_request("/non-idempotent/1");
    core.feed(attempt_failed{core.last_start(failed)->attempt, attempt_failure::connect_failed, "refused"});
    core.advance(60_ms);
    CHECK(core.probes.size() > 1);
    for (const probe_endpoint& probe : std::exchange(core.probes, {}))
    {
        core.feed(endpoint_probed{probe.endpoint, probe_result::malformed});
    }
    LONGS_EQUAL(0, core.lines(log_event::links_lost));
}

// Guards against an endpoint whose answers are rejected and that stays in use, and against a request that is blamed for
// such an answer.
TEST(rejected_answers, eject_their_endpoint_and_block_no_request)
{
    const health_policy policy;
    for (const std::string path : {"/non-idempotent/1", "/idempotent/1", "/stream/1"})
    {
        core = single_core{};
        core.same_content = true;
        core.configure();
        const endpoint_id faulty{path == "/stream/1" ? "w1" : "d1"};
        CHECK_TEXT(send_requests(path, faulty, 20) >= policy.ejection_failures, path.c_str());
        core.advance(policy.evaluation_interval);
        LONGS_EQUAL_TEXT(0, send_requests(path, faulty, 20), path.c_str());
    }
}

// Guards against a request that cannot be written and is sent again and again, or that ejects its endpoint.
TEST(rejected_answers, do_not_include_requests_that_cannot_be_written)
{
    core.configure();
    for (const std::string path : {"/non-idempotent/1", "/idempotent/1", "/stream/1"})
    {
        const request_id request = core.send_request(path);
        core.feed(attempt_failed{core.last_start(request)->attempt, attempt_failure::invalid_head, "HTTP head"});
        LONGS_EQUAL_TEXT(1, core.start_count(request), path.c_str());
        CHECK_TEXT(rejection_outcome(request) == outcome::not_run, path.c_str());
    }
    LONGS_EQUAL(0, core.lines(log_event::endpoint_ejected));
}
