#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include <parsleyshift/scheduling/start_pacer.hpp> // start_pacer

using namespace parsleyshift;
using namespace parsleyshift::literals;

namespace
{

constexpr time_point begin = at_ms(1'000'000);

/// Starts as often as allowed, each millisecond, and returns the number of starts.
int start_often(start_pacer& pacer, time_point from, duration time)
{
    int starts = 0;
    for (time_point now = from; now < from + time; now += 1_ms)
    {
        if (pacer.may_start(now))
        {
            pacer.record_start(now);
            ++starts;
        }
    }
    return starts;
}

} // namespace

TEST_GROUP(start_pacer){};

TEST(start_pacer, allows_all_starts_without_a_limit)
{
    start_pacer pacer;
    LONGS_EQUAL(1'000, start_often(pacer, begin, 1_s));
}

TEST(start_pacer, allows_the_limit_and_one_saved_start)
{
    start_pacer pacer;
    pacer.set_limit(2.5, begin);
    LONGS_EQUAL(11, start_often(pacer, begin, 4_s));
    LONGS_EQUAL(11, start_often(pacer, begin + 14_s, 4_s));
}

// Guards against two schedulers that exceed the limit together while one replaces the other.
TEST(start_pacer, allows_half_the_limit_after_a_restart)
{
    start_pacer pacer;
    pacer.set_limit(2.0, begin);
    pacer.restart(begin, 4_s);
    LONGS_EQUAL(3, start_often(pacer, begin, 4_s));
    LONGS_EQUAL(8, start_often(pacer, begin + 4_s, 4_s));
}

// Guards against a pause of the old length after the limit has risen.
TEST(start_pacer, uses_a_raised_limit_at_once)
{
    start_pacer pacer;
    pacer.set_limit(0.2, begin);
    LONGS_EQUAL(2, start_often(pacer, begin, 4_s));
    pacer.set_limit(10.0, begin + 4_s);
    LONGS_EQUAL(11, start_often(pacer, begin + 4_s, 1_s));
}

// Guards against an endpoint that names 0 and is never asked again, so that the end of its limit is not noticed.
TEST(start_pacer, allows_a_start_in_5_s_at_a_limit_of_0)
{
    start_pacer pacer;
    pacer.set_limit(0.0, begin);
    pacer.record_start(begin);
    pacer.record_start(begin);
    LONGS_EQUAL(4, start_often(pacer, begin + 1_ms, 20_s));
}
