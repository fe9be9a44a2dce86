#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/routing/endpoint_candidates.hpp> // endpoint_candidates, endpoint_subset
#include <parsleyshift/routing/endpoint_scores.hpp>     // endpoint_chooser

#include <algorithm> // count_if, set_difference
#include <set>       // set
#include <string>    // to_string

using namespace parsleyshift;
using namespace parsleyshift::literals;

namespace
{

/// Endpoints with 16 slots, all idle and in the own zone unless a test says otherwise.
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
    std::size_t chosen(random_source& random)
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

// Guards against work for an endpoint that leaves, has failed this request already, or lacks the model.
TEST(endpoint_chooser, inadmissible_endpoints_are_never_chosen)
{
    test_support::check_property("the choice is admissible, and there is one whenever an endpoint is",
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

TEST(endpoint_chooser, near_and_idle_endpoints_are_preferred)
{
    pool_fixture pool{3};
    pool.query.bytes = 50'000;
    pool.candidates[0].distance = link_distance::other_region;
    pool.candidates[1].distance = link_distance::same_region;
    LONGS_EQUAL(2, pool.chosen(random));
    pool.candidates[2].load.requests = 16;
    LONGS_EQUAL(1, pool.chosen(random));
    // The link between the regions costs less than a long queue, and more than a short one.
    pool.candidates[1].load.requests = 17;
    pool.candidates[2].load.requests = 17;
    LONGS_EQUAL(0, pool.chosen(random));
    pool.query.bytes = 500'000;
    CHECK(pool.chosen(random) != 0);
}

TEST(endpoint_chooser, full_memory_is_avoided)
{
    pool_fixture pool{2};
    pool.candidates[0].load.memory_capacity = 1'000;
    pool.candidates[0].load.memory = 950;
    pool.candidates[1].load.requests = 12;
    LONGS_EQUAL(1, pool.chosen(random));
}

// Guards against a popular prefix that sends all work to one endpoint. Sending 200 requests of one prefix, no endpoint
// may hold more than 1.25 times the mean and one request.
TEST(endpoint_chooser, affinity_is_bounded_by_the_mean_load)
{
    pool_fixture pool{8};
    pool.query.prefixes = {1};
    pool.candidates[3].saved_tokens = 8'000;
    LONGS_EQUAL(3, pool.chosen(random));
    for (int sent = 0; sent < 200; ++sent)
    {
        pool.candidates[pool.chosen(random)].load.requests += 1;
        CHECK(pool.candidates[3].load.requests <= 1.25 * (sent + 1 + 8) / 8.0 + 1);
    }
    // At least its even share of the 200.
    CHECK(pool.candidates[3].load.requests >= 25);
}

// Guards against an endpoint under suspicion that gets all work because it is idle, and against one that gets none and
// so can never recover. With weight 0.2 of 10, its share is at most 2 %: 200 of 10,000, with a deviation of 14.
TEST(endpoint_chooser, a_low_weight_gives_a_small_share)
{
    pool_fixture pool{10};
    for (endpoint_candidate& candidate : pool.candidates)
    {
        candidate.load.requests = 10;
    }
    pool.candidates[0].load.requests = 0;
    pool.candidates[0].weight = 0.2;
    int probes = 0;
    for (int round = 0; round < 10'000; ++round)
    {
        probes += pool.chosen(random) == 0 ? 1 : 0;
    }
    CHECK(probes > 120);
    CHECK(probes < 280);
}

// Guards against instances that all choose the same endpoint from the same reports.
TEST(endpoint_chooser, equal_endpoints_share_the_choices)
{
    pool_fixture pool{4};
    std::vector<int> counts(4, 0);
    for (int round = 0; round < 4'000; ++round)
    {
        ++counts[pool.chosen(random)];
    }
    CHECK(std::all_of(counts.begin(), counts.end(), [](int count) { return count > 800 && count < 1'200; }));
}

TEST_GROUP(endpoint_subset){};

// Guards against connections of all instances to new endpoints whenever one endpoint comes or goes.
TEST(endpoint_subset, one_endpoint_gone_changes_at_most_one_place)
{
    test_support::check_property(
        "subsets are stable, of the wanted size, and take the own zone first",
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
            const auto is_near = [](const endpoint_entry* entry)
            {
                return entry->availability_zone == zone_id{"a"};
            };
            const auto near = std::count_if(members.begin(), members.end(), is_near);
            RC_ASSERT(before.size() == 10);
            RC_ASSERT(std::count_if(before.begin(), before.end(), is_near) >= std::min<std::ptrdiff_t>(near, 5));

            members.erase(members.begin() + static_cast<std::ptrdiff_t>(source.index(members.size())));
            const auto after = endpoint_subset(members, policy);
            const std::set<const endpoint_entry*> kept(before.begin(), before.end());
            const auto added = std::count_if(after.begin(), after.end(),
                                             [&](const endpoint_entry* entry) { return !kept.contains(entry); });
            RC_ASSERT(added <= 1);
        });
}

// Guards against endpoints that hardly any instance uses: 145 instances of a region with 24 places each over 78
// endpoints give 45 instances per endpoint, with a deviation of 6.
TEST(endpoint_subset, instances_spread_over_the_endpoints)
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

// Guards against candidates of endpoints that are gone, which would be read after they are freed, and against a pool
// scheduler that sees a part of its pool only.
TEST(endpoint_candidates, candidates_follow_the_directory)
{
    endpoint_directory directory;
    const in_flight_ledger ledger;
    const endpoint_health health;
    const prefix_index prefixes;
    const pool_id pool = pool_of(service_id{"s"}, region_id{"r"});
    endpoint_candidates subset{{instance_id{"i"}, zone_id{"z"}, region_id{"r"}, 2, 0.5}};
    endpoint_candidates whole{{instance_id{"i"}, zone_id{"z"}, region_id{"r"}, 0, 0.5}};
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
    LONGS_EQUAL(4, whole.gather(pool, {}, directory, ledger, health, prefixes, at_ms(0)).size());
    CHECK(whole.gather(pool, {}, directory, ledger, health, prefixes, at_ms(0))[0].distance ==
          link_distance::same_zone);
    routing_query query;
    query.service = service_id{"s"};
    LONGS_EQUAL(3, subset.gather_service(query, directory, ledger, health, prefixes, at_ms(0)).size());
    CHECK(subset.gather_service(query, directory, ledger, health, prefixes, at_ms(0))[0].distance ==
          link_distance::other_region);
    directory.handle_list(list(2));
    LONGS_EQUAL(1, subset.gather(pool, {}, directory, ledger, health, prefixes, at_ms(0)).size());
}
