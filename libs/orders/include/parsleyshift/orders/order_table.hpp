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

/// @brief Time and memory bounds of order keys.
struct order_settings
{
    /// Time after minting in which the order may be sent to an endpoint.
    duration send_window{30'000};
    /// Time after minting in which the key is valid and its result is kept.
    duration key_lifetime{600'000};
    /// Greatest allowed difference between the clocks of instances; added to the send deadline in answers to callers.
    duration max_clock_skew{2'000};
    /// Maximum number of orders in the table; further ones are refused, and none is removed before its key expires.
    /// Also limits the records of unplaced keys.
    std::size_t max_orders = 100'000;
};

/// @brief Serial number of an order key within one incarnation of the instance that minted it.
using order_serial = strong_number<struct order_serial_tag>;

/// @brief Serial number and deadlines of a minted key.
struct minted_key
{
    order_serial serial;
    time_point send_deadline;
    time_point expires;
};

/// @brief The final answer to an order.
struct order_result
{
    outcome what = outcome::unknown;
    /// JSON text from the endpoint when the outcome is `completed`; otherwise empty.
    std::string answer;
    std::optional<error> why;

    friend bool operator==(const order_result&, const order_result&) = default;
};

/// The order is new: the caller of place() must send it now, once.
struct order_must_be_sent
{
};

/// order_must_be_sent was returned for the order, and it has no result yet.
struct order_in_progress
{
};

/// @brief Decision on an order: send it, wait, return the stored result, or return an error without adding an entry.
using order_decision = std::variant<order_must_be_sent, order_in_progress, order_result, error>;

/// @brief Table of orders by key that gives at-most-once execution, at the instance that minted the keys.
///
/// Guarantee: order_must_be_sent is returned at most once per key; a further send needs a call of release() with proof
/// that the endpoint did not start. It holds for any membership view: only the incarnation named in the signed key owns
/// the entry, and an entry is never evicted before its key expires. A process that pauses keeps its table; a process
/// that restarts has another incarnation and refuses older keys.
class order_table
{
  public:
    explicit order_table(order_settings settings) : settings_(settings) {}

    /// @brief Makes the serial number and deadlines of a new key. O(log n).
    ///
    /// The signature proves that a key was minted here, so placing needs no record of it. Only placeable_until() uses
    /// the record kept here; beyond `max_orders` unplaced keys the oldest record is dropped.
    minted_key mint(time_point now);

    /// @brief Decides on a request whose key is verified and from this incarnation, and adds an entry for a new key.
    /// O(log n).
    /// @param content hash of the request, such as of its operation and payload; a key is bound to the first one
    /// placed
    /// @return the decision; not_run as the result when a new key is placed after its send deadline; the error
    ///         key_expired after the expiry, invalid_field when the key is bound to another content, queue_full when
    ///         the table holds `max_orders` orders
    order_decision place(const minted_key& key, fingerprint content, time_point now);

    /// @brief State of a key, without placing it. O(1).
    /// @return the result, order_in_progress, or the error not_found for a key that has no entry
    [[nodiscard]] order_decision look_up(order_serial serial) const;

    /// @brief Allows one more send of an order in progress, on proof that the endpoint did not start it. O(1).
    /// @return true when the order may be sent again; after the send deadline false, and the order is finished as
    ///         not_run; false when no order in progress has the serial
    bool allow_resend(order_serial serial, time_point now);

    /// @brief Stores the result of an order in progress; the first result is final. O(1).
    void finish(order_serial serial, order_result result);

    /// @brief Finishes an unplaced key as not_run, so that a resend still in flight cannot run the order. O(log n).
    /// @param why the error of the result
    /// @return the not_run result, or the decision of place() when that is not order_must_be_sent
    order_decision close_unsent(const minted_key& key, fingerprint content, error why, time_point now);

    /// @brief Removes the entries of expired keys and the records of unplaced keys past their send deadline. O(log n)
    /// each.
    void expire(time_point now);

    /// @brief Latest send deadline of the keys that were minted and not placed; the epoch when there is none. A planned
    /// stop waits until then for their orders. O(1).
    [[nodiscard]] time_point placeable_until() const
    {
        return unplaced_send_deadlines_.empty() ? time_point{} : unplaced_send_deadlines_.rbegin()->second;
    }
    /// @brief Number of orders in the table.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return entries_.size();
    }
    /// @brief Time after which the order of a key with this send deadline is no longer sent, on any clock that differs
    /// by at most max_clock_skew; the settled_after of answers to callers.
    [[nodiscard]] time_point settled_after(time_point send_deadline) const noexcept
    {
        return send_deadline + settings_.max_clock_skew;
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
        std::optional<order_result> final_result;
    };

    order_settings settings_;
    order_serial last_serial_;
    std::unordered_map<order_serial, entry> entries_;
    timer_queue<order_serial> expiries_;
    /// By serial; later serials have later deadlines.
    std::map<order_serial, time_point> unplaced_send_deadlines_;
};

} // namespace parsleyshift
