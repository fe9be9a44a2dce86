#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/limits/customer_limits.hpp> // customer_limits

#include <cstdint> // int64_t
#include <string>  // to_string
#include <vector>  // vector

using namespace parsleyshift;
using namespace parsleyshift::literals;

namespace
{

constexpr int slots = 3;
constexpr std::int64_t limit = 900;
constexpr std::int64_t burst = 1'800;
const customer_id customer{"c"};

struct message_in_flight
{
    std::size_t from = 0;
    incarnation started;
    std::size_t to = 0;
    budget_loan loan;
};

/// Three holders of a customer's slots and one instance without a slot, over a network that loses, duplicates and
/// delays, with restarts.
class limit_fleet
{
  public:
    limit_fleet()
    {
        for (std::size_t holder = 0; holder <= slots; ++holder)
        {
            starts_.push_back(1);
            holders_.push_back(start(holder));
        }
    }
    void step(std::uint16_t choice)
    {
        const std::size_t holder = choice % holders_.size();
        const std::size_t other = choice / 4 % holders_.size();
        const std::int64_t amount = 1 + choice % 500;
        switch (choice / 16 % 8)
        {
        case 0:
        case 1:
            admit(holder, amount);
            break;
        case 2:
            now_ += duration{choice % 700};
            break;
        case 3:
            lend(holder, other, amount);
            break;
        case 4:
        case 5:
            deliver(choice);
            break;
        case 6:
            settle(holder, choice);
            break;
        default:
            restart(holder);
            break;
        }
    }
    [[nodiscard]] bool within_limit() const
    {
        return granted_ * 1'000 <= limit * (now_ - at_ms(0)).count() + burst * 1'000;
    }

  private:
    struct open_charge
    {
        std::size_t holder = 0;
        int started = 0;
        limit_charge charge;
    };

    customer_limits start(std::size_t holder)
    {
        customer_limits made{incarnation{static_cast<std::uint64_t>(starts_[holder])}, 7};
        made.set_share(customer, limit_share{limit, burst, slots, holder < slots}, now_);
        return made;
    }
    void admit(std::size_t holder, std::int64_t amount)
    {
        const auto admitted = holders_[holder].admit(customer, amount, now_);
        if (admitted)
        {
            granted_ += admitted.value().tokens;
            open_.push_back(open_charge{holder, starts_[holder], admitted.value()});
        }
    }
    void settle(std::size_t holder, std::uint16_t choice)
    {
        for (std::size_t at = 0; at < open_.size(); ++at)
        {
            const open_charge charge = open_[at];
            if (charge.holder == holder && charge.started == starts_[holder])
            {
                // At most the charge, because what exceeds it is debt and not granted by admission.
                const std::int64_t actual = charge.charge.tokens * (choice % 5) / 4;
                holders_[holder].settle(charge.charge, actual, now_);
                granted_ -= charge.charge.tokens - actual;
                open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(at));
                return;
            }
        }
    }
    void lend(std::size_t from, std::size_t to, std::int64_t amount)
    {
        const incarnation receiver{static_cast<std::uint64_t>(starts_[to])};
        const auto loan = holders_[from].lend(receiver, budget_request{customer, amount}, now_);
        if (loan && from != to)
        {
            flying_.push_back(
                message_in_flight{from, incarnation{static_cast<std::uint64_t>(starts_[from])}, to, *loan});
        }
    }
    void deliver(std::uint16_t choice)
    {
        // Messages stay in flight after delivery, so that they arrive again, late and after restarts.
        if (!flying_.empty())
        {
            const message_in_flight& message = flying_[choice % flying_.size()];
            holders_[message.to].credit(instance_id{std::to_string(message.from)}, message.started, message.loan, now_);
        }
    }
    void restart(std::size_t holder)
    {
        ++starts_[holder];
        holders_[holder] = start(holder);
    }

    time_point now_ = at_ms(0);
    std::vector<int> starts_;
    std::vector<customer_limits> holders_;
    std::vector<open_charge> open_;
    std::vector<message_in_flight> flying_;
    std::int64_t granted_ = 0;
};

} // namespace

TEST_GROUP(customer_limits){};

// Guards against budget that appears from duplicated, delayed or reordered loans, refunds or restarts.
TEST(customer_limits, granted_tokens_never_exceed_limit_times_time_plus_burst)
{
    test_support::check_property("sum of grants",
                                 [](const std::vector<std::uint16_t>& steps)
                                 {
                                     limit_fleet fleet;
                                     // Repeats the choices, so that the run is long enough to spend the budget.
                                     for (std::size_t at = 0; at < 20 * steps.size(); ++at)
                                     {
                                         fleet.step(static_cast<std::uint16_t>(steps[at % steps.size()] + 37 * at));
                                         RC_ASSERT(fleet.within_limit());
                                     }
                                 });
}

// Guards against a limit that holds because nothing is ever admitted.
TEST(customer_limits, holder_gets_its_share_of_the_limit)
{
    customer_limits limits{incarnation{1}, 1};
    limits.set_share(customer, limit_share{limit, burst, slots, true}, at_ms(0));
    CHECK_FALSE(limits.admit(customer, 10, at_ms(0)).has_value());
    std::int64_t granted = 0;
    for (std::int64_t milliseconds = 0; milliseconds <= 100'000; milliseconds += 10)
    {
        const auto admitted = limits.admit(customer, 10, at_ms(milliseconds));
        granted += admitted ? admitted.value().tokens : 0;
    }
    CHECK(granted >= limit * 100 / slots - 10);
}

// Guards against a refusal without a usable time to retry: after that time the same request is admitted.
TEST(customer_limits, refused_request_is_admitted_after_retry_after)
{
    test_support::check_property("retry",
                                 [](std::uint16_t wanted, std::uint16_t spent)
                                 {
                                     customer_limits limits{incarnation{1}, 1};
                                     limits.set_share(customer, limit_share{limit, burst, slots, true}, at_ms(0));
                                     limits.settle(limit_charge{customer, 0}, spent, at_ms(0));
                                     const auto refused = limits.admit(customer, wanted, at_ms(0));
                                     RC_ASSERT(!refused.has_value());
                                     RC_ASSERT(refused.error().kind == error_kind::limit_exceeded);
                                     RC_ASSERT(refused.error().retry_after.has_value());
                                     const time_point later = at_ms(0) + *refused.error().retry_after;
                                     RC_ASSERT(limits.admit(customer, wanted, later).has_value());
                                 });
}

// Guards against outputs longer than the estimate that nobody pays for.
TEST(customer_limits, longer_output_leaves_debt_that_is_repaid_before_the_next_admission)
{
    customer_limits limits{incarnation{1}, 1};
    limits.set_share(customer, limit_share{limit, burst, slots, true}, at_ms(0));
    const auto admitted = limits.admit(customer, 100, at_ms(1'000));
    CHECK(admitted.has_value());
    limits.settle(admitted.value(), 1'000, at_ms(1'000));
    LONGS_EQUAL(300 - 1'000, limits.available(customer, at_ms(1'000)));
    CHECK_FALSE(limits.admit(customer, 100, at_ms(3'000)).has_value());
    CHECK(limits.admit(customer, 100, at_ms(4'000)).has_value());
}

// Guards against a loan that the lender keeps, and against a second credit of the same loan.
TEST(customer_limits, loan_moves_budget_once)
{
    customer_limits lender{incarnation{1}, 1};
    customer_limits borrower{incarnation{5}, 2};
    lender.set_share(customer, limit_share{limit, burst, slots, true}, at_ms(0));
    borrower.set_share(customer, limit_share{limit, burst, slots, false}, at_ms(0));
    const time_point later = at_ms(2'000);
    const auto wanted = borrower.wanted(customer, 200, later);
    CHECK(wanted.has_value());
    const auto loan = lender.lend(incarnation{5}, *wanted, later);
    CHECK(loan.has_value());
    LONGS_EQUAL(600 - 200, lender.available(customer, later));
    CHECK(borrower.credit(instance_id{"l"}, incarnation{1}, *loan, later));
    CHECK_FALSE(borrower.credit(instance_id{"l"}, incarnation{1}, *loan, later));
    LONGS_EQUAL(200, borrower.available(customer, later));
    CHECK(borrower.admit(customer, 200, later).has_value());
}

// Guards against customers without a limit that are refused.
TEST(customer_limits, customer_without_limit_is_admitted)
{
    customer_limits limits{incarnation{1}, 1};
    CHECK(limits.admit(customer, 1'000'000, at_ms(0)).has_value());
    limits.set_share(customer, limit_share{0, 0, slots, true}, at_ms(0));
    CHECK(limits.admit(customer, 1'000'000, at_ms(0)).has_value());
    CHECK_FALSE(limits.wanted(customer, 5, at_ms(0)).has_value());
}
