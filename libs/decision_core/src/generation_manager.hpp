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

    void handle(const generation_request& asked);
    void handle(const resume_request& asked);
    void handle(const cancel_request& asked);

    void handle(const permit_grant& grant, const instance_id& from);
    void handle(const permit_denial& denial);
    void handle(const permit_queued& queued);
    void handle(const stream_takeover& takeover);

    /// @brief Calls `what` on a generation, if it is in progress, and removes it when it has finished.
    template <class Step>
    void with(request_id request, Step&& what)
    {
        const auto found = active_.find(request);
        if (found == active_.end())
        {
            return;
        }
        what(*found->second);
        if (found->second->finished())
        {
            active_.erase(found);
        }
    }
    void caller_gone(request_id request);
    void timer(const core_timer& due);
    void scheduler_moved();
    void hand_over();
    [[nodiscard]] std::size_t active() const noexcept
    {
        return active_.size();
    }

  private:
    result<work_description> describe(const generation_request& asked, const service_record& service) const;
    void admit(const generation_request& asked, work_description work, fingerprint print);
    void begin(request_id request, std::unique_ptr<generation> added);
    void tell_former_owner(const continuation_token& token);
    void release(attempt_id attempt);
    void ask_for_budget(const customer_id& customer, std::int64_t estimate);

    core_state& state_;
    pool_manager& pools_;
    std::unordered_map<request_id, std::unique_ptr<generation>> active_;
    std::unordered_map<request_id, continuation_token> takeovers_;
};

} // namespace parsleyshift::detail
