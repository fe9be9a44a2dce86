#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/configuration/store_watch.hpp> // store_watch

#include <algorithm> // count
#include <map>       // map
#include <string>    // string

using namespace parsleyshift;
using namespace parsleyshift::literals;

namespace
{

constexpr time_point start = at_ms(1'000'000);

store_page page(std::vector<store_item> items, std::uint64_t as_of, bool more = false, std::uint64_t era = 0)
{
    return {std::move(items), more, revision{as_of}, source_era{era}};
}

store_item item(const std::string& key, const std::string& value, std::uint64_t changed)
{
    return {key, value, revision{changed}};
}

} // namespace

TEST_GROUP(store_watch)
{
    store_watch watch{store_watch_settings{}, 1};

    std::string value_of(const std::string& key) const
    {
        const auto found = watch.items().find(key);
        return found == watch.items().end() ? "none" : found->second.value;
    }
};

// Guards against a watch from the revision of the last page, which would miss changes made during the listing.
TEST(store_watch, lists_all_pages_and_watches_from_the_revision_of_the_first)
{
    store_call call = watch.next(start);
    CHECK(call.what == store_call::kind::list);
    CHECK_FALSE(watch.handle(page({item("a", "1", 3)}, 10, true)));
    call = watch.next(start + 5_ms);
    CHECK(call.what == store_call::kind::list);
    STRCMP_EQUAL("a", call.after_key.c_str());
    CHECK(watch.handle(page({item("b", "1", 11)}, 12)));
    call = watch.next(start + 9_ms);
    CHECK(call.what == store_call::kind::watch);
    CHECK(call.after == revision{10});
    // Confirmed for the start of the first call, not for the arrival of the last page.
    CHECK(watch.confirmed_at() == start);
}

// Guards against an item that stays for good because it was removed between two pages of the listing.
TEST(store_watch, applies_changes_made_during_the_listing)
{
    watch.next(start);
    watch.handle(page({item("a", "1", 3)}, 10, true));
    watch.next(start);
    watch.handle(page({item("b", "1", 11)}, 12));
    watch.next(start + 50_ms);
    watch.handle({{{"b", "1", revision{11}}, {"a", std::nullopt, revision{12}}}, revision{12}});
    STRCMP_EQUAL("none", value_of("a").c_str());
    STRCMP_EQUAL("1", value_of("b").c_str());
    CHECK(watch.confirmed_at() == start + 50_ms);
}

// Guards against an old answer that restores a replaced value and counts as a confirmation.
TEST(store_watch, ignores_answers_older_than_the_local_copy)
{
    watch.next(start);
    watch.handle(page({item("a", "2", 20)}, 20));
    watch.next(start + 1_s);
    watch.handle({{{"a", "1", revision{15}}}, revision{15}});
    STRCMP_EQUAL("2", value_of("a").c_str());
    CHECK(watch.confirmed_at() == start);
    watch.restart_listing();
    watch.next(start + 2_s);
    watch.handle(page({item("a", "1", 15)}, 16));
    STRCMP_EQUAL("2", value_of("a").c_str());
    CHECK(watch.confirmed_at() == start);
}

// Guards against items that stay for good because they were removed in the part of the history that the store dropped.
TEST(store_watch, lists_again_when_the_history_is_dropped)
{
    watch.next(start);
    watch.handle(page({item("a", "1", 3), item("b", "1", 4)}, 10));
    watch.take_changed();
    watch.next(start);
    watch.restart_listing();
    CHECK(watch.next(start).what == store_call::kind::list);
    watch.handle(page({item("b", "1", 4), item("c", "1", 30)}, 40));
    STRCMP_EQUAL("none", value_of("a").c_str());
    const auto changed = watch.take_changed();
    CHECK(changed == (std::vector<std::string>{"a", "c"}));
    CHECK(watch.take_changed().empty());
}

// Guards against a store whose watches are answered with responses that cannot be used, and that is listed without a
// pause.
TEST(store_watch, lists_at_once_after_the_first_rejected_watch_only)
{
    watch.next(start);
    watch.handle(page({item("a", "1", 3)}, 10));
    watch.next(start);
    CHECK(watch.restart_after_rejected_watch());
    CHECK(watch.next(start).what == store_call::kind::list);
    watch.handle(page({item("a", "1", 3)}, 10));
    watch.next(start);
    CHECK_FALSE(watch.restart_after_rejected_watch());
    CHECK(watch.record_failure(true) > duration{});
    watch.next(start + 1_s);
    watch.handle(page({item("a", "1", 3)}, 10));
    watch.next(start + 1_s);
    watch.handle(store_changes{{}, revision{10}});
    watch.next(start + 2_s);
    CHECK(watch.restart_after_rejected_watch());
}

// Guards against a watch whose response is too large to arrive in time and gets larger with each repetition.
TEST(store_watch, lists_after_a_watch_whose_response_was_cut_off)
{
    watch.next(start);
    watch.handle(page({item("a", "1", 3)}, 10));
    watch.next(start);
    watch.record_failure(false);
    CHECK(watch.next(start + 1_s).what == store_call::kind::watch);
    watch.record_failure(true);
    CHECK(watch.next(start + 2_s).what == store_call::kind::list);
    // The copy stays usable until the listing is complete.
    CHECK(watch.answer_to({1, revision{5}, true}, start + 2_s).available);
    watch.handle(page({item("a", "2", 40)}, 41));
    CHECK(watch.next(start + 3_s).what == store_call::kind::watch);
    STRCMP_EQUAL("2", value_of("a").c_str());
}

// Guards against a watch that transfers many versions of an item where a listing has only the last one.
TEST(store_watch, limits_the_response_to_a_watch_by_the_size_of_the_copy)
{
    store_watch_settings settings;
    settings.watch_response_allowance = 100;
    store_watch limited{settings, 1};
    limited.next(start);
    limited.handle(page({item("a", std::string(49, 'x'), 3)}, 10));
    // The key and the value have 50 bytes.
    LONGS_EQUAL(200, limited.next(start).max_response_bytes);
}

// Guards against a listing that continues after a failed call and so combines pages from before and after it.
TEST(store_watch, restarts_an_interrupted_listing)
{
    watch.next(start);
    watch.handle(page({item("a", "1", 3)}, 10, true));
    watch.next(start);
    watch.record_failure();
    const store_call call = watch.next(start + 1_s);
    CHECK(call.what == store_call::kind::list);
    STRCMP_EQUAL("", call.after_key.c_str());
    watch.handle(page({item("b", "1", 3)}, 20));
    STRCMP_EQUAL("none", value_of("a").c_str());
    CHECK(watch.confirmed_at() == start + 1_s);
}

// Guards against calls without a pause to a store that is down.
TEST(store_watch, retry_delays_stay_within_their_limits)
{
    const store_watch_settings settings;
    for (int failure = 0; failure < 20; ++failure)
    {
        const duration wait = watch.record_failure();
        CHECK(wait >= settings.initial_retry_delay);
        CHECK(wait <= settings.max_retry_delay * 2);
    }
}

// Guards against a watch that goes on in a store which came back from a copy: its revisions exist again, but the
// changes that led to them are others.
TEST(store_watch, lists_again_when_the_era_rises)
{
    watch.next(start);
    watch.handle(page({item("a", "lost", 19), item("b", "lost", 20)}, 20));
    watch.next(start + 1_s);
    watch.handle({{{"c", "2", revision{21}}}, revision{21}, source_era{2}});
    STRCMP_EQUAL("none", value_of("c").c_str());
    CHECK(watch.confirmed_at() == start);
    CHECK(watch.next(start + 2_s).what == store_call::kind::list);
    CHECK(watch.handle(page({item("a", "kept", 12)}, 12, false, 2)));
    STRCMP_EQUAL("kept", value_of("a").c_str());
    STRCMP_EQUAL("none", value_of("b").c_str());
    CHECK(watch.confirmed_at() == start + 2_s);
    const auto changed = watch.take_changed();
    CHECK(std::count(changed.begin(), changed.end(), "b") > 0);
    const store_call next = watch.next(start + 3_s);
    CHECK(next.what == store_call::kind::watch);
    CHECK(next.after == revision{12});
}

// Guards against a listing that is composed of pages from before and after the store came back from a copy.
TEST(store_watch, begins_a_listing_again_when_the_era_rises_between_pages)
{
    watch.next(start);
    CHECK_FALSE(watch.handle(page({item("a", "lost", 19)}, 20, true)));
    watch.next(start + 1_s);
    CHECK_FALSE(watch.handle(page({item("b", "2", 11)}, 11, false, 2)));
    const store_call next = watch.next(start + 2_s);
    CHECK(next.what == store_call::kind::list);
    STRCMP_EQUAL("", next.after_key.c_str());
    CHECK(watch.handle(page({item("b", "2", 11)}, 11, false, 2)));
    STRCMP_EQUAL("none", value_of("a").c_str());
}

// Guards against an instance that goes back to an era which has ended, when it rises twice in series.
TEST(store_watch, never_goes_back_to_an_earlier_era)
{
    watch.next(start);
    watch.handle(page({item("a", "1", 20)}, 20));
    for (std::uint64_t era = 2; era <= 3; ++era)
    {
        watch.next(start + 1_s);
        watch.handle({{}, revision{20}, source_era{era}});
        watch.next(start + 1_s);
        watch.handle(page({item("a", std::to_string(era), 9)}, 10, false, era));
    }
    watch.next(start + 5_s);
    watch.handle({{{"a", "old", revision{30}}}, revision{30}, source_era{2}});
    STRCMP_EQUAL("3", value_of("a").c_str());
    watch.restart_listing();
    watch.next(start + 6_s);
    watch.handle(page({item("a", "old", 30)}, 30, false, 2));
    STRCMP_EQUAL("3", value_of("a").c_str());
    CHECK(watch.confirmed_at() == start + 1_s);
}

// Guards against a local copy that differs from the store after any sequence of changes, pages and dropped histories.
TEST(store_watch, matches_the_store_after_any_sequence_of_changes)
{
    test_support::check_property("the local copy equals the store",
                                 [](const std::vector<std::uint8_t>& steps)
                                 {
                                     store_watch watch_copy{store_watch_settings{}, 1};
                                     std::map<std::string, store_item> store;
                                     std::vector<store_change> history;
                                     std::uint64_t now = 1;
                                     const auto change = [&](std::uint8_t step)
                                     {
                                         const std::string key(1, static_cast<char>('a' + step % 5));
                                         ++now;
                                         if (step % 3 == 0)
                                         {
                                             store.erase(key);
                                             history.push_back({key, std::nullopt, revision{now}});
                                             return;
                                         }
                                         store[key] = item(key, std::to_string(now), now);
                                         history.push_back({key, std::to_string(now), revision{now}});
                                     };
                                     const auto answer = [&](bool drop)
                                     {
                                         const store_call call = watch_copy.next(start);
                                         if (call.what == store_call::kind::list)
                                         {
                                             const auto next = store.upper_bound(call.after_key);
                                             store_page answer_message;
                                             if (next != store.end())
                                             {
                                                 answer_message.items.push_back(next->second);
                                                 answer_message.more = std::next(next) != store.end();
                                             }
                                             answer_message.at_revision = revision{now};
                                             watch_copy.handle(std::move(answer_message));
                                             return;
                                         }
                                         if (drop)
                                         {
                                             watch_copy.restart_listing();
                                             return;
                                         }
                                         store_changes answer_message;
                                         for (const store_change& past_change : history)
                                         {
                                             if (past_change.changed > call.after)
                                             {
                                                 answer_message.changes.push_back(past_change);
                                             }
                                         }
                                         answer_message.at_revision = revision{now};
                                         watch_copy.handle(answer_message);
                                     };
                                     for (const std::uint8_t step : steps)
                                     {
                                         if (step % 4 == 0)
                                         {
                                             answer(step % 7 == 0);
                                         }
                                         else
                                         {
                                             change(step);
                                         }
                                     }
                                     for (int remaining_call = 0; remaining_call < 10; ++remaining_call)
                                     {
                                         answer(false);
                                     }
                                     RC_ASSERT(watch_copy.items() == store);
                                 });
}

// Guards against a local copy that differs from the store after any sequence of changes and returns from older copies.
TEST(store_watch, matches_the_store_across_eras)
{
    test_support::check_property("the local copy equals the store in its last era",
                                 [](const std::vector<std::uint8_t>& steps)
                                 {
                                     struct saved_state
                                     {
                                         std::map<std::string, store_item> items;
                                         std::vector<store_change> history;
                                         std::uint64_t revision = 1;
                                     };
                                     store_watch copy{store_watch_settings{}, 1};
                                     saved_state store;
                                     saved_state backup;
                                     std::uint64_t era = 1;
                                     const auto answer = [&]
                                     {
                                         const store_call call = copy.next(start);
                                         if (call.what == store_call::kind::list)
                                         {
                                             const auto next = store.items.upper_bound(call.after_key);
                                             store_page answered = page({}, store.revision, false, era);
                                             if (next != store.items.end())
                                             {
                                                 answered.items.push_back(next->second);
                                                 answered.more = std::next(next) != store.items.end();
                                             }
                                             copy.handle(std::move(answered));
                                             return;
                                         }
                                         if (call.after > revision{store.revision})
                                         {
                                             copy.restart_listing();
                                             return;
                                         }
                                         store_changes answered{{}, revision{store.revision}, source_era{era}};
                                         for (const store_change& each : store.history)
                                         {
                                             if (each.changed > call.after)
                                             {
                                                 answered.changes.push_back(each);
                                             }
                                         }
                                         copy.handle(answered);
                                     };
                                     for (const std::uint8_t step : steps)
                                     {
                                         const std::string key(1, static_cast<char>('a' + step % 5));
                                         if (step % 4 == 0)
                                         {
                                             answer();
                                         }
                                         else if (step % 11 == 0)
                                         {
                                             backup = store;
                                         }
                                         else if (step % 13 == 0)
                                         {
                                             store = backup;
                                             ++era;
                                         }
                                         else
                                         {
                                             ++store.revision;
                                             const std::string value =
                                                 std::to_string(era) + "/" + std::to_string(store.revision);
                                             store.items[key] = item(key, value, store.revision);
                                             store.history.push_back({key, value, revision{store.revision}});
                                         }
                                     }
                                     for (int remaining_call = 0; remaining_call < 20; ++remaining_call)
                                     {
                                         answer();
                                     }
                                     RC_ASSERT(copy.items() == store.items);
                                 });
}
