#include "call_manager.hpp" // call_manager

#include <parsleyshift/quarantine/request_fingerprint.hpp> // request_fingerprint

#include <algorithm> // copy_if, find_if, max
#include <iterator>  // back_inserter
#include <string>    // string, to_string

namespace parsleyshift::detail
{
namespace
{

/// Chooses among the endpoints of one zone, or of all zones if that has none that may serve the request.
std::optional<chosen_endpoint> choose_in_zone(core_state& state, const routing_query& query,
                                              const std::vector<endpoint_candidate>& candidates, const zone_id& zone)
{
    std::vector<endpoint_candidate> in_zone;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(in_zone),
                 [&zone](const endpoint_candidate& candidate) { return candidate.entry->availability_zone == zone; });
    const auto chosen = state.chooser.choose(in_zone, query, state.random);
    return chosen ? chosen : state.chooser.choose(candidates, query, state.random);
}

} // namespace

std::optional<endpoint_id> choose_plain_endpoint(core_state& state, const service_id& service,
                                                 const std::vector<endpoint_id>& tried,
                                                 const std::vector<endpoint_id>& excluded)
{
    routing_query query;
    query.service = service;
    query.excluded = excluded;
    query.excluded.insert(query.excluded.end(), tried.begin(), tried.end());
    const auto& candidates =
        state.candidates.gather_service(query, state.directory, state.ledger, state.health, state.prefixes, state.now);
    const auto zone = state.zones.choose_plain(state, query, candidates);
    auto chosen =
        zone ? choose_in_zone(state, query, candidates, *zone) : state.chooser.choose(candidates, query, state.random);
    if (!chosen && !tried.empty())
    {
        query.excluded = excluded;
        chosen = state.chooser.choose(candidates, query, state.random);
    }
    if (!chosen)
    {
        return std::nullopt;
    }
    state.zones.record_plain_choice(state, *chosen->entry, candidates);
    return chosen->entry->endpoint;
}

void call_manager::handle(const call_request& request)
{
    const auto reject_request = [&](error cause)
    {
        state_.reject(request.request, outcome::not_run, std::move(cause));
    };
    if (state_.stopping)
    {
        reject_request(make_error(error_kind::shutting_down, "the instance is stopping", duration{0}));
        return;
    }
    const service_record* service = state_.records.service(request.service);
    if (service == nullptr || service->kind != service_kind::plain)
    {
        reject_request(
            make_error(error_kind::unknown_name, "service: no plain service is named " + request.service.value()));
        return;
    }
    const auto operation = std::find_if(service->operations.begin(), service->operations.end(),
                                        [&](const auto& entry) { return entry.name == request.operation; });
    if (operation == service->operations.end())
    {
        reject_request(make_error(error_kind::unknown_name, "operation: service " + request.service.value() +
                                                                " has no operation " + request.operation));
        return;
    }
    if (!operation->idempotent)
    {
        reject_request(make_error(error_kind::invalid_field, "operation: " + request.operation +
                                                                 " is not idempotent; place it with POST /v1/orders"));
        return;
    }
    if (active_.size() >= state_.settings.requests.capacity)
    {
        reject_request(make_error(error_kind::queue_full, "the instance has too many calls in progress",
                                  state_.draw_retry_after(duration{1'000})));
        return;
    }
    call added;
    added.request = request;
    added.work_class = service->default_class;
    added.content_fingerprint =
        request_fingerprint(request.customer, request.service, request.operation, request.payload);
    added.arrived = state_.now;
    added.deadline = state_.now + request.timeout.value_or(state_.settings.requests.call_timeout);
    if (state_.quarantine.state_of(added.content_fingerprint, state_.now) == quarantine_state::quarantined)
    {
        reject_request(state_.quarantine.rejection(added.content_fingerprint, state_.now));
        return;
    }
    call& active = active_.insert_or_assign(request.request, std::move(added)).first->second;
    state_.timers.add(active.deadline, core_timer{timer_kind::request_timeout, request.request, 0});
    if (start_attempt(active))
    {
        schedule_hedge(active);
    }
}

bool call_manager::start_attempt(call& active)
{
    const auto chosen = choose_plain_endpoint(state_, active.request.service, active.tried);
    if (!chosen)
    {
        reject(active, make_error(error_kind::no_endpoint,
                                  "no endpoint of service " + active.request.service.value() + " is available",
                                  state_.draw_retry_after(duration{1'000})));
        return false;
    }
    if (!state_.quarantine.may_run(active.content_fingerprint, *chosen, state_.now))
    {
        // A suspect may only run where no other suspect runs; the request timeout bounds this wait.
        state_.timers.add(state_.now + state_.settings.requests.retry_interval,
                          core_timer{timer_kind::retry_due, active.request.request, ++active.step});
        return false;
    }
    const endpoint_entry* entry = state_.directory.find(*chosen);
    const attempt_id attempt = state_.next_attempt(attempt_owner::call, active.request.request);
    active.running.push_back({attempt, *chosen, entry->address, state_.now});
    active.tried.push_back(*chosen);
    ++active.attempts;
    active.tracker.attempt_sent();
    state_.ledger.record_start(*chosen, 0, state_.now);
    state_.quarantine.run_started(attempt, active.content_fingerprint, *chosen);
    start_call command;
    command.attempt = attempt;
    command.endpoint = *chosen;
    command.address = entry->address;
    command.operation = active.request.operation;
    command.payload = active.request.payload;
    command.send_deadline = active.deadline;
    command.response_deadline = active.deadline;
    state_.emit(std::move(command));
    return true;
}

hedge_candidate call_manager::situation_of(const call& active) const
{
    hedge_candidate situation;
    situation.service = active.request.service;
    situation.attempts = active.attempts;
    situation.time_left = active.deadline - state_.now;
    return situation;
}

void call_manager::schedule_hedge(const call& active)
{
    const priority_record* priority = state_.records.priority(active.work_class);
    if (priority == nullptr)
    {
        return;
    }
    if (const auto delay = hedging_.delay(situation_of(active), *priority))
    {
        state_.timers.add(state_.now + *delay, core_timer{timer_kind::hedge_due, active.request.request, active.step});
    }
}

void call_manager::start_hedge(call& active)
{
    const priority_record* priority = state_.records.priority(active.work_class);
    if (priority != nullptr && active.running.size() == 1 &&
        hedging_.try_hedge(situation_of(active), *priority, state_.budget_of(active.request.service)))
    {
        start_attempt(active);
    }
}

void call_manager::on_answered(attempt_id attempt, request_id request, const std::string& result)
{
    const auto found = active_.find(request);
    if (found == active_.end())
    {
        return;
    }
    call& active = found->second;
    const auto running = std::find_if(active.running.begin(), active.running.end(),
                                      [&](const auto& entry) { return entry.attempt == attempt; });
    if (running == active.running.end())
    {
        return;
    }
    const duration latency = state_.now - running->began;
    state_.health.record_first_token(running->endpoint, latency, state_.now);
    state_.health.record_success(running->endpoint);
    state_.record_attempt_end(attempt, running->endpoint, 0, run_end::completed);
    active.running.erase(running);
    hedging_.record_latency(active.request.service, active.work_class, latency);
    state_.budget_of(active.request.service).record_success();
    state_.emit(record_sample{histogram::answer_ms, active.work_class, active.request.customer,
                              (state_.now - active.arrived).count()});
    state_.emit(call_answer{request, result});
    finish(active, outcome::completed, std::nullopt);
}

void call_manager::on_failed(attempt_id attempt, request_id request, attempt_failure failure)
{
    const auto found = active_.find(request);
    if (found == active_.end())
    {
        return;
    }
    call& active = found->second;
    const auto running = std::find_if(active.running.begin(), active.running.end(),
                                      [&](const auto& entry) { return entry.attempt == attempt; });
    if (running == active.running.end())
    {
        return;
    }
    const endpoint_id endpoint = running->endpoint;
    active.running.erase(running);
    state_.record_attempt_end(attempt, endpoint, 0, run_end_of(failure));
    active.tracker.attempt_failed(failure);
    if (failure == attempt_failure::leaving)
    {
        state_.mark_endpoint_leaving(endpoint);
    }
    else if (failure != attempt_failure::not_started && failure != attempt_failure::deadline_passed)
    {
        state_.health.record_failure(endpoint, state_.now);
    }
    active.last_error =
        make_error(error_kind::endpoint_failed, "endpoint " + endpoint.value() + ": " + std::string{name_of(failure)});
    if (!active.running.empty())
    {
        return;
    }
    retry_conditions situation;
    situation.failure = failure;
    situation.kind = service_kind::plain;
    situation.attempts = active.attempts;
    situation.time_left = active.deadline - state_.now;
    const auto decision = state_.retry.decide(situation, state_.budget_of(active.request.service), state_.random);
    if (decision.step == retry_step::restart)
    {
        state_.timers.add(state_.now + decision.delay, core_timer{timer_kind::retry_due, request, ++active.step});
        return;
    }
    const auto kind = decision.budget_exhausted ? error_kind::retry_budget_spent : error_kind::endpoint_failed;
    reject(active, make_error(kind, active.last_error->detail, state_.draw_retry_after(duration{500})));
}

void call_manager::on_timer(const core_timer& due)
{
    const auto found = active_.find(due.request);
    if (found == active_.end())
    {
        return;
    }
    call& active = found->second;
    if (due.kind == timer_kind::request_timeout)
    {
        reject(active, make_error(error_kind::deadline_unreachable, "no answer within the timeout",
                                  state_.draw_retry_after(duration{1'000})));
    }
    else if (due.kind == timer_kind::retry_due && due.step == active.step)
    {
        start_attempt(active);
    }
    else if (due.kind == timer_kind::hedge_due && due.step == active.step)
    {
        start_hedge(active);
    }
}

void call_manager::on_caller_disconnected(request_id request)
{
    if (const auto found = active_.find(request); found != active_.end())
    {
        finish(found->second, found->second.tracker.without_answer(),
               make_error(error_kind::cancelled, "the caller disconnected"));
    }
}

void call_manager::cancel_running_attempts(call& active)
{
    for (const auto& running : active.running)
    {
        state_.emit(cancel_attempt{running.attempt, running.endpoint, running.address});
        state_.record_attempt_end(running.attempt, running.endpoint, 0, run_end::stopped);
    }
    active.running.clear();
}

void call_manager::reject(call& active, error cause)
{
    const outcome result = active.tracker.without_answer();
    state_.reject(active.request.request, result, cause);
    finish(active, result, std::move(cause));
}

void call_manager::finish(call& active, outcome result, std::optional<error> cause)
{
    cancel_running_attempts(active);
    request_finished finished;
    finished.work_class = active.work_class;
    finished.customer = active.request.customer;
    finished.what = result;
    if (cause)
    {
        finished.why = cause->kind;
    }
    state_.emit(finished);
    const request_id request = active.request.request;
    active_.erase(request);
}

} // namespace parsleyshift::detail
