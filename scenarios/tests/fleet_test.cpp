#include "fake_fleet.hpp" // fake_fleet

#include "CppUTest/TestHarness.h" // TEST

#include <string> // string

using namespace parsleyshift;
using namespace parsleyshift::scenarios;

namespace
{

constexpr const char* plan_class = R"({"level": 0, "lane": "shared"})";

void show(const history& seen)
{
    for (const auto& line : broken_promises(seen))
    {
        FAIL(line.c_str());
    }
}

} // namespace

TEST_GROUP(fleet)
{
    fake_fleet fleet{7};

    void setup() override
    {
        fleet.write_record("fleet", "fleet", 1, R"({"entry_slots": 3, "shard_size": 2})");
        fleet.write_record("priority", "plan", 2, plan_class);
        fleet.write_record("customer", "club", 1, R"({"weight": 1})");
        fleet.write_record("service", "plan-writers", 1,
                           R"({"kind": "engine", "default_class": "plan", "models": []})");
        fleet.write_record("service", "yard-desk", 1,
                           R"({"kind": "plain", "default_class": "plan",
                               "operations": [{"name": "paint_order", "idempotent": false}, {"name": "lookup"}]})");
        fleet.add_instance({"n1", "ikeja", "lagos", 0});
        fleet.add_instance({"n2", "apapa", "lagos", 1});
        fleet.add_instance({"n3", "garki", "abuja", 2});
        fleet.add_endpoint({"e1", "plan-writers", "ikeja", "lagos", true});
        fleet.add_endpoint({"e2", "plan-writers", "apapa", "lagos", true});
        fleet.add_endpoint({"y1", "yard-desk", "ikeja", "lagos", false});
        fleet.add_endpoint({"y2", "yard-desk", "apapa", "lagos", false});
        fleet.run(duration{12'000});
    }
    generation_request plan(const std::string& prompt)
    {
        generation_request asked;
        asked.customer = customer_id{"club"};
        asked.service = service_id{"plan-writers"};
        asked.prompt = prompt;
        return asked;
    }
    order_request paint(const std::string& key)
    {
        order_request asked;
        asked.customer = customer_id{"club"};
        asked.service = service_id{"yard-desk"};
        asked.operation = "paint_order";
        asked.payload = "\"white\"";
        asked.key = key;
        return asked;
    }
    std::string key_from(const std::string& instance)
    {
        return fleet.caller(fleet.mint(instance, "club", "yard-desk")).result;
    }
};

TEST(fleet, records_of_both_schemas_are_in_force_everywhere)
{
    for (const auto& instance : fleet.instances())
    {
        CHECK(fleet.in_force(instance, "priority", "plan"));
        CHECK(fleet.in_force(instance, "customer", "club"));
    }
}

TEST(fleet, generation_completes_at_each_instance)
{
    for (const auto& instance : fleet.instances())
    {
        const auto request = fleet.generate(instance, plan("pitch " + instance));
        fleet.run(duration{3'000});
        const auto& seen = fleet.caller(request);
        CHECK(seen.end == outcome::completed);
        CHECK_EQUAL(20U, seen.tokens.size());
    }
    show(fleet.seen());
}

TEST(fleet, order_runs_once_over_resends_at_all_instances)
{
    const std::string key = key_from("n1");
    CHECK_FALSE(key.empty());
    for (const auto& instance : fleet.instances())
    {
        fleet.order(instance, paint(key));
    }
    fleet.run(duration{5'000});
    for (const auto& [id, seen] : fleet.seen().callers)
    {
        CHECK(seen.end == outcome::completed);
    }
    CHECK_EQUAL(1U, fleet.seen().executions.size());
    show(fleet.seen());
}

// Guards against a stream that is cancelled at its engine when its caller resumes it at another instance.
TEST(fleet, stream_resumes_at_another_instance)
{
    const auto request = fleet.generate("n1", plan("season*400"));
    fleet.run(duration{1'000});
    fleet.resume(request, "n3");
    fleet.run(duration{60'000});
    const auto& seen = fleet.caller(request);
    CHECK(seen.end == outcome::completed);
    CHECK_EQUAL(400U, seen.tokens.size());
    show(fleet.seen());
}

TEST(fleet, planned_stop_waits_for_the_stream)
{
    const auto request = fleet.generate("n1", plan("season*100"));
    fleet.run(duration{500});
    fleet.plan_stop("n1");
    fleet.run(duration{200});
    CHECK_FALSE(fleet.stopped("n1"));
    fleet.run(duration{10'000});
    CHECK(fleet.stopped("n1"));
    CHECK(fleet.caller(request).end == outcome::completed);
    show(fleet.seen());
}

// Guards against an instance without peers that waits for ever to learn which schemas they read.
TEST(fleet, single_instance_puts_records_of_the_newest_schema_in_force)
{
    fake_fleet alone{3};
    alone.write_record("priority", "plan", 2, plan_class);
    alone.add_instance({"n1", "ikeja", "lagos", 0});
    alone.run(duration{9'000});
    CHECK(alone.in_force("n1", "priority", "plan"));
}
