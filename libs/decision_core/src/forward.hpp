#pragma once

#include "core_state.hpp"    // core_state
#include "permit_holder.hpp" // permit_holder
#include "pool_manager.hpp"  // pool_manager

#include <parsleyshift/messages/forward.hpp>        // forward_request
#include <parsleyshift/streams/outcome_tracker.hpp> // outcome_tracker

#include <memory>   // unique_ptr
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace parsleyshift::detail
{

/// @brief What a forwarded request was admitted with: the route and customer that the configuration in force gave it.
struct admission
{
    route where;
    service_id service;
    /// Empty for a request without a customer.
    customer_id customer;
    int priority = 0;
    class_id work_class;
    /// Set for services of engines.
    std::optional<engine_capacity> engine;
    /// Nothing is sent to an endpoint later than this: the customer's key may have been removed since.
    time_point key_valid_until = never;
    /// Version and age of the configuration, for the log.
    std::int64_t version = 0;
    duration configuration_age{};
};

/// @brief A run on its way to another engine.
struct run_move
{
    permit_grant to;
    std::string source;
    std::string destination;
    /// The run has been asked to stop; its stream ends without an end mark.
    bool stopping = false;
    bool stopped = false;
    bool stream_ended = false;
    /// The engine where the run was goes on with it, since the other one does not hold all of it.
    bool in_place = false;
    std::string handle;
    std::int64_t events = 0;
};

/// @brief One forwarded request, from admission to its end.
class forward
{
  public:
    forward(core_state& state, pool_manager& pools, const forward_request& asked, admission admitted);

    void begin();
    void permitted(const permit_grant& grant, bool from_scheduler);
    void denied(const error& why);
    void queued();
    void answered(const forward_answered& answer);
    void progressed(std::int64_t events);
    void completed(std::int64_t events);
    void copied(const run_copied& copy);
    void attempt_failed(attempt_failure failure, const std::string& message);
    void timer(const core_timer& due);
    void caller_gone();
    void scheduler_moved();

    [[nodiscard]] bool finished() const noexcept
    {
        return finished_;
    }
    /// @brief Extends the time for which the key counts as valid.
    void confirm_key(time_point valid_until);
    [[nodiscard]] const std::string& key() const noexcept
    {
        return asked_.key;
    }

  private:
    [[nodiscard]] bool can_move_to(const permit_grant& grant) const;
    void begin_move(const permit_grant& grant);
    void end_move();
    void go_on_if_stopped();
    void go_on();
    void send_attempt(std::optional<run_continuation> continuation);

    [[nodiscard]] bool is_stream() const noexcept
    {
        return admitted_.where.kind == route_kind::stream;
    }
    void note_gap(duration gap);
    [[nodiscard]] duration usual_gap() const;
    [[nodiscard]] duration abandon_time() const;
    [[nodiscard]] std::int64_t tokens() const;
    [[nodiscard]] work_description describe_work() const;
    void find_endpoint();
    void start_attempt(const endpoint_id& endpoint);
    void end_attempt(run_end how, bool completed);
    void try_again(attempt_failure failure);
    void check_silence();
    void give_up(error why);
    void succeed();
    void finish(outcome what, const std::optional<error>& why);
    void add_timer(timer_kind what, duration wait, std::uint64_t step);
    void log_end(outcome what, const std::optional<error>& why);

    core_state& state_;
    pool_manager& pools_;
    forward_request asked_;
    admission admitted_;
    fingerprint print_;
    outcome_tracker tracker_;
    /// Set for services of engines.
    std::unique_ptr<permit_holder> permit_;
    std::vector<endpoint_id> tried_;
    /// The attempt in progress; number 0 when there is none.
    attempt_id attempt_;
    endpoint_id endpoint_;
    /// Of the endpoint, which may have left the list.
    std::string address_;
    std::optional<run_move> move_;
    int moves_ = 0;
    std::int64_t memory_ = 0;
    int attempts_ = 0;
    /// Attempts that are not proven not to have run.
    int runs_ = 0;
    std::uint64_t step_ = 0;
    std::int64_t events_ = 0;
    bool delivered_ = false;
    bool finished_ = false;
    time_point arrived_;
    time_point deadline_;
    time_point attempt_began_;
    time_point last_progress_;
    /// Milliseconds between two events when the engine does nothing else, and the gaps that it was learned from.
    double usual_gap_ = 0.0;
    int gaps_seen_ = 0;
    time_point last_event_;
    duration longest_gap_{};
    duration first_answer_{};
};

} // namespace parsleyshift::detail
