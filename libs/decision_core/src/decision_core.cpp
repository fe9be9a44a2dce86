#include <parsleyshift/decision_core/decision_core.hpp> // decision_core

#include "call_manager.hpp"       // call_manager
#include "core_state.hpp"         // core_state
#include "fleet_manager.hpp"      // fleet_manager
#include "generation_manager.hpp" // generation_manager
#include "operator_views.hpp"     // operator_view_json
#include "order_manager.hpp"      // order_manager
#include "pool_manager.hpp"       // pool_manager

#include <algorithm>   // max, min
#include <type_traits> // is_same_v
#include <utility>     // move
#include <variant>     // visit

namespace parsleyshift
{
namespace
{

/// Requests that are rejected until the instance has its configuration.
template <class Request>
constexpr bool needs_configuration =
    std::is_same_v<Request, generation_request> || std::is_same_v<Request, call_request> ||
    std::is_same_v<Request, key_request> || std::is_same_v<Request, order_request>;

} // namespace

/// @brief Holds the parts of a core and dispatches each event to the part that handles it.
class decision_core::implementation
{
  public:
    implementation(core_settings settings, token_codec tokens)
        : state_(std::move(settings), std::move(tokens)),
          pools_(state_),
          fleet_(state_, pools_),
          generations_(state_, pools_),
          calls_(state_),
          orders_(state_)
    {
    }

    void handle(const event& input, time_point now, std::vector<action>& out)
    {
        state_.now = std::max(now, state_.now);
        state_.out = &out;
        std::visit([this](const auto& each) { on(each); }, input);
        run_due_work();
        finish_stop();
        state_.out = nullptr;
    }

    [[nodiscard]] time_point next_deadline() const
    {
        return std::min({fleet_.next_deadline(), pools_.next_deadline(), state_.timers.next(), stop_check_});
    }

    [[nodiscard]] std::string key_sha256(const customer_id& customer) const
    {
        const customer_record* record = state_.records.customer(customer);
        return record == nullptr ? std::string{} : record->key_sha256;
    }

    [[nodiscard]] revision highest_revision() const
    {
        return state_.configuration.highest();
    }

  private:
    template <class Request>
    void on(const Request& request) requires needs_configuration<Request>
    {
        if (!state_.configuration.ready())
        {
            // An order under a key that another instance minted may have run there.
            const bool may_have_run = std::is_same_v<Request, order_request>;
            state_.reject(request.request, may_have_run ? outcome::unknown : outcome::not_run,
                          make_error(error_kind::configuration_missing, "the instance has no configuration yet",
                                     state_.draw_retry_after(duration{1'000})));
            return;
        }
        if (state_.records.customer(request.customer) == nullptr)
        {
            const bool may_have_run = std::is_same_v<Request, order_request>;
            state_.reject(request.request, may_have_run ? outcome::unknown : outcome::not_run,
                          make_error(error_kind::unknown_name,
                                     "customer: no customer record is named " + request.customer.value()));
            return;
        }
        if constexpr (std::is_same_v<Request, generation_request>)
        {
            if (apply_entry_token(request))
            {
                generations_.handle(request);
            }
        }
        else if constexpr (std::is_same_v<Request, call_request>)
        {
            calls_.handle(request);
        }
        else
        {
            orders_.handle(request);
        }
    }

    bool apply_entry_token(const generation_request& request)
    {
        if (request.entry_token.empty())
        {
            return true;
        }
        const auto token = state_.tokens.decode_entry(request.entry_token);
        if (!token.has_value())
        {
            state_.reject(request.request, outcome::not_run, token.error());
            return false;
        }
        state_.configuration.raise_floor(token.value().highest_revision);
        return true;
    }

    void on(const resume_request& request)
    {
        generations_.handle(request);
    }
    void on(const cancel_request& request)
    {
        generations_.handle(request);
    }
    void on(const order_query& query)
    {
        orders_.handle(query);
    }
    void on(const entry_query& query)
    {
        fleet_.handle(query);
    }
    void on(const operator_query& query)
    {
        const detail::request_counts counts{generations_.active(), calls_.active(), orders_.held()};
        state_.emit(operator_answer{query.request, operator_view_json(state_, pools_, counts, query)});
    }
    void on(const caller_disconnected& disconnected)
    {
        generations_.on_caller_disconnected(disconnected.request);
        calls_.on_caller_disconnected(disconnected.request);
    }
    void on(const caller_stalled& stalled)
    {
        generations_.with(stalled.request, [](detail::generation& active) { active.set_reading_enabled(false); });
    }
    void on(const caller_drained& drained)
    {
        generations_.with(drained.request, [](detail::generation& active) { active.set_reading_enabled(true); });
    }

    /// Calls `function` with the generation that owns an attempt; events of attempts without an owner are dropped.
    template <class Function>
    void with_generation(attempt_id attempt, Function&& function)
    {
        const auto found = state_.attempts.find(attempt);
        if (found != state_.attempts.end() && found->second.owner == detail::attempt_owner::generation)
        {
            generations_.with(found->second.request, std::forward<Function>(function));
        }
    }
    void on(const attempt_started& started)
    {
        with_generation(started.attempt, [](detail::generation& active) { active.on_started(); });
    }
    void on(const attempt_tokens& tokens)
    {
        token_list batch = tokens.tokens;
        with_generation(tokens.attempt, [&](detail::generation& active) { active.on_tokens(tokens.offset, batch); });
    }
    void on(const attempt_ended& ended)
    {
        with_generation(ended.attempt, [&](detail::generation& active) { active.on_ended(ended.count); });
    }
    void on(const attempt_failed& failed)
    {
        const auto found = state_.attempts.find(failed.attempt);
        if (found == state_.attempts.end())
        {
            return;
        }
        const request_id request = found->second.request;
        switch (found->second.owner)
        {
        case detail::attempt_owner::generation:
            generations_.with(request, [&](detail::generation& active) { active.on_attempt_failed(failed.failure); });
            break;
        case detail::attempt_owner::call:
            calls_.on_failed(failed.attempt, request, failed.failure);
            break;
        case detail::attempt_owner::order:
            orders_.on_failed(failed.attempt, request, failed.failure);
            break;
        case detail::attempt_owner::forward:
            break;
        }
    }
    // Events that only forwarding_core handles.
    void on(const forward_request& /*request*/) {}
    void on(const forward_answered& /*answered*/) {}
    void on(const forward_progress& /*progress*/) {}
    void on(const forward_completed& /*completed*/) {}
    void on(const forwarding_configured& /*configured*/) {}
    void on(const zones_evacuated& /*listed*/) {}
    void on(const configuration_confirmed& /*confirmed*/) {}
    void on(const run_copied& /*copied*/) {}
    void on(const endpoint_probed& /*probed*/) {}
    void on(const call_answered& answered)
    {
        const auto found = state_.attempts.find(answered.attempt);
        if (found == state_.attempts.end())
        {
            return;
        }
        const auto [owner, request] = found->second;
        if (owner == detail::attempt_owner::order)
        {
            orders_.on_answered(answered.attempt, request, answered.result);
        }
        else
        {
            calls_.on_answered(answered.attempt, request, answered.result);
        }
    }

    template <class Event>
    void on(const Event& input) requires requires(detail::fleet_manager& fleet)
    {
        fleet.handle(input);
    }
    {
        fleet_.handle(input);
    }

    void on(const peer_received& received)
    {
        const peer_envelope& envelope = received.envelope;
        fleet_.handle(envelope);
        std::visit([&](const auto& message)
                   { on_peer(envelope.sender, envelope.started, envelope.peer_address, message); },
                   envelope.message);
    }

    /// Messages that no other part handles; membership and configuration messages go to the fleet manager before.
    template <class Message>
    void on_peer(const instance_id& /*from*/, incarnation /*started*/, const std::string& /*address*/,
                 const Message& /*message*/)
    {
    }
    template <class Message>
    void on_peer(const instance_id& from, incarnation /*started*/, const std::string& /*address*/,
                 const Message& message) requires requires(detail::pool_manager& pools)
    {
        pools.handle(from, message);
    }
    {
        pools_.handle(from, message);
    }
    void on_peer(const instance_id& from, incarnation /*started*/, const std::string& /*address*/,
                 const permit_grant& grant)
    {
        generations_.handle(grant, from);
    }
    void on_peer(const instance_id& /*from*/, incarnation /*started*/, const std::string& /*address*/,
                 const permit_denial& denial)
    {
        generations_.handle(denial);
    }
    void on_peer(const instance_id& /*from*/, incarnation /*started*/, const std::string& /*address*/,
                 const permit_queued& queued)
    {
        generations_.handle(queued);
    }
    void on_peer(const instance_id& /*from*/, incarnation /*started*/, const std::string& /*address*/,
                 const stream_takeover& takeover)
    {
        generations_.handle(takeover);
    }
    void on_peer(const instance_id& from, incarnation /*started*/, const std::string& address,
                 const order_forward& forwarded)
    {
        orders_.handle(from, address, forwarded);
    }
    void on_peer(const instance_id& /*from*/, incarnation /*started*/, const std::string& /*address*/,
                 const order_reply& reply)
    {
        orders_.handle(reply);
    }
    void on_peer(const instance_id& from, incarnation started, const std::string& address,
                 const budget_request& request)
    {
        if (const auto loan = state_.limits.lend(started, request, state_.now))
        {
            state_.send(from, address, *loan);
        }
    }
    void on_peer(const instance_id& from, incarnation started, const std::string& /*address*/, const budget_loan& loan)
    {
        state_.limits.credit(from, started, loan, state_.now);
    }
    void on_peer(const instance_id& /*from*/, incarnation /*started*/, const std::string& /*address*/,
                 const quarantine_notice& notice)
    {
        // Only forwarded requests have parts.
        if (!notice.prompt_part)
        {
            state_.merge(notice);
        }
    }

    void on(const stop_requested& /*planned*/)
    {
        if (stop_began_)
        {
            return;
        }
        stop_began_ = true;
        state_.stopping = true;
        state_.log(log_event::stop_began, "waiting for requests in progress");
        fleet_.leave();
        state_.timers.add(state_.now + state_.settings.requests.handover_after,
                          detail::core_timer{detail::timer_kind::handover, {}, 0});
    }
    void on(const timer_expired& /*expired*/) {}

    void run_due_work()
    {
        deliver_loopback();
        fleet_.advance();
        pools_.advance();
        orders_.expire();
        detail::core_timer due;
        while (state_.timers.take_due(state_.now, due))
        {
            run_timer(due);
        }
        if (fleet_.take_topology_change())
        {
            generations_.on_scheduler_changed();
        }
        update_busy_percent();
        deliver_loopback();
    }

    void run_timer(const detail::core_timer& due)
    {
        switch (due.kind)
        {
        case detail::timer_kind::handover:
            generations_.hand_over();
            break;
        case detail::timer_kind::forward_order:
            orders_.on_timer(due);
            break;
        case detail::timer_kind::hedge_due:
            calls_.on_timer(due);
            break;
        case detail::timer_kind::retry_due:
        case detail::timer_kind::request_timeout:
            generations_.on_timer(due);
            calls_.on_timer(due);
            orders_.on_timer(due);
            break;
        default:
            generations_.on_timer(due);
            break;
        }
    }

    void deliver_loopback()
    {
        while (!state_.loopback.empty())
        {
            const peer_message message = std::move(state_.loopback.front());
            state_.loopback.pop_front();
            const member_update& self = state_.self();
            std::visit([&](const auto& each) { on_peer(self.instance, self.started, self.peer_address, each); },
                       message);
        }
    }

    void update_busy_percent()
    {
        const std::size_t active = generations_.active() + calls_.active();
        const std::size_t percent = 100 * active / std::max<std::size_t>(1, state_.settings.requests.capacity);
        state_.members.set_busy(static_cast<int>(std::min<std::size_t>(100, percent)));
    }

    void finish_stop()
    {
        if (!stop_began_ || stop_finished_)
        {
            return;
        }
        const bool placeable = state_.now < orders_.placeable_until();
        const bool busy = generations_.active() + calls_.active() > 0 || orders_.busy();
        if (busy || placeable)
        {
            stop_check_ = placeable ? orders_.placeable_until() : never;
            return;
        }
        stop_check_ = never;
        stop_finished_ = true;
        state_.log(log_event::stop_finished, "nothing is in progress");
        state_.emit(stop_complete{});
    }

    detail::core_state state_;
    detail::pool_manager pools_;
    detail::fleet_manager fleet_;
    detail::generation_manager generations_;
    detail::call_manager calls_;
    detail::order_manager orders_;
    bool stop_began_ = false;
    bool stop_finished_ = false;
    time_point stop_check_ = never;
};

result<decision_core> decision_core::make(core_settings settings)
{
    auto tokens = token_codec::make(settings.token_keys);
    if (!tokens.has_value())
    {
        return tokens.error();
    }
    return decision_core{std::make_unique<implementation>(std::move(settings), std::move(tokens).value())};
}

decision_core::decision_core(std::unique_ptr<implementation> impl) : impl_(std::move(impl)) {}

decision_core::decision_core(decision_core&& other) noexcept = default;
decision_core& decision_core::operator=(decision_core&& other) noexcept = default;
decision_core::~decision_core() = default;

void decision_core::handle(const event& input, time_point now, std::vector<action>& out)
{
    impl_->handle(input, now, out);
}

time_point decision_core::next_deadline() const
{
    return impl_->next_deadline();
}

revision decision_core::highest_revision() const
{
    return impl_->highest_revision();
}

std::string decision_core::key_sha256(const customer_id& customer) const
{
    return impl_->key_sha256(customer);
}

} // namespace parsleyshift
