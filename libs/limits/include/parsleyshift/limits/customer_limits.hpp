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

/// @brief The part of a customer's token limit that one instance enforces.
///
/// The limit is divided among the k entry slots of the customer's shard. A slot has at most one holder, an instance.
struct limit_share
{
    /// Limit of the customer over all instances; 0: no limit.
    std::int64_t tokens_per_second = 0;
    /// Bucket size of the customer over all its entry slots; 0: one second of the limit.
    std::int64_t burst_tokens = 0;
    /// Number of entry slots in the customer's shard (k below); values under 1 count as 1.
    int shard_size = 1;
    /// Whether this instance holds one of these slots. Without a slot its bucket gets tokens only from loans.
    bool holds_slot = true;
};

/// @brief Tokens charged for one request at admission, to be passed to settle() when the request ends.
struct limit_charge
{
    customer_id customer;
    std::int64_t tokens = 0;
};

/// @brief Token buckets that enforce the customers' rate limits at one instance.
///
/// The bucket of each of the k slots of a customer's shard refills at limit / k up to burst / k, and is empty when a
/// process starts. Because the slots are static and a slot has one holder, the tokens charged at admission, less the
/// refunds of settlement, never exceed limit * time + burst over all instances, even when the instances disagree about
/// which instances are running.
/// Tokens beyond the estimate become debt at settlement, which must be refilled before the next admission. A loan is
/// debited before it is sent, so the tokens of a lost loan are lost and never granted twice. A loan names the
/// receiver's incarnation and is credited at most once per lender, lender's incarnation and sequence number, so that
/// neither a duplicate nor a restart of the receiver creates tokens.
class customer_limits
{
  public:
    /// @param own_incarnation incarnation of this process; must differ from those of all earlier processes of the
    /// instance
    /// @param seed seed of the jitter of retry_after
    customer_limits(incarnation own_incarnation, std::uint64_t seed);

    /// @brief Sets or changes a customer's share. A new bucket starts empty; the level of an existing one is cut to the
    /// new capacity. Constant time.
    void set_share(const customer_id& customer, const limit_share& share, time_point now);
    /// @brief Removes a customer's bucket, after which the customer has no limit. Constant time.
    void remove_customer(const customer_id& customer);
    /// @brief Charges the estimated tokens of a request. Constant time.
    /// @param estimate expected prompt and output tokens; above burst / k only burst / k is charged here and the rest
    /// at settlement
    /// @return the charge, or limit_exceeded with the time after which the bucket holds enough, lengthened by a random
    /// 0 to 25%; a customer without a limit is charged 0
    result<limit_charge> admit(const customer_id& customer, std::int64_t estimate, time_point now);
    /// @brief Replaces a charge by the tokens actually used: refunds the difference, or charges it, which may make the
    /// level negative (debt).
    /// Does nothing for a customer without a limit. Constant time.
    void settle(const limit_charge& charge, std::int64_t actual, time_point now);
    /// @brief Whole tokens in the customer's bucket now; negative for debt; 0 for a customer without a bucket.
    [[nodiscard]] std::int64_t available(const customer_id& customer, time_point now) const;

    /// @brief The request for a loan that covers what the bucket lacks for a refused request; to be sent to the holders
    /// of the shard's other slots.
    /// @param estimate expected tokens of the refused request
    /// @return nothing when the bucket holds enough or the customer has no limit
    [[nodiscard]] std::optional<budget_request> loan_request(const customer_id& customer, std::int64_t estimate,
                                                             time_point now) const;
    /// @brief Grants a peer's budget_request. The tokens are debited before this function returns.
    /// @param receiver incarnation of the requesting peer, from its envelope
    /// @return a loan of at most half of the available tokens; nothing when none are available or the customer has no
    /// limit
    std::optional<budget_loan> lend(incarnation receiver, const budget_request& request, time_point now);
    /// @brief Credits a loan that a peer has granted.
    ///
    /// Ignores a loan for a customer without a bucket, for another process, without tokens, with a sequence number that
    /// is not above the last one credited from this lender, from an earlier process of the lender, or from a new lender
    /// when max_lenders are tracked. The tokens of an ignored loan are lost.
    /// @param lender instance that granted the loan
    /// @param lender_incarnation its incarnation, from its envelope
    /// @return true when the loan was credited
    bool credit(const instance_id& lender, incarnation lender_incarnation, const budget_loan& loan, time_point now);

    /// Maximum number of lenders whose last sequence number is kept; an entry takes less than 100 bytes.
    static constexpr std::size_t max_lenders = 4096;

  private:
    struct token_bucket
    {
        limit_share share;
        /// Negative for debt.
        std::int64_t level_microtokens = 0;
        time_point refilled_at;
    };
    struct lender_state
    {
        incarnation latest_incarnation;
        std::uint64_t highest_sequence = 0;
    };

    /// Bucket size of this instance's slot: burst / k.
    static std::int64_t capacity_microtokens(const limit_share& share);
    /// Level with the refill up to `now`, without storing it.
    static std::int64_t level_microtokens_at(const token_bucket& bucket, time_point now);
    static void refill(token_bucket& bucket, time_point now);
    /// Time until the bucket holds `required_microtokens`, with jitter.
    [[nodiscard]] duration retry_delay(const token_bucket& bucket, std::int64_t required_microtokens);

    incarnation own_incarnation_;
    std::unordered_map<customer_id, token_bucket> buckets_;
    std::unordered_map<instance_id, lender_state> lenders_;
    std::uint64_t next_sequence_ = 1;
    random_source random_;
};

} // namespace parsleyshift
