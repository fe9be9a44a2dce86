#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/membership/member_table.hpp> // member_table

#include <algorithm> // shuffle
#include <random>    // mt19937
#include <string>    // to_string
#include <vector>    // vector

using namespace parsleyshift;

namespace
{

member_update any_update()
{
    member_update update;
    update.instance = instance_id{std::to_string(*rc::gen::inRange(1, 4))};
    update.started = incarnation{*rc::gen::inRange<std::uint64_t>(0, 3)};
    update.refutation = *rc::gen::inRange<std::uint32_t>(0, 3);
    update.state = *rc::gen::element(member_state::alive, member_state::suspect, member_state::leaving);
    update.entry_slot = std::stoi(update.instance.value()) % 2;
    update.schema = 1 + static_cast<int>(update.started.value() % 2);
    return update;
}

member_table table_of(const std::vector<member_update>& updates)
{
    member_update self;
    self.instance = instance_id{"self"};
    member_table table{self, 100};
    for (const member_update& update : updates)
    {
        table.merge(update, at_ms(0));
    }
    return table;
}

} // namespace

TEST_GROUP(member_table){};

// Guards against views that stay different because updates arrived in another order or twice.
TEST(member_table, merging_does_not_depend_on_the_order)
{
    test_support::check_property("order and repetition do not matter",
                                 []
                                 {
                                     auto updates =
                                         *rc::gen::container<std::vector<member_update>>(rc::gen::exec(any_update));
                                     const member_table first = table_of(updates);
                                     const auto repeated = updates;
                                     updates.insert(updates.end(), repeated.begin(), repeated.end());
                                     std::mt19937 engine{*rc::gen::arbitrary<std::uint32_t>()};
                                     std::shuffle(updates.begin(), updates.end(), engine);
                                     const member_table second = table_of(updates);
                                     for (const char* name : {"1", "2", "3"})
                                     {
                                         const member_update* left = first.find(instance_id{name});
                                         const member_update* right = second.find(instance_id{name});
                                         RC_ASSERT((left == nullptr) == (right == nullptr));
                                         RC_ASSERT((left == nullptr || *left == *right));
                                     }
                                 });
}

// Guards against counters, regions and slot holders that no longer match the members after updates, deaths and
// removals.
TEST(member_table, derived_values_match_the_members)
{
    test_support::check_property(
        "derived values match the members",
        []
        {
            member_table table = table_of(*rc::gen::container<std::vector<member_update>>(rc::gen::exec(any_update)));
            const auto dying = any_update();
            if (const member_update* existing = table.find(dying.instance))
            {
                member_update dead = *existing;
                dead.state = member_state::dead;
                table.merge(dead, at_ms(0));
                if (*rc::gen::arbitrary<bool>())
                {
                    table.remove_dead_before(at_ms(1));
                    RC_ASSERT(table.dead_count() == 0U);
                }
            }
            std::size_t live = 0;
            int lowest = 99;
            for (const member_update& member : table.all())
            {
                live += is_live(member.state) ? 1 : 0;
                lowest = is_live(member.state) ? std::min(lowest, member.schema) : lowest;
            }
            RC_ASSERT(table.live_count() == live);
            RC_ASSERT(table.lowest_schema() == lowest);
            std::size_t in_regions = 0;
            for (const region_members& group : table.regions())
            {
                in_regions += group.live.size();
            }
            RC_ASSERT(in_regions + 1 == live);
            for (int slot = 0; slot < 2; ++slot)
            {
                const member_update* holder = table.holder_of(slot);
                bool any = false;
                for (const member_update& member : table.all())
                {
                    const bool holds = member.entry_slot == slot && member.state == member_state::alive;
                    any = any || holds;
                    RC_ASSERT((!holds || (holder != nullptr && holder->started >= member.started)));
                }
                RC_ASSERT((holder != nullptr) == any);
            }
        });
}
