#pragma once

#include <parsleyshift/configuration/gossip_peers.hpp>    // gossip_peers
#include <parsleyshift/configuration/output.hpp>          // configuration_output
#include <parsleyshift/configuration/pull_answers.hpp>    // pull_answers
#include <parsleyshift/configuration/read_schedule.hpp>   // read_schedule
#include <parsleyshift/configuration/record_acceptor.hpp> // record_acceptor
#include <parsleyshift/configuration/record_table.hpp>    // record_table
#include <parsleyshift/configuration/settings.hpp>        // configuration_settings
#include <parsleyshift/core/clock.hpp>                    // time_point
#include <parsleyshift/core/random_source.hpp>            // random_source
#include <parsleyshift/messages/event.hpp>                // configuration_received, configuration_unavailable
#include <parsleyshift/messages/peer.hpp>                 // member_update, peer_envelope

#include <algorithm> // max, min
#include <cstdint>   // uint64_t
#include <optional>  // optional
#include <span>      // span
#include <string>    // string
#include <utility>   // move
#include <variant>   // get_if
#include <vector>    // vector

namespace parsleyshift
{

/// @brief The accepted configuration records of one instance, replicated among its peers by gossip.
///
/// Records arrive from the configuration service and from peers, in any order and any number of times. The state is the
/// maximum over all accepted versions, so stores that have received the same versions are equal. A record missing from
/// an answer of the service changes nothing: a record is removed only by a withdrawal.
///
/// `highest()` is the revision up to which the store has every change. It rises with answers of the service, with
/// messages that hold all changes of a revision range, and with the digest of a peer that has the same records.
///
/// A version of a record is accepted when an instance has checked it and found it valid, active once all live members
/// can read it, and in force on an instance when it is the highest active version that this instance can read; see
/// record_entry.
///
/// An instance may serve (`ready()`) once `highest()` is above 0 and not below the floor: the lowest revision with
/// which it may start, which is the maximum of the revision in the first message from a peer and the revisions in
/// callers' tokens. Without such a message the instance relies on the service alone: at once when the membership view
/// is complete and has no other live member, otherwise after `peer_wait_timeout`. An instance without any answer from
/// the service or peers is never ready.
///
/// Cost per instance and second at 1,600 instances and C changes per second of b bytes each: one digest (700 bytes)
/// and C * push_fanout pushes of b bytes sent, and as much received; less than 3 KB/s in each direction at 0.22 changes
/// per second (19,000 a day) of 500 bytes.
///
/// @tparam Acceptor checks records; its result must depend on the record only
template <record_acceptor Acceptor>
class configuration_store
{
  public:
    /// @param self this instance
    /// @param acceptor checks records
    /// @param settings intervals and bounds
    /// @param seed seed of all random choices
    configuration_store(member_update self, Acceptor acceptor, configuration_settings settings, std::uint64_t seed)
        : self_(std::move(self)),
          acceptor_(std::move(acceptor)),
          settings_(settings),
          random_(seed),
          read_schedule_(settings, random_.bits()),
          answers_(settings)
    {
    }

    /// @brief Updates the membership view; to be called after each change of a member. Linear in the members.
    /// @param view_complete result of `membership::joined()`
    void update_members(std::span<const member_update> members, bool view_complete, time_point now,
                        configuration_output& out)
    {
        initialize(now);
        const bool first_peers = peers_.empty();
        peers_.assign(self_, members);
        if (first_peers && !peers_.empty())
        {
            next_digest_ = std::min(next_digest_, now);
        }
        view_complete_ = view_complete;
        is_reader_ = view_complete && is_chosen_reader(self_, members, settings_.readers_per_region);
        // An incomplete view may lack members with the oldest schema version.
        int lowest_schema = view_complete ? self_.schema : 1;
        for (const member_update& member : members)
        {
            const bool live = member.state == member_state::alive || member.state == member_state::suspect;
            lowest_schema = live ? std::min(lowest_schema, member.schema) : lowest_schema;
        }
        lowest_schema_ = lowest_schema;
        activate(out);
        advance(now, out);
    }

    /// @brief Handles an answer of the service; a stale one changes nothing. O(records * log records).
    void handle(const configuration_received& answer, time_point now, configuration_output& out)
    {
        initialize(now);
        const std::optional<read_configuration> read = read_schedule_.in_flight();
        const bool stale = read && answer.highest_revision < std::max(read->after, read_schedule_.revision_at_start());
        read_schedule_.end(now, read && !stale);
        if (!stale && answer.highest_revision >= highest_)
        {
            apply_service_answer(answer, read, out);
        }
        advance(now, out);
    }

    /// @brief Handles a failed read of the service.
    void handle(const configuration_unavailable& /*unused*/, time_point now, configuration_output& out)
    {
        initialize(now);
        read_schedule_.end(now, false);
        advance(now, out);
    }

    /// @brief Handles digests, pulls and records; the first message with a revision, of any type, sets the part of
    /// the floor that comes from peers.
    void handle(const peer_envelope& envelope, time_point now, configuration_output& out)
    {
        initialize(now);
        if (envelope.highest_revision > revision{} && !peer_floor_)
        {
            peer_floor_ = envelope.highest_revision;
        }
        if (const auto* digest = std::get_if<configuration_digest>(&envelope.message))
        {
            handle_digest(envelope, *digest, now, out);
        }
        else if (const auto* pull = std::get_if<configuration_pull>(&envelope.message))
        {
            answers_.add(envelope, *pull, now);
        }
        else if (const auto* records = std::get_if<configuration_records>(&envelope.message))
        {
            handle_records(envelope, *records, now, out);
        }
        advance(now, out);
    }

    /// @brief Raises the floor to the revision in a caller's token; without effect on an instance that is ready.
    void raise_floor(revision floor)
    {
        token_floor_ = std::max(token_floor_, floor);
    }

    /// @brief Emits the reads, digests and pull answers that are due.
    void expire(time_point now, configuration_output& out)
    {
        initialize(now);
        if (now >= next_digest_)
        {
            next_digest_ = now + settings_.digest_interval;
            peers_.send_to_any(settings_.min_remote_share, own_digest(), random_, out.messages);
        }
        advance(now, out);
    }

    /// @brief Earliest time at which expire() has work; the epoch before the first call.
    [[nodiscard]] time_point next_deadline() const
    {
        if (!started_)
        {
            return time_point{};
        }
        time_point earliest = std::min({next_digest_, read_schedule_.next_deadline(), answers_.next_deadline()});
        if (!ready_ && now_ < peer_wait_until_)
        {
            earliest = std::min(earliest, peer_wait_until_);
        }
        return earliest;
    }

    /// @brief True once the instance may serve; never false again.
    [[nodiscard]] bool ready() const
    {
        return ready_;
    }

    /// @brief Revision up to which this store has every change; for envelopes and tokens. Never decreases.
    [[nodiscard]] revision highest() const
    {
        return highest_;
    }

    /// @brief Lowest revision with which this instance may start to serve.
    [[nodiscard]] revision floor() const
    {
        return std::max(token_floor_, peer_floor_.value_or(revision{}));
    }

    /// @brief True while this instance is one of the readers of its region.
    [[nodiscard]] bool is_reader() const
    {
        return is_reader_;
    }

    /// @brief Number of reads of the configuration service so far.
    [[nodiscard]] std::uint64_t read_count() const
    {
        return read_schedule_.read_count();
    }

    /// @brief Finds the record in force here, or returns nullptr when there is none or it is withdrawn. Logarithmic.
    [[nodiscard]] const raw_record* find(const std::string& kind, const std::string& name) const
    {
        const record_entry* entry = table_.find({kind, name});
        const bool in_force = entry != nullptr && entry->in_force.record && !entry->in_force.record->withdrawn;
        return in_force ? entry->in_force.record.get() : nullptr;
    }

    /// @brief All record versions of this instance, for status pages and tests.
    [[nodiscard]] const record_table& table() const
    {
        return table_;
    }

  private:
    struct outstanding_pull
    {
        instance_id peer;
        /// No other pull is sent before this time.
        time_point until;
    };

    void initialize(time_point now)
    {
        now_ = now;
        if (started_)
        {
            return;
        }
        started_ = true;
        peer_wait_until_ = now + random_.jittered(settings_.peer_wait_timeout, 1.0);
        // A random time within the first digest_interval.
        next_digest_ = now + random_.jittered(duration{1}, static_cast<double>(settings_.digest_interval.count()));
    }

    /// @brief Starts reads and sends pull answers that are due, and updates `ready_`.
    void advance(time_point now, configuration_output& out)
    {
        const bool no_records_from_peers = highest_ == revision{} && now >= peer_wait_until_;
        const bool no_peers = view_complete_ && peers_.empty();
        read_schedule_.set_enabled(is_reader_ || no_records_from_peers || no_peers, now);
        if (const std::optional<read_configuration> read = read_schedule_.begin(now, highest_))
        {
            out.reads.push_back(*read);
        }
        answers_.send(table_, now, out.messages);
        const bool has_peer_floor = peer_floor_.has_value();
        const bool floor_is_final = has_peer_floor || no_peers || now >= peer_wait_until_;
        ready_ = ready_ || (floor_is_final && highest_ > revision{} && highest_ >= floor());
    }

    void apply_service_answer(const configuration_received& answer, const std::optional<read_configuration>& read,
                              configuration_output& out)
    {
        std::vector<shared_record> changed;
        for (const raw_record& record : answer.records)
        {
            shared_record shared{record, false, false};
            if (merge(shared, out))
            {
                changed.push_back(std::move(shared));
            }
        }
        const bool from_watch = read && read->after != revision{};
        const bool all_changes = answer.complete || (read && read->after <= highest_);
        highest_ = all_changes ? std::max(highest_, answer.highest_revision) : highest_;
        if (from_watch && !changed.empty())
        {
            // Records that changed nothing or were rejected are left out; the message then does not hold all changes.
            const bool complete = all_changes && changed.size() == answer.records.size();
            const configuration_records update{answer.highest_revision, std::move(changed), complete, read->after,
                                               false};
            push(update, out);
        }
    }

    /// @brief Checks and merges one version.
    /// @param shared the version; its `accepted` and `active` flags are set when they hold on this instance
    /// @return true when the replicated state changed
    bool merge(shared_record& shared, configuration_output& out)
    {
        const record_key key{shared.record.kind, shared.record.name};
        const record_version version = record_table::version_of(shared.record);
        if (table_.is_redundant(key, version, shared.active))
        {
            return false;
        }
        record_check_result check_result;
        if (!shared.record.withdrawn)
        {
            check_result = acceptor_(shared.record);
        }
        if (check_result.what == acceptance::rejected)
        {
            if (table_.reject(key, version))
            {
                const error default_error = make_error(error_kind::invalid_field, key.kind + " " + key.name);
                out.rejected.push_back(
                    {key.kind, key.name, shared.record.changed, check_result.why.value_or(default_error)});
            }
            return false;
        }
        const bool readable = check_result.what == acceptance::accepted;
        shared.accepted = shared.accepted || readable;
        shared.active =
            shared.active || shared.record.withdrawn || (readable && shared.record.schema <= lowest_schema_);
        const merge_result merged = table_.merge(shared, check_result.what);
        if (merged.in_force)
        {
            out.changes.push_back(shared.record);
        }
        if (merged.unreadable)
        {
            const revision revision_in_force = table_.find(key)->in_force.changed();
            out.unreadable.push_back(
                {key.kind, key.name, shared.record.changed, shared.record.schema, revision_in_force});
        }
        return merged.changed;
    }

    /// @brief Activates accepted records that all live members can read now, and pushes them.
    void activate(configuration_output& out)
    {
        configuration_records update{highest_, table_.activate(lowest_schema_), false, revision{}, false};
        if (update.records.empty())
        {
            return;
        }
        for (const shared_record& activated : update.records)
        {
            out.changes.push_back(activated.record);
        }
        push(update, out);
    }

    /// @brief Pushes records to `push_fanout` peers of the own region, or the digest when the records exceed the
    /// limits.
    void push(const configuration_records& update, configuration_output& out)
    {
        std::size_t bytes = 0;
        for (const shared_record& shared : update.records)
        {
            bytes += estimated_bytes(shared.record);
        }
        const bool small = bytes <= settings_.max_push_bytes && update.records.size() <= settings_.max_push_records;
        const peer_message message = small ? peer_message{update} : peer_message{own_digest()};
        peers_.send_to_own_region(settings_.push_fanout, message, random_, out.messages);
    }

    [[nodiscard]] configuration_digest own_digest() const
    {
        return {highest_, table_.hashes()};
    }

    void handle_digest(const peer_envelope& envelope, const configuration_digest& digest, time_point now,
                       configuration_output& out)
    {
        std::vector<std::uint32_t> differing;
        for (std::uint32_t bucket = 0; bucket < configuration_buckets; ++bucket)
        {
            if (digest.bucket_hashes.at(bucket) != table_.hashes().at(bucket))
            {
                differing.push_back(bucket);
            }
        }
        if (differing.empty())
        {
            highest_ = std::max(highest_, digest.highest_revision);
            return;
        }
        if (digest.highest_revision < highest_)
        {
            send_missing_records(envelope, digest.highest_revision, differing, now, out);
            return;
        }
        if (digest.highest_revision == highest_ && now >= next_digest_reply_)
        {
            // Either side may lack records; the digest lets the sender detect it.
            next_digest_reply_ = now + settings_.digest_interval;
            out.messages.push_back({envelope.sender, envelope.peer_address, own_digest()});
        }
        pull(envelope, digest.highest_revision, std::move(differing), now, out);
    }

    /// @brief Sends a peer that is behind the changes after its revision, or the digest when they exceed the limit.
    void send_missing_records(const peer_envelope& envelope, revision revision_of_peer,
                              const std::vector<std::uint32_t>& buckets, time_point now, configuration_output& out)
    {
        if (now < next_missing_records_)
        {
            return;
        }
        next_missing_records_ = now + settings_.digest_interval / 10;
        // All other buckets are equal, so the message holds all records that the peer lacks.
        configuration_records missing{highest_, {}, true, revision_of_peer, true};
        std::size_t bytes = 0;
        for (const std::uint32_t bucket : buckets)
        {
            bucket_cursor cursor;
            table_.read(bucket, revision_of_peer, settings_.max_message_bytes, cursor, missing.records, bytes);
            missing.complete = missing.complete && cursor.complete;
        }
        const bool small = missing.complete && bytes <= settings_.max_push_bytes && revision_of_peer > revision{};
        const peer_message message = small ? peer_message{std::move(missing)} : peer_message{own_digest()};
        out.messages.push_back({envelope.sender, envelope.peer_address, message});
    }

    void pull(const peer_envelope& envelope, revision highest_of_peer, std::vector<std::uint32_t> buckets,
              time_point now, configuration_output& out)
    {
        if (now < pull_.until)
        {
            return;
        }
        // Pulls newer changes first. If the buckets still differ afterwards, an older version is missing, or a
        // version is active at only one of the two instances.
        const bool newer_only =
            highest_ > revision{} && (highest_of_peer > highest_ || revision_at_last_pull_ != highest_);
        if (!newer_only && highest_ > revision{} && now < next_full_pull_)
        {
            return;
        }
        next_full_pull_ = newer_only ? next_full_pull_ : now + settings_.full_pull_interval;
        revision_at_last_pull_ = highest_;
        pull_ = {envelope.sender, now + settings_.digest_interval / 2};
        configuration_pull request{std::move(buckets), newer_only ? highest_ : revision{}, highest_of_peer};
        out.messages.push_back({envelope.sender, envelope.peer_address, std::move(request)});
    }

    void handle_records(const peer_envelope& envelope, const configuration_records& message, time_point now,
                        configuration_output& out)
    {
        configuration_records update = message;
        bool changed = false;
        for (shared_record& shared : update.records)
        {
            changed = merge(shared, out) || changed;
        }
        if (message.complete && message.after <= highest_)
        {
            highest_ = std::max(highest_, message.highest_revision);
        }
        if (message.answer)
        {
            handle_pull_answer(envelope, message, changed, now, out);
        }
        else if (changed)
        {
            push(update, out);
        }
    }

    void handle_pull_answer(const peer_envelope& envelope, const configuration_records& message, bool changed,
                            time_point now, configuration_output& out)
    {
        if (envelope.sender == pull_.peer)
        {
            pull_.until = message.complete ? now : std::max(pull_.until, now + 4 * settings_.answer_interval);
        }
        if (changed && message.complete && message.after != revision{})
        {
            // Lets a few peers of the region detect that they lack records and pull them.
            peers_.send_to_own_region(settings_.push_fanout, own_digest(), random_, out.messages);
        }
    }

    member_update self_;
    Acceptor acceptor_;
    configuration_settings settings_;
    random_source random_;
    record_table table_;
    read_schedule read_schedule_;
    pull_answers answers_;
    gossip_peers peers_;
    outstanding_pull pull_;
    revision highest_;
    revision token_floor_;
    std::optional<revision> peer_floor_;
    /// Value of `highest_` when the last pull was sent.
    std::optional<revision> revision_at_last_pull_;
    time_point now_;
    time_point peer_wait_until_;
    time_point next_digest_;
    time_point next_missing_records_;
    time_point next_digest_reply_;
    time_point next_full_pull_;
    int lowest_schema_ = 1;
    bool started_ = false;
    bool view_complete_ = false;
    bool is_reader_ = false;
    bool ready_ = false;
};

} // namespace parsleyshift
