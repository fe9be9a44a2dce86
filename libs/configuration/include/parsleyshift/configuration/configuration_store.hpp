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

/// @brief The accepted records of one instance, kept equal with those of its peers.
///
/// Records come from the configuration service and from peers, in any order and any number of times; the state is the
/// maximum over all accepted versions, so stores that have seen the same versions are equal. A missing record in an
/// answer of the service changes nothing: records end by a withdrawal.
///
/// `highest()` is the revision up to which the store knows every change. It rises with the service's answers, with
/// messages that hold all changes of a range, and with the digest of a peer whose records are the same.
///
/// An instance may serve (`ready()`) once `highest()` is above 0 and not below the floor, which is the revision of the
/// first peer that it hears and of the callers' tokens before then. Without any peer it relies on the service alone:
/// at once when the membership view is complete and names nobody else, otherwise after `peer_patience`. An instance
/// without an answer of the service and of peers is never ready.
///
/// Cost per instance and second at 1,600 instances and C changes per second of b bytes each: one digest (700 bytes)
/// and C * 3 pushes of b bytes, and as much received; less than 3 KB/s in each direction at C = 0.22 and b = 500.
///
/// @tparam Acceptor checks a record; the result must depend on the record only
template <record_acceptor Acceptor>
class configuration_store
{
  public:
    /// @param self this instance
    /// @param acceptor checks records
    /// @param settings intervals and bounds
    /// @param seed of all random choices
    configuration_store(member_update self, Acceptor acceptor, configuration_settings settings, std::uint64_t seed)
        : self_(std::move(self)),
          acceptor_(std::move(acceptor)),
          settings_(settings),
          random_(seed),
          reads_(settings, random_.bits()),
          answers_(settings)
    {
    }

    /// @brief Takes the membership view; to be called after each change of a member. Linear in the members.
    /// @param joined false while the view is not complete yet (membership::joined())
    void update_members(std::span<const member_update> members, bool joined, time_point now, configuration_output& out)
    {
        start(now);
        const bool first_peers = peers_.empty();
        peers_.assign(self_, members);
        if (first_peers && !peers_.empty())
        {
            next_digest_ = std::min(next_digest_, now);
        }
        joined_ = joined;
        is_reader_ = joined && is_chosen_reader(self_, members, settings_.readers_per_region);
        int lowest_schema = joined ? self_.schema : 1;
        for (const member_update& member : members)
        {
            const bool live = member.state == member_state::alive || member.state == member_state::suspect;
            lowest_schema = live ? std::min(lowest_schema, member.schema) : lowest_schema;
        }
        lowest_schema_ = lowest_schema;
        activate(out);
        advance(now, out);
    }

    /// @brief Handles an answer of the service. O(records * log records).
    void handle(const configuration_received& answer, time_point now, configuration_output& out)
    {
        start(now);
        const std::optional<read_configuration> read = reads_.in_flight();
        const bool stale = read && answer.highest < std::max(read->after, reads_.known_at_begin());
        reads_.end(now, read && !stale);
        if (!stale && answer.highest >= highest_)
        {
            take_answer(answer, read, out);
        }
        advance(now, out);
    }

    /// @brief Handles a failed read.
    void handle(const configuration_unavailable& /*unused*/, time_point now, configuration_output& out)
    {
        start(now);
        reads_.end(now, false);
        advance(now, out);
    }

    /// @brief Handles digests, pulls and records, and takes the revision floor from every message.
    void handle(const peer_envelope& envelope, time_point now, configuration_output& out)
    {
        start(now);
        if (envelope.highest > revision{} && !floor_of_peer_)
        {
            floor_of_peer_ = envelope.highest;
        }
        if (const auto* digest = std::get_if<configuration_digest>(&envelope.message))
        {
            take_digest(envelope, *digest, now, out);
        }
        else if (const auto* pull = std::get_if<configuration_pull>(&envelope.message))
        {
            answers_.add(envelope, *pull, now);
        }
        else if (const auto* records = std::get_if<configuration_records>(&envelope.message))
        {
            take_records(envelope, *records, now, out);
        }
        advance(now, out);
    }

    /// @brief Raises the lowest revision that this instance may start to serve with, from a caller's token.
    void raise_floor(revision floor)
    {
        floor_of_tokens_ = std::max(floor_of_tokens_, floor);
    }

    /// @brief Sends what is due: reads, digests and parts of answers.
    void expire(time_point now, configuration_output& out)
    {
        start(now);
        if (now >= next_digest_)
        {
            next_digest_ = now + settings_.digest_interval;
            peers_.send_to_any(settings_.remote_share, own_digest(), random_, out.messages);
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
        time_point earliest = std::min({next_digest_, reads_.next_deadline(), answers_.next_deadline()});
        if (!ready_ && now_ < patience_until_)
        {
            earliest = std::min(earliest, patience_until_);
        }
        return earliest;
    }

    /// @brief True once the instance may serve; never false again.
    [[nodiscard]] bool ready() const
    {
        return ready_;
    }

    /// @brief Revision up to which this store knows every change; for envelopes and tokens. Never goes back.
    [[nodiscard]] revision highest() const
    {
        return highest_;
    }

    /// @brief Lowest revision with which this instance may start to serve.
    [[nodiscard]] revision floor() const
    {
        return std::max(floor_of_tokens_, floor_of_peer_.value_or(revision{}));
    }

    /// @brief True while this instance holds a watch at the service for its region.
    [[nodiscard]] bool is_reader() const
    {
        return is_reader_;
    }

    /// @brief Calls to the configuration service so far.
    [[nodiscard]] std::uint64_t calls() const
    {
        return reads_.calls();
    }

    /// @brief The record in force here, or nullptr when there is none or it is withdrawn. Logarithmic.
    [[nodiscard]] const raw_record* find(const std::string& kind, const std::string& name) const
    {
        const record_entry* entry = table_.find({kind, name});
        const bool in_force = entry != nullptr && entry->in_force.record && !entry->in_force.record->withdrawn;
        return in_force ? entry->in_force.record.get() : nullptr;
    }

    /// @brief All versions that this instance knows, for status pages and tests.
    [[nodiscard]] const record_table& table() const
    {
        return table_;
    }

  private:
    struct outstanding_pull
    {
        instance_id peer;
        /// Until then no other pull is sent.
        time_point until;
    };

    void start(time_point now)
    {
        now_ = now;
        if (started_)
        {
            return;
        }
        started_ = true;
        patience_until_ = now + random_.jittered(settings_.peer_patience, 1.0);
        next_digest_ = now + random_.jittered(duration{1}, static_cast<double>(settings_.digest_interval.count()));
    }

    /// @brief Runs what may have become possible.
    void advance(time_point now, configuration_output& out)
    {
        const bool no_source = highest_ == revision{} && now >= patience_until_;
        const bool alone = joined_ && peers_.empty();
        reads_.set_reading(is_reader_ || no_source || alone, now);
        if (const std::optional<read_configuration> read = reads_.begin(now, highest_))
        {
            out.reads.push_back(*read);
        }
        answers_.send(table_, now, out.messages);
        const bool heard_peer = floor_of_peer_.has_value();
        const bool source_complete = heard_peer || alone || now >= patience_until_;
        ready_ = ready_ || (source_complete && highest_ > revision{} && highest_ >= floor());
    }

    void take_answer(const configuration_received& answer, const std::optional<read_configuration>& read,
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
        highest_ = all_changes ? std::max(highest_, answer.highest) : highest_;
        if (from_watch && !changed.empty())
        {
            // A record that was known or rejected is left out, and then the message does not hold all changes.
            const bool complete = all_changes && changed.size() == answer.records.size();
            const configuration_records rumour{answer.highest, std::move(changed), complete, read->after, false};
            push(rumour, out);
        }
    }

    /// @brief Checks and merges one version.
    /// @param shared its `accepted` and `active` flags are raised to what this instance finds
    /// @return true when the shared state changed
    bool merge(shared_record& shared, configuration_output& out)
    {
        const record_key key{shared.record.kind, shared.record.name};
        const record_version version = record_table::version_of(shared.record);
        if (table_.knows(key, version, shared.active))
        {
            return false;
        }
        record_judgement judgement;
        if (!shared.record.withdrawn)
        {
            judgement = acceptor_(shared.record);
        }
        if (judgement.what == acceptance::rejected)
        {
            if (table_.reject(key, version))
            {
                const error unnamed = make_error(error_kind::invalid_field, key.kind + " " + key.name);
                out.rejected.push_back({key.kind, key.name, shared.record.changed, judgement.why.value_or(unnamed)});
            }
            return false;
        }
        const bool readable = judgement.what == acceptance::accepted;
        shared.accepted = shared.accepted || readable;
        shared.active =
            shared.active || shared.record.withdrawn || (readable && shared.record.schema <= lowest_schema_);
        const merge_result merged = table_.merge(shared, judgement.what);
        if (merged.in_force)
        {
            out.changes.push_back(shared.record);
        }
        if (merged.unreadable)
        {
            const revision kept = table_.find(key)->in_force.changed();
            out.unreadable.push_back({key.kind, key.name, shared.record.changed, shared.record.schema, kept});
        }
        return merged.changed;
    }

    void activate(configuration_output& out)
    {
        configuration_records rumour{highest_, table_.activate(lowest_schema_), false, revision{}, false};
        if (rumour.records.empty())
        {
            return;
        }
        for (const shared_record& activated : rumour.records)
        {
            out.changes.push_back(activated.record);
        }
        push(rumour, out);
    }

    /// @brief Tells a few peers of the own region; they receive only the digest when the records are large.
    void push(const configuration_records& rumour, configuration_output& out)
    {
        std::size_t bytes = 0;
        for (const shared_record& shared : rumour.records)
        {
            bytes += estimated_bytes(shared.record);
        }
        const bool small =
            bytes <= settings_.largest_push_bytes && rumour.records.size() <= settings_.most_pushed_records;
        const peer_message message = small ? peer_message{rumour} : peer_message{own_digest()};
        peers_.send_to_own_region(settings_.push_peers, message, random_, out.messages);
    }

    [[nodiscard]] configuration_digest own_digest() const
    {
        return {highest_, table_.hashes()};
    }

    void take_digest(const peer_envelope& envelope, const configuration_digest& digest, time_point now,
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
            highest_ = std::max(highest_, digest.highest);
            return;
        }
        if (digest.highest < highest_)
        {
            help(envelope, digest.highest, differing, now, out);
            return;
        }
        if (digest.highest == highest_ && now >= next_reply_)
        {
            // Either side may lack something; the sender finds out by this digest.
            next_reply_ = now + settings_.digest_interval;
            out.messages.push_back({envelope.sender, envelope.peer_address, own_digest()});
        }
        pull(envelope, digest.highest, std::move(differing), now, out);
    }

    /// @brief Sends what changed since the revision of a peer that is behind, or the digest when that is much.
    void help(const peer_envelope& envelope, revision known, const std::vector<std::uint32_t>& buckets, time_point now,
              configuration_output& out)
    {
        if (now < next_help_)
        {
            return;
        }
        next_help_ = now + settings_.digest_interval / 10;
        // The buckets that are not named are equal, so that the message holds all that the peer lacks.
        configuration_records missing{highest_, {}, true, known, true};
        std::size_t bytes = 0;
        for (const std::uint32_t bucket : buckets)
        {
            bucket_position position;
            table_.read(bucket, known, settings_.message_bytes, position, missing.records, bytes);
            missing.complete = missing.complete && position.complete;
        }
        const bool small = missing.complete && bytes <= settings_.largest_push_bytes && known > revision{};
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
        // Newer changes first. If the buckets still differ afterwards, something older is missing or a flag differs.
        const bool newer = highest_ > revision{} && (highest_of_peer > highest_ || pulled_at_ != highest_);
        if (!newer && highest_ > revision{} && now < next_full_pull_)
        {
            return;
        }
        next_full_pull_ = newer ? next_full_pull_ : now + settings_.full_pull_interval;
        pulled_at_ = highest_;
        pull_ = {envelope.sender, now + settings_.digest_interval / 2};
        configuration_pull wanted{std::move(buckets), newer ? highest_ : revision{}, highest_of_peer};
        out.messages.push_back({envelope.sender, envelope.peer_address, std::move(wanted)});
    }

    void take_records(const peer_envelope& envelope, const configuration_records& message, time_point now,
                      configuration_output& out)
    {
        configuration_records rumour = message;
        bool changed = false;
        for (shared_record& shared : rumour.records)
        {
            changed = merge(shared, out) || changed;
        }
        if (message.complete && message.after <= highest_)
        {
            highest_ = std::max(highest_, message.highest);
        }
        if (message.answer)
        {
            take_answer_part(envelope, message, changed, now, out);
        }
        else if (changed)
        {
            push(rumour, out);
        }
    }

    void take_answer_part(const peer_envelope& envelope, const configuration_records& message, bool changed,
                          time_point now, configuration_output& out)
    {
        if (envelope.sender == pull_.peer)
        {
            pull_.until = message.complete ? now : std::max(pull_.until, now + 4 * settings_.answer_interval);
        }
        if (changed && message.complete && message.after != revision{})
        {
            // Tells a few peers that there is something to pull.
            peers_.send_to_own_region(settings_.push_peers, own_digest(), random_, out.messages);
        }
    }

    member_update self_;
    Acceptor acceptor_;
    configuration_settings settings_;
    random_source random_;
    record_table table_;
    read_schedule reads_;
    pull_answers answers_;
    gossip_peers peers_;
    outstanding_pull pull_;
    revision highest_;
    revision floor_of_tokens_;
    std::optional<revision> floor_of_peer_;
    /// Value of `highest_` at the last pull.
    std::optional<revision> pulled_at_;
    time_point now_;
    time_point patience_until_;
    time_point next_digest_;
    time_point next_help_;
    time_point next_reply_;
    time_point next_full_pull_;
    int lowest_schema_ = 1;
    bool started_ = false;
    bool joined_ = false;
    bool is_reader_ = false;
    bool ready_ = false;
};

} // namespace parsleyshift
