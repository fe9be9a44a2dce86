#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/limits/customer_limits.hpp> // customer_limits

#include <cstdint> // int64_t
#include <string>  // to_string
#include <vector>  // vector

using namespace parsleyshift;
using namespace parsleyshift::literals;

namespace
{

// The bucket of each slot refills with 300 tokens per second and holds at most 600 tokens.
constexpr int slot_count = 3;
constexpr std::int64_t limit_tokens_per_second = 900;
constexpr std::int64_t burst_tokens = 1'800;
const customer_id customer{"c"};

struct loan_in_flight
{
    std::size_t lender = 0;
    incarnation lender_incarnation;
    std::size_t borrower = 0;
    budget_loan loan;
};

/// Simulates three instances that hold the slots of a customer's shard and one without a slot, which restart and
/// exchange loans over a network that loses, duplicates and delays them.
class shard_simulation
{
  public:
    shard_simulation()
    {
        for (std::size_t instance = 0; instance <= slot_count; ++instance)
        {
            incarnation_numbers_.push_back(1);
            instances_.push_back(make_limits(instance));
        }
    }
    void step(std::uint16_t choice)
    {
        const std::size_t instance = choice % instances_.size();
        const std::size_t other = choice / 4 % instances_.size();
        const std::int64_t amount = 1 + choice % 500;
        switch (choice / 16 % 8)
        {
        case 0:
        case 1:
            admit(instance, amount);
            break;
        case 2:
            now_ += duration{choice % 700};
            break;
        case 3:
            lend(instance, other, amount);
            break;
        case 4:
        case 5:
            deliver(choice);
            break;
        case 6:
            settle(instance, choice);
            break;
        default:
            restart(instance);
            break;
        }
    }
    [[nodiscard]] bool within_limit() const
    {
        return granted_tokens_ * 1'000 <= limit_tokens_per_second * (now_ - at_ms(0)).count() + burst_tokens * 1'000;
    }

  private:
    struct open_charge
    {
        std::size_t instance = 0;
        int incarnation_number = 0;
        limit_charge charge;
    };

    customer_limits make_limits(std::size_t instance)
    {
        customer_limits limits{incarnation{static_cast<std::uint64_t>(incarnation_numbers_[instance])}, 7};
        limits.set_share(customer,
                         limit_share{limit_tokens_per_second, burst_tokens, slot_count, instance < slot_count}, now_);
        return limits;
    }
    void admit(std::size_t instance, std::int64_t amount)
    {
        const auto admitted = instances_[instance].admit(customer, amount, now_);
        if (admitted)
        {
            granted_tokens_ += admitted.value().tokens;
            open_charges_.push_back(open_charge{instance, incarnation_numbers_[instance], admitted.value()});
        }
    }
    void settle(std::size_t instance, std::uint16_t choice)
    {
        for (std::size_t index = 0; index < open_charges_.size(); ++index)
        {
            const open_charge open = open_charges_[index];
            if (open.instance == instance && open.incarnation_number == incarnation_numbers_[instance])
            {
                // At most the charge: usage above it becomes debt, which admission did not grant.
                const std::int64_t actual = open.charge.tokens * (choice % 5) / 4;
                instances_[instance].settle(open.charge, actual, now_);
                granted_tokens_ -= open.charge.tokens - actual;
                open_charges_.erase(open_charges_.begin() + static_cast<std::ptrdiff_t>(index));
                return;
            }
        }
    }
    void lend(std::size_t lender, std::size_t borrower, std::int64_t amount)
    {
        const incarnation receiver{static_cast<std::uint64_t>(incarnation_numbers_[borrower])};
        const auto loan = instances_[lender].lend(receiver, budget_request{customer, amount}, now_);
        if (loan && lender != borrower)
        {
            in_flight_.push_back(loan_in_flight{
                lender, incarnation{static_cast<std::uint64_t>(incarnation_numbers_[lender])}, borrower, *loan});
        }
    }
    void deliver(std::uint16_t choice)
    {
        // Loans stay in flight after delivery, so that they arrive again, late and after restarts.
        if (!in_flight_.empty())
        {
            const loan_in_flight& arrived = in_flight_[choice % in_flight_.size()];
            instances_[arrived.borrower].credit(instance_id{std::to_string(arrived.lender)}, arrived.lender_incarnation,
                                                arrived.loan, now_);
        }
    }
    void restart(std::size_t instance)
    {
        ++incarnation_numbers_[instance];
        instances_[instance] = make_limits(instance);
    }

    time_point now_ = at_ms(0);
    std::vector<int> incarnation_numbers_;
    std::vector<customer_limits> instances_;
    std::vector<open_charge> open_charges_;
    std::vector<loan_in_flight> in_flight_;
    std::int64_t granted_tokens_ = 0;
};

} // namespace

TEST_GROUP(customer_limits){};

// Guards against tokens that are created by duplicated, delayed or reordered loans, by refunds or by restarts.
TEST(customer_limits, granted_tokens_never_exceed_limit_times_time_plus_burst)
{
    test_support::check_property("granted tokens stay within limit * time + burst",
                                 [](const std::vector<std::uint16_t>& steps)
                                 {
                                     shard_simulation simulation;
                                     // Repeats the generated choices, so that the run is long enough to use up the
                                     // tokens. The 37 makes each repetition choose other operations.
                                     for (std::size_t at = 0; at < 20 * steps.size(); ++at)
                                     {
                                         simulation.step(
                                             static_cast<std::uint16_t>(steps[at % steps.size()] + 37 * at));
                                         RC_ASSERT(simulation.within_limit());
                                     }
                                 });
}

// Guards against a bucket that keeps the limit only because it never refills and admits nothing.
TEST(customer_limits, slot_holder_can_use_its_share_of_the_limit)
{
    customer_limits limits{incarnation{1}, 1};
    limits.set_share(customer, limit_share{limit_tokens_per_second, burst_tokens, slot_count, true}, at_ms(0));
    CHECK_FALSE(limits.admit(customer, 10, at_ms(0)).has_value());
    std::int64_t granted_tokens = 0;
    for (std::int64_t milliseconds = 0; milliseconds <= 100'000; milliseconds += 10)
    {
        const auto admitted = limits.admit(customer, 10, at_ms(milliseconds));
        granted_tokens += admitted ? admitted.value().tokens : 0;
    }
    CHECK(granted_tokens >= limit_tokens_per_second * 100 / slot_count - 10);
}

// Guards against a retry_after that is too short: after it the same request must be admitted, also out of debt.
TEST(customer_limits, refused_request_is_admitted_after_retry_after)
{
    test_support::check_property(
        "the request is admitted after retry_after",
        [](std::uint16_t wanted, std::uint16_t spent)
        {
            customer_limits limits{incarnation{1}, 1};
            limits.set_share(customer, limit_share{limit_tokens_per_second, burst_tokens, slot_count, true}, at_ms(0));
            limits.settle(limit_charge{customer, 0}, spent, at_ms(0));
            const auto refused = limits.admit(customer, wanted, at_ms(0));
            RC_ASSERT(!refused.has_value());
            RC_ASSERT(refused.error().kind == error_kind::limit_exceeded);
            RC_ASSERT(refused.error().retry_after.has_value());
            const time_point later = at_ms(0) + *refused.error().retry_after;
            RC_ASSERT(limits.admit(customer, wanted, later).has_value());
        });
}

// Guards against output beyond the estimate that is never charged, when settlement stops at an empty bucket.
TEST(customer_limits, output_beyond_the_estimate_becomes_debt_that_delays_the_next_admission)
{
    customer_limits limits{incarnation{1}, 1};
    limits.set_share(customer, limit_share{limit_tokens_per_second, burst_tokens, slot_count, true}, at_ms(0));
    const auto admitted = limits.admit(customer, 100, at_ms(1'000));
    CHECK(admitted.has_value());
    limits.settle(admitted.value(), 1'000, at_ms(1'000));
    LONGS_EQUAL(300 - 1'000, limits.available(customer, at_ms(1'000)));
    CHECK_FALSE(limits.admit(customer, 100, at_ms(3'000)).has_value());
    CHECK(limits.admit(customer, 100, at_ms(4'000)).has_value());
}

// Guards against tokens that exist at both lender and borrower: a lender that is not debited, or a loan that is
// credited twice.
TEST(customer_limits, loan_transfers_tokens_exactly_once)
{
    customer_limits lender{incarnation{1}, 1};
    customer_limits borrower{incarnation{5}, 2};
    lender.set_share(customer, limit_share{limit_tokens_per_second, burst_tokens, slot_count, true}, at_ms(0));
    borrower.set_share(customer, limit_share{limit_tokens_per_second, burst_tokens, slot_count, false}, at_ms(0));
    const time_point later = at_ms(2'000);
    const auto wanted = borrower.loan_request(customer, 200, later);
    CHECK(wanted.has_value());
    const auto loan = lender.lend(incarnation{5}, *wanted, later);
    CHECK(loan.has_value());
    LONGS_EQUAL(600 - 200, lender.available(customer, later));
    CHECK(borrower.credit(instance_id{"l"}, incarnation{1}, *loan, later));
    CHECK_FALSE(borrower.credit(instance_id{"l"}, incarnation{1}, *loan, later));
    LONGS_EQUAL(200, borrower.available(customer, later));
    CHECK(borrower.admit(customer, 200, later).has_value());
}

// Guards against refusing a customer without a limit because its bucket is empty or missing.
TEST(customer_limits, customer_without_limit_is_admitted)
{
    customer_limits limits{incarnation{1}, 1};
    CHECK(limits.admit(customer, 1'000'000, at_ms(0)).has_value());
    limits.set_share(customer, limit_share{0, 0, slot_count, true}, at_ms(0));
    CHECK(limits.admit(customer, 1'000'000, at_ms(0)).has_value());
    CHECK_FALSE(limits.loan_request(customer, 5, at_ms(0)).has_value());
}
