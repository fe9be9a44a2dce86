#pragma once

#include <parsleyshift/core/hash.hpp>         // mix_hash, stable_hash
#include <parsleyshift/core/ids.hpp>          // fencing_number, revision
#include <parsleyshift/messages/endpoint.hpp> // placement_order

#include <cstdint> // uint64_t

namespace parsleyshift
{

/// @brief The fields that are packed into a fencing number.
///
/// A fencing number holds, from the highest bits down, the configuration revision (32 bits), the number of orders that
/// the endpoint has accepted at this revision (8 bits) and a hash of the order sequence up to this order (24 bits). It
/// increases without shared state: the revision of a store never decreases, and the count is one more than the endpoint
/// reports.
///
/// Two planners at the same revision and count send either the same order with the same number, or different orders
/// with different numbers (except for a hash collision, 1 in 16 million). The endpoint keeps the higher one, and both
/// planners see in its report which order that was. Only unloads share the number of the order sequence that they
/// complete; each of them is checked against the capacity separately.
struct fencing_fields
{
    revision configuration;
    /// Orders accepted at this revision.
    std::uint64_t order_count = 0;
    std::uint64_t sequence_hash = 0;

    static constexpr std::uint64_t max_revision = 0xffffffffULL;
    static constexpr std::uint64_t max_order_count = 0xffULL;
    static constexpr std::uint64_t sequence_hash_mask = 0xffffffULL;

    friend bool operator==(const fencing_fields&, const fencing_fields&) = default;
};

/// @brief Packs the fields into a fencing number; each field must be within its maximum.
constexpr fencing_number encode_fence(const fencing_fields& fields) noexcept
{
    return fencing_number{(fields.configuration.value() << 32U) | (fields.order_count << 24U) | fields.sequence_hash};
}

/// @brief Unpacks a fencing number.
constexpr fencing_fields decode_fence(fencing_number fence) noexcept
{
    return {revision{fence.value() >> 32U}, (fence.value() >> 24U) & fencing_fields::max_order_count,
            fence.value() & fencing_fields::sequence_hash_mask};
}

/// @brief Extends the hash of an order sequence by one order; the order's own fencing number is not hashed.
/// @param sequence_hash hash of the preceding orders, 0 for none
inline std::uint64_t extend_sequence_hash(std::uint64_t sequence_hash, const placement_order& order) noexcept
{
    std::uint64_t hash = mix_hash(sequence_hash, static_cast<std::uint64_t>(order.action));
    hash = mix_hash(hash, stable_hash(order.model.value()));
    hash = mix_hash(hash, stable_hash(order.adapter));
    hash = mix_hash(hash, stable_hash(order.version));
    return mix_hash(hash, stable_hash(order.role)) & fencing_fields::sequence_hash_mask;
}

} // namespace parsleyshift
