#pragma once

#include "core_state.hpp"   // core_state
#include "pool_manager.hpp" // pool_manager

#include <cstdint>  // int64_t
#include <optional> // optional

namespace parsleyshift::detail
{

/// @brief One request's way to a permit of its pool: asks the pool's scheduler, falls back on the instance's own share
/// while no scheduler answers, renews the permit in use and returns it.
class permit_holder
{
  public:
    /// @param print the permit is used only where the quarantine lets this request run
    permit_holder(core_state& state, pool_manager& pools, work_description work, fingerprint print);

    /// @brief Asks for a permit. @return false when no endpoint of the service is known
    bool ask();
    /// @brief Handles a permit_wait or try_again timer; timers of an older step are ignored.
    /// @return a permit of the instance's own share, when no scheduler answers
    std::optional<permit_grant> timer(const core_timer& due);
    /// @brief Takes a grant. @return false when it cannot be used; it goes back, and another one is asked for
    bool take(const permit_grant& grant, bool from_scheduler);
    /// @brief Returns a grant that is not used, besides the permit in use.
    void decline(const permit_grant& grant);
    /// @brief Returns the permit in use and uses another one, of the same pool, from now on. @param tokens output
    void replace(const permit_grant& grant, std::int64_t tokens);
    /// @brief The scheduler has queued the request.
    void queued();
    /// @brief The scheduler has denied the request; nothing is waited for any more.
    void denied();
    /// @brief The pool's scheduler has moved to another instance.
    void scheduler_moved(std::int64_t tokens);
    /// @brief Tells the scheduler that the permit is in use.
    /// @param tokens output so far
    /// @param usual_gap usual time between two messages of the stream; 0 while it is not known
    void renew(std::int64_t tokens, duration usual_gap);
    /// @brief Returns the permit, or withdraws the request for one. @param tokens output
    void give_back(std::int64_t tokens, bool completed);

    [[nodiscard]] bool waiting() const noexcept
    {
        return waiting_;
    }
    [[nodiscard]] const std::optional<permit_grant>& permit() const noexcept
    {
        return permit_;
    }
    [[nodiscard]] const pool_id& pool() const noexcept
    {
        return pool_;
    }
    /// @brief Memory that the work is expected to take, in tokens.
    [[nodiscard]] std::int64_t expected_memory() const;

  private:
    void request();
    void add_timer(timer_kind what, duration wait);
    std::optional<permit_grant> choose_locally();

    core_state& state_;
    pool_manager& pools_;
    work_description work_;
    fingerprint print_;
    pool_id pool_;
    std::optional<permit_grant> permit_;
    /// Raised with each wait, so that timers of an older one are ignored.
    std::uint64_t step_ = 0;
    bool waiting_ = false;
    bool scheduler_answered_ = false;
};

} // namespace parsleyshift::detail
