#pragma once

#include <parsleyshift/core/clock.hpp>         // time_point
#include <parsleyshift/core/error.hpp>         // result
#include <parsleyshift/core/ids.hpp>           // customer_id, instance_id, incarnation
#include <parsleyshift/core/random_source.hpp> // random_source
#include <parsleyshift/messages/peer.hpp>      // budget_loan, budget_request

#include <cstddef>       // size_t
#include <cstdint>       // int64_t
#include <optional>      // optional
#include <unordered_map> // unordered_map

namespace parsleyshift
{

/// @brief This instance's part of a customer's token limit.
struct limit_share
{
    /// The customer's whole limit in tokens per second; 0: no limit.
    std::int64_t tokens_per_second = 0;
    /// Tokens that the customer may spend at once over all its slots; 0: one second of its limit.
    std::int64_t burst_tokens = 0;
    /// Entry slots in the customer's shard (k).
    int shard_size = 1;
    /// Whether this instance holds one of these slots; without one its share is zero and it lives on loans.
    bool holds_slot = true;
};

/// @brief Tokens that admission charged for one request, to be settled at its end.
struct limit_charge
{
    customer_id customer;
    std::int64_t tokens = 0;
};

/// @brief Token buckets of the customers at one instance.
///
/// Each of the k slots of a customer's shard fills at limit / k up to burst / k, and a new process starts empty.
/// Because the slots are static and a slot has one holder, the tokens charged at admission, less what settlement
/// refunds, never exceed limit * time + burst over all instances, whatever the membership views are. Tokens beyond
/// the estimate go into debt at settlement and are repaid before the next admission. A loan is debited before it is
/// sent, so a lost loan loses budget. A loan names the receiver's incarnation and counts once per sender, sender's
/// incarnation and sequence, so that neither a duplicate nor a restart of the receiver creates budget.
class customer_limits
{
  public:
    /// @param own this process; must differ from all earlier processes of the same instance
    /// @param seed for the jitter of retry_after
    customer_limits(incarnation own, std::uint64_t seed);

    /// @brief Sets or changes a customer's share. A new share starts empty. Constant time.
    void set_share(const customer_id& customer, const limit_share& share, time_point now);
    void remove_customer(const customer_id& customer);
    /// @brief Charges an estimate. Constant time.
    /// @param estimate expected prompt and output tokens; an estimate above burst / k is charged only burst / k and the
    /// rest at settlement
    /// @return the charge, or limit_exceeded with the time after which the bucket suffices, jittered by up to 25%
    result<limit_charge> admit(const customer_id& customer, std::int64_t estimate, time_point now);
    /// @brief Replaces a charge by the true count; may leave debt.
    void settle(const limit_charge& charge, std::int64_t actual, time_point now);
    /// @brief Tokens available now; negative for debt. A customer without a limit has none.
    [[nodiscard]] std::int64_t available(const customer_id& customer, time_point now) const;

    /// @brief Budget to ask from another slot of the shard after a refusal.
    /// @param estimate tokens that the refused request needs
    /// @return nothing when enough is available or the customer has no limit
    [[nodiscard]] std::optional<budget_request> wanted(const customer_id& customer, std::int64_t estimate,
                                                       time_point now) const;
    /// @brief Answers a peer's budget_request. The tokens are debited before this function returns.
    /// @return a loan of at most half of what is available, or nothing
    /// @param receiver incarnation of the peer that asks, from its envelope
    std::optional<budget_loan> lend(incarnation receiver, const budget_request& request, time_point now);
    /// @brief Credits a loan unless it is for another process, a duplicate, older than one already credited, or the
    /// sender is unknown and max_senders senders are known; what is ignored is lost budget.
    /// @return true when the loan was credited
    bool credit(const instance_id& from, incarnation started, const budget_loan& loan, time_point now);

    /// Senders of loans that are remembered; one entry has less than 100 bytes.
    static constexpr std::size_t max_senders = 4096;

  private:
    struct token_bucket
    {
        limit_share share;
        /// Millionths of a token.
        std::int64_t level = 0;
        time_point as_of;
    };
    struct sender_state
    {
        incarnation started;
        std::uint64_t highest = 0;
    };

    static std::int64_t capacity(const limit_share& share);
    static std::int64_t level_at(const token_bucket& bucket, time_point now);
    static void refill(token_bucket& bucket, time_point now);
    [[nodiscard]] duration time_until(const token_bucket& bucket, std::int64_t wanted);

    incarnation own_;
    std::unordered_map<customer_id, token_bucket> buckets_;
    std::unordered_map<instance_id, sender_state> senders_;
    std::uint64_t next_sequence_ = 1;
    random_source random_;
};

} // namespace parsleyshift
