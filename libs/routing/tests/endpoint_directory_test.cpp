#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/core/random_source.hpp>         // random_source
#include <parsleyshift/routing/endpoint_directory.hpp> // endpoint_directory
#include <parsleyshift/routing/in_flight_tracker.hpp>  // in_flight_tracker

#include <set>    // set
#include <string> // to_string

using namespace parsleyshift;
using namespace parsleyshift::literals;

namespace
{

const endpoint_id engine{"engine-1"};
const pool_id pool = pool_of(service_id{"narrator"}, region_id{"alfold"});
constexpr time_point start = at_ms(1'000'000);

listed_instance make_row(const std::string& id, const std::string& address = "127.0.0.1:80", bool leaving = false)
{
    return {id, instance_role::engine, service_id{"narrator"}, address,
            "", zone_id{"kiskunsag"},  region_id{"alfold"},    leaving};
}

load_report make_report(time_point as_of, std::int64_t running, bool leaving = false)
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

// Guards against new requests to a leaving endpoint when one source, usually the list, lags behind. Once any source
// shows that the endpoint is leaving, it stays marked until the list removes or replaces it.
TEST(endpoint_directory, leaving_mark_persists_from_any_source)
{
    test_support::check_property("an endpoint stays marked as leaving until the list removes or replaces it",
                                 [](std::uint64_t seed)
                                 {
                                     random_source random{seed};
                                     endpoint_directory tested;
                                     bool expected = false;
                                     std::string address = "a";
                                     tested.handle_list({start, {make_row("engine-1", address)}});
                                     for (int step = 1; step < 40; ++step)
                                     {
                                         const time_point now = start + duration{step};
                                         const bool leaving = random.index(4) == 0;
                                         switch (random.index(5))
                                         {
                                         case 0:
                                             tested.handle_load(
                                                 make_report(now - duration{random.index(5)}, 1, leaving), now);
                                             expected = expected || leaving;
                                             break;
                                         case 1:
                                             RC_ASSERT(tested.handle_leaving(engine) == !expected);
                                             expected = true;
                                             break;
                                         case 2:
                                             tested.handle_list({now, {make_row("other")}});
                                             tested.handle_list({now, {make_row("engine-1", address, leaving)}});
                                             expected = leaving;
                                             break;
                                         case 3:
                                             address += "a";
                                             tested.handle_list({now, {make_row("engine-1", address, leaving)}});
                                             expected = leaving;
                                             break;
                                         default:
                                             tested.handle_list({now, {make_row("engine-1", address, leaving)}});
                                             expected = expected || leaving;
                                         }
                                         RC_ASSERT(tested.find(engine)->leaving == expected);
                                     }
                                 });
}

// Guards against pools whose members differ from the list, and against a version that misses a change of the members.
TEST(endpoint_directory, list_adds_and_removes_pool_members)
{
    listed_instance entry = make_row("entry-1");
    entry.role = instance_role::entry;
    const directory_change first =
        directory.handle_list({start, {make_row("b"), make_row("a"), make_row("a", "other"), entry}});
    LONGS_EQUAL(2, first.added.size());
    LONGS_EQUAL(2, directory.endpoints_of(pool).size());
    CHECK(directory.endpoints_of(pool).front()->endpoint == endpoint_id{"a"});
    CHECK(directory.pools_of(service_id{"narrator"}) == std::vector{pool});
    const std::uint64_t version = directory.version();
    CHECK(directory.handle_list({start + 1_s, {make_row("a"), make_row("b", "127.0.0.1:80", true)}}).leaving ==
          std::vector{endpoint_id{"b"}});
    CHECK(directory.version() == version);

    const directory_change second = directory.handle_list({start + 2_s, {make_row("a", "127.0.0.2:80")}});
    LONGS_EQUAL(2, second.removed.size());
    LONGS_EQUAL(1, second.added.size());
    LONGS_EQUAL(1, directory.endpoints_of(pool).size());
    CHECK(directory.version() != version);
    CHECK(directory.endpoints_of(pool_id{"unknown"}).empty());
}

// Guards against a outdated or empty list that removes endpoints in use.
TEST(endpoint_directory, ignores_old_or_empty_list)
{
    directory.handle_list({start, {make_row("engine-1")}});
    CHECK(directory.handle_list({start - 1_s, {make_row("other")}}).removed.empty());
    CHECK(directory.handle_list({start + 1_s, {}}).removed.empty());
    CHECK(directory.find(engine) != nullptr);
}

// Guards against a reordered load report that replaces a newer one, and against reports that are ignored for good after
// the endpoint's clock was set back.
TEST(endpoint_directory, uses_newest_load_report)
{
    directory.handle_list({start, {make_row("engine-1")}});
    directory.handle_load(make_report(start, 5), start);
    directory.handle_load_unavailable(engine);
    LONGS_EQUAL(1, directory.find(engine)->load_failures);
    directory.handle_load(make_report(start - 1_ms, 7), start);
    LONGS_EQUAL(5, directory.find(engine)->load->running);
    LONGS_EQUAL(0, directory.find(engine)->load_failures);
    // A report that is much older is used, since the endpoint's clock was set back.
    directory.handle_load(make_report(start - 60_s, 9), start);
    LONGS_EQUAL(9, directory.find(engine)->load->running);
}

TEST_GROUP(in_flight_tracker)
{
    endpoint_directory directory;
    in_flight_tracker ledger{250_ms};
};

// Guards against attempts started since the last report that are not counted, or counted twice once the report includes
// them.
TEST(in_flight_tracker, corrects_report_by_changes_since_measurement)
{
    directory.handle_list({start, {make_row("engine-1")}});
    const endpoint_entry& entry = *directory.find(engine);
    ledger.record_start(engine, 100, start);
    DOUBLES_EQUAL(1, ledger.load(entry).requests, 0);
    directory.handle_load(make_report(start, 4), start + 1_s);
    DOUBLES_EQUAL(4, ledger.load(entry).requests, 0);
    ledger.record_start(engine, 100, start + 900_ms);
    ledger.record_start(engine, 100, start + 1'100_ms);
    DOUBLES_EQUAL(6, ledger.load(entry).requests, 0);
    DOUBLES_EQUAL(200, ledger.load(entry).memory, 0);
    ledger.record_end(engine, 100, start + 1'200_ms);
    DOUBLES_EQUAL(5, ledger.load(entry).requests, 0);
    directory.handle_load(make_report(start + 1_s, 0), start + 2_s);
    DOUBLES_EQUAL(2, ledger.load(entry).requests, 0);
    LONGS_EQUAL(2, ledger.in_flight(engine));
}

// Guards against negative counts after an end without a start, and against counts that outlast the endpoint.
TEST(in_flight_tracker, counts_never_fall_below_zero)
{
    ledger.record_end(engine, 100, start);
    LONGS_EQUAL(0, ledger.in_flight(engine));
    ledger.record_start(engine, 100, start);
    ledger.remove(engine);
    LONGS_EQUAL(0, ledger.in_flight(engine));
}
