#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/orders/order_table.hpp> // order_table

#include <map>     // map
#include <variant> // holds_alternative, get
#include <vector>  // vector

using namespace parsleyshift;

TEST_GROUP(order_table)
{
    order_table table{order_settings{}};
    time_point now = at_ms(1'000'000);
    fingerprint content{7};

    /// Places a key; true when its order must be sent.
    bool place_requires_send(const minted_key& key)
    {
        return std::holds_alternative<order_must_be_sent>(table.place(key, content, now));
    }
};

// Guards against an order that runs twice when its caller resends the request under the same key.
TEST(order_table, resent_key_is_not_sent_again)
{
    const auto key = table.mint(now);
    CHECK(place_requires_send(key));
    CHECK(std::holds_alternative<order_in_progress>(table.place(key, content, now)));
    table.finish(key.serial, {outcome::completed, "1", {}});
    const auto repeated = table.place(key, content, now);
    CHECK(std::get<order_result>(repeated).what == outcome::completed);
}

// Guards against an order that runs after not_run was reported, when a resend of the request arrives late.
TEST(order_table, a_key_reported_not_run_stays_not_run)
{
    const auto key = table.mint(now);
    table.close_unsent(key, content, make_error(error_kind::no_endpoint, "none"), now);
    const auto repeated = table.place(key, content, now);
    CHECK(std::get<order_result>(repeated).what == outcome::not_run);
}

// Guards against an order that runs after settled_after, when the process pauses between minting and sending.
TEST(order_table, nothing_is_sent_after_the_send_deadline)
{
    const auto key = table.mint(now);
    now = key.send_deadline;
    const auto late = table.place(key, content, now);
    CHECK(std::get<order_result>(late).what == outcome::not_run);
}

// Guards against an order that runs again when its request is resent after its entry was removed.
TEST(order_table, expired_key_is_refused)
{
    const auto key = table.mint(now);
    CHECK(place_requires_send(key));
    now = key.expires;
    table.expire(now);
    CHECK_EQUAL(0U, table.size());
    CHECK(std::get<error>(table.place(key, content, now)).kind == error_kind::key_expired);
}

// Guards against the result of one order being returned for another, when a caller reuses a key.
TEST(order_table, key_is_bound_to_one_content)
{
    const auto key = table.mint(now);
    CHECK(place_requires_send(key));
    CHECK(std::get<error>(table.place(key, fingerprint{8}, now)).kind == error_kind::invalid_field);
}

// Guards against an order that runs twice because a full table evicted its entry.
TEST(order_table, full_table_refuses_new_orders_and_evicts_none)
{
    order_table small{order_settings{.max_orders = 1}};
    const auto first = small.mint(now);
    const auto second = small.mint(now);
    CHECK(std::holds_alternative<order_must_be_sent>(small.place(first, content, now)));
    CHECK(std::get<error>(small.place(second, content, now)).kind == error_kind::queue_full);
    CHECK(std::holds_alternative<order_in_progress>(small.place(first, content, now)));
}

// Guards against a planned stop that ends before a new key was placed, or that waits for one already placed.
TEST(order_table, only_unplaced_keys_delay_a_stop)
{
    const auto first = table.mint(now);
    const auto second = table.mint(now + duration{10});
    CHECK(table.placeable_until() == second.send_deadline);
    CHECK(place_requires_send(second));
    CHECK(table.placeable_until() == first.send_deadline);
    table.expire(first.send_deadline);
    CHECK(table.placeable_until() == time_point{});
}

namespace
{

/// Applies random operations to an order_table and counts, per key, the sends that are not proven not to have run.
class order_simulation
{
  public:
    void step(std::uint8_t choice, std::uint8_t key_choice)
    {
        now_ += duration{choice * 100};
        table_.expire(now_);
        if (keys_.empty() || choice % 6 == 0)
        {
            keys_.push_back(table_.mint(now_));
            return;
        }
        apply(choice % 6, keys_[key_choice % keys_.size()]);
    }
    void check() const
    {
        for (const auto& [serial, sends] : unproven_sends_)
        {
            RC_ASSERT(sends <= 1);
        }
        for (const auto& [serial, reported] : reported_not_run_)
        {
            const auto sends = unproven_sends_.find(serial);
            const bool ran = sends != unproven_sends_.end() && sends->second > 0;
            // RC_ASSERT evaluates both operands of || and &&, so the condition is a single value.
            const bool consistent = !(reported && ran);
            RC_ASSERT(consistent);
        }
    }

  private:
    void apply(int choice, const minted_key& key)
    {
        if (choice <= 2)
        {
            record(key, table_.place(key, fingerprint{1}, now_));
            return;
        }
        const auto state = table_.look_up(key.serial);
        if (!std::holds_alternative<order_in_progress>(state))
        {
            return;
        }
        if (choice == 3)
        {
            table_.finish(key.serial, {outcome::completed, {}, {}});
            return;
        }
        // A release reports proof that the send did not run, and may allow one more.
        --unproven_sends_[key.serial];
        if (table_.allow_resend(key.serial, now_))
        {
            ++unproven_sends_[key.serial];
        }
    }
    void record(const minted_key& key, const order_decision& decision)
    {
        if (std::holds_alternative<order_must_be_sent>(decision))
        {
            RC_ASSERT(now_ < key.send_deadline);
            ++unproven_sends_[key.serial];
        }
        if (const auto* finished = std::get_if<order_result>(&decision))
        {
            reported_not_run_[key.serial] |= finished->what == outcome::not_run;
        }
    }

    order_table table_{order_settings{}};
    time_point now_ = at_ms(0);
    std::vector<minted_key> keys_;
    std::map<order_serial, int> unproven_sends_;
    std::map<order_serial, bool> reported_not_run_;
};

} // namespace

// Guards against histories of requests, results, releases and expiries in which an order could run twice, or run after
// not_run was reported.
TEST(order_table, at_most_one_send_per_key_in_any_history)
{
    test_support::check_property("in no history can an order run twice, or run after not_run was reported",
                                 [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps)
                                 {
                                     order_simulation simulation;
                                     for (const auto& [choice, key_choice] : steps)
                                     {
                                         simulation.step(choice, key_choice);
                                     }
                                     simulation.check();
                                 });
}
