#pragma once

#include "record_view.hpp" // record_view, parsing_acceptor

#include <parsleyshift/configuration/configuration_store.hpp> // configuration_store
#include <parsleyshift/core/random_source.hpp>                // random_source
#include <parsleyshift/core/timer_queue.hpp>                  // timer_queue
#include <parsleyshift/decision_core/core_settings.hpp>       // core_settings
#include <parsleyshift/entry/entry_selector.hpp>              // entry_selector
#include <parsleyshift/entry/token_codec.hpp>                 // token_codec
#include <parsleyshift/limits/customer_limits.hpp>            // customer_limits
#include <parsleyshift/membership/membership.hpp>             // membership
#include <parsleyshift/messages/action.hpp>                   // action
#include <parsleyshift/quarantine/crash_quarantine.hpp>       // crash_quarantine
#include <parsleyshift/routing/endpoint_candidates.hpp>       // endpoint_candidates
#include <parsleyshift/routing/endpoint_directory.hpp>        // endpoint_directory
#include <parsleyshift/routing/endpoint_health.hpp>           // endpoint_health
#include <parsleyshift/routing/endpoint_scores.hpp>           // endpoint_chooser
#include <parsleyshift/routing/in_flight_ledger.hpp>          // in_flight_ledger
#include <parsleyshift/routing/peer_health.hpp>               // peer_health
#include <parsleyshift/routing/prefix_index.hpp>              // prefix_index
#include <parsleyshift/routing/retry_policy.hpp>              // budgeted_retry
#include <parsleyshift/scheduling/length_estimator.hpp>       // length_estimator

#include <deque>         // deque
#include <string>        // string
#include <unordered_map> // unordered_map
#include <utility>       // move
#include <vector>        // vector

namespace parsleyshift::detail
{

/// @brief Who waits for the results of an attempt.
enum class attempt_owner
{
    generation,
    call,
    order,
    forward,
};

/// @brief What a deadline of the core is about.
enum class timer_kind
{
    /// The time that the caller allows is over.
    request_timeout,
    /// No sign of the pool scheduler, or time to tell it that the request still waits.
    permit_wait,
    /// The backoff before another attempt is over.
    try_again,
    /// The same for a forwarded request, whose permit uses try_again.
    next_attempt,
    resume_due,
    renew_permit,
    check_silence,
    resume_grace_over,
    repeat_takeover,
    hedge_due,
    forward_order,
    handover,
};

/// @brief A deadline and the request that it belongs to; a deadline of an older step is ignored by its step number.
struct core_timer
{
    timer_kind what = timer_kind::request_timeout;
    request_id request;
    std::uint64_t step = 0;
};

/// @brief What the parts of a decision core share: settings, views, estimates, and the way out.
struct core_state
{
    core_state(core_settings given, token_codec codec);

    core_settings settings;
    random_source random;
    token_codec tokens;
    record_view records;
    membership members;
    configuration_store<parsing_acceptor> configuration;
    endpoint_directory directory;
    endpoint_health health;
    peer_health reported_health;
    in_flight_ledger ledger;
    prefix_index prefixes;
    endpoint_candidates candidates;
    endpoint_chooser chooser;
    budgeted_retry retry;
    crash_quarantine quarantine;
    customer_limits limits;
    length_estimator lengths;
    entry_selector entries;
    timer_queue<core_timer> timers;
    /// Messages of this instance to itself, handled after the event that caused them.
    std::deque<peer_message> loopback;
    time_point now;
    bool stopping = false;

    [[nodiscard]] const member_update& self() const
    {
        return settings.self;
    }
    void emit(action&& what)
    {
        out->push_back(std::move(what));
    }
    void log(log_event what, std::string detail)
    {
        emit(write_log{what, std::move(detail)});
    }
    /// @brief Sends to a peer, or to this instance itself.
    void send(const instance_id& to, const std::string& peer_address, peer_message message);
    /// @brief Sends to a member; does nothing when it is not known.
    void send(const instance_id& to, peer_message message);
    attempt_id next_attempt(attempt_owner owner, request_id request);
    retry_budget& budget_of(const service_id& service);
    /// @brief A time to come back that is spread over many callers.
    duration come_back(duration wait);
    void reject(request_id request, outcome what, error why, std::int64_t delivered = 0);
    /// @brief Records the end of an attempt in ledger and quarantine and spreads what the quarantine learned.
    void attempt_over(attempt_id attempt, const endpoint_id& endpoint, std::int64_t memory, run_end how);
    void spread(const std::vector<quarantine_notice>& notices);
    /// @brief An endpoint's process died: marks what ran there and spreads the marks.
    void endpoint_died(const endpoint_id& endpoint);
    /// @brief An endpoint said that it is leaving.
    void endpoint_leaves(const endpoint_id& endpoint);
    /// @brief Takes a reading of the list of endpoints into directory, health, ledger and prefix index.
    directory_change take_list(const instances_listed& list);

    struct attempt_entry
    {
        attempt_owner owner = attempt_owner::generation;
        request_id request;
    };
    std::unordered_map<attempt_id, attempt_entry> attempts;
    std::unordered_map<service_id, retry_budget> budgets;
    std::vector<action>* out = nullptr;

  private:
    std::uint64_t attempt_prefix_;
    std::uint64_t attempt_count_ = 0;
};

/// @brief How a failed attempt ended, for the quarantine.
run_end end_of(attempt_failure failure) noexcept;

} // namespace parsleyshift::detail
