#pragma once

#include "core_state.hpp"    // core_state
#include "permit_holder.hpp" // permit_holder
#include "pool_manager.hpp"  // pool_manager

#include <parsleyshift/streams/outcome_tracker.hpp> // outcome_tracker
#include <parsleyshift/streams/token_cursor.hpp>    // token_cursor

#include <memory>   // unique_ptr
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace parsleyshift::detail
{

/// @brief One generation, from admission to its end; its steps are called by its generation_machine.
class generation
{
  public:
    /// @brief A new generation.
    generation(core_state& state, pool_manager& pools, generation_request asked, work_description work,
               limit_charge charge, fingerprint print);
    /// @brief A generation that another instance, or this one before, has begun, continued at an offset.
    generation(core_state& state, pool_manager& pools, const resume_request& resume, const continuation_token& token);

    generation(const generation&) = delete;
    generation& operator=(const generation&) = delete;
    generation(generation&&) = delete;
    generation& operator=(generation&&) = delete;
    ~generation();

    // Events.
    void begin();
    void permitted(const permit_grant& grant, bool from_scheduler);
    void denied(const error& why);
    void queued();
    void started();
    void tokens_arrived(std::int64_t offset, token_list& batch);
    void ended(std::int64_t count);
    void attempt_lost(attempt_failure failure);
    void timer(const core_timer& due);
    void cancel();
    void caller_gone();
    /// @brief The caller has resumed the stream elsewhere: lets go of the attempt without cancelling it.
    void taken_over();
    void caller_reading(bool enabled);
    void hand_over();
    /// @brief The pool's scheduler has moved to another instance.
    void scheduler_moved();

    [[nodiscard]] bool finished() const noexcept
    {
        return finished_;
    }
    [[nodiscard]] attempt_id attempt() const noexcept
    {
        return attempt_;
    }
    [[nodiscard]] const endpoint_id& endpoint() const noexcept
    {
        return endpoint_;
    }

    // Guards and steps of the state machine.
    bool may_try_again(attempt_failure failure);
    bool may_resume(attempt_failure failure);
    bool may_restart(attempt_failure failure);
    bool is_complete(std::int64_t count);
    void start_attempt(const permit_grant& grant);
    void ask_again(attempt_failure failure);
    void deliver(token_list& batch);
    void complete();
    void schedule_resume();
    void send_resume();
    void reject(const error& why);
    void reject_late();
    void fail(attempt_failure failure);
    void fail_incomplete(std::int64_t count);
    void abandon();

  private:
    struct machine;

    [[nodiscard]] bool streams() const noexcept
    {
        return asked_.how == delivery::stream;
    }
    void ask_for_permit();
    void add_timer(timer_kind what, duration wait, std::uint64_t step);
    void note_progress(std::size_t count);
    void announce_start();
    void renew_permit();
    void check_silence();
    void note_death(attempt_failure failure);
    void return_permit(bool completed);
    void end_attempt(run_end how);
    void cancel_at_engine();
    void finish(outcome what, std::optional<error> why);
    void give_up(outcome what, error why);
    [[nodiscard]] std::string continuation() const;

    core_state& state_;
    pool_manager& pools_;
    generation_request asked_;
    work_description work_;
    limit_charge charge_;
    fingerprint print_;
    std::string name_;
    /// Behind a pointer, since the machine's type can only be formed once this class is complete.
    std::unique_ptr<machine> machine_;
    outcome_tracker tracker_;
    token_cursor cursor_;
    retry_decision decision_;

    /// Empty for a generation that began elsewhere.
    std::unique_ptr<permit_holder> permit_;
    bool permit_from_scheduler_ = false;
    /// Raised with each wait for another attempt or resumption, so that timers of an older wait are ignored.
    std::uint64_t step_ = 0;

    attempt_id attempt_;
    endpoint_id endpoint_;
    std::string address_;
    int attempts_ = 0;
    int resumes_ = 0;
    bool resume_scheduled_ = false;
    std::int64_t memory_ = 0;

    /// Tokens of an answer delivered whole, held until it is complete.
    token_list held_;
    /// Tokens that the caller has received.
    std::int64_t delivered_ = 0;
    bool announced_ = false;
    bool resumed_ = false;
    bool detached_ = false;
    bool taken_over_ = false;
    bool finished_ = false;
    time_point arrived_;
    time_point attempt_began_;
    time_point last_progress_;
    time_point deadline_;
};

} // namespace parsleyshift::detail
