#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/configuration/store_watch.hpp> // store_watch

#include <map>    // map
#include <string> // string

using namespace parsleyshift;
using namespace parsleyshift::literals;

namespace
{

constexpr time_point start = at_ms(1'000'000);

store_page page(std::vector<store_item> items, std::uint64_t as_of, bool more = false)
{
    return {std::move(items), more, revision{as_of}};
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

TEST(store_watch, lists_all_pages_and_watches_from_the_first)
{
    store_call call = watch.next(start);
    CHECK(call.what == store_call::kind::list);
    CHECK_FALSE(watch.take(page({item("a", "1", 3)}, 10, true)));
    call = watch.next(start + 5_ms);
    CHECK(call.what == store_call::kind::list);
    STRCMP_EQUAL("a", call.after_key.c_str());
    CHECK(watch.take(page({item("b", "1", 11)}, 12)));
    call = watch.next(start + 9_ms);
    CHECK(call.what == store_call::kind::watch);
    CHECK(call.after == revision{10});
    // Known since the first page was asked for, not since the last one arrived.
    CHECK(watch.confirmed() == start);
}

// Guards against a removal between two pages that is never noticed.
TEST(store_watch, takes_changes_of_the_time_of_the_listing)
{
    watch.next(start);
    watch.take(page({item("a", "1", 3)}, 10, true));
    watch.next(start);
    watch.take(page({item("b", "1", 11)}, 12));
    watch.next(start + 50_ms);
    watch.take({{{"b", "1", revision{11}}, {"a", std::nullopt, revision{12}}}, revision{12}});
    STRCMP_EQUAL("none", value_of("a").c_str());
    STRCMP_EQUAL("1", value_of("b").c_str());
    CHECK(watch.confirmed() == start + 50_ms);
}

// Guards against an old answer that brings back what has been replaced, and that counts as fresh.
TEST(store_watch, ignores_answers_from_before_what_is_known)
{
    watch.next(start);
    watch.take(page({item("a", "2", 20)}, 20));
    watch.next(start + 1_s);
    watch.take({{{"a", "1", revision{15}}}, revision{15}});
    STRCMP_EQUAL("2", value_of("a").c_str());
    CHECK(watch.confirmed() == start);
    watch.history_dropped();
    watch.next(start + 2_s);
    watch.take(page({item("a", "1", 15)}, 16));
    STRCMP_EQUAL("2", value_of("a").c_str());
    CHECK(watch.confirmed() == start);
}

// Guards against items that vanished while the history was dropped and stay for good.
TEST(store_watch, lists_anew_when_the_history_is_dropped)
{
    watch.next(start);
    watch.take(page({item("a", "1", 3), item("b", "1", 4)}, 10));
    watch.take_changed();
    watch.next(start);
    watch.history_dropped();
    CHECK(watch.next(start).what == store_call::kind::list);
    watch.take(page({item("b", "1", 4), item("c", "1", 30)}, 40));
    STRCMP_EQUAL("none", value_of("a").c_str());
    const auto changed = watch.take_changed();
    CHECK(changed == (std::vector<std::string>{"a", "c"}));
    CHECK(watch.take_changed().empty());
}

// Guards against a listing that goes on after a failure with pages from before it.
TEST(store_watch, begins_an_interrupted_listing_again)
{
    watch.next(start);
    watch.take(page({item("a", "1", 3)}, 10, true));
    watch.next(start);
    watch.failed();
    const store_call call = watch.next(start + 1_s);
    CHECK(call.what == store_call::kind::list);
    STRCMP_EQUAL("", call.after_key.c_str());
    watch.take(page({item("b", "1", 3)}, 20));
    STRCMP_EQUAL("none", value_of("a").c_str());
    CHECK(watch.confirmed() == start + 1_s);
}

// Guards against a store that is down and gets calls without a pause.
TEST(store_watch, waits_longer_after_each_failure_up_to_a_bound)
{
    const store_watch_settings settings;
    for (int failure = 0; failure < 20; ++failure)
    {
        const duration wait = watch.failed();
        CHECK(wait >= settings.first_retry);
        CHECK(wait <= settings.longest_retry * 2);
    }
}

// Guards against a view that differs from the store after any mix of changes, pages and dropped histories.
TEST(store_watch, follows_a_store_through_any_history)
{
    test_support::check_property("the view equals the store",
                                 [](const std::vector<std::uint8_t>& steps)
                                 {
                                     store_watch followed{store_watch_settings{}, 1};
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
                                         const store_call call = followed.next(start);
                                         if (call.what == store_call::kind::list)
                                         {
                                             const auto next = store.upper_bound(call.after_key);
                                             store_page answered;
                                             if (next != store.end())
                                             {
                                                 answered.items.push_back(next->second);
                                                 answered.more = std::next(next) != store.end();
                                             }
                                             answered.as_of = revision{now};
                                             followed.take(std::move(answered));
                                             return;
                                         }
                                         if (drop)
                                         {
                                             followed.history_dropped();
                                             return;
                                         }
                                         store_changes answered;
                                         for (const store_change& each : history)
                                         {
                                             if (each.changed > call.after)
                                             {
                                                 answered.changes.push_back(each);
                                             }
                                         }
                                         answered.as_of = revision{now};
                                         followed.take(answered);
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
                                     for (int settle = 0; settle < 10; ++settle)
                                     {
                                         answer(false);
                                     }
                                     RC_ASSERT(followed.items() == store);
                                 });
}
