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

/// @brief Bounds of reading a store.
struct store_watch_settings
{
    /// Longest wait of one watch. Each answer proves that what is known was the newest when the call began, so the wait
    /// and the time-outs together must stay well below the time for which keys count as valid.
    duration watch_wait{700};
    /// Time for an answer beyond the wait.
    duration answer_margin{700};
    /// Mean delay after a failed call; doubles with each further one.
    duration first_retry{100};
    duration longest_retry{800};
    /// Bytes of recent changes that are kept for peers; one that needs older changes reads the store itself.
    std::size_t most_recent_bytes = std::size_t{512} * 1024;
};

/// @brief A call to the store.
struct store_call
{
    enum class kind
    {
        list,
        watch,
    };
    kind what = kind::list;
    /// list: the last key of the page before.
    std::string after_key;
    /// watch: revision after which changes are wanted.
    revision after;
    /// watch: longest wait for a change.
    duration wait{};
    /// Time after which the call has failed.
    duration timeout{};
};

/// @brief Decides how a store is read: a listing first, then one watch after the other; one call at a time.
///
/// Pages are not a snapshot, so the watch begins at the revision of the first page and repeats what changed while the
/// others were read. When the store has dropped the history of a watch, a new listing replaces all items.
class store_watch
{
  public:
    explicit store_watch(store_watch_settings settings, std::uint64_t seed);

    /// @brief The call to make now.
    /// @param now time when it begins
    /// @param in_haste a watch does not wait for changes
    store_call next(time_point now, bool in_haste = false);
    /// @brief Takes a page. @return true when the listing is complete
    bool take(store_page page);
    /// @brief Takes changes.
    void take(const store_changes& answer);
    /// @brief Takes what a peer has read. @param asked time at which the peer was asked
    void take_relayed(const source_answer& answer, time_point asked);
    /// @brief What a peer that knows everything up to a revision has to learn.
    [[nodiscard]] source_answer changes_since(revision known, time_point now) const;
    /// @brief The store no longer knows the changes after the revision of the watch.
    void history_dropped();
    /// @brief The call failed. @return time to wait before the next one
    duration failed();

    /// @brief The items, by key.
    [[nodiscard]] const std::map<std::string, store_item>& items() const noexcept
    {
        return items_;
    }
    /// @brief Keys of items that were written or removed since the last call of this function.
    std::vector<std::string> take_changed();
    /// @brief What is known was the newest at this time; the smallest time before the first listing.
    [[nodiscard]] time_point confirmed() const noexcept
    {
        return confirmed_;
    }
    [[nodiscard]] revision as_of() const noexcept
    {
        return as_of_;
    }
    /// @brief True while the items are known and watched.
    [[nodiscard]] bool listed() const noexcept
    {
        return listed_;
    }

  private:
    void finish_listing();
    void apply(const source_change& change);
    void remember(const source_change& change);

    store_watch_settings settings_;
    random_source random_;
    std::map<std::string, store_item> items_;
    std::map<std::string, store_item> listing_;
    std::vector<std::string> changed_;
    /// The latest changes, in order: all that came after `recent_from_`.
    std::deque<source_change> recent_;
    std::size_t recent_bytes_ = 0;
    revision recent_from_;
    std::string last_key_;
    revision as_of_;
    revision listing_as_of_;
    time_point call_began_;
    time_point listing_began_;
    time_point confirmed_ = time_point::min();
    bool listed_ = false;
    bool listing_begun_ = false;
    int failures_ = 0;
};

} // namespace parsleyshift
