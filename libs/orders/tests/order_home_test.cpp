#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/orders/order_home.hpp> // order_home

#include <map>     // map
#include <variant> // holds_alternative, get
#include <vector>  // vector

using namespace parsleyshift;

TEST_GROUP(order_home)
{
    order_home home{order_settings{}};
    time_point now = at_ms(1'000'000);
    fingerprint content{7};

    bool must_send(const minted_order& key)
    {
        return std::holds_alternative<order_must_be_sent>(home.place(key, content, now));
    }
};

// Guards against an order that runs twice because its caller resends it.
TEST(order_home, resend_of_a_key_is_never_sent_again)
{
    const auto key = home.mint(now);
    CHECK(must_send(key));
    CHECK(std::holds_alternative<order_in_progress>(home.place(key, content, now)));
    home.finish(key.serial, {outcome::completed, "1", {}});
    const auto again = home.place(key, content, now);
    CHECK(std::get<order_result>(again).what == outcome::completed);
}

// Guards against a resend that runs after its caller was told not_run.
TEST(order_home, a_key_reported_not_run_stays_not_run)
{
    const auto key = home.mint(now);
    home.close_unsent(key, content, make_error(error_kind::no_endpoint, "none"), now);
    const auto again = home.place(key, content, now);
    CHECK(std::get<order_result>(again).what == outcome::not_run);
}

// Guards against a process that pauses, wakes late and sends an order that its caller believes settled.
TEST(order_home, nothing_is_sent_after_the_send_deadline)
{
    const auto key = home.mint(now);
    now = key.send_deadline;
    const auto late = home.place(key, content, now);
    CHECK(std::get<order_result>(late).what == outcome::not_run);
}

// Guards against a key that runs again because its entry was forgotten.
TEST(order_home, expired_key_is_refused_and_not_run)
{
    const auto key = home.mint(now);
    CHECK(must_send(key));
    now = key.expires;
    home.expire(now);
    CHECK_EQUAL(0U, home.size());
    CHECK(std::get<error>(home.place(key, content, now)).kind == error_kind::key_expired);
}

TEST(order_home, one_key_stands_for_one_content)
{
    const auto key = home.mint(now);
    CHECK(must_send(key));
    CHECK(std::get<error>(home.place(key, fingerprint{8}, now)).kind == error_kind::invalid_field);
}

// Guards against a full table that makes room by forgetting an order.
TEST(order_home, full_table_refuses_and_forgets_nothing)
{
    order_home small{order_settings{.capacity = 1}};
    const auto first = small.mint(now);
    const auto second = small.mint(now);
    CHECK(std::holds_alternative<order_must_be_sent>(small.place(first, content, now)));
    CHECK(std::get<error>(small.place(second, content, now)).kind == error_kind::queue_full);
    CHECK(std::holds_alternative<order_in_progress>(small.place(first, content, now)));
}

// Guards against a planned stop that ends while a caller still holds a fresh key, or waits for a key already used.
TEST(order_home, only_unplaced_keys_delay_a_stop)
{
    const auto first = home.mint(now);
    const auto second = home.mint(now + duration{10});
    CHECK(home.placeable_until() == second.send_deadline);
    CHECK(must_send(second));
    CHECK(home.placeable_until() == first.send_deadline);
    home.expire(first.send_deadline);
    CHECK(home.placeable_until() == time_point{});
}

namespace
{

/// Runs one random step on a home and counts, per key, the sends that could have run at an endpoint.
class order_run
{
  public:
    void step(std::uint8_t choice, std::uint8_t which)
    {
        now_ += duration{choice * 100};
        home_.expire(now_);
        if (keys_.empty() || choice % 6 == 0)
        {
            keys_.push_back(home_.mint(now_));
            return;
        }
        act(choice % 6, keys_[which % keys_.size()]);
    }
    void check() const
    {
        for (const auto& [serial, sends] : unproven_sends_)
        {
            RC_ASSERT(sends <= 1);
        }
        for (const auto& [serial, told] : told_not_run_)
        {
            const auto sends = unproven_sends_.find(serial);
            const bool ran = sends != unproven_sends_.end() && sends->second > 0;
            // RC_ASSERT evaluates both sides of || and &&, so the condition is one value.
            const bool truthful = !(told && ran);
            RC_ASSERT(truthful);
        }
    }

  private:
    void act(int choice, const minted_order& key)
    {
        if (choice <= 2)
        {
            note(key, home_.place(key, fingerprint{1}, now_));
            return;
        }
        const auto state = home_.look_up(key.serial);
        if (!std::holds_alternative<order_in_progress>(state))
        {
            return;
        }
        if (choice == 3)
        {
            home_.finish(key.serial, {outcome::completed, {}, {}});
            return;
        }
        // Proof that the endpoint did not start takes the send back, and the release may lead to one more.
        --unproven_sends_[key.serial];
        if (home_.release(key.serial, now_))
        {
            ++unproven_sends_[key.serial];
        }
    }
    void note(const minted_order& key, const order_decision& decided)
    {
        if (std::holds_alternative<order_must_be_sent>(decided))
        {
            RC_ASSERT(now_ < key.send_deadline);
            ++unproven_sends_[key.serial];
        }
        if (const auto* finished = std::get_if<order_result>(&decided))
        {
            told_not_run_[key.serial] |= finished->what == outcome::not_run;
        }
    }

    order_home home_{order_settings{}};
    time_point now_ = at_ms(0);
    std::vector<minted_order> keys_;
    std::map<order_serial, int> unproven_sends_;
    std::map<order_serial, bool> told_not_run_;
};

} // namespace

TEST(order_home, at_most_one_send_per_key_in_any_history)
{
    test_support::check_property("no history sends a key twice or runs it after not_run",
                                 [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps)
                                 {
                                     order_run run;
                                     for (const auto& [choice, which] : steps)
                                     {
                                         run.step(choice, which);
                                     }
                                     run.check();
                                 });
}
