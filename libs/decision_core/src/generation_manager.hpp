#pragma once

#include "core_state.hpp"   // core_state
#include "generation.hpp"   // generation
#include "pool_manager.hpp" // pool_manager

#include <memory>        // unique_ptr
#include <unordered_map> // unordered_map

namespace parsleyshift::detail
{

/// @brief The generations in progress at this instance.
class generation_manager
{
  public:
    generation_manager(core_state& state, pool_manager& pools) : state_(state), pools_(pools) {}

    /// @brief Starts a generation, or rejects it when it is invalid, quarantined, over capacity or over its limit.
    void handle(const generation_request& request);
    /// @brief Resumes a stream at an offset and notifies the instance that served it before.
    void handle(const resume_request& request);
    /// @brief Cancels the generation of a continuation token, which runs here or was started by another instance.
    void handle(const cancel_request& request);

    /// @brief Passes a grant to its generation, or returns it to the scheduler at `from` when the generation has ended.
    void handle(const permit_grant& grant, const instance_id& from);
    void handle(const permit_denial& denial);
    void handle(const permit_queued& queued);
    /// @brief Ends a stream here that its caller has resumed at another instance.
    void handle(const stream_takeover& takeover);

    /// @brief Calls `function` on a generation if it is in progress, and removes it if it has finished.
    template <class Function>
    void with(request_id request, Function&& function)
    {
        const auto found = active_.find(request);
        if (found == active_.end())
        {
            return;
        }
        function(*found->second);
        if (found->second->finished())
        {
            active_.erase(found);
        }
    }
    void on_caller_disconnected(request_id request);
    /// @brief Handles a timer of a generation; unknown requests are ignored.
    void on_timer(const core_timer& due);
    /// @brief Notifies all generations that schedulers may have moved to other instances.
    void on_scheduler_changed();
    /// @brief Ends all streams that have delivered tokens, so that their callers resume them at other instances.
    void hand_over();
    /// @brief Generations in progress.
    [[nodiscard]] std::size_t active() const noexcept
    {
        return active_.size();
    }

  private:
    /// @return the work, or unknown_name for a class or model that does not exist
    result<work_description> describe(const generation_request& request, const service_record& service) const;
    void admit(const generation_request& request, work_description work, fingerprint content_fingerprint);
    void begin(request_id request, std::unique_ptr<generation> added);
    void notify_previous_owner(const continuation_token& token);
    /// Ends the generation here that owns an attempt, without cancelling the attempt.
    void release(attempt_id attempt);
    /// Requests a loan of tokens from the other instances of the customer's shard.
    void request_budget_loan(const customer_id& customer, std::int64_t estimate);

    core_state& state_;
    pool_manager& pools_;
    std::unordered_map<request_id, std::unique_ptr<generation>> active_;
    /// Tokens of the streams that were resumed here, whose previous owner is notified repeatedly.
    std::unordered_map<request_id, continuation_token> takeovers_;
};

} // namespace parsleyshift::detail
