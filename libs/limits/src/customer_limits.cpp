#include <parsleyshift/limits/customer_limits.hpp> // customer_limits

#include <algorithm> // clamp, max, min
#include <string>    // string

namespace parsleyshift
{

namespace
{

constexpr std::int64_t millionths = 1'000'000;
// A refill after a longer pause counts as this long; keeps the product of rate and time inside 64 bits.
constexpr std::int64_t longest_refill_ms = 3'600'000;
constexpr double retry_jitter = 0.25;
// A holder without income is refused for this long before it should ask again.
constexpr duration retry_without_income{1'000};

/// @brief Millionths of a token that a share earns in the given time.
std::int64_t earned(const limit_share& share, std::int64_t milliseconds)
{
    if (!share.holds_slot || milliseconds <= 0)
    {
        return 0;
    }
    const std::int64_t millionths_per_ms = 1'000;
    const std::int64_t bounded = std::min(milliseconds, longest_refill_ms);
    return share.tokens_per_second * millionths_per_ms * bounded / std::max(share.shard_size, 1);
}

} // namespace

customer_limits::customer_limits(incarnation own, std::uint64_t seed) : own_(own), random_(seed) {}

std::int64_t customer_limits::capacity(const limit_share& share)
{
    const std::int64_t burst = share.burst_tokens > 0 ? share.burst_tokens : share.tokens_per_second;
    return burst * millionths / std::max(share.shard_size, 1);
}

std::int64_t customer_limits::level_at(const token_bucket& bucket, time_point now)
{
    const std::int64_t income = earned(bucket.share, (now - bucket.as_of).count());
    const std::int64_t full = std::max(capacity(bucket.share), bucket.level);
    return std::min(bucket.level + income, full);
}

void customer_limits::refill(token_bucket& bucket, time_point now)
{
    if (now <= bucket.as_of)
    {
        return;
    }
    // A partial millionth is dropped, which never creates budget.
    bucket.level = level_at(bucket, now);
    bucket.as_of = now;
}

void customer_limits::set_share(const customer_id& customer, const limit_share& share, time_point now)
{
    const auto [entry, added] = buckets_.try_emplace(customer);
    token_bucket& target = entry->second;
    if (added)
    {
        target.as_of = now;
    }
    refill(target, now);
    target.share = share;
    target.level = std::min(target.level, capacity(share));
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
    token_bucket& source = found->second;
    refill(source, now);
    const std::int64_t wanted = std::min(std::max<std::int64_t>(estimate, 1) * millionths, capacity(source.share));
    if (source.level < wanted)
    {
        return make_error(error_kind::limit_exceeded, "customer " + customer.value() + " has used its token limit",
                          time_until(source, wanted));
    }
    source.level -= wanted;
    return limit_charge{customer, wanted / millionths};
}

void customer_limits::settle(const limit_charge& charge, std::int64_t actual, time_point now)
{
    const auto found = buckets_.find(charge.customer);
    if (found == buckets_.end() || found->second.share.tokens_per_second <= 0)
    {
        return;
    }
    token_bucket& target = found->second;
    refill(target, now);
    const std::int64_t difference = (charge.tokens - actual) * millionths;
    const std::int64_t full = std::max(capacity(target.share), target.level);
    target.level = std::min(target.level + difference, full);
}

std::int64_t customer_limits::available(const customer_id& customer, time_point now) const
{
    const auto found = buckets_.find(customer);
    return found == buckets_.end() ? 0 : level_at(found->second, now) / millionths;
}

std::optional<budget_request> customer_limits::wanted(const customer_id& customer, std::int64_t estimate,
                                                      time_point now) const
{
    const auto found = buckets_.find(customer);
    if (found == buckets_.end() || found->second.share.tokens_per_second <= 0)
    {
        return std::nullopt;
    }
    const std::int64_t needed = std::min(estimate, capacity(found->second.share) / millionths);
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
    token_bucket& source = found->second;
    refill(source, now);
    const std::int64_t tokens = std::min(request.tokens, source.level / millionths / 2);
    if (tokens <= 0)
    {
        return std::nullopt;
    }
    source.level -= tokens * millionths;
    return budget_loan{request.customer, next_sequence_++, tokens, receiver};
}

bool customer_limits::credit(const instance_id& from, incarnation started, const budget_loan& loan, time_point now)
{
    const auto found = buckets_.find(loan.customer);
    if (found == buckets_.end() || loan.receiver != own_ || loan.tokens <= 0)
    {
        return false;
    }
    auto sender = senders_.find(from);
    if (sender == senders_.end())
    {
        if (senders_.size() >= max_senders)
        {
            return false;
        }
        sender = senders_.emplace(from, sender_state{started, 0}).first;
    }
    if (started < sender->second.started)
    {
        return false;
    }
    if (started > sender->second.started)
    {
        sender->second = sender_state{started, 0};
    }
    if (loan.sequence <= sender->second.highest)
    {
        return false;
    }
    sender->second.highest = loan.sequence;
    refill(found->second, now);
    found->second.level += loan.tokens * millionths;
    return true;
}

duration customer_limits::time_until(const token_bucket& bucket, std::int64_t wanted)
{
    const std::int64_t per_second = earned(bucket.share, 1'000);
    if (per_second <= 0)
    {
        return random_.jittered(retry_without_income, retry_jitter);
    }
    const std::int64_t missing = wanted - bucket.level;
    const std::int64_t milliseconds = missing / per_second * 1'000 + (missing % per_second) * 1'000 / per_second + 1;
    return random_.jittered(duration{milliseconds}, retry_jitter);
}

} // namespace parsleyshift
