#pragma once

#include <parsleyshift/core/clock.hpp>      // time_point
#include <parsleyshift/core/name_table.hpp> // enum_names
#include <parsleyshift/core/strong_id.hpp>  // strong_name, strong_number
#include <parsleyshift/messages/peer.hpp>   // peer_message

#include <peer_types.h> // wire_format

#include <thrift/protocol/TProtocolException.h> // TProtocolException

#include <array>       // array
#include <concepts>    // same_as, integral
#include <cstdint>     // uint64_t
#include <optional>    // optional
#include <string>      // string
#include <type_traits> // remove_const_t, is_enum_v
#include <utility>     // move
#include <vector>      // vector

namespace parsleyshift::detail
{

template <class T, class U>
concept like = std::same_as<std::remove_const_t<T>, U>;

template <class T>
concept enumeration = std::is_enum_v<T>;

/// @brief A message type, to select a union member.
template <class T>
struct message_type
{
};

/// @brief Copies fields of a value into the generated struct.
struct to_wire
{
    void operator()(std::string& wire, const std::string& value) const
    {
        wire = value;
    }
    template <class Tag>
    void operator()(std::string& wire, const strong_name<Tag>& value) const
    {
        wire = value.value();
    }
    template <class Tag>
    void operator()(std::int64_t& wire, const strong_number<Tag>& value) const
    {
        wire = static_cast<std::int64_t>(value.value());
    }
    template <std::integral Wire, std::integral Value>
    void operator()(Wire& wire, const Value& value) const
    {
        wire = static_cast<Wire>(value);
    }
    void operator()(std::int64_t& wire, const time_point& value) const
    {
        wire = to_ms(value);
    }
    void operator()(std::int64_t& wire, const duration& value) const
    {
        wire = value.count();
    }
    void operator()(double& wire, const double& value) const
    {
        wire = value;
    }
    template <enumeration Value>
    void operator()(std::int32_t& wire, const Value& value) const
    {
        wire = static_cast<std::int32_t>(value);
    }
    template <std::size_t Size>
    void operator()(std::string& wire, const std::array<std::uint64_t, Size>& value) const
    {
        wire.clear();
        for (const std::uint64_t hash : value)
        {
            for (unsigned shift = 0; shift < 64; shift += 8)
            {
                wire += static_cast<char>((hash >> shift) & 0xffU);
            }
        }
    }
    template <class Wire, class Value>
    void operator()(std::vector<Wire>& wire, const std::vector<Value>& value) const
    {
        wire.resize(value.size());
        for (std::size_t i = 0; i < value.size(); ++i)
        {
            (*this)(wire[i], value[i]);
        }
    }
    template <class Wire, class Value>
    requires std::is_class_v<Wire>
    void operator()(Wire& wire, const Value& value) const
    {
        fields(*this, wire, value);
    }
};

/// @brief Copies fields of a generated struct into a value; throws TProtocolException for values without meaning.
struct from_wire
{
    [[noreturn]] static void reject(const char* what)
    {
        using apache::thrift::protocol::TProtocolException;
        throw TProtocolException(TProtocolException::INVALID_DATA, what);
    }
    void operator()(const std::string& wire, std::string& value) const
    {
        value = wire;
    }
    template <class Tag>
    void operator()(const std::string& wire, strong_name<Tag>& value) const
    {
        value = strong_name<Tag>{wire};
    }
    template <class Tag>
    void operator()(const std::int64_t& wire, strong_number<Tag>& value) const
    {
        value = strong_number<Tag>{static_cast<std::uint64_t>(wire)};
    }
    template <std::integral Wire, std::integral Value>
    void operator()(const Wire& wire, Value& value) const
    {
        value = static_cast<Value>(wire);
    }
    void operator()(const std::int64_t& wire, duration& value) const
    {
        value = duration{wire};
    }
    void operator()(const std::int64_t& wire, time_point& value) const
    {
        value = at_ms(wire);
    }
    void operator()(const double& wire, double& value) const
    {
        value = wire;
    }
    template <enumeration Value>
    void operator()(const std::int32_t& wire, Value& value) const
    {
        for (const auto& row : enum_names<Value>::rows)
        {
            if (static_cast<std::int32_t>(row.value) == wire)
            {
                value = row.value;
                return;
            }
        }
        reject("number without an enumerator");
    }
    template <std::size_t Size>
    void operator()(const std::string& wire, std::array<std::uint64_t, Size>& value) const
    {
        if (wire.size() != Size * 8)
        {
            reject("wrong number of hashes");
        }
        for (std::size_t i = 0; i < wire.size(); ++i)
        {
            const std::uint64_t byte = static_cast<unsigned char>(wire[i]);
            value[i / 8] |= byte << (8 * (i % 8));
        }
    }
    template <class Wire, class Value>
    void operator()(const std::vector<Wire>& wire, std::vector<Value>& value) const
    {
        value.resize(wire.size());
        for (std::size_t i = 0; i < wire.size(); ++i)
        {
            (*this)(wire[i], value[i]);
        }
    }
    template <class Wire, class Value>
    requires std::is_class_v<Wire>
    void operator()(const Wire& wire, Value& value) const
    {
        fields(*this, wire, value);
    }
};

// One list of fields for each message serves both directions.

void fields(auto copy, auto& wire, like<member_update> auto& value)
{
    copy(wire.instance, value.instance);
    copy(wire.started, value.started);
    copy(wire.state, value.state);
    copy(wire.refutation, value.refutation);
    copy(wire.peer_address, value.peer_address);
    copy(wire.address, value.address);
    copy(wire.availability_zone, value.availability_zone);
    copy(wire.region, value.region);
    copy(wire.entry_slot, value.entry_slot);
    copy(wire.schema, value.schema);
    copy(wire.busy_percent, value.busy_percent);
}

inline void fields(to_wire copy, wire_format::failure& wire, const error& value)
{
    copy(wire.kind, value.kind);
    copy(wire.detail, value.detail);
    if (value.retry_after)
    {
        wire.__set_retry_after_ms(value.retry_after->count());
    }
}

inline void fields(from_wire copy, const wire_format::failure& wire, error& value)
{
    copy(wire.kind, value.kind);
    copy(wire.detail, value.detail);
    if (wire.__isset.retry_after_ms)
    {
        value.retry_after = duration{wire.retry_after_ms};
    }
}

void fields(auto copy, auto& wire, like<probe> auto& value)
{
    copy(wire.sequence, value.sequence);
    copy(wire.updates, value.updates);
}

void fields(auto copy, auto& wire, like<probe_ack> auto& value)
{
    copy(wire.sequence, value.sequence);
    copy(wire.about, value.about);
    copy(wire.updates, value.updates);
}

void fields(auto copy, auto& wire, like<probe_request> auto& value)
{
    copy(wire.sequence, value.sequence);
    copy(wire.target, value.target);
    copy(wire.target_address, value.target_address);
}

void fields(auto copy, auto& wire, like<member_updates> auto& value)
{
    copy(wire.updates, value.updates);
    copy(wire.wants_all, value.wants_all);
}

void fields(auto copy, auto& wire, like<configuration_digest> auto& value)
{
    copy(wire.highest, value.highest_revision);
    copy(wire.bucket_hashes, value.bucket_hashes);
}

void fields(auto copy, auto& wire, like<configuration_pull> auto& value)
{
    copy(wire.buckets, value.buckets);
    copy(wire.after, value.after);
    copy(wire.highest, value.highest_revision);
}

void fields(auto copy, auto& wire, like<shared_record> auto& value)
{
    copy(wire.kind, value.record.kind);
    copy(wire.name, value.record.name);
    copy(wire.changed, value.record.changed);
    copy(wire.schema, value.record.schema);
    copy(wire.withdrawn, value.record.withdrawn);
    copy(wire.body, value.record.body);
    copy(wire.active, value.active);
    copy(wire.accepted, value.accepted);
}

void fields(auto copy, auto& wire, like<configuration_records> auto& value)
{
    copy(wire.highest, value.highest_revision);
    copy(wire.records, value.records);
    copy(wire.complete, value.complete);
    copy(wire.after, value.after);
    copy(wire.answer, value.answer);
}

/// Copies a set of regions into the fields of a struct: whether it is restricted, and its list.
template <class Wire>
void copy_regions(const to_wire& copy, Wire& wire, const region_set& regions)
{
    copy(wire.restricted, regions.restricted());
    copy(wire.regions, regions.regions());
}

template <class Wire>
void copy_regions(const from_wire& copy, const Wire& wire, region_set& regions)
{
    std::vector<region_id> listed;
    copy(wire.regions, listed);
    regions = wire.restricted ? region_set{std::move(listed)} : region_set{};
}

void fields(auto copy, auto& wire, like<work_description> auto& value)
{
    copy(wire.request, value.request);
    copy(wire.customer, value.customer);
    copy(wire.service_name, value.service);
    copy(wire.model, value.model);
    copy(wire.work_class, value.work_class);
    copy(wire.prompt_tokens, value.prompt_tokens);
    copy(wire.expected_tokens, value.expected_tokens);
    copy(wire.plain, value.plain);
    copy(wire.max_tokens, value.max_tokens);
    copy(wire.prefixes, value.prefixes);
    copy(wire.start_by, value.start_by);
    copy_regions(copy, wire, value.regions);
    copy(wire.timely_start, value.timely_start);
    copy(wire.gap_objective, value.gap_objective);
}

void fields(auto copy, auto& wire, like<endpoint_notice> auto& value)
{
    copy(wire.endpoint, value.endpoint);
    copy(wire.limited, value.limited);
    copy(wire.starts_per_second, value.starts_per_second);
    copy(wire.age, value.age);
    copy(wire.brittle, value.brittle);
    copy(wire.leaving, value.leaving);
    copy(wire.started, value.started);
    copy(wire.cold_left, value.cold_left);
}

void fields(auto copy, auto& wire, like<permit_request> auto& value)
{
    copy(wire.pool, value.pool);
    copy(wire.work, value.work);
    copy(wire.notices, value.notices);
    copy(wire.excluded, value.excluded);
}

void fields(auto copy, auto& wire, like<permit_grant> auto& value)
{
    copy(wire.request, value.request);
    copy(wire.permit, value.permit);
    copy(wire.endpoint, value.endpoint);
    copy(wire.priority, value.priority);
    copy(wire.reserved, value.reserved);
    copy(wire.expires, value.expires);
}

void fields(auto copy, auto& wire, like<permit_denial> auto& value)
{
    copy(wire.request, value.request);
    copy(wire.why, value.why);
}

void fields(auto copy, auto& wire, like<permit_withdrawal> auto& value)
{
    copy(wire.pool, value.pool);
    copy(wire.request, value.request);
}

void fields(auto copy, auto& wire, like<permit_return> auto& value)
{
    copy(wire.pool, value.pool);
    copy(wire.permit, value.permit);
    copy(wire.endpoint, value.endpoint);
    copy(wire.customer, value.customer);
    copy(wire.work_class, value.work_class);
    copy(wire.tokens, value.tokens);
    copy(wire.completed, value.completed);
}

void fields(auto copy, auto& wire, like<permit_registration> auto& value)
{
    copy(wire.pool, value.pool);
    copy(wire.permit, value.permit);
    copy(wire.endpoint, value.endpoint);
    copy(wire.work, value.work);
    copy(wire.tokens_so_far, value.tokens_so_far);
    copy(wire.priority, value.priority);
    copy(wire.usual_gap, value.usual_gap);
    copy(wire.longest_gap, value.longest_gap);
    copy(wire.first_event_latency, value.first_event_latency);
}

void fields(auto copy, auto& wire, like<order_forward> auto& value)
{
    copy(wire.request, value.request);
    copy(wire.customer, value.customer);
    copy(wire.service_name, value.service);
    copy(wire.operation, value.operation);
    copy(wire.payload, value.payload);
    copy(wire.key, value.key);
    copy(wire.place, value.place_order);
}

template <class Copy, class Wire>
void reply_fields(Copy copy, Wire& wire, like<order_reply> auto& value)
{
    copy(wire.request, value.request);
    copy(wire.what, value.what);
    copy(wire.result, value.result);
    copy(wire.settled_after, value.settled_after);
}

inline void fields(to_wire copy, wire_format::order_reply& wire, const order_reply& value)
{
    reply_fields(copy, wire, value);
    if (value.why)
    {
        copy(wire.why, *value.why);
        wire.__isset.why = true;
    }
}

inline void fields(from_wire copy, const wire_format::order_reply& wire, order_reply& value)
{
    reply_fields(copy, wire, value);
    if (wire.__isset.why)
    {
        copy(wire.why, value.why.emplace());
    }
}

void fields(auto copy, auto& wire, like<budget_loan> auto& value)
{
    copy(wire.customer, value.customer);
    copy(wire.sequence, value.sequence);
    copy(wire.tokens, value.tokens);
    copy(wire.receiver, value.receiver);
}

void fields(auto copy, auto& wire, like<budget_request> auto& value)
{
    copy(wire.customer, value.customer);
    copy(wire.tokens, value.tokens);
}

void fields(auto copy, auto& wire, like<quarantine_notice> auto& value)
{
    copy(wire.request, value.request);
    copy(wire.deaths, value.deaths);
    copy(wire.expires, value.expires);
    copy(wire.times, value.times);
    copy(wire.cleared, value.cleared_at);
    copy(wire.prompt_part, value.prompt_part);
}

void fields(auto copy, auto& wire, like<permit_queued> auto& value)
{
    copy(wire.request, value.request);
}

void fields(auto copy, auto& wire, like<stream_takeover> auto& value)
{
    copy(wire.attempt, value.attempt);
}

void fields(auto copy, auto& wire, like<endpoint_health_notice> auto& value)
{
    copy(wire.pool, value.pool);
    copy(wire.endpoint, value.endpoint);
    copy(wire.weight, value.weight);
    copy(wire.expires, value.expires);
}

void fields(auto copy, auto& wire, like<source_pull> auto& value)
{
    copy(wire.number, value.pull_number);
    copy(wire.known, value.known_revision);
    copy(wire.accepts_listing, value.accepts_listing);
    copy(wire.accepts_compressed, value.accepts_compressed);
    copy(wire.accepts_notice, value.accepts_notice);
    copy(wire.known_era, value.known_era);
}

void fields(auto copy, auto& wire, like<source_change> auto& value)
{
    copy(wire.key, value.key);
    copy(wire.value, value.value);
    copy(wire.removed, value.removed);
    copy(wire.changed, value.changed);
    copy(wire.compressed, value.compressed);
}

void fields(auto copy, auto& wire, like<source_answer> auto& value)
{
    copy(wire.number, value.pull_number);
    copy(wire.available, value.available);
    copy(wire.as_of, value.at_revision);
    copy(wire.age, value.age);
    copy(wire.changes, value.changes);
    copy(wire.complete, value.complete);
    copy(wire.lists_all, value.lists_all);
    copy(wire.unchanged_keys, value.unchanged_keys);
    copy(wire.follows, value.follows);
    copy(wire.era, value.era);
    copy(wire.in_progress, value.in_progress);
}

/// @brief Calls `visit(member, message_type, is_set)` for each member of the union; the result says whether it is set.
void for_each_member(wire_format::message& m, auto visit)
{
    auto& set = m.__isset;
    set.probe_value = visit(m.probe_value, message_type<probe>{}, set.probe_value);
    set.probe_ack_value = visit(m.probe_ack_value, message_type<probe_ack>{}, set.probe_ack_value);
    set.probe_request_value = visit(m.probe_request_value, message_type<probe_request>{}, set.probe_request_value);
    set.member_updates_value = visit(m.member_updates_value, message_type<member_updates>{}, set.member_updates_value);
    set.configuration_digest_value =
        visit(m.configuration_digest_value, message_type<configuration_digest>{}, set.configuration_digest_value);
    set.configuration_pull_value =
        visit(m.configuration_pull_value, message_type<configuration_pull>{}, set.configuration_pull_value);
    set.configuration_records_value =
        visit(m.configuration_records_value, message_type<configuration_records>{}, set.configuration_records_value);
    set.permit_request_value = visit(m.permit_request_value, message_type<permit_request>{}, set.permit_request_value);
    set.permit_grant_value = visit(m.permit_grant_value, message_type<permit_grant>{}, set.permit_grant_value);
    set.permit_denial_value = visit(m.permit_denial_value, message_type<permit_denial>{}, set.permit_denial_value);
    set.permit_withdrawal_value =
        visit(m.permit_withdrawal_value, message_type<permit_withdrawal>{}, set.permit_withdrawal_value);
    set.permit_return_value = visit(m.permit_return_value, message_type<permit_return>{}, set.permit_return_value);
    set.permit_registration_value =
        visit(m.permit_registration_value, message_type<permit_registration>{}, set.permit_registration_value);
    set.order_forward_value = visit(m.order_forward_value, message_type<order_forward>{}, set.order_forward_value);
    set.order_reply_value = visit(m.order_reply_value, message_type<order_reply>{}, set.order_reply_value);
    set.budget_loan_value = visit(m.budget_loan_value, message_type<budget_loan>{}, set.budget_loan_value);
    set.budget_request_value = visit(m.budget_request_value, message_type<budget_request>{}, set.budget_request_value);
    set.quarantine_notice_value =
        visit(m.quarantine_notice_value, message_type<quarantine_notice>{}, set.quarantine_notice_value);
    set.permit_queued_value = visit(m.permit_queued_value, message_type<permit_queued>{}, set.permit_queued_value);
    set.stream_takeover_value =
        visit(m.stream_takeover_value, message_type<stream_takeover>{}, set.stream_takeover_value);
    set.endpoint_health_notice_value =
        visit(m.endpoint_health_notice_value, message_type<endpoint_health_notice>{}, set.endpoint_health_notice_value);
    set.source_pull_value = visit(m.source_pull_value, message_type<source_pull>{}, set.source_pull_value);
    set.source_answer_value = visit(m.source_answer_value, message_type<source_answer>{}, set.source_answer_value);
    set.endpoint_notice_value =
        visit(m.endpoint_notice_value, message_type<endpoint_notice>{}, set.endpoint_notice_value);
}

} // namespace parsleyshift::detail
