#pragma once

#include <parsleyshift/core/clock.hpp>         // duration, time_point
#include <parsleyshift/core/random_source.hpp> // random_source
#include <parsleyshift/messages/peer.hpp>      // source_answer
#include <parsleyshift/messages/store.hpp>     // store_page, store_changes

#include <cstddef> // size_t
#include <map>     // map
#include <string>  // string
#include <vector>  // vector

namespace parsleyshift
{

/// @brief Timeouts, delays and limits for reading a store.
struct store_watch_settings
{
    /// Longest time for which the store may hold one watch open. Each answer proves that the items were current when
    /// the call started, so this time and the timeouts together must stay well below the time for which
    /// a caller's key is accepted after a read (the setting max_key_age).
    duration watch_wait{700};
    /// Time beyond the wait of a call after which the call has failed if no part of the response has arrived; longer
    /// while the store is slow, see `max_timeout_margin`.
    duration timeout_margin{1'000};
    /// Upper limit of that time: it is `latency_multiple` times the latency of the latest response, and this limit
    /// after a call without a response, which may have come from a store that has become slow.
    duration max_timeout_margin{1'600};
    int latency_multiple = 3;
    /// Aimed-at time from the start of a watch to its response: a watch of a slow store waits less for changes, so that
    /// the copies do not get older.
    duration max_watch_duration{1'200};
    /// Longest time for which a response may take to arrive after that. A call that ends while bytes arrive has used
    /// the link for nothing, and so will the next one; a response that takes longer than this is too old to be of use.
    duration max_transfer_time{2'000};
    /// The same for a page of the first listing, which is of use however old it is: there is no copy yet, and a watch
    /// follows that brings it up to date.
    duration max_first_listing_time{12'000};
    /// Delay after the first failed call, before jitter; doubles with each further consecutive failure.
    duration initial_retry_delay{100};
    /// Upper limit of that delay, before jitter.
    duration max_retry_delay{800};
    /// Largest response to a watch in bytes: this, twice the size of the local copy, and what the link transfers in the
    /// time that another call would take. A larger one holds several versions of the items, and the listing that
    /// follows instead is smaller.
    std::size_t watch_response_allowance = std::size_t{64} * 1024;
    /// Rate of the link in bytes per millisecond.
    double link_rate = 1'250;
    /// Number of removed keys kept for peers; a peer that needs an older one gets the keys of all items instead.
    std::size_t max_removals = 1'024;
    /// Size in bytes from which values are sent to peers in compressed form.
    std::size_t min_compressed_size = 1'024;
    /// Largest size in bytes of a value that a peer has compressed.
    std::size_t max_value_size = std::size_t{8} * 1024 * 1024;
};

/// @brief A call to make to the store.
struct store_call
{
    enum class kind
    {
        list,
        watch,
    };
    kind what = kind::list;
    /// list: the last key of the previous page; empty for the first page.
    std::string after_key;
    /// watch: only changes after this revision are returned.
    revision after;
    /// watch: longest time for which the store waits for a change.
    duration wait{};
    /// Time after which the call counts as failed if no part of the response has arrived.
    duration timeout{};
    /// Time after which the call counts as failed if the response is not complete.
    duration transfer_timeout{};
    /// watch: size in bytes above which the response is not read and a new listing starts.
    std::size_t max_response_bytes = 0;
};

/// @brief Keeps a local copy of a store: lists all items once, then watches for changes, with one call at a time.
///
/// The pages of a listing are not a snapshot, so the first watch starts at the revision of the first page and repeats
/// the changes made while later pages were read. When the store no longer has the history that a watch needs, a new
/// listing replaces all items.
///
/// A store may come back from a copy of its data that is some seconds old. Its era rises then, revisions go back and
/// are given out again. Revisions are compared within one era only: in a new one all items are listed, and answers of
/// an earlier one are ignored. Until that listing is complete the local copy stays in use without being confirmed.
///
/// Peers get the latest change of each item, not the changes in between, so that the size of an answer is bounded by
/// that of the items, however many changes a peer has missed.
class store_watch
{
  public:
    /// @param seed seed of the random retry delays
    explicit store_watch(store_watch_settings settings, std::uint64_t seed);

    /// @brief Returns the call to make now.
    /// @param now start time of the call
    /// @param no_wait true for a watch that returns at once instead of waiting for changes
    store_call next(time_point now, bool no_wait = false);
    /// @brief Handles a page of a listing.
    /// @return true when the listing is complete
    bool handle(store_page page);
    /// @brief Handles the answer to a watch; answers older than the local copy are ignored, and one of a later era
    /// starts a listing.
    void handle(const store_changes& answer);
    /// @brief Applies changes that a peer has read; answers older than the local copy are ignored.
    /// @param requested_at time at which the pull was sent to the peer
    /// @return false when a value cannot be decompressed, or a later era is not complete; then nothing is applied
    bool apply_relayed(const source_answer& answer, time_point requested_at);
    /// @brief Returns the answer to a pull. `available` and `complete` are false when the copy is older than the
    /// receiver's, or when the receiver needs a list of all keys and does not accept it.
    /// @param arrived_at arrival of the pull, which was sent earlier: what was read after it was current then
    [[nodiscard]] source_answer answer_to(const source_pull& pull, time_point arrived_at);
    /// @brief Starts a new listing, because the store no longer has the changes after the revision of the watch. The
    /// local copy stays in use until the listing is complete.
    void restart_listing();
    /// @brief Handles a response to a watch that is too large or invalid. The first one is followed by a listing at
    /// once, as restart_listing() does; until a response to a watch has been accepted, each further one is a failed
    /// call.
    /// @return false when nothing was done, and the caller has to call record_failure(true)
    [[nodiscard]] bool restart_after_rejected_watch();
    /// @brief Handles a failed call. After a watch of whose response a part has arrived, the next call is a listing:
    /// the watch would be answered with the same changes and all that have followed, whereas a listing has each item
    /// once.
    /// @param response_started whether a part of the response has arrived
    /// @return delay before the next call
    duration record_failure(bool response_started = false);
    /// @brief Records that a complete response has arrived, of any kind, from which the latency of the store follows.
    void record_response(time_point now);

    /// @brief The local copy of the items, by key.
    [[nodiscard]] const std::map<std::string, store_item>& items() const noexcept
    {
        return items_;
    }
    /// @brief Returns the keys of items written or removed since the last call of this function; a key may occur more
    /// than once.
    std::vector<std::string> take_changed();
    /// @brief Latest time at which the local copy is proved to have been current; `time_point::min()` before the first
    /// listing.
    [[nodiscard]] time_point confirmed_at() const noexcept
    {
        return confirmed_;
    }
    /// @brief Revision of the local copy.
    [[nodiscard]] revision as_of() const noexcept
    {
        return as_of_;
    }
    /// @brief Era of the local copy.
    [[nodiscard]] source_era era() const noexcept
    {
        return era_;
    }
    /// @brief True when changes up to a revision of an era are as new as the local copy.
    [[nodiscard]] bool is_current(source_era era, revision at_revision) const noexcept
    {
        return era != era_ ? era > era_ : at_revision >= as_of_;
    }
    /// @brief True when a peer holds a copy that is as new as the local one.
    [[nodiscard]] bool is_current(const source_pull& pull) const noexcept
    {
        return is_current(era_of(pull), pull.known_revision);
    }
    /// @brief True once a first listing is complete.
    [[nodiscard]] bool listed() const noexcept
    {
        return listed_;
    }

  private:
    /// The compressed value of an item.
    struct compressed_value
    {
        revision changed;
        std::string bytes;
    };

    void finish_listing();
    /// Removes all items when an era is later than that of the local copy; the caller adds those of the later one.
    void begin_era(source_era era);
    /// Era of the revision that a peer holds.
    [[nodiscard]] source_era era_of(const source_pull& pull) const noexcept
    {
        // Instances of earlier releases do not state their era.
        return pull.known_era == source_era{} ? era_ : pull.known_era;
    }
    /// Bytes of the keys and values in the local copy.
    [[nodiscard]] std::size_t copy_bytes() const;
    void apply(const source_change& change);
    /// The change that tells a peer the current value of an item.
    source_change change_of(const store_item& item, bool accepts_compressed);
    void record_removal(const source_change& change);
    void remove_unlisted(const source_answer& answer);
    /// Forgets which items were removed up to a revision, and their compressed values.
    void forget_removals(revision up_to);

    store_watch_settings settings_;
    random_source random_;
    std::map<std::string, store_item> items_;
    std::map<std::string, store_item> listing_;
    std::vector<std::string> changed_;
    /// Revisions at which items were removed; complete for removals after `removals_known_since_`.
    std::map<std::string, revision> removals_;
    revision removals_known_since_;
    /// Large values that peers have asked for, by key; each is compressed once.
    std::map<std::string, compressed_value> compressed_;
    std::string last_key_;
    revision as_of_;
    /// Era of as_of_ and of all items.
    source_era era_;
    revision listing_as_of_;
    source_era listing_era_;
    time_point call_started_at_;
    /// Wait and kind of the latest call.
    store_call latest_call_;
    /// Time that the store takes for a response besides the wait of a watch.
    duration latency_{};
    duration timeout_margin_;
    time_point listing_started_at_;
    time_point confirmed_ = time_point::min();
    bool listed_ = false;
    /// The next call is part of a listing, because there is none yet or the last one is out of date.
    bool listing_needed_ = true;
    bool listing_in_progress_ = false;
    /// The response to a watch was rejected, and none has been accepted since.
    bool watch_rejected_ = false;
    int consecutive_failures_ = 0;
};

} // namespace parsleyshift
