#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/routing/endpoint_candidates.hpp> // endpoint_candidates, endpoint_subset
#include <parsleyshift/routing/endpoint_costs.hpp>      // endpoint_chooser

#include <algorithm> // count_if, set_difference
#include <set>       // set
#include <string>    // to_string

using namespace parsleyshift;
using namespace parsleyshift::literals;

namespace
{

/// Candidates with 16 slots each, idle and in the same zone unless a test changes them.
struct pool_fixture
{
    explicit pool_fixture(std::size_t size)
    {
        entries.resize(size);
        for (std::size_t index = 0; index < size; ++index)
        {
            entries[index].endpoint = endpoint_id{"engine-" + std::to_string(index)};
            endpoint_candidate candidate;
            candidate.entry = &entries[index];
            candidate.load.slots = 16;
            candidates.push_back(candidate);
        }
    }
    std::size_t choose_index(random_source& random)
    {
        const auto choice = endpoint_chooser{}.choose(candidates, query, random);
        return static_cast<std::size_t>(choice->entry - entries.data());
    }

    std::vector<endpoint_entry> entries;
    std::vector<endpoint_candidate> candidates;
    routing_query query;
};

} // namespace

TEST_GROUP(endpoint_chooser)
{
    random_source random{1};
};

// Guards against choosing an endpoint that is leaving, was used by an earlier attempt, or lacks the model.
TEST(endpoint_chooser, never_chooses_ineligible_endpoints)
{
    test_support::check_property("the chosen endpoint is eligible, and one is chosen whenever any is eligible",
                                 [](std::uint64_t seed)
                                 {
                                     random_source source{seed};
                                     pool_fixture pool{1 + source.index(5)};
                                     pool.query.model = model_id{"m"};
                                     std::set<endpoint_id> allowed;
                                     for (std::size_t index = 0; index < pool.entries.size(); ++index)
                                     {
                                         endpoint_entry& entry = pool.entries[index];
                                         entry.leaving = source.index(3) == 0;
                                         pool.candidates[index].weight = source.index(2) == 0 ? 0.0 : source.fraction();
                                         const bool loaded = source.index(3) != 0;
                                         entry.load = load_report{};
                                         entry.load->models = {model_id{loaded ? "m" : "n"}};
                                         const bool excluded = source.index(3) == 0;
                                         if (excluded)
                                         {
                                             pool.query.excluded.push_back(entry.endpoint);
                                         }
                                         if (!entry.leaving && loaded && !excluded)
                                         {
                                             allowed.insert(entry.endpoint);
                                         }
                                     }
                                     const auto choice = endpoint_chooser{}.choose(pool.candidates, pool.query, source);
                                     RC_ASSERT(choice.has_value() == !allowed.empty());
                                     RC_ASSERT(!choice || allowed.contains(choice->entry->endpoint));
                                 });
}

// Guards against requests that cross zones or regions without need, and against requests that wait in a long queue to
// avoid it.
TEST(endpoint_chooser, prefers_near_and_idle_endpoints)
{
    pool_fixture pool{3};
    pool.query.bytes = 50'000;
    pool.candidates[0].distance = link_distance::other_region;
    pool.candidates[1].distance = link_distance::same_region;
    LONGS_EQUAL(2, pool.choose_index(random));
    pool.candidates[2].load.requests = 16;
    LONGS_EQUAL(1, pool.choose_index(random));
    // With one queued request each, the link between the regions is the cheaper choice for 50 kB but not for 500 kB.
    pool.candidates[1].load.requests = 17;
    pool.candidates[2].load.requests = 17;
    LONGS_EQUAL(0, pool.choose_index(random));
    pool.query.bytes = 500'000;
    CHECK(pool.choose_index(random) != 0);
}

// Guards against requests to an endpoint whose memory is nearly full although its batch slots are free.
TEST(endpoint_chooser, avoids_full_memory)
{
    pool_fixture pool{2};
    pool.candidates[0].load.memory_capacity = 1'000;
    pool.candidates[0].load.memory = 950;
    pool.candidates[1].load.requests = 12;
    LONGS_EQUAL(1, pool.choose_index(random));
}

// Guards against a popular prefix that sends all requests to one endpoint. While 200 requests with one prefix are sent,
// the endpoint that caches it may hold at most 1.25 times the mean load plus one request.
TEST(endpoint_chooser, affinity_is_limited_by_mean_load)
{
    pool_fixture pool{8};
    pool.query.prefixes = {1};
    pool.candidates[3].saved_tokens = 8'000;
    LONGS_EQUAL(3, pool.choose_index(random));
    for (int sent = 0; sent < 200; ++sent)
    {
        pool.candidates[pool.choose_index(random)].load.requests += 1;
        CHECK(pool.candidates[3].load.requests <= 1.25 * (sent + 1 + 8) / 8.0 + 1);
    }
    // At least an even share of the 200 requests.
    CHECK(pool.candidates[3].load.requests >= 25);
}

// Guards against an endpoint of low weight that receives all requests because it is idle, or none and so cannot
// recover. With the weight 0.2 among 10 endpoints its share is at most 2 %: 200 of 10,000, with a standard deviation
// of 14.
TEST(endpoint_chooser, low_weight_yields_small_share)
{
    pool_fixture pool{10};
    for (endpoint_candidate& candidate : pool.candidates)
    {
        candidate.load.requests = 10;
    }
    pool.candidates[0].load.requests = 0;
    pool.candidates[0].weight = 0.2;
    int probes = 0;
    for (int trial = 0; trial < 10'000; ++trial)
    {
        probes += pool.choose_index(random) == 0 ? 1 : 0;
    }
    CHECK(probes > 120);
    CHECK(probes < 280);
}

// Guards against instances that all choose the same endpoint from the same load reports.
TEST(endpoint_chooser, equal_endpoints_are_chosen_equally_often)
{
    pool_fixture pool{4};
    std::vector<int> counts(4, 0);
    for (int trial = 0; trial < 4'000; ++trial)
    {
        ++counts[pool.choose_index(random)];
    }
    CHECK(std::all_of(counts.begin(), counts.end(), [](int count) { return count > 800 && count < 1'200; }));
}

TEST_GROUP(endpoint_subset){};

// Guards against every instance opening connections to many other endpoints when a single endpoint is removed.
TEST(endpoint_subset, removed_endpoint_replaces_at_most_one_member)
{
    test_support::check_property(
        "subsets are stable, have the configured size and take endpoints of the same zone first",
        [](std::uint64_t seed)
        {
            random_source source{seed};
            candidate_policy policy{instance_id{std::to_string(seed)}, zone_id{"a"}, region_id{"r"}, 10, 0.5};
            std::vector<endpoint_entry> entries(11 + source.index(60));
            std::vector<const endpoint_entry*> members;
            for (endpoint_entry& entry : entries)
            {
                entry.endpoint = endpoint_id{std::to_string(source.bits())};
                entry.availability_zone = zone_id{source.index(3) == 0 ? "a" : "b"};
                members.push_back(&entry);
            }
            const auto before = endpoint_subset(members, policy);
            const auto is_local = [](const endpoint_entry* entry)
            {
                return entry->availability_zone == zone_id{"a"};
            };
            const auto local_count = std::count_if(members.begin(), members.end(), is_local);
            RC_ASSERT(before.size() == 10);
            RC_ASSERT(std::count_if(before.begin(), before.end(), is_local) >=
                      std::min<std::ptrdiff_t>(local_count, 5));

            members.erase(members.begin() + static_cast<std::ptrdiff_t>(source.index(members.size())));
            const auto after = endpoint_subset(members, policy);
            const std::set<const endpoint_entry*> previous(before.begin(), before.end());
            const auto added = std::count_if(after.begin(), after.end(),
                                             [&](const endpoint_entry* entry) { return !previous.contains(entry); });
            RC_ASSERT(added <= 1);
        });
}

// Guards against endpoints that hardly any instance uses: 145 instances of a region with subsets of 24 out of 78
// endpoints give 45 instances per endpoint on average, with a standard deviation of 6.
TEST(endpoint_subset, instances_are_spread_over_endpoints)
{
    std::vector<endpoint_entry> entries(78);
    std::vector<const endpoint_entry*> members;
    for (std::size_t index = 0; index < entries.size(); ++index)
    {
        entries[index].endpoint = endpoint_id{"engine-" + std::to_string(index)};
        members.push_back(&entries[index]);
    }
    std::multiset<const endpoint_entry*> used;
    for (int instance = 0; instance < 145; ++instance)
    {
        const candidate_policy policy{instance_id{"entry-" + std::to_string(instance)}, zone_id{}, region_id{}, 24,
                                      0.5};
        const auto subset = endpoint_subset(members, policy);
        used.insert(subset.begin(), subset.end());
    }
    CHECK(std::all_of(members.begin(), members.end(),
                      [&](const endpoint_entry* entry) { return used.count(entry) >= 20 && used.count(entry) <= 75; }));
}

TEST_GROUP(endpoint_candidates){};

// Guards against candidates that point to removed, already freed entries, and against a pool scheduler that gets only a
// subset of its pool.
TEST(endpoint_candidates, follows_changes_of_directory)
{
    endpoint_directory directory;
    const in_flight_tracker ledger;
    const endpoint_health health;
    const prefix_index prefixes;
    const pool_id pool = pool_of(service_id{"s"}, region_id{"r"});
    endpoint_candidates subset{{instance_id{"i"}, zone_id{"z"}, region_id{"r"}, 2, 0.5}};
    endpoint_candidates all_endpoints{{instance_id{"i"}, zone_id{"z"}, region_id{"r"}, 0, 0.5}};
    const auto list = [](int count)
    {
        instances_listed listed{at_ms(0), {}};
        for (int index = 0; index < count; ++index)
        {
            listed.instances.push_back({std::to_string(index), instance_role::plain, service_id{"s"}, "a", "",
                                        zone_id{"z"}, region_id{index == 0 ? "q" : "r"}, false});
        }
        return listed;
    };
    directory.handle_list(list(5));
    LONGS_EQUAL(2, subset.gather(pool, {}, directory, ledger, health, prefixes, at_ms(0)).size());
    LONGS_EQUAL(4, all_endpoints.gather(pool, {}, directory, ledger, health, prefixes, at_ms(0)).size());
    CHECK(all_endpoints.gather(pool, {}, directory, ledger, health, prefixes, at_ms(0))[0].distance ==
          link_distance::same_zone);
    routing_query query;
    query.service = service_id{"s"};
    LONGS_EQUAL(3, subset.gather_service(query, directory, ledger, health, prefixes, at_ms(0)).size());
    CHECK(subset.gather_service(query, directory, ledger, health, prefixes, at_ms(0))[0].distance ==
          link_distance::other_region);
    directory.handle_list(list(2));
    LONGS_EQUAL(1, subset.gather(pool, {}, directory, ledger, health, prefixes, at_ms(0)).size());
}
