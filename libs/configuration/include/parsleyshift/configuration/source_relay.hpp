#pragma once

#include <parsleyshift/configuration/store_watch.hpp> // store_watch
#include <parsleyshift/core/clock.hpp>                // duration, time_point
#include <parsleyshift/core/ids.hpp>                  // instance_id
#include <parsleyshift/core/random_source.hpp>        // random_source
#include <parsleyshift/messages/peer.hpp>             // source_pull, source_answer

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
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

/// @brief The readers that an instance may follow, in order of preference.
struct source_readers
{
    /// Readers that rank higher than the instance. An instance follows only these as long as its own reads succeed, so
    /// that two never wait for each other.
    std::vector<source_peer> preferred;
    /// Readers that rank lower, for an instance that cannot read the store itself.
    std::vector<source_peer> others;
};

/// @brief An answer and the follower to send it to.
struct addressed_answer
{
    source_peer to;
    source_answer answer;
};

/// @brief Bytes of the keys and values in an answer.
std::size_t size_of(const source_answer& answer);

/// @brief A pull and the reader to send it to.
struct addressed_pull
{
    source_peer to;
    source_pull pull;
};

/// @brief Timeouts for following a reader of a store.
struct source_relay_settings
{
    /// Timeout of a pull. The reader answers after its next read, which takes up to store_watch_settings::watch_wait,
    /// and sends a sign of progress while the store is slower than that.
    duration answer_timeout{1'200};
    /// Time for which a pull waits at the reader before each sign of progress.
    duration progress_interval{800};
    /// Timeout after a notice that the answer is on its way.
    duration transfer_timeout{3'000};
    /// Rate in bytes per millisecond that the link of a reader is assumed to have at least.
    double min_link_rate = 1'000;
    /// Time for which that link may be busy with answers before further ones are preceded by a notice.
    duration max_busy_time{300};
    /// Time for which it may be busy before further large answers wait: sent all at once they would share the link, so
    /// that all of them arrive late.
    duration max_queued_time{200};
    /// Size in bytes from which an answer is large.
    std::size_t large_answer = 4'096;
    /// Time for which an instance does not pull from a reader that did not answer.
    duration silence_avoidance{2'000};
    /// Time for which it does not pull from a reader that could not confirm its data. Asking again costs little, and
    /// the store may answer the reader again.
    duration refusal_avoidance{500};
    /// Number of readers that may be silent before the store is read; each costs `answer_timeout`, and the copy must
    /// not get too old meanwhile.
    std::size_t max_silent_readers = 2;
};

/// @brief Lets most instances follow a peer that reads the store, since every call to the store is billed.
///
/// The store is the source; a reader is an instance that reads it, and a follower one that pulls the changes from a
/// reader. This class implements both roles. Freshness needs no synchronised clocks: the answer holds the age of the
/// reader's last read, and this instance subtracts it from the time at which it sent the pull, which is before the
/// reader answered. A delay of the answer therefore makes the data seem older, never newer, than it is. An instance
/// that gets no answer from one reader pulls from the next, and reads the store itself when none is left. A reader
/// whose own reads fail still hands out the changes that it has, so that a follower which turns to the store asks only
/// for what nobody in its region has.
class source_relay
{
  public:
    /// @brief Result of handling an answer.
    enum class answer_result
    {
        /// The answer does not belong to the pull in progress.
        ignored,
        accepted,
        /// The answer is on its way; the pull stays in progress for `transfer_timeout()`.
        announced,
        /// The reader is alive and waits for its own read; the pull stays in progress for `answer_timeout()`.
        waiting,
        /// The changes were applied, but the reader cannot confirm that they are the latest.
        unconfirmed,
        /// The reader has no usable data.
        refused,
    };

    /// @param watch local copy of the store; must outlive this object
    /// @param seed of the first pull's number; must differ between the processes of an instance, because readers may
    /// answer a pull when the process that sent it has ended
    explicit source_relay(store_watch& watch, source_relay_settings settings = {}, std::uint64_t seed = 0)
        : watch_(watch), settings_(settings), last_pull_number_(random_source{seed}.bits())
    {
    }

    /// @brief Starts a pull.
    /// @return the pull to send and its receiver, or nothing when the caller reads the store itself
    std::optional<addressed_pull> next_pull(const source_readers& readers, time_point now);
    /// @brief Handles an answer of a reader.
    /// @param from the reader; one that was known only by its address is recognised by that
    answer_result handle_answer(const source_peer& from, const source_answer& answer, time_point now);
    /// @brief Handles a pull that was not answered within `answer_timeout()`; the next reader or direct reads follow.
    /// @return false when the pull is no longer in progress
    bool handle_timeout(std::uint64_t number, time_point now);
    /// @brief Records the start of a read of the store, which ends with record_read() or record_failed_read().
    void begin_read();
    /// @brief Records a successful read of the store.
    void record_read();
    /// @brief Records a failed read of the store. The readers that had answered are no longer avoided, or none is if
    /// there was no such reader.
    /// @param retry_at earliest time for the next read
    void record_failed_read(time_point retry_at);
    /// @brief Earliest time at which the caller may read the store when next_pull() returns nothing; meanwhile it calls
    /// next_pull() at intervals of `retry_interval()`.
    [[nodiscard]] time_point next_direct_read() const noexcept
    {
        return next_direct_read_;
    }
    [[nodiscard]] duration retry_interval() const noexcept
    {
        return settings_.refusal_avoidance;
    }
    /// @brief True while a reader of a lower rank confirms the copy of this instance, which cannot read the store
    /// itself.
    [[nodiscard]] bool follows_lower_rank() const noexcept
    {
        return follows_lower_rank_;
    }
    /// @brief True when the next watch of the store should return at once, because a pull has failed and neither
    /// a direct read nor an accepted answer has followed it, or to learn whether the store answers again.
    [[nodiscard]] bool skip_watch_wait() const noexcept
    {
        return skip_watch_wait_;
    }
    /// @brief Timeout of a pull.
    [[nodiscard]] duration answer_timeout() const noexcept
    {
        return settings_.answer_timeout;
    }

    /// @brief Timeout of a pull whose answer was announced, from the notice on.
    [[nodiscard]] duration transfer_timeout() const noexcept
    {
        return settings_.transfer_timeout;
    }

    /// @brief Handles a pull of a follower, in place of an earlier one of the same follower. An instance without a copy
    /// answers once it has one, since many start together.
    /// @return the answer, after a notice if there is one, or nothing if take_pending_answers() will return it
    std::vector<source_answer> handle_pull(const source_peer& from, const source_pull& pull, time_point now);
    /// @brief Returns the answers to the pending pulls after a read of the store, and before them their notices. Large
    /// answers for which the link has no room yet stay pending.
    /// @param successful whether the store answered
    std::vector<addressed_answer> take_pending_answers(bool successful, time_point now);
    /// @brief Returns the answers that were left pending and for which the link has room now, see next_large_answers().
    std::vector<addressed_answer> take_large_answers(time_point now);
    /// @brief Time at which take_large_answers() must be called; `never` when no answer waits for the link.
    [[nodiscard]] time_point next_large_answers() const;
    /// @brief Signs of progress for the pulls that have waited long, so that their senders do not give this instance
    /// up. There are none unless this instance reads the store itself, or its own reader has sent it a sign: instances
    /// that wait for each other must time out.
    std::vector<addressed_answer> take_progress_signs(time_point now);
    /// @brief Time at which take_progress_signs() must be called; `never` if there will be none.
    [[nodiscard]] time_point next_progress_sign() const;

  private:
    struct pending_pull
    {
        source_peer from;
        source_pull pull;
        time_point arrived_at;
        time_point next_sign_at;
        /// The answer waits until the link has room.
        bool waits_for_link = false;
    };
    struct sent_pull
    {
        source_peer to;
        std::uint64_t number = 0;
        time_point sent_at;
        /// The receiver ranks lower than this instance.
        bool to_lower_rank = false;
        /// The receiver has sent a sign of progress.
        bool progresses = false;
    };

    struct avoided_reader
    {
        instance_id instance;
        time_point until;
        bool has_answered = false;
    };

    /// Answers pulls, or leaves them pending if their answers are large and the link has no room for them.
    std::vector<addressed_answer> answer_pending(std::vector<pending_pull> pulls, bool successful, time_point now);
    [[nodiscard]] bool link_has_room(time_point now) const noexcept
    {
        return link_busy_until_ - now <= settings_.max_queued_time;
    }
    /// Adds an answer to the load of this instance's link.
    /// @return the notice to send before it, if the link is busy
    std::optional<source_answer> notice_before(const source_answer& answer, const source_pull& pull, time_point now);
    /// Whether this instance reads the store, or waits for a reader that has said that it is alive.
    [[nodiscard]] bool progresses() const noexcept
    {
        return reading_ || (pull_in_progress_ && pull_in_progress_->progresses);
    }
    /// Whether the pull in progress went to a peer.
    [[nodiscard]] bool pulls_from(const source_peer& peer) const;
    void avoid(const instance_id& reader, bool has_answered, time_point now);
    /// The first reader that is not avoided; null if there is none.
    [[nodiscard]] const source_peer* first_usable(const std::vector<source_peer>& readers) const;
    [[nodiscard]] std::size_t silent_readers() const;

    store_watch& watch_;
    source_relay_settings settings_;
    std::optional<sent_pull> pull_in_progress_;
    std::uint64_t last_pull_number_;
    std::vector<avoided_reader> avoided_;
    bool skip_watch_wait_ = false;
    /// The last read of the store failed, and no reader of a higher rank has confirmed the copy since.
    bool source_unavailable_ = false;
    time_point next_direct_read_;
    /// A read of the store is in progress.
    bool reading_ = false;
    bool follows_lower_rank_ = false;
    std::vector<pending_pull> pending_pulls_;
    /// Time until which the link of this instance would be busy with answers if it had `min_link_rate`.
    time_point link_busy_until_;
};

} // namespace parsleyshift
