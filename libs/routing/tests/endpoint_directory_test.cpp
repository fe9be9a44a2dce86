#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/core/random_source.hpp>         // random_source
#include <parsleyshift/routing/endpoint_directory.hpp> // endpoint_directory
#include <parsleyshift/routing/in_flight_ledger.hpp>   // in_flight_ledger

#include <set>    // set
#include <string> // to_string

using namespace parsleyshift;
using namespace parsleyshift::literals;

namespace
{

const endpoint_id engine{"engine-1"};
const pool_id pool = pool_of(service_id{"narrator"}, region_id{"alfold"});
constexpr time_point start = at_ms(1'000'000);

listed_instance row(const std::string& id, const std::string& address = "127.0.0.1:80", bool leaving = false)
{
    return {id, instance_role::engine, service_id{"narrator"}, address,
            "", zone_id{"kiskunsag"},  region_id{"alfold"},    leaving};
}

load_report report_of(time_point as_of, std::int64_t running, bool leaving = false)
{
    load_report report;
    report.endpoint = engine;
    report.as_of = as_of;
    report.running = running;
    report.slots = 16;
    report.leaving = leaving;
    return report;
}

} // namespace

TEST_GROUP(endpoint_directory)
{
    endpoint_directory directory;
};

// Guards against an endpoint that gets new work because one source, usually the lagging list, does not show yet that it
// leaves. From the first sign until the list shows it gone or replaced, it is leaving.
TEST(endpoint_directory, leaving_is_sticky_from_any_source)
{
    test_support::check_property("an endpoint leaves from the first sign until it is gone",
                                 [](std::uint64_t seed)
                                 {
                                     random_source random{seed};
                                     endpoint_directory known;
                                     bool expected = false;
                                     std::string address = "a";
                                     known.handle_list({start, {row("engine-1", address)}});
                                     for (int step = 1; step < 40; ++step)
                                     {
                                         const time_point now = start + duration{step};
                                         const bool sign = random.index(4) == 0;
                                         switch (random.index(5))
                                         {
                                         case 0:
                                             known.handle_load(report_of(now - duration{random.index(5)}, 1, sign),
                                                               now);
                                             expected = expected || sign;
                                             break;
                                         case 1:
                                             RC_ASSERT(known.handle_leaving(engine) == !expected);
                                             expected = true;
                                             break;
                                         case 2:
                                             known.handle_list({now, {row("other")}});
                                             known.handle_list({now, {row("engine-1", address, sign)}});
                                             expected = sign;
                                             break;
                                         case 3:
                                             address += "a";
                                             known.handle_list({now, {row("engine-1", address, sign)}});
                                             expected = sign;
                                             break;
                                         default:
                                             known.handle_list({now, {row("engine-1", address, sign)}});
                                             expected = expected || sign;
                                         }
                                         RC_ASSERT(known.find(engine)->leaving == expected);
                                     }
                                 });
}

TEST(endpoint_directory, the_list_adds_and_removes_endpoints_of_pools)
{
    listed_instance entry = row("entry-1");
    entry.role = instance_role::entry;
    const directory_change first = directory.handle_list({start, {row("b"), row("a"), row("a", "other"), entry}});
    LONGS_EQUAL(2, first.added.size());
    LONGS_EQUAL(2, directory.members_of(pool).size());
    CHECK(directory.members_of(pool).front()->endpoint == endpoint_id{"a"});
    CHECK(directory.pools_of(service_id{"narrator"}) == std::vector{pool});
    const std::uint64_t version = directory.version();
    CHECK(directory.handle_list({start + 1_s, {row("a"), row("b", "127.0.0.1:80", true)}}).leaving ==
          std::vector{endpoint_id{"b"}});
    CHECK(directory.version() == version);

    const directory_change second = directory.handle_list({start + 2_s, {row("a", "127.0.0.2:80")}});
    LONGS_EQUAL(2, second.removed.size());
    LONGS_EQUAL(1, second.added.size());
    LONGS_EQUAL(1, directory.members_of(pool).size());
    CHECK(directory.version() != version);
    CHECK(directory.members_of(pool_id{"unknown"}).empty());
}

// Guards against a stale or empty reading of the list that drops endpoints in use.
TEST(endpoint_directory, an_old_or_empty_list_changes_nothing)
{
    directory.handle_list({start, {row("engine-1")}});
    CHECK(directory.handle_list({start - 1_s, {row("other")}}).removed.empty());
    CHECK(directory.handle_list({start + 1_s, {}}).removed.empty());
    CHECK(directory.find(engine) != nullptr);
}

TEST(endpoint_directory, the_newest_load_report_counts)
{
    directory.handle_list({start, {row("engine-1")}});
    directory.handle_load(report_of(start, 5), start);
    directory.handle_load_unavailable(engine);
    LONGS_EQUAL(1, directory.find(engine)->load_failures);
    directory.handle_load(report_of(start - 1_ms, 7), start);
    LONGS_EQUAL(5, directory.find(engine)->load->running);
    LONGS_EQUAL(0, directory.find(engine)->load_failures);
    // The endpoint's clock was set back.
    directory.handle_load(report_of(start - 60_s, 9), start);
    LONGS_EQUAL(9, directory.find(engine)->load->running);
}

TEST_GROUP(in_flight_ledger)
{
    endpoint_directory directory;
    in_flight_ledger ledger{250_ms};
};

// Guards against work sent since the last report that is not counted, or counted twice once the report shows it.
TEST(in_flight_ledger, a_report_is_corrected_by_what_happened_since_it_was_measured)
{
    directory.handle_list({start, {row("engine-1")}});
    const endpoint_entry& entry = *directory.find(engine);
    ledger.started(engine, 100, start);
    DOUBLES_EQUAL(1, ledger.load(entry).requests, 0);
    directory.handle_load(report_of(start, 4), start + 1_s);
    DOUBLES_EQUAL(4, ledger.load(entry).requests, 0);
    ledger.started(engine, 100, start + 900_ms);
    ledger.started(engine, 100, start + 1'100_ms);
    DOUBLES_EQUAL(6, ledger.load(entry).requests, 0);
    DOUBLES_EQUAL(200, ledger.load(entry).memory, 0);
    ledger.ended(engine, 100, start + 1'200_ms);
    DOUBLES_EQUAL(5, ledger.load(entry).requests, 0);
    directory.handle_load(report_of(start + 1_s, 0), start + 2_s);
    DOUBLES_EQUAL(2, ledger.load(entry).requests, 0);
    LONGS_EQUAL(2, ledger.in_flight(engine));
}

TEST(in_flight_ledger, it_never_falls_below_zero)
{
    ledger.ended(engine, 100, start);
    LONGS_EQUAL(0, ledger.in_flight(engine));
    ledger.started(engine, 100, start);
    ledger.forget(engine);
    LONGS_EQUAL(0, ledger.in_flight(engine));
}
