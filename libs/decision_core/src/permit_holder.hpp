#pragma once

#include "core_state.hpp"   // core_state
#include "pool_manager.hpp" // pool_manager

#include <cstdint>  // int64_t
#include <optional> // optional

namespace parsleyshift::detail
{

/// @brief What an instance has measured of a stream, for the scheduler's estimate of the engine; 0 when unknown.
struct stream_timing
{
    /// Estimated time between two messages of the stream while the engine processes no prompt.
    duration usual_gap{};
    /// Longest time between two messages since the last registration.
    duration longest_gap{};
    /// Time from the sending of the request to its first message.
    duration first_event_latency{};
};

/// @brief Obtains, renews and returns the permit of one request: requests it from the pool's scheduler and falls back
/// to this instance's local share while no scheduler answers.
class permit_holder
{
  public:
    /// @param work_fingerprint identifies the request to the quarantine, which may exclude it from endpoints
    permit_holder(core_state& state, pool_manager& pools, work_description work, fingerprint work_fingerprint);

    /// @brief Requests a permit. @return false when the service has no known endpoint
    bool request_permit();
    /// @brief Requests a permit for an endpoint of a pool.
    /// @param start_by time by which the work must have started
    void request_permit_of(const pool_id& pool, time_point start_by);
    /// @brief Sets the regions of the work. A request that waits must be released and made again by the caller; a
    /// permit in use is registered with the new regions at its next renewal.
    void set_regions(const region_set& regions)
    {
        work_.regions = regions;
    }
    /// @brief True if a permit_reply_due or retry_due timer belongs to the current wait. Each request for a permit and
    /// each release() begin a new one.
    [[nodiscard]] bool is_current(const core_timer& due) const
    {
        return due.step == step_ && !permit_;
    }
    /// @brief True if the timer is due and the scheduler has neither queued nor decided the latest request.
    [[nodiscard]] bool is_unanswered(const core_timer& due) const;
    /// @brief Handles a permit_reply_due or retry_due timer, if it is current.
    /// @return a permit from this instance's local share (see pool_manager) when no scheduler has answered, to be
    /// passed to accept()
    std::optional<permit_grant> on_timer(const core_timer& due);
    /// @brief Whether a permit is for an endpoint of the pool that was asked, or for an unknown one. A permit for
    /// another pool answers another request.
    [[nodiscard]] bool is_for_pool(const permit_grant& grant) const;
    /// @brief Puts a granted permit in use.
    /// @return false when it cannot be used: it is returned to the scheduler of its pool, and unless it is for another
    /// pool, another one is requested after a delay if the request still waits
    bool accept(const permit_grant& grant, bool from_scheduler);
    /// @brief Returns a granted permit that is not used; the permit in use stays.
    void decline(const permit_grant& grant);
    /// @brief Returns the permit in use and replaces it by another one of the same pool.
    /// @param tokens output so far
    void replace(const permit_grant& grant, std::int64_t tokens);
    /// @brief The scheduler has queued the permit request.
    void on_permit_queued();
    /// @brief The scheduler has denied the permit request; ends the wait.
    void on_permit_denied();
    /// @brief The pool's scheduler may have moved to another instance: requests or registers the permit there.
    /// @param tokens output so far
    void on_scheduler_changed(std::int64_t tokens, const stream_timing& timing);
    /// @brief Renews the permit in use by registering it again with the pool's scheduler; does nothing without a
    /// permit.
    /// @param tokens output so far
    void renew(std::int64_t tokens, const stream_timing& timing);
    /// @brief Returns the permit, or withdraws the request for one, also one that would have been made after a delay.
    /// @param tokens output so far
    /// @param completed the output ended regularly, so that the scheduler may record its length
    void release(std::int64_t tokens, bool completed);

    /// @brief True while a permit is requested and neither granted nor denied.
    [[nodiscard]] bool waiting() const noexcept
    {
        return waiting_;
    }
    /// @brief The permit in use, if any.
    [[nodiscard]] const std::optional<permit_grant>& permit() const noexcept
    {
        return permit_;
    }
    /// @brief Pool of the permit; set by request_permit().
    [[nodiscard]] const pool_id& pool() const noexcept
    {
        return pool_;
    }
    /// @brief Expected size of the KV cache of the work, in tokens.
    [[nodiscard]] std::int64_t expected_memory() const;

  private:
    void send_request();
    void add_timer(timer_kind kind, duration wait);
    std::optional<permit_grant> choose_locally();

    core_state& state_;
    pool_manager& pools_;
    work_description work_;
    fingerprint fingerprint_;
    pool_id pool_;
    std::optional<permit_grant> permit_;
    /// Number of the current wait; timers of earlier waits are ignored.
    std::uint64_t step_ = 0;
    bool waiting_ = false;
    /// The scheduler has queued the request since it was last sent.
    bool queued_at_scheduler_ = false;
    /// The scheduler has granted an endpoint in an evacuated zone, so that its view is outdated: further permit
    /// requests list the ineligible endpoints.
    bool scheduler_lags_ = false;
};

} // namespace parsleyshift::detail
