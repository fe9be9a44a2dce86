#pragma once

#include <parsleyshift/core/clock.hpp>        // time_point
#include <parsleyshift/core/error.hpp>        // error
#include <parsleyshift/core/ids.hpp>          // instance_id
#include <parsleyshift/messages/platform.hpp> // raw_record
#include <parsleyshift/messages/request.hpp>  // outcome

#include <array>    // array
#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string
#include <variant>  // variant
#include <vector>   // vector

namespace parsleyshift
{

/// @brief Liveness of a member in a local view.
enum class member_state
{
    alive,
    suspect,
    leaving,
    dead,
};

template <>
struct enum_names<member_state>
{
    static constexpr std::array rows{enum_name<member_state>{member_state::alive, "alive"},
                                     enum_name<member_state>{member_state::suspect, "suspect"},
                                     enum_name<member_state>{member_state::leaving, "leaving"},
                                     enum_name<member_state>{member_state::dead, "dead"}};
};

/// @brief A member as gossip describes it.
struct member_update
{
    instance_id instance;
    incarnation started;
    member_state state = member_state::alive;
    /// Raised by the member itself to refute a suspicion within one incarnation.
    std::uint32_t refutation = 0;
    /// "ip:port" for peers.
    std::string peer_address;
    /// "ip:port" for callers.
    std::string address;
    zone_id availability_zone;
    region_id region;
    /// Entry slot of the instance, or -1 when it has none.
    int entry_slot = -1;
    /// Highest record schema version that the member reads.
    int schema = 2;
    /// Share of its capacity in use, per cent, for entry answers.
    int busy_percent = 0;

    friend bool operator==(const member_update&, const member_update&) = default;
};

/// Direct probe of the failure detector; the receiver answers with probe_ack.
struct probe
{
    std::uint64_t sequence = 0;
    std::vector<member_update> updates;

    friend bool operator==(const probe&, const probe&) = default;
};

/// Answer to a probe; `about` is the member that was probed.
struct probe_ack
{
    std::uint64_t sequence = 0;
    instance_id about;
    std::vector<member_update> updates;

    friend bool operator==(const probe_ack&, const probe_ack&) = default;
};

/// Asks the receiver to probe `target` and to pass the acknowledgement on.
struct probe_request
{
    std::uint64_t sequence = 0;
    instance_id target;
    std::string target_address;

    friend bool operator==(const probe_request&, const probe_request&) = default;
};

/// Member updates outside of probes: join answers and the announcement of a planned stop.
struct member_updates
{
    std::vector<member_update> updates;
    /// The sender asks for the receiver's whole view.
    bool wants_all = false;

    friend bool operator==(const member_updates&, const member_updates&) = default;
};

inline constexpr std::size_t configuration_buckets = 64;

/// Digest of the accepted records, for anti-entropy.
struct configuration_digest
{
    revision highest;
    std::array<std::uint64_t, configuration_buckets> bucket_hashes{};

    friend bool operator==(const configuration_digest&, const configuration_digest&) = default;
};

/// Asks for the records in the buckets that differ.
struct configuration_pull
{
    std::vector<std::uint32_t> buckets;
    /// Only records that changed after this revision; 0: all.
    revision after{};
    /// Revision of the digest that showed the difference; the answer repeats it.
    revision highest{};

    friend bool operator==(const configuration_pull&, const configuration_pull&) = default;
};

/// A record with what the sender knows about it.
struct shared_record
{
    raw_record record;
    /// Set once any instance has put the record in force; never cleared.
    bool active = false;
    /// False while no instance that reads the record's schema has checked it.
    bool accepted = true;

    friend bool operator==(const shared_record&, const shared_record&) = default;
};

/// Records pushed on acceptance or in answer to a pull.
struct configuration_records
{
    revision highest;
    std::vector<shared_record> records;
    /// True when the message holds every change in (after, highest].
    bool complete = false;
    revision after{};
    /// True for the answer to a pull, which the receiver does not pass on.
    bool answer = false;

    friend bool operator==(const configuration_records&, const configuration_records&) = default;
};

/// What a pool scheduler needs to know about one piece of work.
struct work_description
{
    request_id request;
    customer_id customer;
    service_id service;
    model_id model;
    class_id work_class;
    std::int64_t prompt_tokens = 0;
    std::int64_t max_tokens = 0;
    /// The caller's estimate of the output; 0 when there is none.
    std::int64_t expected_tokens = 0;
    /// stable_hash of the prompt's prefixes at fixed lengths, longest first.
    std::vector<std::uint64_t> prefixes;
    /// Time by which the work must have started.
    time_point start_by = never;

    friend bool operator==(const work_description&, const work_description&) = default;
};

/// Asks a pool scheduler for a permit.
struct permit_request
{
    pool_id pool;
    work_description work;

    friend bool operator==(const permit_request&, const permit_request&) = default;
};

/// Grants a permit for one attempt.
struct permit_grant
{
    request_id request;
    permit_id permit;
    endpoint_id endpoint;
    int priority = 0;
    /// Tokens of engine memory reserved.
    std::int64_t reserved = 0;
    time_point expires;

    friend bool operator==(const permit_grant&, const permit_grant&) = default;
};

/// Rejects a permit request.
struct permit_denial
{
    request_id request;
    error why;

    friend bool operator==(const permit_denial&, const permit_denial&) = default;
};

/// The requester no longer waits.
struct permit_withdrawal
{
    pool_id pool;
    request_id request;

    friend bool operator==(const permit_withdrawal&, const permit_withdrawal&) = default;
};

/// Returns a permit with what the attempt really used.
struct permit_return
{
    pool_id pool;
    permit_id permit;
    endpoint_id endpoint;
    customer_id customer;
    class_id work_class;
    std::int64_t tokens = 0;
    bool completed = false;

    friend bool operator==(const permit_return&, const permit_return&) = default;
};

/// A permit in use, registered with a scheduler that does not know it; also renews a known one.
struct permit_registration
{
    pool_id pool;
    permit_id permit;
    endpoint_id endpoint;
    work_description work;
    std::int64_t tokens_so_far = 0;
    int priority = 0;
    /// Usual time between two messages of the stream without other work in between; 0 while it is not known.
    duration usual_gap{};

    friend bool operator==(const permit_registration&, const permit_registration&) = default;
};

/// An order on its way to its home instance.
struct order_forward
{
    request_id request;
    customer_id customer;
    service_id service;
    std::string operation;
    std::string payload;
    std::string key;
    /// False: only asks for the state.
    bool place = true;

    friend bool operator==(const order_forward&, const order_forward&) = default;
};

/// The home's answer to order_forward.
struct order_reply
{
    request_id request;
    outcome what = outcome::unknown;
    std::string result;
    std::optional<error> why;
    /// Set for unknown: no send can happen after this time.
    time_point settled_after = never;

    friend bool operator==(const order_reply&, const order_reply&) = default;
};

/// Budget lent by the holder of one entry slot to another; already debited at the lender.
struct budget_loan
{
    customer_id customer;
    std::uint64_t sequence = 0;
    std::int64_t tokens = 0;
    /// Incarnation of the receiver that asked; a later process must not credit the loan a second time.
    incarnation receiver{};

    friend bool operator==(const budget_loan&, const budget_loan&) = default;
};

/// The sender's share of a customer's budget is used up; the receiver may lend.
struct budget_request
{
    customer_id customer;
    std::int64_t tokens = 0;

    friend bool operator==(const budget_request&, const budget_request&) = default;
};

/// Endpoint deaths that one request fingerprint is held responsible for.
struct quarantine_notice
{
    fingerprint request;
    /// Endpoints that died while running it.
    std::vector<endpoint_id> deaths;
    time_point expires;
    /// Times of `deaths`, in the same order; an endpoint that died again after a restart is named twice.
    std::vector<time_point> times{};
    /// Deaths up to this time do not count, because the request has completed elsewhere since.
    time_point cleared{};

    friend bool operator==(const quarantine_notice&, const quarantine_notice&) = default;
};

/// The scheduler has queued a request; without this answer the requester falls back on a local decision.
struct permit_queued
{
    request_id request;

    friend bool operator==(const permit_queued&, const permit_queued&) = default;
};

/// The sender has resumed a generation that the receiver started; the receiver must not cancel it.
struct stream_takeover
{
    attempt_id attempt;

    friend bool operator==(const stream_takeover&, const stream_takeover&) = default;
};

/// The sender sees that an endpoint is slower than its pool; the pool's scheduler sends it less work.
struct endpoint_health_notice
{
    pool_id pool;
    endpoint_id endpoint;
    /// Share of its usual work that the endpoint should get, 0 to 1.
    double weight = 1.0;
    time_point expires;

    friend bool operator==(const endpoint_health_notice&, const endpoint_health_notice&) = default;
};

/// Asks a peer that reads the configuration's source for the changes after a revision. The peer answers when it has
/// read the source again, or at once when it knows changes already.
struct source_pull
{
    /// Numbers the pulls of one instance; the answer repeats it.
    std::uint64_t number = 0;
    /// Revision up to which the asking instance knows everything.
    revision known;

    friend bool operator==(const source_pull&, const source_pull&) = default;
};

/// A change of an item of the configuration's source.
struct source_change
{
    std::string key;
    std::string value;
    bool removed = false;
    revision changed;

    friend bool operator==(const source_change&, const source_change&) = default;
};

/// Answer to a source_pull.
struct source_answer
{
    std::uint64_t number = 0;
    /// False when the peer cannot tell: the source does not answer it, or it no longer knows the changes.
    bool available = false;
    /// The changes lead from the revision of the pull to this one.
    revision as_of;
    /// Time since the beginning of the reading of the source that showed `as_of` to be the newest.
    duration age{};
    std::vector<source_change> changes;

    friend bool operator==(const source_answer&, const source_answer&) = default;
};

using peer_message =
    std::variant<probe, probe_ack, probe_request, member_updates, configuration_digest, configuration_pull,
                 configuration_records, permit_request, permit_grant, permit_denial, permit_withdrawal, permit_return,
                 permit_registration, order_forward, order_reply, budget_loan, budget_request, quarantine_notice,
                 permit_queued, stream_takeover, endpoint_health_notice, source_pull, source_answer>;

/// @brief A peer message with its sender.
struct peer_envelope
{
    instance_id sender;
    incarnation started;
    /// "ip:port" of the sender for peers.
    std::string peer_address;
    /// Highest configuration revision that the sender has accepted.
    revision highest;
    peer_message message;

    friend bool operator==(const peer_envelope&, const peer_envelope&) = default;
};

} // namespace parsleyshift
