#pragma once

#include <parsleyshift/core/clock.hpp>       // duration, time_point
#include <parsleyshift/core/error.hpp>       // error, result
#include <parsleyshift/core/ids.hpp>         // fingerprint
#include <parsleyshift/core/timer_queue.hpp> // timer_queue
#include <parsleyshift/messages/request.hpp> // outcome

#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <map>           // map
#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map
#include <variant>       // variant

namespace parsleyshift
{

/// @brief Bounds on order keys.
struct order_settings
{
    /// Time after minting in which the order may be sent to an endpoint.
    duration send_window{30'000};
    /// Time after minting in which a request with the key is answered from memory.
    duration answer_window{600'000};
    /// Allowance for clocks that differ between instances, added to the settling time that callers are told.
    duration clock_skew{2'000};
    /// Orders held at once; one more is refused, none is forgotten early.
    std::size_t capacity = 100'000;
};

/// @brief Serial number of an order key within one incarnation of its home instance.
using order_serial = strong_number<struct order_serial_tag>;

/// @brief Times that belong to a minted key.
struct minted_order
{
    order_serial serial;
    time_point send_deadline;
    time_point expires;
};

/// @brief The final answer to an order.
struct order_result
{
    outcome what = outcome::unknown;
    /// JSON text of the endpoint, for completed.
    std::string answer;
    std::optional<error> why;

    friend bool operator==(const order_result&, const order_result&) = default;
};

/// The order is new: the caller of place() sends it now, exactly once.
struct order_must_be_sent
{
};

/// The order is being sent or runs; the answer follows.
struct order_in_progress
{
};

/// @brief What place() asks for: send, wait, the stored answer, or a rejection that changes nothing.
using order_decision = std::variant<order_must_be_sent, order_in_progress, order_result, error>;

/// @brief At-most-once table of the instance that minted the keys.
///
/// Guarantee: order_must_be_sent is returned at most once per key, unless release() has reported proof that the
/// endpoint did not start. It holds for any view of the membership: only the incarnation that is named in the signed
/// key owns the entry, and the table is never evicted before the key's expiry. A process that pauses keeps its table; a
/// process that restarts has another incarnation and refuses older keys.
class order_home
{
  public:
    explicit order_home(order_settings settings) : settings_(settings) {}

    /// @brief Times and serial for a new key. The signature proves that the key was minted here; what is remembered
    /// until the key is placed only tells how long a planned stop should wait. O(log n).
    minted_order mint(time_point now);

    /// @brief Decides what to do with a request under a verified key of this incarnation. O(log n).
    /// @param content hash of operation and payload; a key stands for one content
    /// @return the decision; error_kind::key_expired after the expiry, invalid_field for another content under the key,
    ///         queue_full when the table has reached its capacity
    order_decision place(const minted_order& key, fingerprint content, time_point now);

    /// @brief What is known of a key, without placing it. O(1).
    /// @return the result, or order_in_progress, or error_kind::not_found for a key that was never placed here
    [[nodiscard]] order_decision look_up(order_serial serial) const;

    /// @brief Proof that the endpoint did not start: the order may be sent once more. O(1).
    /// @return true while the send deadline has not passed; otherwise the order is finished as not_run
    bool release(order_serial serial, time_point now);

    /// @brief Records the final result of an order in progress; a later result changes nothing. O(1).
    void finish(order_serial serial, order_result result);

    /// @brief Finishes a key that was never sent as not_run, so that a resend that is still under way cannot run it.
    /// @return the result that stands, which differs when the key was placed before
    order_decision close_unsent(const minted_order& key, fingerprint content, error why, time_point now);

    /// @brief Forgets keys that have expired. O(log n) each.
    void expire(time_point now);

    /// @brief Time until which a key that was minted and not yet placed may still be placed; the epoch when there is
    /// none. O(1).
    [[nodiscard]] time_point placeable_until() const
    {
        return unplaced_.empty() ? time_point{} : unplaced_.rbegin()->second;
    }
    [[nodiscard]] std::size_t size() const noexcept
    {
        return entries_.size();
    }
    /// @brief Time after which no send of the key can happen, on any clock within the allowed skew.
    [[nodiscard]] time_point settled_after(time_point send_deadline) const noexcept
    {
        return send_deadline + settings_.clock_skew;
    }
    [[nodiscard]] const order_settings& settings() const noexcept
    {
        return settings_;
    }

  private:
    struct entry
    {
        fingerprint content;
        time_point send_deadline;
        std::optional<order_result> finished;
    };

    order_settings settings_;
    order_serial last_serial_;
    std::unordered_map<order_serial, entry> entries_;
    timer_queue<order_serial> expiries_;
    /// Send deadlines of keys that were minted and not placed; later serials have later deadlines.
    std::map<order_serial, time_point> unplaced_;
};

} // namespace parsleyshift
