#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/core/random_source.hpp>      // random_source
#include <parsleyshift/routing/endpoint_health.hpp> // endpoint_health
#include <parsleyshift/routing/peer_health.hpp>     // peer_health

#include <string> // to_string

using namespace parsleyshift;
using namespace parsleyshift::literals;

namespace
{

const pool_id pool{"narrator/alfold"};

endpoint_id engine(std::size_t index)
{
    return endpoint_id{"engine-" + std::to_string(index)};
}

/// Simulates a pool in which each endpoint runs one stream, with token gaps of 40 to 80 ms times its slowness.
class streaming_pool
{
  public:
    explicit streaming_pool(std::size_t size, std::uint64_t seed = 1)
        : slowness(size, 1.0), last_token_(size, at_ms(0)), next_token_(size, at_ms(0)), random_(seed)
    {
        for (std::size_t index = 0; index < size; ++index)
        {
            health.add(engine(index), pool);
        }
    }

    /// Advances the time by `length`. Ejected endpoints run no stream, since no chooser would select them.
    void run(duration length)
    {
        const time_point end = now + length;
        for (; now < end; now += 1_ms)
        {
            for (std::size_t index = 0; index < slowness.size(); ++index)
            {
                advance_stream(index);
            }
            if (now >= health.next_evaluation())
            {
                health.evaluate(now);
            }
        }
    }

    std::size_t ejected() const
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < slowness.size(); ++index)
        {
            count += health.state(engine(index)) == health_state::ejected ? 1 : 0;
        }
        return count;
    }

    endpoint_health health;
    std::vector<double> slowness;
    time_point now = at_ms(0);

  private:
    void advance_stream(std::size_t index)
    {
        if (health.state(engine(index)) == health_state::ejected)
        {
            last_token_[index] = now;
            next_token_[index] = now + gap(index);
            return;
        }
        const duration open_gap = now - last_token_[index];
        if (now >= next_token_[index])
        {
            health.record_token_gap(engine(index), open_gap, now);
            last_token_[index] = now;
            next_token_[index] = now + gap(index);
            return;
        }
        if (open_gap.count() > 0 && open_gap.count() % 100 == 0)
        {
            health.record_open_gap(engine(index), open_gap, now);
        }
    }
    duration gap(std::size_t index)
    {
        return duration{static_cast<duration::rep>((40.0 + 40.0 * random_.fraction()) * slowness[index])};
    }

    std::vector<time_point> last_token_;
    std::vector<time_point> next_token_;
    random_source random_;
};

} // namespace

TEST_GROUP(endpoint_health){};

// Guards against slowness that is detected only through load reports. The target is to detect an endpoint that becomes
// five times slower within two seconds.
TEST(endpoint_health, ejects_slow_endpoint_within_two_seconds)
{
    streaming_pool streams{12};
    streams.run(10_s);
    LONGS_EQUAL(0, streams.ejected());
    streams.slowness[4] = 5.0;
    streams.run(2_s);
    LONGS_EQUAL(1, streams.ejected());
    DOUBLES_EQUAL(0.0, streams.health.weight(engine(4), streams.now), 0);
}

// Guards against an endpoint that stops sending tokens and so yields no token gaps. The target is to detect it within
// one second; the next evaluation follows at most 100 ms later.
TEST(endpoint_health, ejects_silent_endpoint_within_one_second)
{
    streaming_pool streams{12};
    streams.run(10_s);
    streams.slowness[4] = 1'000'000.0;
    streams.run(1'100_ms);
    CHECK(streams.health.state(engine(4)) == health_state::ejected);
}

// Guards against ejections of endpoints that are not slow, which shift load to the others and can cascade.
TEST(endpoint_health, does_not_eject_equally_fast_endpoints)
{
    test_support::check_property("random variation alone ejects no endpoint",
                                 [](std::uint64_t seed)
                                 {
                                     random_source random{seed};
                                     streaming_pool streams{2 + random.index(10), seed};
                                     // All are equally slow, since each pool is its own reference.
                                     streams.slowness.assign(streams.slowness.size(), 1.0 + 9.0 * random.fraction());
                                     streams.run(5_s);
                                     RC_ASSERT(streams.ejected() == 0);
                                 });
}

// Guards against ejections in a pool of endpoints of different speeds. The slowest takes two and a half times the
// median, but is no outlier because it is less than three robust standard deviations from it.
TEST(endpoint_health, does_not_eject_slowest_of_different_endpoints)
{
    streaming_pool streams{7};
    streams.slowness = {1.0, 1.4, 2.0, 2.8, 4.0, 5.6, 7.0};
    streams.run(10_s);
    LONGS_EQUAL(0, streams.ejected());
}

// Guards against ejecting so many slow or failing endpoints that the others are overloaded.
TEST(endpoint_health, limits_number_of_ejected_endpoints)
{
    test_support::check_property("at most a third of the endpoints is ejected, or one of two, and never the last",
                                 [](std::uint64_t seed)
                                 {
                                     random_source random{seed};
                                     streaming_pool streams{1 + random.index(12), seed};
                                     const std::size_t size = streams.slowness.size();
                                     for (int trial = 0; trial < 20; ++trial)
                                     {
                                         streams.slowness[random.index(size)] = random.index(2) == 0 ? 1.0 : 20.0;
                                         const std::size_t failing = random.index(size);
                                         for (int failure = 0; failure < 3; ++failure)
                                         {
                                             streams.health.record_failure(engine(failing), streams.now);
                                         }
                                         streams.run(300_ms);
                                         const std::size_t max_ejected =
                                             size < 2 ? 0 : std::max<std::size_t>(1, size / 3);
                                         RC_ASSERT(streams.ejected() <= max_ejected);
                                     }
                                 });
}

// Guards against an endpoint that stays ejected after it has recovered, and against one that receives its full share of
// requests at once.
TEST(endpoint_health, recovered_endpoint_returns_gradually)
{
    streaming_pool streams{6};
    streams.slowness[0] = 10.0;
    streams.run(2_s);
    CHECK(streams.health.state(engine(0)) == health_state::ejected);
    streams.slowness[0] = 1.0;
    double previous_weight = 0.0;
    double largest_rise = 0.0;
    for (int step = 0; step < 200; ++step)
    {
        streams.run(100_ms);
        const double weight = streams.health.weight(engine(0), streams.now);
        largest_rise = std::max(largest_rise, weight - previous_weight);
        previous_weight = weight;
    }
    CHECK(streams.health.state(engine(0)) == health_state::healthy);
    CHECK(previous_weight > 0.75);
    CHECK(largest_rise < 0.3);
}

// Guards against an endpoint that stays slow and is probed as often as after its first ejection.
TEST(endpoint_health, repeated_ejections_last_longer)
{
    streaming_pool streams{6};
    streams.slowness[0] = 10.0;
    streams.run(3_s);
    int probing = 0;
    for (int step = 0; step < 600; ++step)
    {
        streams.run(100_ms);
        CHECK(streams.health.state(engine(0)) != health_state::healthy);
        CHECK(streams.health.state(engine(0)) != health_state::recovering);
        probing += streams.health.state(engine(0)) == health_state::probing ? 1 : 0;
    }
    CHECK(probing > 0);
    CHECK(probing < 60);
}

// Guards against a crashed endpoint that fails fast, so that its load is low and it is chosen for more requests.
TEST(endpoint_health, consecutive_failures_eject)
{
    endpoint_health health;
    for (std::size_t index = 0; index < 3; ++index)
    {
        health.add(engine(index), pool);
    }
    health.record_failure(engine(0), at_ms(1));
    health.record_failure(engine(0), at_ms(2));
    health.record_success(engine(0));
    health.record_failure(engine(0), at_ms(3));
    CHECK(health.evaluate(at_ms(200)).empty());
    health.record_failure(engine(0), at_ms(201));
    health.record_failure(engine(0), at_ms(202));
    CHECK(health.next_evaluation() <= at_ms(302));
    const std::vector<health_change> changes = health.evaluate(at_ms(302));
    LONGS_EQUAL(1, changes.size());
    CHECK(changes[0].state == health_state::ejected);
    health.add(engine(0), pool);
    CHECK(health.state(engine(0)) == health_state::ejected);
    // A failure while probing ejects the endpoint again, for a longer time.
    health.evaluate(at_ms(2'400));
    CHECK(health.state(engine(0)) == health_state::probing);
    health.record_failure(engine(0), at_ms(2'450));
    health.evaluate(at_ms(2'500));
    health.evaluate(at_ms(6'400));
    CHECK(health.state(engine(0)) == health_state::ejected);
    health.remove(engine(0));
    DOUBLES_EQUAL(1.0, health.weight(engine(0), at_ms(6'400)), 0);
}

// Guards against one instance with a bad network link that excludes an endpoint for all instances, and
// against reports that never expire or are counted twice.
TEST(endpoint_health, averages_unexpired_reports_of_peers)
{
    streaming_pool streams{6};
    streams.slowness[2] = 10.0;
    streams.run(2_s);
    const auto notices = streams.health.notices(streams.now, 5_s);
    LONGS_EQUAL(1, notices.size());
    CHECK(notices[0].endpoint == engine(2));

    // The weight is the mean of the reports, of weight 0 here, and one assumed report of weight 1. The fifth sender is
    // above the limit of 4 reports.
    peer_health peers{4};
    peers.record(instance_id{"a"}, notices[0], streams.now);
    peers.record(instance_id{"a"}, notices[0], streams.now);
    DOUBLES_EQUAL(0.5, peers.weight(engine(2), streams.now), 0);
    for (const char* sender : {"b", "c", "d", "f"})
    {
        peers.record(instance_id{sender}, notices[0], streams.now);
    }
    DOUBLES_EQUAL(0.2, peers.weight(engine(2), streams.now), 1e-9);
    DOUBLES_EQUAL(1.0, peers.weight(engine(1), streams.now), 0);
    DOUBLES_EQUAL(1.0, peers.weight(engine(2), streams.now + 5_s), 0);
    peers.purge(streams.now + 5_s);
    peers.record(instance_id{"e"}, {pool, engine(2), 0.0, streams.now + 9_s}, streams.now + 5_s);
    DOUBLES_EQUAL(0.5, peers.weight(engine(2), streams.now + 5_s), 0);
    peers.remove(engine(2));
    DOUBLES_EQUAL(1.0, peers.weight(engine(2), streams.now + 5_s), 0);
}

// Guards against infrequent answer times that lose their weight before they can be compared, because they decay as fast
// as token gaps, within about a second.
TEST(endpoint_health, detects_slow_answers_of_plain_service)
{
    endpoint_health health;
    for (std::size_t index = 0; index < 3; ++index)
    {
        health.add(engine(index), pool);
    }
    for (time_point now = at_ms(0); now < at_ms(10'000); now += 1_s)
    {
        health.record_first_token(engine(0), 20_ms, now);
        health.record_first_token(engine(1), 25_ms, now);
        health.record_first_token(engine(2), 200_ms, now);
        health.evaluate(now + 500_ms);
    }
    CHECK(health.state(engine(2)) != health_state::healthy);
    CHECK(health.state(engine(0)) == health_state::healthy);
    // A probing endpoint is ejected by its probes alone, even when they are so infrequent that too few remain in the
    // decayed mean for a comparison with the pool.
    time_point now = at_ms(50'000);
    health.evaluate(now);
    CHECK(health.state(engine(2)) == health_state::probing);
    for (int probe = 0; probe < 3; ++probe)
    {
        now += 10_s;
        health.record_first_token(engine(2), 200_ms, now);
        health.evaluate(now);
    }
    CHECK(health.state(engine(2)) == health_state::ejected);
}
