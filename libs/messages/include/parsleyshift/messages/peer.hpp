#pragma once

#include <parsleyshift/core/clock.hpp>          // time_point
#include <parsleyshift/core/error.hpp>          // error
#include <parsleyshift/core/ids.hpp>            // instance_id
#include <parsleyshift/messages/platform.hpp>   // raw_record
#include <parsleyshift/messages/region_set.hpp> // region_set
#include <parsleyshift/messages/request.hpp>    // outcome

#include <array>    // array
#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string
#include <variant>  // variant
#include <vector>   // vector

namespace parsleyshift
{

/// @brief State of a member in an instance's local view of the membership.
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

/// @brief State of a member as distributed by gossip.
struct member_update
{
    instance_id instance;
    /// Incarnation of the process: its start time in milliseconds, so that it increases with each start.
    incarnation started;
    member_state state = member_state::alive;
    /// Raised by the member itself to refute a suspicion within one incarnation.
    std::uint32_t refutation = 0;
    /// "ip:port" that peers use.
    std::string peer_address;
    /// "ip:port" that callers use.
    std::string address;
    zone_id availability_zone;
    region_id region;
    /// Entry slot of the instance; -1 if it has none. The slots of a customer's shard are the entry instances of the
    /// customer and hold shares of its budget.
    int entry_slot = -1;
    /// Highest record schema version that the member supports.
    int schema = 2;
    /// Used share of the instance's capacity in percent. Entry answers treat a member above
    /// entry_policy::overloaded_percent as overloaded.
    int busy_percent = 0;

    friend bool operator==(const member_update&, const member_update&) = default;
};

/// Direct probe of the failure detector. The receiver answers with probe_ack.
struct probe
{
    std::uint64_t sequence = 0;
    std::vector<member_update> updates;

    friend bool operator==(const probe&, const probe&) = default;
};

/// Acknowledgement of a direct or indirect probe; `about` is the probed member.
struct probe_ack
{
    std::uint64_t sequence = 0;
    instance_id about;
    std::vector<member_update> updates;

    friend bool operator==(const probe_ack&, const probe_ack&) = default;
};

/// Indirect probe: the receiver probes `target` and forwards the acknowledgement to the sender.
struct probe_request
{
    std::uint64_t sequence = 0;
    instance_id target;
    std::string target_address;

    friend bool operator==(const probe_request&, const probe_request&) = default;
};

/// Member updates sent without a probe: when an instance joins and when it announces a planned stop.
struct member_updates
{
    std::vector<member_update> updates;
    /// The sender requests the receiver's whole view of the membership.
    bool wants_all = false;

    friend bool operator==(const member_updates&, const member_updates&) = default;
};

/// Number of buckets that the records are hashed into for a digest, which holds one 64-bit hash for each.
inline constexpr std::size_t configuration_buckets = 64;

/// Digest of the accepted records for anti-entropy synchronization.
struct configuration_digest
{
    revision highest_revision;
    std::array<std::uint64_t, configuration_buckets> bucket_hashes{};

    friend bool operator==(const configuration_digest&, const configuration_digest&) = default;
};

/// Requests the records of the buckets whose hashes differ.
struct configuration_pull
{
    std::vector<std::uint32_t> buckets;
    /// Only records that changed after this revision are requested; 0: all.
    revision after{};
    /// Revision of the digest that differed; repeated in the answer.
    revision highest_revision{};

    friend bool operator==(const configuration_pull&, const configuration_pull&) = default;
};

/// A record with its state in the sender's view.
struct shared_record
{
    raw_record record;
    /// True once any instance has put the record into effect, after which it applies at every instance that
    /// supports its schema; never reset.
    bool active = false;
    /// False if the sender does not support the schema of the record and has received it from no instance that has
    /// validated it. Such a record is passed on, for members that support the schema.
    bool accepted = true;

    friend bool operator==(const shared_record&, const shared_record&) = default;
};

/// Records sent when they change in the sender's view or in answer to a pull.
struct configuration_records
{
    revision highest_revision;
    std::vector<shared_record> records;
    /// True if the message holds every change in (after, highest].
    bool complete = false;
    revision after{};
    /// True for the answer to a pull, which the receiver does not forward to other peers.
    bool answer = false;

    friend bool operator==(const configuration_records&, const configuration_records&) = default;
};

/// Properties of a request that a pool scheduler uses for its decisions.
struct work_description
{
    request_id request;
    customer_id customer;
    service_id service;
    model_id model;
    class_id work_class;
    std::int64_t prompt_tokens = 0;
    std::int64_t max_tokens = 0;
    /// The caller's estimate of the output tokens; 0 if it gave none.
    std::int64_t expected_tokens = 0;
    /// Hashes of the prompt's prefixes (prefix_hashes()), longest first; matched with the prefixes in the engines' KV
    /// caches.
    std::vector<std::uint64_t> prefixes;
    /// Time by which the request must have started at an endpoint.
    time_point start_by = never;
    /// The service is a plain one: its endpoints report no load, and the work needs no memory.
    bool plain = false;
    /// Regions whose endpoints may serve the request.
    region_set regions{};
    /// Latest start with which the request still meets its latency objective; `never` without an objective. Unlike
    /// `start_by`, a later start is allowed.
    time_point timely_start = never;
    /// Longest time between two events with which the answer is still on time; 0 if there is no limit.
    duration gap_objective{};

    friend bool operator==(const work_description&, const work_description&) = default;
};

/// What an endpoint has stated about itself in its answers to any instance.
struct endpoint_notice
{
    endpoint_id endpoint;
    /// False if the endpoint names no limit on requests per second any more.
    bool limited = false;
    /// Requests per second that the endpoint accepts from all instances together.
    double starts_per_second = 0.0;
    /// Time since the answer of the endpoint that stated its limit and whether it is brittle.
    duration age{};
    /// The endpoint fails when it has to reject many requests for want of room.
    bool brittle = false;
    /// The endpoint is about to stop.
    bool leaving = false;
    /// With `leaving` or `cold_left`: start number of the process that this applies to, not to another process under
    /// the same id.
    incarnation started{};
    /// Time for which the endpoint stays cold, counted from the sending of the notice; 0 if it is not cold.
    duration cold_left{};

    friend bool operator==(const endpoint_notice&, const endpoint_notice&) = default;
};

/// Requests a permit from a pool scheduler.
struct permit_request
{
    pool_id pool;
    work_description work;
    /// What the sender knows about endpoints of the pool from their answers. A scheduler that has just started knows
    /// nothing.
    std::vector<endpoint_notice> notices{};
    /// Endpoints that accept no request of the sender for some time.
    std::vector<endpoint_id> excluded{};

    friend bool operator==(const permit_request&, const permit_request&) = default;
};

/// Grants a permit for one attempt.
struct permit_grant
{
    request_id request;
    permit_id permit;
    endpoint_id endpoint;
    /// 0 is the most urgent.
    int priority = 0;
    /// Tokens reserved in the KV cache of the engine.
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

/// Withdraws a permit request; the sender no longer waits for it.
struct permit_withdrawal
{
    pool_id pool;
    request_id request;

    friend bool operator==(const permit_withdrawal&, const permit_withdrawal&) = default;
};

/// Returns a permit with the actual use of the attempt.
struct permit_return
{
    pool_id pool;
    permit_id permit;
    endpoint_id endpoint;
    customer_id customer;
    class_id work_class;
    /// Output tokens received; 0 if the permit was not used.
    std::int64_t tokens = 0;
    bool completed = false;

    friend bool operator==(const permit_return&, const permit_return&) = default;
};

/// Registers a permit in use with a scheduler that has no record of it, or renews a registered permit.
struct permit_registration
{
    pool_id pool;
    permit_id permit;
    endpoint_id endpoint;
    work_description work;
    std::int64_t tokens_so_far = 0;
    /// 0 is the most urgent.
    int priority = 0;
    /// Time between two events of the stream when the engine processes no prompt in between, estimated as the 20th
    /// percentile of the measured times; 0 while there are too few measurements.
    duration usual_gap{};
    /// Longest time between two events since the previous registration; 0 while there are fewer than two.
    duration longest_gap{};
    /// Time from the sending of the request to its first event; 0 before that.
    duration first_event_latency{};

    friend bool operator==(const permit_registration&, const permit_registration&) = default;
};

/// Forwards an order to its home instance, which keeps the state of the order.
struct order_forward
{
    request_id request;
    customer_id customer;
    service_id service;
    std::string operation;
    /// JSON text, passed through unchanged.
    std::string payload;
    std::string key;
    /// True: place the order; false: only query its state.
    bool place_order = true;

    friend bool operator==(const order_forward&, const order_forward&) = default;
};

/// Answer of the home instance to order_forward.
struct order_reply
{
    request_id request;
    outcome what = outcome::unknown;
    /// JSON text.
    std::string result;
    std::optional<error> why;
    /// Set for the outcome unknown: the order is not sent to an endpoint after this time.
    time_point settled_after = never;

    friend bool operator==(const order_reply&, const order_reply&) = default;
};

/// Part of a customer's budget that the holder of one entry slot lends to the holder of another. The lender has already
/// debited it.
struct budget_loan
{
    customer_id customer;
    std::uint64_t sequence = 0;
    std::int64_t tokens = 0;
    /// Incarnation of the receiver that sent the request; a later process must not credit the loan a second time.
    incarnation receiver{};

    friend bool operator==(const budget_loan&, const budget_loan&) = default;
};

/// Requests a loan because the sender's share of a customer's budget is used up.
struct budget_request
{
    customer_id customer;
    std::int64_t tokens = 0;

    friend bool operator==(const budget_request&, const budget_request&) = default;
};

/// Endpoint crashes attributed to the requests with one fingerprint, or to one part of their prompts.
struct quarantine_notice
{
    fingerprint request;
    /// Endpoints that crashed while running such a request.
    std::vector<endpoint_id> deaths;
    time_point expires;
    /// Times of `deaths`, in the same order; an endpoint that crashed again after a restart is listed
    /// twice.
    std::vector<time_point> times{};
    /// Crashes up to this time do not count, because the request has since completed at another endpoint.
    time_point cleared_at{};
    /// `request` is the fingerprint of a part of prompts.
    bool prompt_part = false;

    friend bool operator==(const quarantine_notice&, const quarantine_notice&) = default;
};

/// The scheduler has queued a permit request. Without this answer the requester falls back to a local decision.
struct permit_queued
{
    request_id request;

    friend bool operator==(const permit_queued&, const permit_queued&) = default;
};

/// The sender has resumed a generation that the receiver started. The receiver must not cancel it.
struct stream_takeover
{
    attempt_id attempt;

    friend bool operator==(const stream_takeover&, const stream_takeover&) = default;
};

/// The sender has measured that an endpoint is slower than the rest of its pool. The scheduler of the pool sends it
/// less work.
struct endpoint_health_notice
{
    pool_id pool;
    endpoint_id endpoint;
    /// Share of its normal work that the endpoint should get, 0 to 1.
    double weight = 1.0;
    time_point expires;

    friend bool operator==(const endpoint_health_notice&, const endpoint_health_notice&) = default;
};

/// Requests the changes after a revision from a peer that reads the configuration service directly. The peer answers
/// at once if it already holds changes, and otherwise after its next read of the configuration service.
struct source_pull
{
    /// Sequence number of the pulls of one instance; repeated in the answer.
    std::uint64_t pull_number = 0;
    /// Revision up to which the requesting instance holds all changes.
    revision known_revision;
    /// True if the requesting instance handles answers with `lists_all`. Instances of earlier releases leave it false.
    bool accepts_listing = false;
    /// True if the requesting instance handles compressed values. Instances of earlier releases leave it false.
    bool accepts_compressed = false;
    /// True if the requesting instance handles answers with `follows`. Instances of earlier releases leave it false.
    bool accepts_notice = false;
    /// Era of `known_revision`. Instances of earlier releases leave it 0.
    source_era known_era{};

    friend bool operator==(const source_pull&, const source_pull&) = default;
};

/// A change of an item of the configuration service.
struct source_change
{
    std::string key;
    /// Empty if the item was removed.
    std::string value;
    bool removed = false;
    /// Revision of the change.
    revision changed;
    /// True if `value` is in the zlib format.
    bool compressed = false;

    friend bool operator==(const source_change&, const source_change&) = default;
};

/// Answer to a source_pull.
struct source_answer
{
    std::uint64_t pull_number = 0;
    /// True if the changes are complete and the configuration service answered the peer's last read, so that the peer
    /// can also confirm that there are no later ones.
    bool available = false;
    /// Revision up to which the changes are complete, starting at the revision of the pull.
    revision at_revision;
    /// Time since the start of the read of the configuration service that confirmed `as_of` as the latest revision.
    duration age{};
    std::vector<source_change> changes;
    /// True if the changes are complete up to `at_revision`. Peers of earlier releases leave it false.
    bool complete = false;
    /// True if `changes` and `unchanged_keys` name all items, because the peer does not know which items were removed
    /// since the revision of the pull. Items that are not named were removed.
    bool lists_all = false;
    /// With lists_all: keys of the items that have not changed since the revision of the pull.
    std::vector<std::string> unchanged_keys;
    /// True for a notice without changes: the answer was sent behind it and may take long to arrive.
    bool follows = false;
    /// With `follows`: the reader waits for its own read and will answer after it.
    bool in_progress = false;
    /// Era of `at_revision`; in another one than that of the pull, `lists_all` is true and `changes` has all items.
    /// Instances of earlier releases leave it 0.
    source_era era{};

    friend bool operator==(const source_answer&, const source_answer&) = default;
};

using peer_message =
    std::variant<probe, probe_ack, probe_request, member_updates, configuration_digest, configuration_pull,
                 configuration_records, permit_request, permit_grant, permit_denial, permit_withdrawal, permit_return,
                 permit_registration, order_forward, order_reply, budget_loan, budget_request, quarantine_notice,
                 permit_queued, stream_takeover, endpoint_health_notice, source_pull, source_answer, endpoint_notice>;

/// @brief A peer message with its sender.
struct peer_envelope
{
    instance_id sender;
    incarnation started;
    /// "ip:port" of the sender that peers use.
    std::string peer_address;
    /// Highest configuration revision that the sender has accepted.
    revision highest_revision;
    peer_message message;

    friend bool operator==(const peer_envelope&, const peer_envelope&) = default;
};

} // namespace parsleyshift
