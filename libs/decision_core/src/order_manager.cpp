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

/// First id of orders that are sent without a minted key of this instance; ids below are serial numbers of keys minted
/// here.
constexpr std::uint64_t first_direct_order = std::uint64_t{1} << 63U;
/// Maximum number of requests that can wait for the result of one order; further ones are rejected with a retry-after
/// time.
constexpr std::size_t max_recipients = 16;

fingerprint fingerprint_of(const order_forward& order)
{
    return request_fingerprint(order.customer, order.service, order.operation, order.payload);
}

minted_key minted_order_of(const order_key_token& key)
{
    return {order_serial{key.sequence}, key.send_deadline, key.expires};
}

order_forward to_order_forward(const order_request& request)
{
    return {request.request, request.customer, request.service, request.operation, request.payload, request.key, true};
}

} // namespace

void order_manager::handle(const key_request& request)
{
    const service_record* service = state_.records.service(request.service);
    if (state_.stopping)
    {
        state_.reject(request.request, outcome::not_run,
                      make_error(error_kind::shutting_down, "the instance is stopping", duration{0}));
        return;
    }
    if (service == nullptr || service->kind != service_kind::plain)
    {
        state_.reject(
            request.request, outcome::not_run,
            make_error(error_kind::unknown_name, "service: no plain service is named " + request.service.value()));
        return;
    }
    const minted_key minted = home_.mint(state_.now);
    order_key_token token;
    token.home = state_.self().instance;
    token.started = state_.self().started;
    token.home_peer_address = state_.self().peer_address;
    token.customer = request.customer;
    token.service = request.service;
    token.sequence = minted.serial.value();
    token.send_deadline = minted.send_deadline;
    token.expires = minted.expires;
    auto text = state_.tokens.encode(token);
    if (!text.has_value())
    {
        state_.reject(request.request, outcome::not_run, text.error());
        return;
    }
    state_.emit(key_answer{request.request, std::move(text).value(), minted.send_deadline, minted.expires});
}

void order_manager::handle(const order_request& request)
{
    place(to_order_forward(request), local_recipient(request.request));
}

void order_manager::handle(const order_query& query)
{
    order_forward order;
    order.request = query.request;
    order.key = query.key;
    order.place_order = false;
    const auto key = state_.tokens.decode_order_key(query.key, state_.now);
    if (!key.has_value())
    {
        answer_error(local_recipient(query.request), outcome::unknown, key.error());
        return;
    }
    if (is_home(key.value()))
    {
        look_up(key.value(), local_recipient(query.request));
        return;
    }
    forward_home(order, key.value());
}

std::optional<error> order_manager::validate(const order_forward& order) const
{
    const service_record* service = state_.records.service(order.service);
    if (service == nullptr || service->kind != service_kind::plain)
    {
        return make_error(error_kind::unknown_name, "service: no plain service is named " + order.service.value());
    }
    const bool exists = std::any_of(service->operations.begin(), service->operations.end(),
                                    [&](const auto& operation) { return operation.name == order.operation; });
    if (!exists)
    {
        return make_error(error_kind::unknown_name,
                          "operation: service " + order.service.value() + " has no operation " + order.operation);
    }
    return std::nullopt;
}

void order_manager::place(const order_forward& order, const recipient& to)
{
    const auto key = state_.tokens.decode_order_key(order.key, state_.now);
    if (!key.has_value())
    {
        if (key.error().kind == error_kind::key_expired)
        {
            answer_error(to, outcome::unknown, key.error(), state_.now);
        }
        else if (checks_keys(order.service))
        {
            send_directly(order, state_.now + state_.settings.orders.send_window, to);
        }
        else
        {
            // Orders of this service are accepted under minted keys only, so this one cannot have run anywhere.
            answer_error(to, outcome::not_run,
                         make_error(error_kind::own_key_not_allowed, "key: not a valid minted key, and endpoints of " +
                                                                         order.service.value() +
                                                                         " do not check the keys of callers"));
        }
        return;
    }
    if (key.value().customer != order.customer || key.value().service != order.service)
    {
        answer_error(to, outcome::not_run,
                     make_error(error_kind::invalid_field, "key: minted for another customer or service"));
        return;
    }
    if (is_home(key.value()))
    {
        place_minted(order, key.value(), to);
        return;
    }
    forward_home(order, key.value());
}

void order_manager::place_minted(const order_forward& order, const order_key_token& key, const recipient& to)
{
    const minted_key minted = minted_order_of(key);
    const auto problem = validate(order);
    const order_decision decision = problem ? home_.close_unsent(minted, fingerprint_of(order), *problem, state_.now)
                                            : home_.place(minted, fingerprint_of(order), state_.now);
    if (const auto* rejection = std::get_if<error>(&decision))
    {
        // Another request under the key may have run or may still run: only a stored result of this order in
        // home_ proves not_run.
        answer_error(to, outcome::unknown, *rejection, home_.settled_after(key.send_deadline));
        return;
    }
    if (const auto* stored_result = std::get_if<order_result>(&decision))
    {
        answer(to, *stored_result, home_.settled_after(key.send_deadline));
        return;
    }
    const request_id id{minted.serial.value()};
    if (std::holds_alternative<order_in_progress>(decision))
    {
        add_recipient(id, to);
        return;
    }
    active_order added;
    added.id = id;
    added.minted = minted;
    added.order = order;
    added.endpoint_checks_keys = checks_keys(order.service);
    added.send_deadline = key.send_deadline;
    added.recipients.push_back(to);
    start(active_orders_.insert_or_assign(id, std::move(added)).first->second);
}

void order_manager::look_up(const order_key_token& key, const recipient& to)
{
    const minted_key minted = minted_order_of(key);
    const order_decision decision = home_.look_up(minted.serial);
    if (const auto* result = std::get_if<order_result>(&decision))
    {
        answer(to, *result, home_.settled_after(key.send_deadline));
    }
    else if (const auto* failure = std::get_if<error>(&decision))
    {
        answer_error(to, outcome::unknown, *failure, home_.settled_after(key.send_deadline));
    }
    else
    {
        add_recipient(request_id{minted.serial.value()}, to);
    }
}

void order_manager::add_recipient(request_id id, const recipient& to)
{
    const auto found = active_orders_.find(id);
    if (found == active_orders_.end())
    {
        // Not expected: an order without a result in home_ is in active_orders_.
        answer_error(to, outcome::unknown,
                     make_error(error_kind::result_unknown, "the order is in progress; query its result later"));
        return;
    }
    auto& recipients = found->second.recipients;
    const bool already_added =
        std::any_of(recipients.begin(), recipients.end(),
                    [&](const auto& other) { return other.instance == to.instance && other.request == to.request; });
    if (already_added)
    {
        return;
    }
    if (recipients.size() >= max_recipients)
    {
        answer_error(to, outcome::unknown,
                     make_error(error_kind::result_unknown,
                                "the order is in progress and too many requests wait for its result",
                                state_.draw_retry_after(duration{500})));
        return;
    }
    recipients.push_back(to);
}

void order_manager::send_directly(const order_forward& order, time_point send_deadline, const recipient& to)
{
    if (const auto problem = validate(order))
    {
        answer_error(to, outcome::unknown, *problem);
        return;
    }
    if (active_orders_.size() >= state_.settings.requests.capacity)
    {
        answer_error(to, outcome::unknown,
                     make_error(error_kind::queue_full,
                                "the instance has too many orders in progress; send the order "
                                "again under the same key",
                                state_.draw_retry_after(duration{1'000})));
        return;
    }
    active_order added;
    added.id = request_id{first_direct_order + ++direct_orders_};
    added.order = order;
    added.endpoint_checks_keys = true;
    added.send_deadline = send_deadline;
    added.recipients.push_back(to);
    start(active_orders_.emplace(added.id, added).first->second);
}

void order_manager::start(active_order& active)
{
    const auto chosen = choose_plain_endpoint(state_, active.order.service, active.tried);
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
    state_.ledger.record_start(*chosen, 0, state_.now);
    start_call call;
    call.attempt = active.attempt;
    call.endpoint = *chosen;
    call.address = entry->address;
    call.operation = active.order.operation;
    call.payload = active.order.payload;
    call.key = active.order.key;
    call.send_deadline = active.send_deadline;
    call.response_deadline = state_.now + state_.settings.requests.call_timeout;
    state_.emit(std::move(call));
}

void order_manager::on_answered(attempt_id attempt, request_id id, const std::string& result)
{
    const auto found = active_orders_.find(id);
    if (found == active_orders_.end() || found->second.attempt != attempt)
    {
        return;
    }
    active_order& active = found->second;
    state_.record_attempt_end(attempt, active.endpoint, 0, run_end::completed);
    state_.health.record_success(active.endpoint);
    state_.budget_of(active.order.service).record_success();
    finish(active, {outcome::completed, result, std::nullopt});
}

void order_manager::on_failed(attempt_id attempt, request_id id, attempt_failure failure)
{
    const auto found = active_orders_.find(id);
    if (found == active_orders_.end() || found->second.attempt != attempt)
    {
        return;
    }
    active_order& active = found->second;
    state_.record_attempt_end(attempt, active.endpoint, 0, run_end_of(failure));
    active.tracker.attempt_failed(failure);
    if (failure == attempt_failure::leaving)
    {
        state_.mark_endpoint_leaving(active.endpoint);
    }
    else if (failure != attempt_failure::not_started && failure != attempt_failure::deadline_passed)
    {
        state_.health.record_failure(active.endpoint, state_.now);
    }
    retry_or_finish(active, failure);
}

void order_manager::retry_or_finish(active_order& active, attempt_failure failure)
{
    retry_conditions situation;
    situation.failure = failure;
    situation.kind = service_kind::plain;
    situation.idempotent = active.endpoint_checks_keys;
    situation.attempts = std::max(1, active.attempts);
    situation.time_left = active.send_deadline - state_.now;
    const auto decision = state_.retry.decide(situation, state_.budget_of(active.order.service), state_.random);
    // After proof that the order did not run, release() allows it to be sent once more or, when its send deadline has
    // passed, stores not_run as its result.
    const bool may_send = !active.minted || active.endpoint_checks_keys || !proves_not_run(failure) ||
                          home_.allow_resend(active.minted->serial, state_.now);
    if (decision.step == retry_step::restart && may_send)
    {
        state_.timers.add(state_.now + decision.delay, core_timer{timer_kind::retry_due, active.id, ++active.step});
        return;
    }
    const std::string detail = active.attempts == 0
                                   ? "no endpoint of service " + active.order.service.value() + " is available"
                                   : "endpoint " + active.endpoint.value() + ": " + std::string{name_of(failure)};
    // When endpoints check keys, other instances can send the order under the same key as well.
    const bool only_sender = active.minted && !active.endpoint_checks_keys;
    if (only_sender && active.tracker.without_answer() == outcome::not_run)
    {
        finish(active, {outcome::not_run,
                        {},
                        make_error(error_kind::endpoint_failed, detail, state_.draw_retry_after(duration{500}))});
        return;
    }
    finish(active, {outcome::unknown, {}, make_error(error_kind::result_unknown, detail)});
}

void order_manager::finish(active_order& active, order_result result)
{
    time_point settled = state_.now;
    if (active.minted)
    {
        home_.finish(active.minted->serial, result);
        settled = home_.settled_after(active.send_deadline);
        const auto stored = home_.look_up(active.minted->serial);
        if (const auto* stored_result = std::get_if<order_result>(&stored))
        {
            result = *stored_result;
        }
    }
    request_finished finished;
    finished.customer = active.order.customer;
    finished.what = result.what;
    if (result.why)
    {
        finished.why = result.why->kind;
    }
    state_.emit(finished);
    const auto recipients = std::move(active.recipients);
    active_orders_.erase(request_id{active.id});
    for (const auto& to : recipients)
    {
        answer(to, result, settled);
    }
}

void order_manager::answer(const recipient& to, const order_result& result, time_point settled_after)
{
    const time_point settled = result.what == outcome::unknown ? settled_after : never;
    if (to.instance != state_.self().instance)
    {
        state_.send(to.instance, to.peer_address,
                    order_reply{to.request, result.what, result.answer, result.why, settled});
        return;
    }
    if (result.what == outcome::completed)
    {
        state_.emit(call_answer{to.request, result.answer});
        return;
    }
    request_rejected rejection;
    rejection.request = to.request;
    rejection.what = result.what;
    rejection.why =
        result.why.value_or(make_error(error_kind::result_unknown, "the result of the order is not available"));
    rejection.settled_after = settled;
    state_.emit(std::move(rejection));
}

void order_manager::answer_error(const recipient& to, outcome result, error cause, time_point settled_after)
{
    answer(to, {result, {}, std::move(cause)}, settled_after);
}

void order_manager::forward_home(const order_forward& order, const order_key_token& key)
{
    pending_forward pending{order, key, state_.now + state_.settings.requests.forward_timeout};
    send_forward(forwards_.insert_or_assign(order.request, std::move(pending)).first->second);
}

void order_manager::send_forward(const pending_forward& pending)
{
    state_.send(pending.key.home, pending.key.home_peer_address, pending.order);
    state_.timers.add(state_.now + state_.settings.requests.forward_interval,
                      core_timer{timer_kind::forward_order, pending.order.request, 0});
}

void order_manager::handle(const instance_id& from, const std::string& peer_address, const order_forward& forwarded)
{
    const recipient to{from, peer_address, forwarded.request};
    const auto key = state_.tokens.decode_order_key(forwarded.key, state_.now);
    if (!key.has_value())
    {
        answer_error(to, outcome::unknown, key.error(), state_.now);
        return;
    }
    if (!is_home(key.value()))
    {
        // Other instances send an order to its home instance only, so an earlier process of this instance minted the
        // key; its table of orders is lost.
        answer_error(to, outcome::unknown,
                     make_error(error_kind::home_unreachable, "the instance that minted the key has restarted"),
                     home_.settled_after(key.value().send_deadline));
        return;
    }
    if (forwarded.place_order)
    {
        place_minted(forwarded, key.value(), to);
        return;
    }
    look_up(key.value(), to);
}

void order_manager::handle(const order_reply& reply)
{
    const auto found = forwards_.find(reply.request);
    if (found == forwards_.end())
    {
        return;
    }
    const pending_forward pending = std::move(found->second);
    forwards_.erase(found);
    const bool home_gone = reply.why && reply.why->kind == error_kind::home_unreachable;
    if (home_gone && pending.order.place_order && checks_keys(pending.order.service))
    {
        send_directly(pending.order, pending.key.send_deadline, local_recipient(reply.request));
        return;
    }
    answer(local_recipient(reply.request), {reply.what, reply.result, reply.why}, reply.settled_after);
}

void order_manager::on_timer(const core_timer& due)
{
    if (due.kind == timer_kind::retry_due)
    {
        const auto found = active_orders_.find(due.request);
        if (found != active_orders_.end() && found->second.step == due.step)
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
    if (state_.now < found->second.deadline)
    {
        send_forward(found->second);
        return;
    }
    const pending_forward pending = std::move(found->second);
    forwards_.erase(found);
    if (pending.order.place_order && checks_keys(pending.order.service))
    {
        send_directly(pending.order, pending.key.send_deadline, local_recipient(pending.order.request));
        return;
    }
    answer_error(local_recipient(pending.order.request), outcome::unknown,
                 make_error(error_kind::home_unreachable, "instance " + pending.key.home.value() + " does not answer"),
                 home_.settled_after(pending.key.send_deadline));
}

bool order_manager::is_home(const order_key_token& key) const
{
    return key.home == state_.self().instance && key.started == state_.self().started;
}

order_manager::recipient order_manager::local_recipient(request_id request) const
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
    return !active_orders_.empty() || !forwards_.empty();
}

} // namespace parsleyshift::detail
