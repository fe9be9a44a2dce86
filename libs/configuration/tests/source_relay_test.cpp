#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/configuration/source_relay.hpp> // source_relay
#include <parsleyshift/core/random_source.hpp>         // random_source

#include <algorithm> // count_if, find
#include <map>       // map
#include <optional>  // optional
#include <string>    // string, to_string
#include <utility>   // move
#include <vector>    // vector

using namespace parsleyshift;
using namespace parsleyshift::literals;

namespace
{

constexpr time_point start = at_ms(1'000'000);
const source_peer reader{instance_id{"reader"}, "10.0.0.1:1"};
const source_peer second_reader{instance_id{"second"}, "10.0.0.3:1"};
const source_readers only_reader{{reader}, {}};
const source_peer follower{instance_id{"follower"}, "10.0.0.2:1"};

/// A store that increments its revision with each write and keeps the full history for watches.
class fake_store
{
  public:
    void write(const std::string& key, std::optional<std::string> value)
    {
        ++revision_;
        changes_.push_back({key, value, revision{revision_}});
        if (value)
        {
            items_.insert_or_assign(key, store_item{key, *value, revision{revision_}});
        }
        else
        {
            items_.erase(key);
        }
    }
    void answer(store_watch& watch, const store_call& call) const
    {
        if (call.what == store_call::kind::list)
        {
            store_page page;
            page.at_revision = revision{revision_};
            for (const auto& [key, item] : items_)
            {
                page.items.push_back(item);
            }
            watch.handle(std::move(page));
            return;
        }
        store_changes after;
        after.at_revision = revision{revision_};
        for (const store_change& change : changes_)
        {
            if (change.changed > call.after)
            {
                after.changes.push_back(change);
            }
        }
        watch.handle(after);
    }
    [[nodiscard]] const std::map<std::string, store_item>& items() const
    {
        return items_;
    }
    [[nodiscard]] std::uint64_t newest() const
    {
        return revision_;
    }

  private:
    std::uint64_t revision_ = 10;
    std::vector<store_change> changes_;
    std::map<std::string, store_item> items_;
};

} // namespace

TEST_GROUP(source_relay)
{
    fake_store store;
    store_watch reader_watch{store_watch_settings{}, 1};
    store_watch follower_watch{store_watch_settings{}, 2};
    source_relay reader_relay{reader_watch};
    source_relay follower_relay{follower_watch};
    time_point now = start;

    void read_store(store_watch & watch, duration call_duration = 10_ms)
    {
        const store_call call = watch.next(now);
        now += call_duration;
        store.answer(watch, call);
    }
    /// Both watches list the store.
    void list_both()
    {
        store.write("a", "1");
        read_store(reader_watch);
        read_store(follower_watch);
    }
    /// The answer that a reader sends at once.
    source_answer answer_to(source_relay & relay, const source_pull& sent) const
    {
        const auto answers = relay.handle_pull(follower, sent, now);
        LONGS_EQUAL(1, answers.size());
        return answers.front();
    }
    source_pull pull()
    {
        return follower_relay.next_pull(only_reader, now)->pull;
    }
};

// Guards against the answer to a pull of a killed process that confirms the copy of its successor as of a later time.
TEST(source_relay, takes_no_answer_to_a_pull_of_an_earlier_process)
{
    list_both();
    source_relay killed{follower_watch, {}, 1};
    source_relay successor{follower_watch, {}, 2};
    CHECK(reader_relay.handle_pull(follower, killed.next_pull(only_reader, now)->pull, now).empty());
    read_store(reader_watch);
    const auto late = reader_relay.take_pending_answers(true, now);
    LONGS_EQUAL(1, late.size());
    now += 500_ms;
    CHECK(successor.next_pull(only_reader, now).has_value());
    CHECK(successor.handle_answer(reader, late[0].answer, now) == source_relay::answer_result::ignored);
}

// Guards against a follower that accepts a key for longer than the last confirmed read allows: the answer may be
// delayed anywhere, so the age that the read had when the pull arrived must be subtracted from the time at which the
// pull was sent.
TEST(source_relay, subtracts_the_age_of_a_read_from_the_send_time_of_the_pull)
{
    list_both();
    now += 1'000_ms;
    // The pull arrives 300 ms after the start of the read that answers it.
    const store_call call = reader_watch.next(now);
    now += 300_ms;
    const time_point sent_at = now;
    const source_pull sent = pull();
    CHECK(reader_relay.handle_pull(follower, sent, now).empty());
    now += 100_ms;
    store.answer(reader_watch, call);
    const auto answers = reader_relay.take_pending_answers(true, now);
    LONGS_EQUAL(1, answers.size());
    CHECK(answers[0].to.instance == follower.instance);
    LONGS_EQUAL(300, answers[0].answer.age.count());
    now += 5'000_ms;
    CHECK(follower_relay.handle_answer(reader, answers[0].answer, now) == source_relay::answer_result::accepted);
    CHECK(follower_watch.confirmed_at() == sent_at - 300_ms);
}

// Guards against a copy that seems newer than the pull for it: a read that began after the pull had arrived proves no
// more than that the copy was current when the pull was sent.
TEST(source_relay, a_read_after_the_arrival_of_the_pull_confirms_the_send_time)
{
    list_both();
    now += 1'000_ms;
    const time_point sent_at = now;
    const source_pull sent = pull();
    CHECK(reader_relay.handle_pull(follower, sent, now).empty());
    now += 100_ms;
    read_store(reader_watch, 300_ms);
    const auto answers = reader_relay.take_pending_answers(true, now);
    LONGS_EQUAL(0, answers.at(0).answer.age.count());
    now += 5'000_ms;
    CHECK(follower_relay.handle_answer(reader, answers[0].answer, now) == source_relay::answer_result::accepted);
    CHECK(follower_watch.confirmed_at() == sent_at);
}

// Guards against a new instance that lists the store although a reader can give it a copy.
TEST(source_relay, the_first_copy_comes_from_a_reader)
{
    store.write("a", "1");
    // The reader has just started, too: it answers after its first listing.
    const source_pull sent = pull();
    CHECK(reader_relay.handle_pull(follower, sent, now).empty());
    read_store(reader_watch);
    const auto answers = reader_relay.take_pending_answers(true, now);
    LONGS_EQUAL(1, answers.size());
    CHECK(follower_relay.handle_answer(reader, answers[0].answer, now) == source_relay::answer_result::accepted);
    CHECK(follower_watch.listed());
    CHECK(follower_watch.items() == store.items());
    CHECK(follower_watch.next(now).what == store_call::kind::watch);
}

// Guards against two instances without a copy that wait for each other.
TEST(source_relay, an_instance_does_not_let_its_own_reader_wait)
{
    const source_pull sent = pull();
    const auto answers = follower_relay.handle_pull(reader, {9, revision{}, true, true, true, {}}, now);
    LONGS_EQUAL(1, answers.size());
    CHECK_FALSE(answers[0].available || answers[0].complete || answers[0].follows);
    CHECK(reader_relay.handle_pull(follower, sent, now).empty());
}

// Guards against a follower that gives up a reader which waits for a slow store.
TEST(source_relay, a_reader_that_waits_long_says_so)
{
    list_both();
    const source_pull sent = pull();
    CHECK(reader_relay.handle_pull(follower, sent, now).empty());
    CHECK(reader_relay.next_progress_sign() == never);
    reader_relay.begin_read();
    const time_point due = reader_relay.next_progress_sign();
    CHECK(due > now && due < now + follower_relay.answer_timeout());
    CHECK(reader_relay.take_progress_signs(due - 1_ms).empty());
    const auto signs = reader_relay.take_progress_signs(due);
    LONGS_EQUAL(1, signs.size());
    CHECK(follower_relay.handle_answer(reader, signs[0].answer, due) == source_relay::answer_result::waiting);
    CHECK(reader_relay.next_progress_sign() > due);
    now = due + 500_ms;
    read_store(reader_watch);
    const auto answers = reader_relay.take_pending_answers(true, now);
    CHECK(follower_relay.handle_answer(reader, answers.at(0).answer, now) == source_relay::answer_result::accepted);
    CHECK(reader_relay.next_progress_sign() == never);
}

// Guards against instances that wait for each other in a circle and keep each other waiting for good.
TEST(source_relay, an_instance_that_waits_for_a_silent_reader_sends_no_signs)
{
    list_both();
    store_watch middle_watch{store_watch_settings{}, 3};
    read_store(middle_watch);
    source_relay middle{middle_watch};
    const auto own_pull = middle.next_pull(only_reader, now);
    CHECK(own_pull.has_value());
    CHECK(middle.handle_pull(follower, pull(), now).empty());
    CHECK(middle.next_progress_sign() == never);
    CHECK(middle.take_progress_signs(now + 5'000_ms).empty());
    source_answer sign;
    sign.pull_number = own_pull->pull.pull_number;
    sign.follows = true;
    sign.in_progress = true;
    CHECK(middle.handle_answer(reader, sign, now + 850_ms) == source_relay::answer_result::waiting);
    LONGS_EQUAL(1, middle.take_progress_signs(now + 850_ms).size());
}

// Guards against two instances that follow each other, since one of them has not joined yet: neither reads the store.
TEST(source_relay, an_instance_does_not_wait_for_a_pull_of_its_own_reader)
{
    list_both();
    const source_pull sent = pull();
    CHECK(reader_relay.handle_pull(follower, sent, now).empty());
    const auto answers = follower_relay.handle_pull(reader, {9, follower_watch.as_of(), true, true, true, {}}, now);
    LONGS_EQUAL(1, answers.size());
    CHECK_FALSE(answers[0].available);
}

// Guards against a reader that sends large answers to all followers at once: they share its link, and all are late.
TEST(source_relay, large_answers_wait_for_the_link)
{
    store.write("a", std::string(500'000, 'x'));
    read_store(reader_watch);
    constexpr int followers = 20;
    int answered = 0;
    for (int each = 0; each < followers; ++each)
    {
        const source_peer from{instance_id{"f" + std::to_string(each)}, "10.0.1.1:1"};
        const auto answers = reader_relay.handle_pull(from, {1, revision{}, true, false, true, {}}, now);
        answered += answers.empty() ? 0 : 1;
    }
    // One answer takes 0.5 s of the link.
    CHECK(answered >= 1 && answered <= 2);
    while (reader_relay.next_large_answers() != never)
    {
        CHECK(reader_relay.next_large_answers() > now);
        now = reader_relay.next_large_answers();
        const auto answers = reader_relay.take_large_answers(now);
        LONGS_EQUAL(1, std::count_if(answers.begin(), answers.end(),
                                     [](const addressed_answer& each) { return !each.answer.follows; }));
        ++answered;
    }
    LONGS_EQUAL(followers, answered);
}

// Guards against a follower that keeps what a store has lost, or misses what was written since, because it compares
// revisions of two eras.
TEST(source_relay, hands_on_a_new_era_as_a_whole)
{
    store.write("lost", "1");
    list_both();
    for (store_watch* each : {&reader_watch, &follower_watch})
    {
        each->restart_listing();
        each->next(now);
        each->handle({{{"a", "1", revision{40}}, {"lost", "1", revision{39}}}, false, revision{40}, source_era{1}});
    }
    reader_watch.restart_listing();
    reader_watch.next(now);
    reader_watch.handle({{{"a", "2", revision{12}}}, false, revision{13}, source_era{2}});
    const auto answers = reader_relay.handle_pull(follower, pull(), now);
    LONGS_EQUAL(1, answers.size());
    CHECK(follower_relay.handle_answer(reader, answers.front(), now) == source_relay::answer_result::accepted);
    CHECK(follower_watch.items() == reader_watch.items());
    CHECK(follower_watch.next(now).after == revision{13});
}

// Guards against an instance that goes back to what a store has lost, because a peer still has it.
TEST(source_relay, refuses_a_reader_of_an_earlier_era)
{
    reader_watch.next(now);
    reader_watch.handle({{{"a", "lost", revision{40}}}, false, revision{40}, source_era{1}});
    follower_watch.next(now);
    follower_watch.handle({{{"a", "kept", revision{12}}}, false, revision{12}, source_era{2}});
    const source_pull sent = pull();
    const auto answers = reader_relay.handle_pull(follower, sent, now);
    for (const source_answer& each : answers)
    {
        CHECK(follower_relay.handle_answer(reader, each, now) != source_relay::answer_result::accepted);
    }
    for (const addressed_answer& each : reader_relay.take_pending_answers(true, now))
    {
        CHECK(follower_relay.handle_answer(reader, each.answer, now) != source_relay::answer_result::accepted);
    }
    STRCMP_EQUAL("kept", follower_watch.items().at("a").value.c_str());
}

// Guards against a watch that is cut off again, for its size, because a peer that is no newer answered in between.
TEST(source_relay, still_lists_the_store_after_an_answer_that_brings_nothing)
{
    list_both();
    follower_watch.record_failure(true);
    reader_relay.record_failed_read(now + 1_s);
    const auto answers = reader_relay.handle_pull(follower, pull(), now);
    LONGS_EQUAL(1, answers.size());
    CHECK(follower_relay.handle_answer(reader, answers.front(), now) == source_relay::answer_result::unconfirmed);
    CHECK(follower_watch.next(now).what == store_call::kind::list);
}

// Guards against a change that the reader already has and that reaches a follower only after the reader's next watch.
TEST(source_relay, answers_at_once_when_the_follower_is_behind)
{
    list_both();
    const source_pull sent = pull();
    store.write("a", "2");
    read_store(reader_watch);
    const auto answer = answer_to(reader_relay, sent);
    CHECK(follower_relay.handle_answer(reader, answer, now) == source_relay::answer_result::accepted);
    STRCMP_EQUAL("2", follower_watch.items().at("a").value.c_str());
}

// Guards against an instance that keeps pulling from a reader that is dead, frozen or cut off from the store, and so
// receives no changes.
TEST(source_relay, reads_the_store_directly_when_the_reader_does_not_answer_or_refuses)
{
    list_both();
    const source_pull first = pull();
    CHECK_TRUE(follower_relay.handle_timeout(first.pull_number, now));
    CHECK_FALSE(follower_relay.handle_timeout(first.pull_number, now));
    // 1 ms before the end of the default silence_avoidance.
    CHECK_FALSE(follower_relay.next_pull(only_reader, now + 1'999_ms).has_value());
    CHECK_TRUE(follower_relay.skip_watch_wait());
    LONGS_EQUAL(0, follower_watch.next(now, follower_relay.skip_watch_wait()).wait.count());
    follower_relay.record_read();
    CHECK_FALSE(follower_relay.skip_watch_wait());
    now += 2'000_ms;
    const source_pull second = pull();
    reader_relay.record_failed_read(now);
    const auto refusal = answer_to(reader_relay, second);
    CHECK_FALSE(refusal.available);
    CHECK(follower_relay.handle_answer(reader, refusal, now) == source_relay::answer_result::unconfirmed);
    CHECK_FALSE(follower_relay.next_pull(only_reader, now).has_value());
    CHECK_TRUE(follower_relay.skip_watch_wait());
}

// Guards against a region whose instances all read the store because one reader does not answer.
TEST(source_relay, pulls_from_the_next_reader_before_it_reads_the_store)
{
    list_both();
    const source_readers readers{{reader, second_reader}, {}};
    const auto first = follower_relay.next_pull(readers, now);
    CHECK(first->to.instance == reader.instance);
    follower_relay.handle_timeout(first->pull.pull_number, now);
    const auto second = follower_relay.next_pull(readers, now);
    CHECK(second->to.instance == second_reader.instance);
    // An answer of the first reader that arrives now is not one to the second pull.
    source_answer late;
    late.pull_number = second->pull.pull_number;
    late.available = true;
    CHECK(follower_relay.handle_answer(reader, late, now) == source_relay::answer_result::ignored);
    follower_relay.handle_timeout(second->pull.pull_number, now);
    CHECK_FALSE(follower_relay.next_pull(readers, now).has_value());
    CHECK(follower_relay.next_pull(readers, now + 2'000_ms)->to.instance == reader.instance);
}

// Guards against followers that discard the changes of a reader whose last read failed, and read the same changes from
// the store.
TEST(source_relay, applies_the_changes_of_a_reader_that_cannot_confirm_them)
{
    list_both();
    const time_point confirmed = follower_watch.confirmed_at();
    const source_pull sent = pull();
    store.write("a", "2");
    read_store(reader_watch);
    now += 3'000_ms;
    reader_relay.record_failed_read(now);
    const auto answer = answer_to(reader_relay, sent);
    CHECK_FALSE(answer.available);
    CHECK(follower_relay.handle_answer(reader, answer, now) == source_relay::answer_result::unconfirmed);
    STRCMP_EQUAL("2", follower_watch.items().at("a").value.c_str());
    CHECK(follower_watch.as_of() == reader_watch.as_of());
    // The copy is not taken for newer than the reader's last successful read.
    CHECK(follower_watch.confirmed_at() == confirmed);
    CHECK_FALSE(follower_relay.next_pull(only_reader, now).has_value());
}

// Guards against an instance that cannot reach the store and still waits for the end of its direct reads before it
// pulls from a reader again.
TEST(source_relay, pulls_from_the_reader_again_at_once_when_the_store_fails)
{
    list_both();
    follower_relay.handle_timeout(pull().pull_number, now);
    follower_relay.record_failed_read(now);
    CHECK_TRUE(follower_relay.next_pull(only_reader, now).has_value());
}

// Guards against a region that goes on reading the store long after it answers the readers again, and against a copy
// that gets too old while one silent reader after the other is asked.
TEST(source_relay, asks_refusing_readers_again_soon_and_only_two_silent_ones)
{
    list_both();
    const source_readers readers{{reader, second_reader, {instance_id{"third"}, "10.0.0.5:1"}}, {}};
    source_answer refusal;
    refusal.pull_number = follower_relay.next_pull(readers, now)->pull.pull_number;
    CHECK(follower_relay.handle_answer(reader, refusal, now) == source_relay::answer_result::refused);
    CHECK(follower_relay.next_pull(readers, now + 499_ms)->to.instance == second_reader.instance);
    CHECK(follower_relay.next_pull(readers, now + 500_ms)->to.instance == reader.instance);
    now += 500_ms;
    follower_relay.handle_timeout(follower_relay.next_pull(readers, now)->pull.pull_number, now);
    follower_relay.handle_timeout(follower_relay.next_pull(readers, now)->pull.pull_number, now);
    CHECK_FALSE(follower_relay.next_pull(readers, now).has_value());
}

// Guards against a reader that cannot read the store and gets no data although readers of a lower rank have them, and
// against two instances that wait for each other.
TEST(source_relay, follows_a_lower_rank_only_while_its_own_reads_fail)
{
    list_both();
    const source_readers lower{{}, {second_reader}};
    CHECK_FALSE(follower_relay.next_pull(lower, now).has_value());
    follower_relay.record_failed_read(now + 1'000_ms);
    const auto next = follower_relay.next_pull(lower, now);
    CHECK(next->to.instance == second_reader.instance);
    store.write("a", "2");
    read_store(reader_watch);
    const source_answer answer = answer_to(reader_relay, next->pull);
    CHECK(follower_relay.handle_answer(second_reader, answer, now) == source_relay::answer_result::accepted);
    STRCMP_EQUAL("2", follower_watch.items().at("a").value.c_str());
    CHECK_TRUE(follower_relay.follows_lower_rank());
    // A pull of the reader that it follows is answered at once, without confirming the copy.
    const auto back = follower_relay.handle_pull(second_reader, {1, follower_watch.as_of()}, now);
    LONGS_EQUAL(1, back.size());
    CHECK_FALSE(back.front().available);
    // The store is tried again after 1 s, without waiting for changes.
    CHECK_TRUE(follower_relay.next_pull(lower, now + 900_ms).has_value());
    CHECK_FALSE(follower_relay.next_pull(lower, now + 1'000_ms).has_value());
    CHECK_TRUE(follower_relay.skip_watch_wait());
    follower_relay.record_read();
    CHECK_FALSE(follower_relay.follows_lower_rank());
}

// Guards against an instance without a store that waits for a silent reader while another one answers.
TEST(source_relay, pulls_from_a_reader_that_has_answered_when_the_store_fails)
{
    list_both();
    const source_readers readers{{reader, second_reader}, {}};
    follower_relay.handle_timeout(follower_relay.next_pull(readers, now)->pull.pull_number, now);
    source_answer unconfirmed;
    unconfirmed.pull_number = follower_relay.next_pull(readers, now)->pull.pull_number;
    unconfirmed.at_revision = follower_watch.as_of();
    unconfirmed.complete = true;
    CHECK(follower_relay.handle_answer(second_reader, unconfirmed, now) == source_relay::answer_result::unconfirmed);
    CHECK_FALSE(follower_relay.next_pull(readers, now).has_value());
    follower_relay.record_failed_read(now);
    CHECK(follower_relay.next_pull(readers, now)->to.instance == second_reader.instance);
}

// Guards against followers whose pending pulls are never answered when the reader can no longer read the store.
TEST(source_relay, refuses_pending_pulls_when_the_store_fails)
{
    list_both();
    CHECK(reader_relay.handle_pull(follower, pull(), now).empty());
    const auto answers = reader_relay.take_pending_answers(false, now);
    LONGS_EQUAL(1, answers.size());
    CHECK_FALSE(answers[0].answer.available);
    LONGS_EQUAL(0, reader_relay.take_pending_answers(true, now).size());
}

// Guards against accepting an answer to an earlier pull, from another instance, or from a reader with an older
// revision.
TEST(source_relay, accepts_only_the_answer_to_the_pull_in_progress)
{
    list_both();
    const source_pull sent = pull();
    store.write("a", "2");
    read_store(reader_watch);
    source_answer answer = answer_to(reader_relay, sent);
    CHECK(follower_relay.handle_answer({instance_id{"other"}, "10.0.0.9:1"}, answer, now) ==
          source_relay::answer_result::ignored);
    --answer.pull_number;
    CHECK(follower_relay.handle_answer(reader, answer, now) == source_relay::answer_result::ignored);
    ++answer.pull_number;
    answer.at_revision = revision{1};
    CHECK(follower_relay.handle_answer(reader, answer, now) == source_relay::answer_result::refused);
    STRCMP_EQUAL("1", follower_watch.items().at("a").value.c_str());
}

// Guards against a gap in the changes: a reader that does not know which items were removed after the follower's
// revision must not send the other changes only.
TEST(source_relay, refuses_a_pull_when_changes_would_be_missing)
{
    list_both();
    const source_pull without_listing{1, follower_watch.as_of()};
    store.write("a", "2");
    reader_watch.restart_listing();
    read_store(reader_watch);
    const auto refusal = answer_to(reader_relay, without_listing);
    CHECK_FALSE(refusal.available);
    CHECK_FALSE(refusal.complete);
    store_watch_settings small;
    // One of the two removals below.
    small.max_removals = 1;
    store_watch short_memory_watch{small, 3};
    source_relay relay{short_memory_watch};
    read_store(short_memory_watch);
    const revision known = short_memory_watch.as_of();
    store.write("b", std::nullopt);
    store.write("c", std::nullopt);
    read_store(short_memory_watch);
    CHECK_FALSE(answer_to(relay, {1, known}).available);
    CHECK_TRUE(answer_to(relay, {1, known, true}).available);
}

// Guards against an item that stays at a follower for good: it was removed before the listing of the reader, which does
// not know it, and against a region that turns to the store because its reader has listed again.
TEST(source_relay, names_all_items_when_it_does_not_know_the_removed_ones)
{
    store.write("removed", "1");
    list_both();
    const source_pull sent = pull();
    store.write("removed", std::nullopt);
    store.write("b", "1");
    reader_watch.restart_listing();
    read_store(reader_watch);
    const auto answer = answer_to(reader_relay, sent);
    CHECK_TRUE(answer.lists_all);
    // Only the value of the new item is sent.
    LONGS_EQUAL(1, answer.changes.size());
    CHECK(follower_relay.handle_answer(reader, answer, now) == source_relay::answer_result::accepted);
    CHECK(follower_watch.items() == store.items());
    const auto changed = follower_watch.take_changed();
    CHECK(std::find(changed.begin(), changed.end(), "removed") != changed.end());
}

// Guards against large values that are sent to each follower in full, and against a damaged one that is put in force.
TEST(source_relay, compresses_large_values_for_followers_that_accept_them)
{
    list_both();
    const source_pull sent = pull();
    const std::string large(50'000, 'x');
    store.write("a", large);
    read_store(reader_watch);
    source_answer answer = answer_to(reader_relay, sent);
    CHECK(answer.changes[0].value.size() < 1'000);
    const source_pull of_an_earlier_release{2, sent.known_revision};
    STRCMP_EQUAL(large.c_str(), answer_to(reader_relay, of_an_earlier_release).changes[0].value.c_str());
    source_answer damaged = answer;
    damaged.changes[0].value.resize(20);
    CHECK(follower_relay.handle_answer(reader, damaged, now) == source_relay::answer_result::refused);
    STRCMP_EQUAL("1", follower_watch.items().at("a").value.c_str());
    now += 2'000_ms;
    answer.pull_number = pull().pull_number;
    CHECK(follower_relay.handle_answer(reader, answer, now) == source_relay::answer_result::accepted);
    STRCMP_EQUAL(large.c_str(), follower_watch.items().at("a").value.c_str());
}

// Guards against followers that take a reader for dead while its answer is on the way over a slow link.
TEST(source_relay, announces_answers_that_take_long)
{
    list_both();
    source_relay_settings settings;
    // 100 bytes take 300 ms.
    settings.min_link_rate = 1.0 / 3.0;
    source_relay busy_relay{reader_watch, settings};
    store.write("a", std::string(100, 'x'));
    read_store(reader_watch);
    const source_pull sent = pull();
    const source_peer first{instance_id{"first"}, "10.0.0.4:1"};
    // One byte of the key makes it longer than 300 ms.
    const auto answers = busy_relay.handle_pull(first, sent, now);
    LONGS_EQUAL(2, answers.size());
    CHECK_TRUE(answers[0].follows);
    CHECK_FALSE(answers[1].follows);
    CHECK(follower_relay.handle_answer(reader, answers[0], now) == source_relay::answer_result::announced);
    // The pull is still in progress.
    CHECK(follower_relay.handle_answer(reader, answers[1], now) == source_relay::answer_result::accepted);
    // A follower of an earlier release would take a notice for a refusal.
    LONGS_EQUAL(1, busy_relay.handle_pull(first, {1, sent.known_revision}, now).size());
    // When the link is idle again, a small answer needs no notice.
    now += 5'000_ms;
    busy_relay.record_failed_read(now);
    LONGS_EQUAL(1, busy_relay.handle_pull(first, {2, reader_watch.as_of(), true, true, true}, now).size());
}

// Guards against answers that grow with the number of changes that a follower has missed.
TEST(source_relay, sends_only_the_latest_change_of_each_item)
{
    list_both();
    const source_pull sent = pull();
    for (int version = 0; version < 50; ++version)
    {
        store.write("a", std::to_string(version));
        store.write("b", version % 2 == 0 ? std::optional{"1"} : std::nullopt);
    }
    read_store(reader_watch);
    const auto answer = answer_to(reader_relay, sent);
    LONGS_EQUAL(2, answer.changes.size());
    CHECK(follower_relay.handle_answer(reader, answer, now) == source_relay::answer_result::accepted);
    CHECK(follower_watch.items() == store.items());
}

// Guards against a change that a follower never receives: a later page of the reader's listing already contained it, so
// the first watch changes nothing in the reader's items.
TEST(source_relay, forwards_changes_already_contained_in_a_later_page)
{
    list_both();
    store_watch paged{store_watch_settings{}, 4};
    source_relay relay{paged};
    paged.next(now);
    paged.handle(store_page{{store.items().at("a")}, true, reader_watch.as_of()});
    store.write("b", "new");
    store_page second;
    second.items = {store.items().at("b")};
    // The revision of the store after the second write.
    second.at_revision = revision{12};
    paged.next(now);
    paged.handle(std::move(second));
    read_store(paged);
    const auto answer = answer_to(relay, {1, follower_watch.as_of()});
    CHECK_TRUE(answer.available);
    LONGS_EQUAL(1, answer.changes.size());
    CHECK(answer.changes[0].changed == revision{12});
}

TEST_GROUP(source_relay_schedules){};

// Guards against a follower whose items differ from the store at its revision, or whose confirmed time is later than
// the next write, under any order of writes, reads, failures and lost answers.
TEST(source_relay_schedules, a_follower_matches_the_store_at_its_revision)
{
    test_support::check_property(
        "a follower matches the store at its revision and is not older than its confirmed time",
        [](std::uint64_t seed)
        {
            random_source random{seed};
            fake_store store;
            store_watch reader_watch{store_watch_settings{}, 1};
            store_watch follower_watch{store_watch_settings{}, 2};
            source_relay reader_relay{reader_watch};
            source_relay follower_relay{follower_watch};
            time_point now = start;
            std::map<std::uint64_t, std::map<std::string, store_item>> items_by_revision;
            std::map<std::uint64_t, time_point> write_times;
            std::optional<source_answer> answer_in_flight;
            std::optional<source_pull> sent;
            const auto read_store_directly = [&](store_watch& watch)
            {
                const store_call call = watch.next(now);
                now += duration{static_cast<duration::rep>(random.index(50))};
                store.answer(watch, call);
            };
            items_by_revision.emplace(store.newest(), store.items());
            write_times.emplace(store.newest(), now);
            read_store_directly(reader_watch);
            read_store_directly(follower_watch);
            for (int step = 0; step < 200; ++step)
            {
                now += duration{static_cast<duration::rep>(random.index(400))};
                switch (random.index(6))
                {
                case 0:
                {
                    const std::string key(1, static_cast<char>('a' + random.index(4)));
                    store.write(key, random.index(3) == 0 ? std::nullopt : std::optional{std::to_string(step)});
                    break;
                }
                case 1:
                    read_store_directly(reader_watch);
                    reader_relay.record_read();
                    for (addressed_answer& answer : reader_relay.take_pending_answers(true, now))
                    {
                        answer_in_flight = std::move(answer.answer);
                    }
                    break;
                case 2:
                    if (random.index(4) == 0)
                    {
                        reader_watch.restart_listing();
                    }
                    break;
                case 3:
                    sent.reset();
                    if (const auto next = follower_relay.next_pull(only_reader, now))
                    {
                        sent = next->pull;
                        for (source_answer& answer : reader_relay.handle_pull(follower, *sent, now))
                        {
                            answer_in_flight = std::move(answer);
                        }
                    }
                    else
                    {
                        read_store_directly(follower_watch);
                        follower_relay.record_read();
                    }
                    break;
                case 4:
                    if (answer_in_flight && random.index(5) != 0)
                    {
                        follower_relay.handle_answer(reader, *answer_in_flight, now);
                    }
                    answer_in_flight.reset();
                    break;
                default:
                    if (sent)
                    {
                        follower_relay.handle_timeout(sent->pull_number, now);
                    }
                    break;
                }
                items_by_revision.emplace(store.newest(), store.items());
                write_times.emplace(store.newest(), now);
                RC_ASSERT(follower_watch.items() == items_by_revision.at(follower_watch.as_of().value()));
                const auto next = write_times.upper_bound(follower_watch.as_of().value());
                RC_ASSERT(next == write_times.end() || follower_watch.confirmed_at() <= next->second);
            }
        });
}
