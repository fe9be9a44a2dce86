#include <parsleyshift/limits/customer_limits.hpp> // customer_limits

#include <algorithm> // clamp, max, min
#include <string>    // string

namespace parsleyshift
{

namespace
{

constexpr std::int64_t microtokens_per_token = 1'000'000;
// Limits the time that one refill covers, so that the product of rate and time stays within 64 bits.
constexpr std::int64_t max_refill_ms = 3'600'000;
constexpr double retry_jitter_fraction = 0.25;
// Retry delay for a bucket that does not refill; a loan may have filled it by then.
constexpr duration retry_delay_without_refill{1'000};

/// @brief Refill of a share's bucket in the given time, at most that of max_refill_ms.
std::int64_t refill_microtokens(const limit_share& share, std::int64_t elapsed_ms)
{
    if (!share.holds_slot || elapsed_ms <= 0)
    {
        return 0;
    }
    // At one token per second.
    const std::int64_t microtokens_per_ms = 1'000;
    const std::int64_t counted_ms = std::min(elapsed_ms, max_refill_ms);
    return share.tokens_per_second * microtokens_per_ms * counted_ms / std::max(share.shard_size, 1);
}

} // namespace

customer_limits::customer_limits(incarnation own_incarnation, std::uint64_t seed)
    : own_incarnation_(own_incarnation), random_(seed)
{
}

std::int64_t customer_limits::capacity_microtokens(const limit_share& share)
{
    const std::int64_t burst = share.burst_tokens > 0 ? share.burst_tokens : share.tokens_per_second;
    return burst * microtokens_per_token / std::max(share.shard_size, 1);
}

std::int64_t customer_limits::level_microtokens_at(const token_bucket& bucket, time_point now)
{
    const std::int64_t added = refill_microtokens(bucket.share, (now - bucket.refilled_at).count());
    const std::int64_t maximum = std::max(capacity_microtokens(bucket.share), bucket.level_microtokens);
    return std::min(bucket.level_microtokens + added, maximum);
}

void customer_limits::refill(token_bucket& bucket, time_point now)
{
    if (now <= bucket.refilled_at)
    {
        return;
    }
    // level_microtokens_at() rounds the refill down, so that rounding never creates tokens.
    bucket.level_microtokens = level_microtokens_at(bucket, now);
    bucket.refilled_at = now;
}

void customer_limits::set_share(const customer_id& customer, const limit_share& share, time_point now)
{
    const auto [entry, added] = buckets_.try_emplace(customer);
    token_bucket& bucket = entry->second;
    if (added)
    {
        bucket.refilled_at = now;
    }
    refill(bucket, now);
    bucket.share = share;
    bucket.level_microtokens = std::min(bucket.level_microtokens, capacity_microtokens(share));
}

void customer_limits::remove_customer(const customer_id& customer)
{
    buckets_.erase(customer);
}

result<limit_charge> customer_limits::admit(const customer_id& customer, std::int64_t estimate, time_point now)
{
    const auto found = buckets_.find(customer);
    if (found == buckets_.end() || found->second.share.tokens_per_second <= 0)
    {
        return limit_charge{customer, 0};
    }
    token_bucket& bucket = found->second;
    refill(bucket, now);
    const std::int64_t charged_microtokens =
        std::min(std::max<std::int64_t>(estimate, 1) * microtokens_per_token, capacity_microtokens(bucket.share));
    if (bucket.level_microtokens < charged_microtokens)
    {
        return make_error(error_kind::limit_exceeded, "customer " + customer.value() + " has used its token limit",
                          retry_delay(bucket, charged_microtokens));
    }
    bucket.level_microtokens -= charged_microtokens;
    return limit_charge{customer, charged_microtokens / microtokens_per_token};
}

void customer_limits::settle(const limit_charge& charge, std::int64_t actual, time_point now)
{
    const auto found = buckets_.find(charge.customer);
    if (found == buckets_.end() || found->second.share.tokens_per_second <= 0)
    {
        return;
    }
    token_bucket& bucket = found->second;
    refill(bucket, now);
    const std::int64_t refund_microtokens = (charge.tokens - actual) * microtokens_per_token;
    const std::int64_t maximum = std::max(capacity_microtokens(bucket.share), bucket.level_microtokens);
    bucket.level_microtokens = std::min(bucket.level_microtokens + refund_microtokens, maximum);
}

std::int64_t customer_limits::available(const customer_id& customer, time_point now) const
{
    const auto found = buckets_.find(customer);
    return found == buckets_.end() ? 0 : level_microtokens_at(found->second, now) / microtokens_per_token;
}

std::optional<budget_request> customer_limits::loan_request(const customer_id& customer, std::int64_t estimate,
                                                            time_point now) const
{
    const auto found = buckets_.find(customer);
    if (found == buckets_.end() || found->second.share.tokens_per_second <= 0)
    {
        return std::nullopt;
    }
    const std::int64_t needed = std::min(estimate, capacity_microtokens(found->second.share) / microtokens_per_token);
    const std::int64_t missing = needed - available(customer, now);
    return missing > 0 ? std::optional{budget_request{customer, missing}} : std::nullopt;
}

std::optional<budget_loan> customer_limits::lend(incarnation receiver, const budget_request& request, time_point now)
{
    const auto found = buckets_.find(request.customer);
    if (found == buckets_.end() || found->second.share.tokens_per_second <= 0)
    {
        return std::nullopt;
    }
    token_bucket& bucket = found->second;
    refill(bucket, now);
    const std::int64_t tokens = std::min(request.tokens, bucket.level_microtokens / microtokens_per_token / 2);
    if (tokens <= 0)
    {
        return std::nullopt;
    }
    bucket.level_microtokens -= tokens * microtokens_per_token;
    return budget_loan{request.customer, next_sequence_++, tokens, receiver};
}

bool customer_limits::credit(const instance_id& lender, incarnation lender_incarnation, const budget_loan& loan,
                             time_point now)
{
    const auto found = buckets_.find(loan.customer);
    if (found == buckets_.end() || loan.receiver != own_incarnation_ || loan.tokens <= 0)
    {
        return false;
    }
    auto known_lender = lenders_.find(lender);
    if (known_lender == lenders_.end())
    {
        if (lenders_.size() >= max_lenders)
        {
            return false;
        }
        known_lender = lenders_.emplace(lender, lender_state{lender_incarnation, 0}).first;
    }
    if (lender_incarnation < known_lender->second.latest_incarnation)
    {
        return false;
    }
    if (lender_incarnation > known_lender->second.latest_incarnation)
    {
        known_lender->second = lender_state{lender_incarnation, 0};
    }
    if (loan.sequence <= known_lender->second.highest_sequence)
    {
        return false;
    }
    known_lender->second.highest_sequence = loan.sequence;
    refill(found->second, now);
    found->second.level_microtokens += loan.tokens * microtokens_per_token;
    return true;
}

duration customer_limits::retry_delay(const token_bucket& bucket, std::int64_t required_microtokens)
{
    const std::int64_t microtokens_per_second = refill_microtokens(bucket.share, 1'000);
    if (microtokens_per_second <= 0)
    {
        return random_.jittered(retry_delay_without_refill, retry_jitter_fraction);
    }
    const std::int64_t missing_microtokens = required_microtokens - bucket.level_microtokens;
    const std::int64_t refill_ms = missing_microtokens / microtokens_per_second * 1'000 +
                                   (missing_microtokens % microtokens_per_second) * 1'000 / microtokens_per_second + 1;
    return random_.jittered(duration{refill_ms}, retry_jitter_fraction);
}

} // namespace parsleyshift
