#include "order_manager.hpp" // order_manager

#include "call_manager.hpp" // choose_plain_endpoint

#include <parsleyshift/quarantine/request_fingerprint.hpp> // request_fingerprint

#include <algorithm> // any_of, find_if, max
#include <utility>   // move
#include <variant>   // get_if, holds_alternative

namespace parsleyshift::detail
{
namespace
{

/// Runs without a serial of this home take their numbers from here on.
constexpr std::uint64_t first_direct_run = std::uint64_t{1} << 63U;
/// Callers and instances that may wait for one order; further ones are told to ask later.
constexpr std::size_t most_waiters = 16;

fingerprint content_of(const order_forward& what)
{
    return request_fingerprint(what.customer, what.service, what.operation, what.payload);
}

minted_order minted_from(const order_key_token& key)
{
    return {order_serial{key.sequence}, key.send_deadline, key.expires};
}

order_forward forward_of(const order_request& asked)
{
    return {asked.request, asked.customer, asked.service, asked.operation, asked.payload, asked.key, true};
}

} // namespace

void order_manager::handle(const key_request& asked)
{
    const service_record* service = state_.records.service(asked.service);
    if (state_.stopping)
    {
        state_.reject(asked.request, outcome::not_run,
                      make_error(error_kind::shutting_down, "the instance is stopping", duration{0}));
        return;
    }
    if (service == nullptr || service->kind != service_kind::plain)
    {
        state_.reject(
            asked.request, outcome::not_run,
            make_error(error_kind::unknown_name, "service: no plain service is named " + asked.service.value()));
        return;
    }
    const minted_order minted = home_.mint(state_.now);
    order_key_token token;
    token.home = state_.self().instance;
    token.started = state_.self().started;
    token.home_peer_address = state_.self().peer_address;
    token.customer = asked.customer;
    token.service = asked.service;
    token.sequence = minted.serial.value();
    token.send_deadline = minted.send_deadline;
    token.expires = minted.expires;
    auto text = state_.tokens.encode(token);
    if (!text.has_value())
    {
        state_.reject(asked.request, outcome::not_run, text.error());
        return;
    }
    state_.emit(key_answer{asked.request, std::move(text).value(), minted.send_deadline, minted.expires});
}

void order_manager::handle(const order_request& asked)
{
    place(forward_of(asked), local(asked.request));
}

void order_manager::handle(const order_query& asked)
{
    order_forward what;
    what.request = asked.request;
    what.key = asked.key;
    what.place = false;
    const auto key = state_.tokens.decode_order_key(asked.key, state_.now);
    if (!key.has_value())
    {
        answer_error(local(asked.request), outcome::unknown, key.error());
        return;
    }
    if (is_home(key.value()))
    {
        look_up(key.value(), local(asked.request));
        return;
    }
    forward_home(what, key.value());
}

std::optional<error> order_manager::unusable(const order_forward& what) const
{
    const service_record* service = state_.records.service(what.service);
    if (service == nullptr || service->kind != service_kind::plain)
    {
        return make_error(error_kind::unknown_name, "service: no plain service is named " + what.service.value());
    }
    const bool known = std::any_of(service->operations.begin(), service->operations.end(),
                                   [&](const auto& operation) { return operation.name == what.operation; });
    if (!known)
    {
        return make_error(error_kind::unknown_name, "operation: " + what.service.value() + " has no " + what.operation);
    }
    return std::nullopt;
}

void order_manager::place(const order_forward& what, const waiter& who)
{
    const auto key = state_.tokens.decode_order_key(what.key, state_.now);
    if (!key.has_value())
    {
        if (key.error().kind == error_kind::key_expired)
        {
            answer_error(who, outcome::unknown, key.error(), state_.now);
        }
        else if (checks_keys(what.service))
        {
            run_directly(what, state_.now + state_.settings.orders.send_window, who);
        }
        else
        {
            // A key that no instance has minted cannot have run anywhere.
            answer_error(
                who, outcome::not_run,
                make_error(error_kind::own_key_not_allowed,
                           "key: it was not minted here, and " + what.service.value() + " does not check keys"));
        }
        return;
    }
    if (key.value().customer != what.customer || key.value().service != what.service)
    {
        answer_error(who, outcome::not_run,
                     make_error(error_kind::invalid_field, "key: it was minted for another customer or service"));
        return;
    }
    if (is_home(key.value()))
    {
        place_minted(what, key.value(), who);
        return;
    }
    forward_home(what, key.value());
}

void order_manager::place_minted(const order_forward& what, const order_key_token& key, const waiter& who)
{
    const minted_order minted = minted_from(key);
    const auto problem = unusable(what);
    const order_decision decided = problem ? home_.close_unsent(minted, content_of(what), *problem, state_.now)
                                           : home_.place(minted, content_of(what), state_.now);
    if (const auto* refused = std::get_if<error>(&decided))
    {
        // Another request under the key may have run or may run: only the table's own entry proves not_run.
        answer_error(who, outcome::unknown, *refused, home_.settled_after(key.send_deadline));
        return;
    }
    if (const auto* known = std::get_if<order_result>(&decided))
    {
        answer(who, *known, home_.settled_after(key.send_deadline));
        return;
    }
    const request_id id{minted.serial.value()};
    if (std::holds_alternative<order_in_progress>(decided))
    {
        wait_for(id, who);
        return;
    }
    run added;
    added.id = id;
    added.minted = minted;
    added.what = what;
    added.endpoint_checks_keys = checks_keys(what.service);
    added.send_deadline = key.send_deadline;
    added.waiters.push_back(who);
    start(runs_.insert_or_assign(id, std::move(added)).first->second);
}

void order_manager::look_up(const order_key_token& key, const waiter& who)
{
    const minted_order minted = minted_from(key);
    const order_decision known = home_.look_up(minted.serial);
    if (const auto* result = std::get_if<order_result>(&known))
    {
        answer(who, *result, home_.settled_after(key.send_deadline));
    }
    else if (const auto* why = std::get_if<error>(&known))
    {
        answer_error(who, outcome::unknown, *why, home_.settled_after(key.send_deadline));
    }
    else
    {
        wait_for(request_id{minted.serial.value()}, who);
    }
}

void order_manager::wait_for(request_id id, const waiter& who)
{
    const auto found = runs_.find(id);
    if (found == runs_.end())
    {
        answer_error(who, outcome::unknown, make_error(error_kind::result_unknown, "the order is in progress"));
        return;
    }
    auto& waiters = found->second.waiters;
    const bool known =
        std::any_of(waiters.begin(), waiters.end(),
                    [&](const auto& other) { return other.instance == who.instance && other.request == who.request; });
    if (known)
    {
        return;
    }
    if (waiters.size() >= most_waiters)
    {
        answer_error(who, outcome::unknown,
                     make_error(error_kind::result_unknown, "the order is in progress; too many requests wait for it",
                                state_.come_back(duration{500})));
        return;
    }
    waiters.push_back(who);
}

void order_manager::run_directly(const order_forward& what, time_point send_deadline, const waiter& who)
{
    if (const auto problem = unusable(what))
    {
        answer_error(who, outcome::unknown, *problem);
        return;
    }
    if (runs_.size() >= state_.settings.requests.capacity)
    {
        answer_error(who, outcome::unknown,
                     make_error(error_kind::queue_full,
                                "the instance has too many orders in progress; send the order "
                                "again under the same key",
                                state_.come_back(duration{1'000})));
        return;
    }
    run added;
    added.id = request_id{first_direct_run + ++direct_runs_};
    added.what = what;
    added.endpoint_checks_keys = true;
    added.send_deadline = send_deadline;
    added.waiters.push_back(who);
    start(runs_.emplace(added.id, added).first->second);
}

void order_manager::start(run& active)
{
    const auto chosen = choose_plain_endpoint(state_, active.what.service, active.tried);
    if (!chosen)
    {
        retry_or_finish(active, attempt_failure::connect_failed);
        return;
    }
    const endpoint_entry* entry = state_.directory.find(*chosen);
    active.attempt = state_.next_attempt(attempt_owner::order, active.id);
    active.endpoint = *chosen;
    active.tried.push_back(*chosen);
    ++active.attempts;
    active.tracker.attempt_sent();
    state_.ledger.started(*chosen, 0, state_.now);
    start_call call;
    call.attempt = active.attempt;
    call.endpoint = *chosen;
    call.address = entry->address;
    call.operation = active.what.operation;
    call.payload = active.what.payload;
    call.key = active.what.key;
    call.not_after = active.send_deadline;
    call.answer_by = state_.now + state_.settings.requests.call_timeout;
    state_.emit(std::move(call));
}

void order_manager::answered(attempt_id attempt, request_id id, const std::string& result)
{
    const auto found = runs_.find(id);
    if (found == runs_.end() || found->second.attempt != attempt)
    {
        return;
    }
    run& active = found->second;
    state_.attempt_over(attempt, active.endpoint, 0, run_end::completed);
    state_.health.succeeded(active.endpoint);
    state_.budget_of(active.what.service).succeeded();
    finish(active, {outcome::completed, result, std::nullopt});
}

void order_manager::failed(attempt_id attempt, request_id id, attempt_failure failure)
{
    const auto found = runs_.find(id);
    if (found == runs_.end() || found->second.attempt != attempt)
    {
        return;
    }
    run& active = found->second;
    state_.attempt_over(attempt, active.endpoint, 0, end_of(failure));
    active.tracker.attempt_failed(failure);
    if (failure == attempt_failure::leaving)
    {
        state_.endpoint_leaves(active.endpoint);
    }
    else if (failure != attempt_failure::not_started && failure != attempt_failure::deadline_passed)
    {
        state_.health.failed(active.endpoint, state_.now);
    }
    retry_or_finish(active, failure);
}

void order_manager::retry_or_finish(run& active, attempt_failure failure)
{
    retry_situation situation;
    situation.failure = failure;
    situation.kind = service_kind::plain;
    situation.idempotent = active.endpoint_checks_keys;
    situation.attempts = std::max(1, active.attempts);
    situation.time_left = active.send_deadline - state_.now;
    const auto decision = state_.retry.decide(situation, state_.budget_of(active.what.service), state_.random);
    const bool may_send = !active.minted || active.endpoint_checks_keys || !proves_not_run(failure) ||
                          home_.release(active.minted->serial, state_.now);
    if (decision.step == retry_step::restart && may_send)
    {
        state_.timers.add(state_.now + decision.delay, core_timer{timer_kind::try_again, active.id, ++active.step});
        return;
    }
    const std::string detail = active.attempts == 0
                                   ? "no endpoint of " + active.what.service.value() + " is known"
                                   : "endpoint " + active.endpoint.value() + ": " + std::string{name_of(failure)};
    // Where endpoints check keys, another instance may send the order under the same key.
    const bool only_sender = active.minted && !active.endpoint_checks_keys;
    if (only_sender && active.tracker.without_answer() == outcome::not_run)
    {
        finish(
            active,
            {outcome::not_run, {}, make_error(error_kind::endpoint_failed, detail, state_.come_back(duration{500}))});
        return;
    }
    finish(active, {outcome::unknown, {}, make_error(error_kind::result_unknown, detail)});
}

void order_manager::finish(run& active, order_result result)
{
    time_point settled = state_.now;
    if (active.minted)
    {
        home_.finish(active.minted->serial, result);
        settled = home_.settled_after(active.send_deadline);
        const auto stands = home_.look_up(active.minted->serial);
        if (const auto* known = std::get_if<order_result>(&stands))
        {
            result = *known;
        }
    }
    request_finished finished;
    finished.customer = active.what.customer;
    finished.what = result.what;
    if (result.why)
    {
        finished.why = result.why->kind;
    }
    state_.emit(finished);
    const auto waiters = std::move(active.waiters);
    runs_.erase(request_id{active.id});
    for (const auto& who : waiters)
    {
        answer(who, result, settled);
    }
}

void order_manager::answer(const waiter& who, const order_result& result, time_point settled_after)
{
    const time_point settled = result.what == outcome::unknown ? settled_after : never;
    if (who.instance != state_.self().instance)
    {
        state_.send(who.instance, who.peer_address,
                    order_reply{who.request, result.what, result.answer, result.why, settled});
        return;
    }
    if (result.what == outcome::completed)
    {
        state_.emit(call_answer{who.request, result.answer});
        return;
    }
    request_rejected rejection;
    rejection.request = who.request;
    rejection.what = result.what;
    rejection.why = result.why.value_or(make_error(error_kind::result_unknown, "no result is known"));
    rejection.settled_after = settled;
    state_.emit(std::move(rejection));
}

void order_manager::answer_error(const waiter& who, outcome what, error why, time_point settled_after)
{
    answer(who, {what, {}, std::move(why)}, settled_after);
}

void order_manager::forward_home(const order_forward& what, const order_key_token& key)
{
    forward waiting{what, key, state_.now + state_.settings.requests.forward_patience};
    send_forward(forwards_.insert_or_assign(what.request, std::move(waiting)).first->second);
}

void order_manager::send_forward(const forward& waiting)
{
    state_.send(waiting.key.home, waiting.key.home_peer_address, waiting.what);
    state_.timers.add(state_.now + state_.settings.requests.forward_interval,
                      core_timer{timer_kind::forward_order, waiting.what.request, 0});
}

void order_manager::handle(const instance_id& from, const std::string& peer_address, const order_forward& forwarded)
{
    const waiter who{from, peer_address, forwarded.request};
    const auto key = state_.tokens.decode_order_key(forwarded.key, state_.now);
    if (!key.has_value())
    {
        answer_error(who, outcome::unknown, key.error(), state_.now);
        return;
    }
    if (!is_home(key.value()))
    {
        // An earlier process of this instance held the key and is gone with what it knew.
        answer_error(who, outcome::unknown,
                     make_error(error_kind::home_unreachable, "the instance that minted the key has restarted"),
                     home_.settled_after(key.value().send_deadline));
        return;
    }
    if (forwarded.place)
    {
        place_minted(forwarded, key.value(), who);
        return;
    }
    look_up(key.value(), who);
}

void order_manager::handle(const order_reply& reply)
{
    const auto found = forwards_.find(reply.request);
    if (found == forwards_.end())
    {
        return;
    }
    const forward waiting = std::move(found->second);
    forwards_.erase(found);
    const bool home_gone = reply.why && reply.why->kind == error_kind::home_unreachable;
    if (home_gone && waiting.what.place && checks_keys(waiting.what.service))
    {
        run_directly(waiting.what, waiting.key.send_deadline, local(reply.request));
        return;
    }
    answer(local(reply.request), {reply.what, reply.result, reply.why}, reply.settled_after);
}

void order_manager::timer(const core_timer& due)
{
    if (due.what == timer_kind::try_again)
    {
        const auto found = runs_.find(due.request);
        if (found != runs_.end() && found->second.step == due.step)
        {
            start(found->second);
        }
        return;
    }
    const auto found = forwards_.find(due.request);
    if (found == forwards_.end())
    {
        return;
    }
    if (state_.now < found->second.give_up)
    {
        send_forward(found->second);
        return;
    }
    const forward waiting = std::move(found->second);
    forwards_.erase(found);
    if (waiting.what.place && checks_keys(waiting.what.service))
    {
        run_directly(waiting.what, waiting.key.send_deadline, local(waiting.what.request));
        return;
    }
    answer_error(local(waiting.what.request), outcome::unknown,
                 make_error(error_kind::home_unreachable, "instance " + waiting.key.home.value() + " does not answer"),
                 home_.settled_after(waiting.key.send_deadline));
}

bool order_manager::is_home(const order_key_token& key) const
{
    return key.home == state_.self().instance && key.started == state_.self().started;
}

order_manager::waiter order_manager::local(request_id request) const
{
    return {state_.self().instance, {}, request};
}

bool order_manager::checks_keys(const service_id& service) const
{
    const service_record* record = state_.records.service(service);
    return record != nullptr && record->checks_keys;
}

bool order_manager::busy() const
{
    return !runs_.empty() || !forwards_.empty();
}

} // namespace parsleyshift::detail
