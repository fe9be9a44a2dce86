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

/// @brief One generation in progress, from admission to its end. Each event is passed to the generation_machine, which
/// calls back the guards and actions of this class.
class generation
{
  public:
    /// @brief Makes a new generation.
    /// @param charge estimated tokens, already debited from the customer's limit and settled at the end
    /// @param content_fingerprint identifies the request in the quarantine
    generation(core_state& state, pool_manager& pools, generation_request request, work_description work,
               limit_charge charge, fingerprint content_fingerprint);
    /// @brief Makes a generation that continues, at an offset, one that an instance began earlier.
    generation(core_state& state, pool_manager& pools, const resume_request& resume, const continuation_token& token);

    generation(const generation&) = delete;
    generation& operator=(const generation&) = delete;
    generation(generation&&) = delete;
    generation& operator=(generation&&) = delete;
    ~generation();

    // Events. The owner removes the generation once finished() is true.

    /// @brief Requests a permit, or resumes the stream from its engine. Called once, before all other events.
    void begin();
    /// @brief A permit was granted.
    /// @param from_scheduler false for a local choice without the pool's scheduler
    void on_permit_granted(const permit_grant& grant, bool from_scheduler);
    /// @brief The pool scheduler denied the permit.
    void on_permit_denied(const error& cause);
    /// @brief The pool scheduler has queued the permit request.
    void on_permit_queued();
    /// @brief The engine confirmed that it runs the attempt.
    void on_started();
    /// @brief Tokens arrived from the engine. Duplicates are dropped; a gap is treated as a broken link.
    /// @param offset position of the first token in the output
    /// @param batch the tokens; moved from
    void on_tokens(std::int64_t offset, token_list& batch);
    /// @brief The engine ended the stream.
    /// @param count output tokens by the engine's count
    void on_ended(std::int64_t count);
    /// @brief The attempt failed; it is resumed, restarted or given up.
    void on_attempt_failed(attempt_failure failure);
    /// @brief Handles a timer of this generation.
    void on_timer(const core_timer& due);
    /// @brief Cancels the generation at its engine and ends it.
    void cancel();
    /// @brief The caller disconnected. A stream that has delivered tokens waits for resume_grace to be resumed; any
    /// other generation is cancelled.
    void on_caller_disconnected();
    /// @brief The caller has resumed the stream on another connection: ends here without cancelling the attempt at the
    /// engine.
    void on_taken_over();
    /// @brief Pauses or resumes reading from the engine, for backpressure.
    void set_reading_enabled(bool enabled);
    /// @brief Ends a stream that has delivered tokens, so that its caller resumes it at another instance; does nothing
    /// otherwise.
    void hand_over();
    /// @brief The pool's scheduler has moved to another instance.
    void on_scheduler_changed();

    /// @brief True once the generation has ended and all its actions are emitted.
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

    // Guards and actions of the state machine; see generation_flow.

    /// @brief Whether another attempt can follow one that failed before its first token.
    bool may_retry(attempt_failure failure);
    /// @brief Whether the attempt can be resumed at its engine.
    bool may_resume(attempt_failure failure);
    /// @brief Whether another attempt can follow one that failed after its first token.
    bool may_restart(attempt_failure failure);
    /// @brief Whether all `count` tokens of the output have arrived.
    bool is_complete(std::int64_t count);
    /// @brief Sends an attempt to the endpoint of a permit, or resumes an earlier one.
    void start_attempt(const permit_grant& grant);
    /// @brief Ends the failed attempt and schedules another one after the backoff.
    void schedule_retry(attempt_failure failure);
    /// @brief Emits tokens to the caller, or buffers them if the answer is delivered whole.
    void deliver(token_list& batch);
    void complete();
    void schedule_resume();
    void send_resume();
    void reject(const error& cause);
    /// @brief Rejects a generation whose timeout has passed.
    void finish_timed_out();
    void fail(attempt_failure failure);
    /// @brief Ends a generation whose engine reported more or fewer tokens than arrived.
    void fail_incomplete(std::int64_t count);
    /// @brief Ends a cancelled generation.
    void finish_cancelled();

  private:
    struct machine;

    [[nodiscard]] bool streams() const noexcept
    {
        return request_.delivery_mode == delivery::stream;
    }
    void request_permit();
    void add_timer(timer_kind kind, duration wait, std::uint64_t step);
    void record_progress(std::size_t count);
    void emit_stream_started();
    void renew_permit();
    void check_silence();
    /// Reports the death of the engine's process when a resume shows it.
    void detect_engine_death(attempt_failure failure);
    void return_permit(bool completed);
    void end_attempt(run_end end);
    void cancel_at_engine();
    void finish(outcome result, std::optional<error> cause);
    void reject_and_finish(outcome result, error cause);
    /// @return a signed continuation token; empty when it cannot be encoded
    [[nodiscard]] std::string continuation() const;

    core_state& state_;
    pool_manager& pools_;
    generation_request request_;
    work_description work_;
    limit_charge charge_;
    fingerprint content_fingerprint_;
    /// Identifies the generation over all instances; sent to the caller.
    std::string name_;
    /// Held by pointer because generation_machine requires this class to be complete.
    std::unique_ptr<machine> machine_;
    outcome_tracker tracker_;
    token_cursor cursor_;
    retry_decision decision_;

    /// Null for a generation that continues an earlier one.
    std::unique_ptr<permit_holder> permit_;
    bool permit_from_scheduler_ = false;
    /// Incremented with each backoff before another attempt or a resume, so that timers of an earlier one are ignored.
    std::uint64_t step_ = 0;

    attempt_id attempt_;
    endpoint_id endpoint_;
    std::string address_;
    int attempts_ = 0;
    /// Resumes from the engine since the engine last showed that it holds the attempt.
    int engine_resumes_ = 0;
    bool engine_resume_scheduled_ = false;
    /// Expected KV cache of the attempt at its endpoint, in tokens.
    std::int64_t memory_ = 0;

    /// Tokens of an answer that is delivered whole, until it is complete.
    token_list buffered_tokens_;
    /// Number of output tokens of a stream given to the caller, including those that arrived while it was disconnected.
    std::int64_t delivered_ = 0;
    bool start_emitted_ = false;
    /// Continues an earlier generation; such a generation cannot start another attempt.
    bool continues_earlier_ = false;
    /// The caller has disconnected; nothing more is emitted to it.
    bool detached_ = false;
    bool taken_over_ = false;
    bool finished_ = false;
    time_point arrived_;
    time_point attempt_began_;
    time_point last_progress_;
    time_point deadline_;
};

} // namespace parsleyshift::detail
