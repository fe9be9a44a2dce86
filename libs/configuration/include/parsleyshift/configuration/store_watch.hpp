#pragma once

#include <parsleyshift/core/clock.hpp>         // duration, time_point
#include <parsleyshift/core/random_source.hpp> // random_source
#include <parsleyshift/messages/peer.hpp>      // source_answer
#include <parsleyshift/messages/store.hpp>     // store_page, store_changes

#include <cstddef> // size_t
#include <deque>   // deque
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
    /// Time beyond the wait of a call after which the call has failed.
    duration timeout_margin{700};
    /// Delay after the first failed call, before jitter; doubles with each further consecutive failure.
    duration initial_retry_delay{100};
    /// Upper limit of that delay, before jitter.
    duration max_retry_delay{800};
    /// Total size of the recent changes kept for peers; a peer that needs older changes reads the store itself.
    std::size_t max_history_bytes = std::size_t{512} * 1024;
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
    /// Time after which the call counts as failed.
    duration timeout{};
};

/// @brief Keeps a local copy of a store: lists all items once, then watches for changes, with one call at a time.
///
/// The pages of a listing are not a snapshot, so the first watch starts at the revision of the first page and repeats
/// the changes made while later pages were read. When the store no longer has the history that a watch needs, a new
/// listing replaces all items.
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
    /// @brief Handles the answer to a watch; answers older than the local copy are ignored.
    void handle(const store_changes& answer);
    /// @brief Applies changes that a peer has read; answers older than the local copy are ignored.
    /// @param requested_at time at which the pull was sent to the peer
    void apply_relayed(const source_answer& answer, time_point requested_at);
    /// @brief Returns the changes after a revision; `available` and `complete` are false when they are not all kept.
    /// @param after revision up to which the receiver has all changes
    [[nodiscard]] source_answer changes_since(revision after, time_point now) const;
    /// @brief Starts a new listing, because the store no longer has the changes after the revision of the watch.
    void restart_listing();
    /// @brief Handles a failed call.
    /// @return delay before the next call
    duration record_failure();

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
    /// @brief True while the local copy is complete, so that next() returns watches.
    [[nodiscard]] bool listed() const noexcept
    {
        return listed_;
    }

  private:
    void finish_listing();
    void apply(const source_change& change);
    void append_to_history(const source_change& change);

    store_watch_settings settings_;
    random_source random_;
    std::map<std::string, store_item> items_;
    std::map<std::string, store_item> listing_;
    std::vector<std::string> changed_;
    /// All changes after `history_start_`, in order.
    std::deque<source_change> history_;
    std::size_t history_bytes_ = 0;
    revision history_start_;
    std::string last_key_;
    revision as_of_;
    revision listing_as_of_;
    time_point call_started_at_;
    time_point listing_started_at_;
    time_point confirmed_ = time_point::min();
    bool listed_ = false;
    bool listing_in_progress_ = false;
    int consecutive_failures_ = 0;
};

} // namespace parsleyshift
