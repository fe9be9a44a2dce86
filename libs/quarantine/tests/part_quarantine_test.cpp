#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/core/random_source.hpp>         // random_source
#include <parsleyshift/quarantine/part_quarantine.hpp> // part_quarantine

#include <algorithm> // reverse
#include <string>    // to_string
#include <vector>    // vector

using namespace parsleyshift;
using namespace parsleyshift::literals;
using parsleyshift::test_support::check_property;

namespace
{

constexpr fingerprint template_part{1};
constexpr fingerprint topic{2};
constexpr fingerprint deadly{3};
constexpr fingerprint other_topic{4};
constexpr time_point start = at_ms(1'700'000'000'000);

const std::vector<fingerprint> deadly_prompt{template_part, topic, deadly};
const std::vector<fingerprint> sound_prompt{template_part, topic};

endpoint_id engine(int number)
{
    return endpoint_id{"engine-" + std::to_string(number)};
}

/// Runs requests at engines that crash, and keeps the notices.
struct part_fixture : public Utest
{
    part_quarantine tested;
    std::vector<quarantine_notice> sent;
    std::uint64_t attempts = 0;

    attempt_id begin(const std::vector<fingerprint>& parts, int number)
    {
        const attempt_id attempt{++attempts};
        tested.run_started(attempt, parts, engine(number));
        return attempt;
    }
    void keep(const std::vector<quarantine_notice>& notices)
    {
        sent.insert(sent.end(), notices.begin(), notices.end());
    }
    /// Runs at one engine end with its process.
    void crash(const std::vector<std::vector<fingerprint>>& prompts, int number, time_point when)
    {
        std::vector<attempt_id> running;
        for (const auto& parts : prompts)
        {
            running.push_back(begin(parts, number));
        }
        for (const attempt_id attempt : running)
        {
            tested.run_ended(attempt, run_end::connection_lost, when);
        }
        keep(tested.endpoint_died(engine(number), when + 50_ms));
    }
    void answer(const std::vector<fingerprint>& parts, int number, time_point when)
    {
        keep(tested.answer_began(begin(parts, number), when));
    }
    [[nodiscard]] part_state state_of(const std::vector<fingerprint>& parts, time_point now) const
    {
        return tested.verdict_of(parts, now).state;
    }
};

} // namespace

TEST_GROUP_BASE(part_quarantine, part_fixture){};

// Guards against engines that crash one after the other, and against sound requests that are blocked with the others.
TEST(part_quarantine, blocks_only_the_part_that_crashes_engines)
{
    crash({deadly_prompt, sound_prompt}, 1, start);
    CHECK(state_of(deadly_prompt, start + 1_s) == part_state::clear);
    crash({deadly_prompt, sound_prompt}, 2, start + 1_s);
    CHECK(state_of(deadly_prompt, start + 2_s) == part_state::blocked);
    CHECK(tested.verdict_of(deadly_prompt, start + 2_s).part != template_part);
    CHECK(state_of({template_part, other_topic}, start + 2_s) == part_state::clear);
    CHECK(state_of(sound_prompt, start + 2_s) == part_state::clear);
}

// Guards against a part that is never blocked because another one was present at its crashes, which is sound.
TEST(part_quarantine, blocks_a_part_that_crashes_engines_without_its_companion)
{
    crash({deadly_prompt}, 1, start);
    crash({deadly_prompt}, 2, start + 3_s);
    CHECK(state_of(sound_prompt, start + 4_s) == part_state::clear);
    crash({sound_prompt}, 3, start + 6_s);
    crash({sound_prompt}, 4, start + 9_s);
    CHECK(state_of(sound_prompt, start + 10_s) == part_state::blocked);
}

// Guards against a frequent part that is blocked when many endpoints die at the same moment.
TEST(part_quarantine, does_not_block_a_part_that_was_answered_shortly_before)
{
    answer(sound_prompt, 9, start);
    for (int number = 1; number <= 4; ++number)
    {
        crash({sound_prompt}, number, start + 1_s);
    }
    CHECK(state_of(sound_prompt, start + 2_s) == part_state::clear);
    CHECK(state_of(sound_prompt, start + 4_s) == part_state::blocked);
    answer(sound_prompt, 9, start + 5_s);
    CHECK(state_of(sound_prompt, start + 9_s) == part_state::clear);
}

// Guards against a part that stays blocked for good, and against frequent trials of one that still crashes engines.
TEST(part_quarantine, tries_a_blocked_part_after_a_time_that_doubles)
{
    crash({deadly_prompt}, 1, start);
    crash({deadly_prompt}, 2, start + 2_s);
    const time_point first_trial = tested.verdict_of(deadly_prompt, start + 3_s).until;
    CHECK(first_trial == start + 17_s);
    CHECK(state_of(deadly_prompt, first_trial) == part_state::on_trial);
    crash({deadly_prompt}, 3, first_trial);
    CHECK(tested.verdict_of(deadly_prompt, first_trial + 1_s).until == first_trial + 30_s);
    answer(deadly_prompt, 4, first_trial + 30_s);
    CHECK(state_of(deadly_prompt, first_trial + 40_s) == part_state::clear);
}

// Guards against deaths that count although the answer had begun, the run was stopped, or the endpoint is alive.
TEST(part_quarantine, counts_only_deaths_before_the_answer)
{
    for (int number = 1; number <= 3; ++number)
    {
        const time_point when = start + number * 5_s;
        const attempt_id begun = begin(deadly_prompt, number);
        keep(tested.answer_began(begun, when - 4_s));
        const attempt_id stopped = begin(deadly_prompt, number);
        tested.run_ended(stopped, run_end::stopped, when);
        const attempt_id disconnected = begin(deadly_prompt, number);
        tested.run_ended(disconnected, run_end::connection_lost, when);
        tested.endpoint_survived(engine(number));
        keep(tested.endpoint_died(engine(number), when));
    }
    LONGS_EQUAL(0, sent.size());
    CHECK(state_of(deadly_prompt, start + 60_s) == part_state::clear);
}

// Guards against crashes that are counted for each instance alone.
TEST(part_quarantine, counts_the_deaths_that_peers_report)
{
    crash({deadly_prompt}, 1, start);
    part_quarantine peer;
    for (const auto& notice : sent)
    {
        CHECK_TRUE(peer.merge(notice, start + 1_s).has_value());
        CHECK_FALSE(peer.merge(notice, start + 1_s).has_value());
    }
    peer.run_started(attempt_id{77}, deadly_prompt, engine(2));
    for (const auto& notice : peer.endpoint_died(engine(2), start + 2_s))
    {
        CHECK_TRUE(notice.prompt_part);
        tested.merge(notice, start + 2_s);
    }
    CHECK(state_of(deadly_prompt, start + 3_s) == part_state::blocked);
    CHECK(peer.verdict_of(deadly_prompt, start + 3_s).state == part_state::blocked);
}

// Guards against a part that some instances block, although one of them has seen its answers.
TEST(part_quarantine, answers_at_one_instance_clear_a_part_at_its_peers)
{
    part_quarantine peer;
    peer.run_started(attempt_id{77}, {topic}, engine(9));
    CHECK_TRUE(peer.answer_began(attempt_id{77}, start + 8_s).empty());
    crash({{topic}}, 1, start);
    crash({{topic}}, 2, start + 5_s);
    CHECK(state_of({topic}, start + 9_s) == part_state::blocked);
    const auto cleared = peer.merge(sent.back(), start + 9_s);
    CHECK_TRUE(cleared.has_value());
    CHECK_TRUE(tested.merge(*cleared, start + 9_s).has_value());
    CHECK(state_of({topic}, start + 20_s) == part_state::clear);
    CHECK_FALSE(peer.merge(*cleared, start + 9_s).has_value());
}

// Guards against instances that differ for good after they have received the same notices in another order.
TEST(part_quarantine, merging_does_not_depend_on_the_order_of_notices)
{
    check_property("merging does not depend on the order of notices",
                   []
                   {
                       random_source random{*rc::gen::arbitrary<std::uint64_t>()};
                       part_quarantine source;
                       std::vector<quarantine_notice> notices;
                       for (std::uint64_t attempt = 1; attempt <= 12; ++attempt)
                       {
                           const fingerprint part{random.index(3)};
                           const time_point when = start + duration{static_cast<duration::rep>(random.index(20'000))};
                           source.run_started(attempt_id{attempt}, {part}, engine(static_cast<int>(random.index(4))));
                           const auto caused =
                               random.index(4) == 0
                                   ? source.answer_began(attempt_id{attempt}, when)
                                   : source.endpoint_died(engine(static_cast<int>(random.index(4))), when);
                           notices.insert(notices.end(), caused.begin(), caused.end());
                       }
                       part_quarantine first;
                       part_quarantine second;
                       for (const auto& notice : notices)
                       {
                           first.merge(notice, start + 20_s);
                       }
                       std::reverse(notices.begin(), notices.end());
                       for (const auto& notice : notices)
                       {
                           second.merge(notice, start + 20_s);
                       }
                       RC_ASSERT(first.notices(10, start + 20_s) == second.notices(10, start + 20_s));
                   });
}

// Guards against memory that grows with the number of parts.
TEST(part_quarantine, bounds_the_number_of_parts)
{
    part_quarantine_policy policy;
    policy.max_parts = 10;
    part_quarantine bounded{policy};
    for (std::uint64_t part = 1; part <= 100; ++part)
    {
        bounded.run_started(attempt_id{part}, {fingerprint{part}}, engine(1));
    }
    bounded.endpoint_died(engine(1), start);
    LONGS_EQUAL(10, bounded.size());
    bounded.purge(start + 700_s);
    LONGS_EQUAL(0, bounded.size());
}
