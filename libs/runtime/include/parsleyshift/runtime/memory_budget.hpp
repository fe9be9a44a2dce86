#pragma once

#include <parsleyshift/core/clock.hpp> // duration, time_point

#include <array>         // array
#include <compare>       // operator<=>
#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <deque>         // deque
#include <functional>    // function
#include <map>           // map
#include <optional>      // optional
#include <unordered_map> // unordered_map

namespace parsleyshift
{

class memory_budget;

/// @brief What the bytes of a share are used for.
enum class memory_use
{
    /// The body of a request, from its receipt to the end of the request.
    request_body,
    /// A response that is buffered, or output that its caller has not read.
    response,
};

/// @brief Identifies the customer of a request by a hash of the key that it presents.
using customer_hash = std::uint64_t;

/// @brief Bytes that a request needs.
struct memory_request
{
    memory_use use = memory_use::request_body;
    customer_hash customer = 0;
    std::size_t bytes = 0;
};

/// @brief Bytes of a budget, which are released when the object is destroyed.
class memory_share
{
  public:
    memory_share() = default;
    ~memory_share();
    memory_share(const memory_share&) = delete;
    memory_share& operator=(const memory_share&) = delete;
    memory_share(memory_share&& other) noexcept;
    memory_share& operator=(memory_share&& other) noexcept;

    /// @brief Changes the number of bytes. Always succeeds: a larger size is for bytes that have arrived already.
    void resize(std::size_t bytes);
    /// @brief Returns all bytes to the budget.
    void release();
    [[nodiscard]] std::size_t bytes() const noexcept
    {
        return request_.bytes;
    }

  private:
    friend class memory_budget;
    memory_share(memory_budget& budget, const memory_request& request);

    memory_budget* budget_ = nullptr;
    memory_request request_;
    /// Decided by the size at first, so that what was counted as small is released as small.
    bool is_small_ = false;
};

/// @brief Limits the memory of request bodies, buffered responses and unsent output of a process together.
///
/// Large bodies take at most half of the budget, so that responses find room and the requests that hold bodies end. An
/// eighth of the budget is kept for small requests. Of what large requests may use, a customer may hold as much as it
/// leaves free: one alone gets about half, each of two a third, and a customer that comes later finds room. Small
/// requests have the same rule with counts of their own. What does not fit waits; the customer that holds the least is
/// served first, and its requests in the order of their arrival.
///
/// Single-threaded, without a clock. Operations take constant time, those with waiting requests linear time in the
/// number of customers that wait.
class memory_budget
{
  public:
    using waiter_id = std::uint64_t;
    /// Called once with a share, or with nothing when the request has waited for its time.
    using waiter_callback = std::function<void(std::optional<memory_share>)>;

    /// Largest size that counts as small.
    static constexpr std::size_t small_bytes = std::size_t{64} * 1024;
    /// Unsent output below this size is not worth counting.
    static constexpr std::size_t min_counted_output_bytes = std::size_t{4} * 1024;
    /// Longest time for which a body waits. Callers' time limits are a few seconds, and a rejection still leaves them
    /// time for another instance.
    static constexpr duration max_body_wait{1'000};
    /// Requests that may wait at once.
    static constexpr std::size_t max_waiting_bodies = 64;

    /// @param bytes size of the budget
    explicit memory_budget(std::size_t bytes);

    /// @brief Takes a share now, unless there is no room or a request that came before waits for it.
    [[nodiscard]] std::optional<memory_share> take(const memory_request& request);
    /// @brief Takes a share for bytes that have arrived already, even above the budget.
    [[nodiscard]] memory_share charge(const memory_request& request);
    /// @brief Waits for a share, which serve() passes on. take() must have returned nothing.
    /// @param until time at which the request gives up
    waiter_id wait(const memory_request& request, time_point until, waiter_callback done);
    /// @brief Removes a waiting request; its callback is not called. Ignored when it does not wait.
    void cancel(waiter_id waiter);
    /// @brief Grants shares to the waiting requests that fit, and ends the wait of those whose time is over.
    void serve(time_point now);
    /// @brief Sets a function that is called when bytes are released while requests wait. It must call serve() later,
    /// and not from within.
    void set_on_released(std::function<void()> on_released);

    /// @brief True when a request fits into the empty budget.
    [[nodiscard]] bool can_hold(memory_use use, std::size_t bytes) const noexcept;
    /// @brief True when a further body may wait.
    [[nodiscard]] bool may_wait() const noexcept
    {
        return waiting_bodies_ < max_waiting_bodies;
    }
    /// @brief Time after which a rejected caller should try again. Successive ones are spread over several seconds, at
    /// the rate at which the part for bodies is renewed when each is held for a second.
    [[nodiscard]] duration retry_after(std::size_t bytes, time_point now);
    /// @brief Unsent bytes of one stream at which it pauses: at most `wanted`, and less while little is left, so that
    /// all streams together stay within the budget.
    [[nodiscard]] std::size_t stream_backlog_bytes(std::size_t wanted) const noexcept;
    /// @brief Limit of the sum of incomplete responses and events for which no share could be taken before.
    [[nodiscard]] std::size_t max_unannounced_bytes() const noexcept
    {
        return bytes_ / 4;
    }

    [[nodiscard]] std::size_t used() const noexcept
    {
        return used_[0] + used_[1];
    }
    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return lane_of_.size();
    }

  private:
    friend class memory_share;

    /// Requests of a customer that wait for the same part of the budget.
    struct lane
    {
        memory_use use;
        bool is_small;
        customer_hash customer;
        auto operator<=>(const lane&) const = default;
    };
    struct waiter
    {
        waiter_id id;
        std::size_t bytes;
        time_point until;
        waiter_callback done;
    };
    /// Bytes that a customer holds, by use and size.
    struct holding
    {
        std::array<std::array<std::size_t, 2>, 2> bytes{};
    };

    void add(const memory_request& request, bool is_small);
    void subtract(const memory_request& request, bool is_small);
    [[nodiscard]] std::size_t limit(memory_use use, bool is_small) const noexcept;
    [[nodiscard]] std::size_t free_bytes(memory_use use, bool is_small) const noexcept;
    [[nodiscard]] std::size_t held(const lane& where) const;
    [[nodiscard]] bool is_within_share(const lane& where, std::size_t bytes) const;
    [[nodiscard]] bool fits(const lane& where, std::size_t bytes) const noexcept;
    /// Returns the lane whose first request is next, or nothing when none may be served.
    [[nodiscard]] std::optional<lane> next_lane() const;
    void expire(time_point now);
    waiter pop(const lane& where);

    std::size_t bytes_;
    std::array<std::size_t, 2> used_{};
    std::unordered_map<customer_hash, holding> holdings_;
    std::map<lane, std::deque<waiter>> lanes_;
    std::unordered_map<waiter_id, lane> lane_of_;
    std::size_t waiting_bodies_ = 0;
    waiter_id last_waiter_ = 0;
    time_point last_retry_ = time_point::min();
    std::function<void()> on_released_;
};

} // namespace parsleyshift
