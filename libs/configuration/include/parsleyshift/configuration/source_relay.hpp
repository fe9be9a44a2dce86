#pragma once

#include <parsleyshift/configuration/store_watch.hpp> // store_watch
#include <parsleyshift/core/clock.hpp>                // duration, time_point
#include <parsleyshift/core/ids.hpp>                  // instance_id
#include <parsleyshift/messages/peer.hpp>             // source_pull, source_answer

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace parsleyshift
{

/// @brief A reader or follower of the source, see source_relay.
struct source_peer
{
    instance_id instance;
    std::string address;
};

/// @brief An answer and the follower to send it to.
struct addressed_answer
{
    source_peer to;
    source_answer answer;
};

/// @brief Timeouts for following a reader of a store.
struct source_relay_settings
{
    /// Timeout of a pull. The reader answers after its next read, which takes up to store_watch_settings::watch_wait
    /// and, while the store is slow, 300 ms more.
    duration answer_timeout{1'200};
    /// Time for which an instance reads the store itself after its reader did not answer or had no data.
    duration direct_read_period{2'000};
};

/// @brief Lets most instances follow a peer that reads the store, since every call to the store is billed.
///
/// The store is the source; a reader is an instance that reads it, and a follower one that pulls the changes from a
/// reader. This class implements both roles. Freshness needs no synchronised clocks: the answer holds the age of the
/// reader's last read, and this instance subtracts it from the time at which it sent the pull, which is before the
/// reader answered. A delay of the answer therefore makes the data seem older, never newer, than it is. An instance
/// that gets no answer reads the store itself. A reader whose own reads fail still hands out the changes that it has,
/// so that a follower which turns to the store asks only for what nobody in its region has.
class source_relay
{
  public:
    /// @brief Result of handling an answer.
    enum class answer_result
    {
        /// The answer does not belong to the pull in progress.
        ignored,
        accepted,
        /// The changes were applied, but the reader cannot confirm that they are the latest; the caller reads the
        /// store.
        unconfirmed,
        /// The reader has no usable data; the caller reads the store.
        refused,
    };

    /// @param watch local copy of the store; must outlive this object
    explicit source_relay(store_watch& watch, source_relay_settings settings = {}) : watch_(watch), settings_(settings)
    {
    }

    /// @brief Starts a pull.
    /// @param reader the reader that this instance follows, if any
    /// @return the pull to send, or nothing when the caller reads the store itself
    std::optional<source_pull> next_pull(const std::optional<source_peer>& reader, time_point now);
    /// @brief Handles an answer of a reader.
    answer_result handle_answer(const instance_id& from, const source_answer& answer, time_point now);
    /// @brief Handles a pull that was not answered within `answer_timeout()`; direct reads follow.
    /// @return false when the pull is no longer in progress
    bool handle_timeout(std::uint64_t number, time_point now);
    /// @brief Records a direct read of the store; after a failed one, the next pull may be sent at once.
    void record_direct_read(bool successful);
    /// @brief True when the next watch of the store should return at once, because a pull has failed and neither
    /// a direct read nor an accepted answer has followed it.
    [[nodiscard]] bool skip_watch_wait() const noexcept
    {
        return skip_watch_wait_;
    }
    /// @brief Timeout of a pull.
    [[nodiscard]] duration answer_timeout() const noexcept
    {
        return settings_.answer_timeout;
    }

    /// @brief Handles a pull of a follower, in place of an earlier one of the same follower.
    /// @return the answer if it can be sent at once; otherwise due() returns it after the next read
    std::optional<source_answer> handle_pull(const source_peer& from, const source_pull& pull, time_point now);
    /// @brief Returns the answers to all pending pulls after a read of the store.
    /// @param successful whether the store answered
    std::vector<addressed_answer> take_pending_answers(bool successful, time_point now);

  private:
    struct pending_pull
    {
        source_peer from;
        source_pull pull;
    };
    struct sent_pull
    {
        instance_id to;
        std::uint64_t number = 0;
        time_point sent_at;
    };

    void start_direct_reads(time_point now);

    store_watch& watch_;
    source_relay_settings settings_;
    std::optional<sent_pull> pull_in_progress_;
    std::uint64_t last_pull_number_ = 0;
    time_point direct_until_;
    bool skip_watch_wait_ = false;
    bool source_unavailable_ = false;
    std::vector<pending_pull> pending_pulls_;
};

} // namespace parsleyshift
