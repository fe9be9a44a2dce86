#pragma once

#include <parsleyshift/core/hash.hpp>         // mix_hash, stable_hash
#include <parsleyshift/core/ids.hpp>          // fencing_number, revision
#include <parsleyshift/messages/endpoint.hpp> // placement_order

#include <cstdint> // uint64_t

namespace parsleyshift
{

/// @brief The parts of a fencing number.
///
/// The number is made of the configuration revision (32 bits), the count of orders that the endpoint has accepted at
/// this revision (8 bits) and a hash of the plan up to this order (24 bits). It rises without any shared state, since
/// the revision of a store never goes back and the count is one more than what the endpoint itself reports.
///
/// Two holders at one revision and count send either the same order, and then the same number, or different orders,
/// and then different numbers (except for a hash collision, 1 in 16 million): the endpoint keeps the higher one and
/// both holders see in its report which order that was. Only unloads share the number of the plan that they complete;
/// each of them is checked against the capacity by itself.
struct fence_parts
{
    revision configuration;
    std::uint64_t count = 0;
    std::uint64_t plan = 0;

    static constexpr std::uint64_t highest_revision = 0xffffffffULL;
    static constexpr std::uint64_t highest_count = 0xffULL;
    static constexpr std::uint64_t plan_mask = 0xffffffULL;

    friend bool operator==(const fence_parts&, const fence_parts&) = default;
};

constexpr fencing_number make_fence(const fence_parts& parts) noexcept
{
    return fencing_number{(parts.configuration.value() << 32U) | (parts.count << 24U) | parts.plan};
}

constexpr fence_parts parts_of(fencing_number fence) noexcept
{
    return {revision{fence.value() >> 32U}, (fence.value() >> 24U) & fence_parts::highest_count,
            fence.value() & fence_parts::plan_mask};
}

/// @brief Hash of a plan that is continued by one more order; the fencing number of the order does not count.
inline std::uint64_t continue_plan(std::uint64_t plan, const placement_order& order) noexcept
{
    std::uint64_t hash = mix_hash(plan, static_cast<std::uint64_t>(order.action));
    hash = mix_hash(hash, stable_hash(order.model.value()));
    hash = mix_hash(hash, stable_hash(order.adapter));
    hash = mix_hash(hash, stable_hash(order.version));
    return mix_hash(hash, stable_hash(order.role)) & fence_parts::plan_mask;
}

} // namespace parsleyshift
