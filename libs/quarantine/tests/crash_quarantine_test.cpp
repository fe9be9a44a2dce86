#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/core/random_source.hpp>                // random_source
#include <parsleyshift/quarantine/crash_quarantine.hpp>       // crash_quarantine
#include <parsleyshift/quarantine/endpoints_for_suspects.hpp> // endpoints_for_suspects
#include <parsleyshift/quarantine/request_fingerprint.hpp>    // request_fingerprint

#include <algorithm> // all_of, find, reverse
#include <set>       // set
#include <string>    // to_string

using namespace parsleyshift;
using namespace parsleyshift::literals;

namespace
{

const endpoint_id first_engine{"engine-1"};
const endpoint_id second_engine{"engine-2"};
const endpoint_id third_engine{"engine-3"};
constexpr fingerprint crashing_request{1};
constexpr fingerprint harmless_request{2};
constexpr time_point start = at_ms(1'700'000'000'000);

/// Simulates a run whose connection is lost and the detection, `detection_delay` later, that its endpoint died.
std::vector<quarantine_notice> crash_endpoint(crash_quarantine& quarantine, std::uint64_t attempt, fingerprint request,
                                              const endpoint_id& endpoint, time_point disconnected_at,
                                              duration detection_delay = 500_ms)
{
    quarantine.run_started(attempt_id{attempt}, request, endpoint);
    quarantine.run_ended(attempt_id{attempt}, run_end::connection_lost, disconnected_at);
    return quarantine.endpoint_died(endpoint, disconnected_at + detection_delay);
}

struct simulated_run
{
    attempt_id attempt;
    std::size_t instance = 0;
    endpoint_id endpoint;
};

struct simulated_request
{
    fingerprint request;
    bool crashes_endpoint = false;
    bool completed = false;
    int crash_count = 0;
    std::optional<simulated_run> run;
};

/// Simulates instances that share endpoints, callers that resend until the request completes, and notices that reach
/// every instance.
class quarantine_simulation
{
  public:
    quarantine_simulation(std::size_t instances, std::size_t endpoints, std::size_t crashing_count,
                          std::size_t harmless_count)
        : quarantines_(instances, crash_quarantine{policy_with_long_retention()})
    {
        for (std::size_t index = 0; index < instances; ++index)
        {
            instances_.push_back(instance_id{"entry-" + std::to_string(index)});
        }
        for (std::size_t index = 0; index < endpoints; ++index)
        {
            endpoints_.push_back(endpoint_id{"engine-" + std::to_string(index)});
        }
        for (std::size_t index = 0; index < crashing_count + harmless_count; ++index)
        {
            requests.push_back({fingerprint{index}, index < crashing_count, false, 0, std::nullopt});
        }
    }

    void step(random_source& random)
    {
        now_ += 5_s;
        simulated_request& selected = requests[random.index(requests.size())];
        if (!selected.run)
        {
            begin(selected, random);
        }
        else if (selected.crashes_endpoint)
        {
            crash(selected);
        }
        else
        {
            complete(selected);
        }
    }

    bool is_quarantined(const simulated_request& request) const
    {
        return std::any_of(quarantines_.begin(), quarantines_.end(),
                           [&](const crash_quarantine& quarantine)
                           { return quarantine.state_of(request.request, now_) == quarantine_state::quarantined; });
    }

    std::vector<simulated_request> requests;

  private:
    /// Deaths do not expire within a simulation.
    static quarantine_policy policy_with_long_retention()
    {
        quarantine_policy policy;
        policy.retention = 36'000_s;
        return policy;
    }

    void begin(simulated_request& selected, random_source& random)
    {
        const std::size_t instance = random.index(quarantines_.size());
        crash_quarantine& quarantine = quarantines_[instance];
        const bool clear = quarantine.state_of(selected.request, now_) == quarantine_state::clear;
        const std::vector<endpoint_id> candidates =
            clear ? endpoints_ : endpoints_for_suspects(endpoints_, instances_, instances_[instance]);
        const endpoint_id& endpoint = candidates[random.index(candidates.size())];
        if (!quarantine.may_run(selected.request, endpoint, now_))
        {
            return;
        }
        const attempt_id attempt{++last_attempt_};
        quarantine.run_started(attempt, selected.request, endpoint);
        selected.run = simulated_run{attempt, instance, endpoint};
    }

    void complete(simulated_request& selected)
    {
        const auto notice =
            quarantines_[selected.run->instance].run_ended(selected.run->attempt, run_end::completed, now_);
        selected.run = std::nullopt;
        selected.completed = true;
        if (notice)
        {
            broadcast(*notice);
        }
    }

    void crash(simulated_request& selected)
    {
        ++selected.crash_count;
        const endpoint_id dead = selected.run->endpoint;
        for (simulated_request& affected : requests)
        {
            if (affected.run && affected.run->endpoint == dead)
            {
                quarantines_[affected.run->instance].run_ended(affected.run->attempt, run_end::connection_lost, now_);
                affected.run = std::nullopt;
            }
        }
        for (crash_quarantine& quarantine : quarantines_)
        {
            for (const quarantine_notice& notice : quarantine.endpoint_died(dead, now_ + 300_ms))
            {
                broadcast(notice);
            }
        }
    }

    void broadcast(const quarantine_notice& notice)
    {
        for (crash_quarantine& quarantine : quarantines_)
        {
            quarantine.merge(notice, now_);
        }
    }

    std::vector<crash_quarantine> quarantines_;
    std::vector<instance_id> instances_;
    std::vector<endpoint_id> endpoints_;
    std::uint64_t last_attempt_ = 0;
    time_point now_ = start;
};

} // namespace

TEST_GROUP(crash_quarantine){};

// Guards against a request that crashes a third endpoint when other requests run, and crash endpoints, beside it.
TEST(crash_quarantine, no_request_crashes_more_than_two_endpoints)
{
    test_support::check_property(
        "no request crashes a third endpoint",
        [](std::uint64_t seed)
        {
            random_source random{seed};
            quarantine_simulation simulation{1 + random.index(5), 1 + random.index(6), 1 + random.index(4), 8};
            for (int step = 0; step < 300; ++step)
            {
                simulation.step(random);
                for (const simulated_request& request : simulation.requests)
                {
                    RC_ASSERT(request.crash_count <= 2);
                }
            }
        });
}

// Guards against harmless requests that are quarantined, or never run again, because they ran beside a crashing one.
TEST(crash_quarantine, harmless_requests_beside_one_crashing_request_complete)
{
    test_support::check_property("harmless requests beside one crashing request are never quarantined and complete",
                                 [](std::uint64_t seed)
                                 {
                                     random_source random{seed};
                                     const std::size_t instances = 1 + random.index(5);
                                     quarantine_simulation simulation{instances, instances + random.index(4), 1, 10};
                                     for (int step = 0; step < 1'500; ++step)
                                     {
                                         simulation.step(random);
                                         for (const simulated_request& request : simulation.requests)
                                         {
                                             RC_ASSERT(request.crashes_endpoint || !simulation.is_quarantined(request));
                                         }
                                     }
                                     for (const simulated_request& request : simulation.requests)
                                     {
                                         RC_ASSERT(simulation.is_quarantined(request) == request.crashes_endpoint);
                                         RC_ASSERT(request.completed != request.crashes_endpoint);
                                     }
                                 });
}

// Guards against instances that disagree because notices reached them in another order or number.
TEST(crash_quarantine, merging_notices_commutes_and_is_idempotent)
{
    const auto random_notice = [](random_source& random)
    {
        quarantine_notice notice{
            crashing_request, {}, start + 600_s, {}, start + std::chrono::seconds{random.index(4)}};
        for (std::size_t index = random.index(4); index > 0; --index)
        {
            notice.deaths.push_back(endpoint_id{"engine-" + std::to_string(random.index(6))});
            notice.times.push_back(start + std::chrono::milliseconds{random.index(12'000)});
        }
        return notice;
    };
    test_support::check_property(
        "any order and repetition of notices gives the same state",
        [&](std::uint64_t seed)
        {
            random_source random{seed};
            std::vector<quarantine_notice> notices;
            for (int index = 0; index < 6; ++index)
            {
                notices.push_back(random_notice(random));
            }
            crash_quarantine in_order;
            crash_quarantine in_reverse;
            for (const quarantine_notice& notice : notices)
            {
                in_order.merge(notice, start);
            }
            std::reverse(notices.begin(), notices.end());
            for (const quarantine_notice& notice : notices)
            {
                in_reverse.merge(notice, start);
                in_reverse.merge(notices.front(), start);
                RC_ASSERT(!in_reverse.merge(notice, start));
            }
            const quarantine_notice in_order_notice = *in_order.notice_of(crashing_request);
            const quarantine_notice in_reverse_notice = *in_reverse.notice_of(crashing_request);
            RC_ASSERT(in_order_notice.deaths == in_reverse_notice.deaths);
            RC_ASSERT(in_order_notice.times == in_reverse_notice.times);
            RC_ASSERT(in_order_notice.cleared_at == in_reverse_notice.cleared_at);
            RC_ASSERT(in_order.state_of(crashing_request, start) == in_reverse.state_of(crashing_request, start));
        });
}

// Guards against a second death of a restarted endpoint that is taken for the first one, and against one death that is
// counted twice because two instances detected it.
TEST(crash_quarantine, deaths_of_one_endpoint_are_distinguished_by_time)
{
    crash_quarantine first_instance;
    crash_quarantine second_instance;
    first_instance.run_started(attempt_id{2}, crashing_request, first_engine);
    const auto notices = crash_endpoint(second_instance, 1, crashing_request, first_engine, start + 990_ms);
    first_instance.run_ended(attempt_id{2}, run_end::connection_lost, start + 1'010_ms);
    for (const quarantine_notice& notice : notices)
    {
        first_instance.merge(notice, start + 2_s);
    }
    first_instance.endpoint_died(first_engine, start + 9'010_ms);
    CHECK(first_instance.state_of(crashing_request, start + 10_s) == quarantine_state::suspect);
    crash_endpoint(first_instance, 3, crashing_request, first_engine, start + 20_s);
    CHECK(first_instance.state_of(crashing_request, start + 21_s) == quarantine_state::quarantined);
    CHECK_FALSE(first_instance.may_run(crashing_request, second_engine, start + 21_s));
    CHECK(first_instance.rejection(crashing_request, start + 21_s).kind == error_kind::quarantined);
}

// Guards against a resend that runs after a connection was lost and before the death of its endpoint is detected.
TEST(crash_quarantine, a_disconnected_run_counts_until_the_endpoint_is_found_dead_or_alive)
{
    crash_quarantine quarantine;
    crash_endpoint(quarantine, 1, crashing_request, first_engine, start);
    quarantine.run_started(attempt_id{2}, crashing_request, second_engine);
    CHECK_FALSE(quarantine.may_run(crashing_request, third_engine, start + 9_s));
    quarantine.run_ended(attempt_id{2}, run_end::connection_lost, start + 10_s);
    CHECK(quarantine.state_of(crashing_request, start + 11_s) == quarantine_state::held);
    CHECK_FALSE(quarantine.may_run(crashing_request, third_engine, start + 11_s));

    crash_quarantine alive = quarantine;
    alive.endpoint_survived(second_engine);
    CHECK(alive.may_run(crashing_request, third_engine, start + 11_s));
    CHECK(quarantine.may_run(crashing_request, third_engine, start + 20_s));
    quarantine.endpoint_died(second_engine, start + 12_s);
    CHECK(quarantine.state_of(crashing_request, start + 20_s) == quarantine_state::quarantined);
}

// Guards against two suspects on one endpoint, where the harmless one would be quarantined with the other, and against
// a resumed run that still counts as disconnected.
TEST(crash_quarantine, one_suspect_runs_per_endpoint)
{
    crash_quarantine quarantine;
    quarantine.run_started(attempt_id{1}, crashing_request, first_engine);
    quarantine.run_started(attempt_id{2}, harmless_request, first_engine);
    LONGS_EQUAL(2, quarantine.endpoint_died(first_engine, start).size());
    CHECK(quarantine.may_run(crashing_request, second_engine, start));
    quarantine.run_started(attempt_id{3}, crashing_request, second_engine);
    CHECK_FALSE(quarantine.may_run(harmless_request, second_engine, start));
    CHECK(quarantine.may_run(harmless_request, third_engine, start));
    CHECK(quarantine.may_run(fingerprint{3}, second_engine, start));

    quarantine.run_started(attempt_id{4}, fingerprint{3}, third_engine);
    quarantine.run_ended(attempt_id{4}, run_end::connection_lost, start);
    CHECK(quarantine.state_of(fingerprint{3}, start) == quarantine_state::suspect);
    quarantine.run_started(attempt_id{4}, fingerprint{3}, third_engine);
    CHECK(quarantine.state_of(fingerprint{3}, start) == quarantine_state::clear);
}

// Guards against a frequent request that is quarantined because endpoints die of other causes while it runs.
TEST(crash_quarantine, a_completed_run_clears_the_deaths_at_all_instances)
{
    crash_quarantine quarantine;
    crash_quarantine peer;
    const auto death_notices = crash_endpoint(quarantine, 1, harmless_request, first_engine, start);
    quarantine.run_started(attempt_id{2}, harmless_request, second_engine);
    const auto clear_notice = quarantine.run_ended(attempt_id{2}, run_end::completed, start + 1_s);
    CHECK(clear_notice.has_value());
    CHECK(quarantine.state_of(harmless_request, start + 1_s) == quarantine_state::clear);
    CHECK(peer.merge(*clear_notice, start + 1_s));
    CHECK_FALSE(peer.merge(death_notices.front(), start + 2_s));
    crash_endpoint(peer, 3, harmless_request, third_engine, start + 60_s);
    CHECK(peer.state_of(harmless_request, start + 61_s) == quarantine_state::suspect);

    quarantine.run_started(attempt_id{4}, crashing_request, first_engine);
    CHECK_FALSE(quarantine.run_ended(attempt_id{4}, run_end::stopped, start).has_value());
}

// Guards against a quarantine that never ends or that ends before the reported retry_after.
TEST(crash_quarantine, deaths_expire)
{
    crash_quarantine quarantine;
    crash_endpoint(quarantine, 1, crashing_request, first_engine, start);
    crash_endpoint(quarantine, 2, crashing_request, second_engine, start + 300_s);
    const time_point end = start + 300_s + *quarantine.rejection(crashing_request, start + 300_s).retry_after;
    CHECK(end >= start + 900_s);
    CHECK(quarantine.state_of(crashing_request, end - 1_ms) == quarantine_state::quarantined);
    CHECK(quarantine.state_of(crashing_request, end) == quarantine_state::clear);
    quarantine.purge(end);
    LONGS_EQUAL(0, quarantine.size());
    CHECK_FALSE(quarantine.merge({crashing_request, {first_engine}, end, {start}, {}}, end));
}

// Guards against memory that grows with the number of requests with deaths, and against quarantined requests that
// suspects evict.
TEST(crash_quarantine, memory_is_bounded_and_quarantined_requests_stay)
{
    quarantine_policy policy;
    policy.max_fingerprints = 100;
    crash_quarantine quarantine{policy};
    quarantine.merge({crashing_request, {first_engine, second_engine}, start + 600_s, {start, start}, {}}, start);
    for (std::uint64_t index = 10; index < 1'000; ++index)
    {
        quarantine.merge({fingerprint{index}, {third_engine}, start + 600_s, {start + 1_s}, {}}, start);
        CHECK(quarantine.size() <= 100);
    }
    CHECK(quarantine.state_of(crashing_request, start) == quarantine_state::quarantined);
    LONGS_EQUAL(30, quarantine.notices(30, start).size());
}

// Guards against suspects of two instances on one endpoint although there are enough endpoints.
TEST(crash_quarantine, endpoints_for_suspects_are_spread_over_instances_and_cover_the_pool)
{
    test_support::check_property("every endpoint is assigned, to as few instances as possible",
                                 [](std::uint64_t seed)
                                 {
                                     random_source random{seed};
                                     const std::size_t instance_count = 1 + random.index(20);
                                     const std::size_t endpoint_count = 1 + random.index(40);
                                     std::vector<instance_id> instances;
                                     std::vector<endpoint_id> endpoints;
                                     for (std::size_t index = 0; index < instance_count; ++index)
                                     {
                                         instances.push_back(instance_id{std::to_string(random.bits())});
                                     }
                                     for (std::size_t index = 0; index < endpoint_count; ++index)
                                     {
                                         endpoints.push_back(endpoint_id{std::to_string(random.bits())});
                                     }
                                     std::multiset<endpoint_id> assigned;
                                     for (const instance_id& instance : instances)
                                     {
                                         const auto selected = endpoints_for_suspects(endpoints, instances, instance);
                                         RC_ASSERT(!selected.empty());
                                         assigned.insert(selected.begin(), selected.end());
                                     }
                                     for (const endpoint_id& endpoint : endpoints)
                                     {
                                         const std::size_t instances_of_endpoint = assigned.count(endpoint);
                                         RC_ASSERT(instances_of_endpoint >= 1);
                                         RC_ASSERT((instances_of_endpoint - 1) * endpoint_count < instance_count);
                                     }
                                 });
}

// Guards against a fingerprint shared by requests of different customers, services, operations or content.
TEST(crash_quarantine, different_requests_have_different_fingerprints)
{
    const auto fingerprint_of =
        [](const char* customer, const char* service, const char* operation, const char* content)
    {
        return request_fingerprint(customer_id{customer}, service_id{service}, operation, content);
    };
    const fingerprint base = fingerprint_of("a", "b", "c", "d");
    CHECK(base == fingerprint_of("a", "b", "c", "d"));
    CHECK(base != fingerprint_of("x", "b", "c", "d"));
    CHECK(base != fingerprint_of("a", "x", "c", "d"));
    CHECK(base != fingerprint_of("a", "b", "x", "d"));
    CHECK(base != fingerprint_of("a", "b", "c", "x"));
    CHECK(base != fingerprint_of("ab", "", "c", "d"));
}

// Guards against a third death when an endpoint restarts within a second and the same request crashes it again: the two
// deaths are as close in time as one death detected by two instances.
TEST(crash_quarantine, counts_two_deaths_of_an_endpoint_that_restarts_at_once)
{
    crash_quarantine quarantine;
    crash_endpoint(quarantine, 1, crashing_request, first_engine, start, 10_ms);
    CHECK(quarantine.state_of(crashing_request, start + 20_ms) == quarantine_state::suspect);
    crash_endpoint(quarantine, 2, crashing_request, first_engine, start + 400_ms, 10_ms);
    CHECK(quarantine.state_of(crashing_request, start + 500_ms) == quarantine_state::quarantined);
}

// Guards against a third death when the second run begins, soon after the first death, at an instance that received the
// first death in a notice.
TEST(crash_quarantine, counts_two_close_deaths_detected_by_different_instances)
{
    crash_quarantine first_instance;
    crash_quarantine second_instance;
    for (const quarantine_notice& notice :
         crash_endpoint(first_instance, 1, crashing_request, first_engine, start + 900_ms, 10_ms))
    {
        second_instance.merge(notice, start + 1'000_ms);
    }
    for (const quarantine_notice& notice :
         crash_endpoint(second_instance, 2, crashing_request, first_engine, start + 1'200_ms, 10_ms))
    {
        first_instance.merge(notice, start + 1'300_ms);
    }
    CHECK(first_instance.state_of(crashing_request, start + 1'300_ms) == quarantine_state::quarantined);
    CHECK(second_instance.state_of(crashing_request, start + 1'300_ms) == quarantine_state::quarantined);
}
