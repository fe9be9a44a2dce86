#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/scheduling/local_share_chooser.hpp> // local_share_chooser

#include <cstdint> // int64_t
#include <string>  // to_string

using namespace parsleyshift;

namespace
{

load_report report_of(const endpoint_id& endpoint, std::int64_t slots)
{
    load_report report;
    report.endpoint = endpoint;
    report.slots = slots;
    report.memory_capacity = 100'000;
    return report;
}

std::int64_t count_choices(local_share_chooser& chooser)
{
    std::int64_t choices = 0;
    while (const auto endpoint = chooser.choose(100))
    {
        chooser.started(*endpoint, 100);
        ++choices;
    }
    return choices;
}

} // namespace

TEST_GROUP(local_share_chooser){};

// Guards against instances without a scheduler whose shares add up to far more, or far less, than the slots.
TEST(local_share_chooser, shares_of_all_instances_add_up_to_about_the_slots)
{
    test_support::check_property(
        "shares",
        [](std::uint8_t seed)
        {
            constexpr std::int64_t instances = 8;
            constexpr std::int64_t endpoints = 40;
            constexpr std::int64_t slots = 12;
            std::int64_t total = 0;
            for (std::int64_t instance = 0; instance < instances; ++instance)
            {
                local_share_chooser chooser{instance_id{std::to_string(seed) + "-" + std::to_string(instance)}, seed};
                chooser.set_instances(instances);
                for (std::int64_t number = 0; number < endpoints; ++number)
                {
                    const endpoint_id endpoint{"e" + std::to_string(number)};
                    chooser.add_endpoint(endpoint);
                    chooser.report(report_of(endpoint, slots));
                }
                total += count_choices(chooser);
            }
            // The share is 12 / 8 = 1.5 slots, so each instance gets 1 or 2; the hash balances the sum within a fifth.
            RC_ASSERT(total >= endpoints * slots * 8 / 10);
            RC_ASSERT(total <= endpoints * slots * 12 / 10);
        });
}

// Guards against requests for endpoints that are leaving, ejected or already have a queue.
TEST(local_share_chooser, unusable_endpoints_get_no_requests)
{
    const endpoint_id endpoint{"e"};
    local_share_chooser chooser{instance_id{"i"}, 1};
    chooser.add_endpoint(endpoint);
    chooser.report(report_of(endpoint, 4));
    CHECK(chooser.choose(10).has_value());
    chooser.set_health(endpoint, 0.0);
    CHECK_FALSE(chooser.choose(10).has_value());
    chooser.set_health(endpoint, 1.0);
    load_report queued = report_of(endpoint, 4);
    queued.waiting = 1;
    chooser.report(queued);
    CHECK_FALSE(chooser.choose(10).has_value());
    chooser.report(report_of(endpoint, 4));
    CHECK(chooser.choose(10).has_value());
    chooser.set_leaving(endpoint);
    CHECK_FALSE(chooser.choose(10).has_value());
}
