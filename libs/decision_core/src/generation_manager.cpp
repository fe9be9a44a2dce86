#include "generation_manager.hpp" // generation_manager

#include <parsleyshift/entry/customer_shard.hpp>           // customer_shard
#include <parsleyshift/quarantine/request_fingerprint.hpp> // request_fingerprint
#include <parsleyshift/routing/prefix_hashes.hpp>          // prefix_hashes, bytes_per_token

#include <algorithm> // find, min
#include <iterator>  // next
#include <utility>   // move

namespace parsleyshift::detail
{

void generation_manager::handle(const generation_request& request)
{
    if (state_.stopping)
    {
        state_.reject(request.request, outcome::not_run,
                      make_error(error_kind::shutting_down, "the instance is stopping", duration{0}));
        return;
    }
    const service_record* service = state_.records.service(request.service);
    if (service == nullptr || service->kind != service_kind::engine)
    {
        state_.reject(
            request.request, outcome::not_run,
            make_error(error_kind::unknown_name, "service: no engine service is named " + request.service.value()));
        return;
    }
    auto work = describe(request, *service);
    if (!work.has_value())
    {
        state_.reject(request.request, outcome::not_run, work.error());
        return;
    }
    const fingerprint content_fingerprint = request_fingerprint(request.customer, request.service, {}, request.prompt);
    if (state_.quarantine.state_of(content_fingerprint, state_.now) == quarantine_state::quarantined)
    {
        state_.reject(request.request, outcome::not_run, state_.quarantine.rejection(content_fingerprint, state_.now));
        return;
    }
    admit(request, std::move(work).value(), content_fingerprint);
}

result<work_description> generation_manager::describe(const generation_request& request,
                                                      const service_record& service) const
{
    work_description work;
    work.request = request.request;
    work.customer = request.customer;
    work.service = request.service;
    work.model = request.model;
    work.work_class = request.work_class.empty() ? service.default_class : request.work_class;
    const priority_record* priority = state_.records.priority(work.work_class);
    if (priority == nullptr)
    {
        return make_error(error_kind::unknown_name, "class: no priority record is named " + work.work_class.value());
    }
    const auto& models = service.models;
    if (!request.model.empty() && std::find(models.begin(), models.end(), request.model) == models.end())
    {
        return make_error(error_kind::unknown_name, "model: service " + request.service.value() +
                                                        " does not serve model " + request.model.value());
    }
    work.prompt_tokens = static_cast<std::int64_t>(request.prompt.size()) / bytes_per_token + 1;
    work.max_tokens = request.max_tokens > 0 ? std::min(request.max_tokens, service.max_tokens) : service.max_tokens;
    work.prefixes = prefix_hashes(request.prompt);
    work.start_by = state_.now + request.timeout.value_or(priority->default_timeout);
    return work;
}

void generation_manager::admit(const generation_request& request, work_description work,
                               fingerprint content_fingerprint)
{
    if (active_.size() >= state_.settings.requests.capacity)
    {
        state_.reject(request.request, outcome::not_run,
                      make_error(error_kind::queue_full, "the instance has too many requests in progress",
                                 state_.draw_retry_after(duration{1'000})));
        return;
    }
    const std::int64_t estimate =
        work.prompt_tokens + state_.lengths.total(work.work_class, request.customer, 0.5, 0, work.max_tokens);
    auto charge = state_.limits.admit(request.customer, estimate, state_.now);
    if (!charge.has_value())
    {
        request_budget_loan(request.customer, estimate);
        state_.reject(request.request, outcome::not_run, charge.error());
        return;
    }
    generation_request resolved_request = request;
    resolved_request.work_class = work.work_class;
    auto added = std::make_unique<generation>(state_, pools_, std::move(resolved_request), std::move(work),
                                              std::move(charge).value(), content_fingerprint);
    begin(request.request, std::move(added));
}

void generation_manager::begin(request_id request, std::unique_ptr<generation> added)
{
    active_.insert_or_assign(request, std::move(added));
    with(request, [](generation& added_generation) { added_generation.begin(); });
}

void generation_manager::request_budget_loan(const customer_id& customer, std::int64_t estimate)
{
    const auto loan_request = state_.limits.loan_request(customer, estimate, state_.now);
    const fleet_record& fleet = state_.records.fleet();
    if (!loan_request)
    {
        return;
    }
    for (const int slot : customer_shard(customer, fleet.entry_slots, fleet.shard_size))
    {
        const member_update* holder = state_.members.holder_of(slot);
        if (holder != nullptr && holder->instance != state_.self().instance)
        {
            state_.send(holder->instance, holder->peer_address, *loan_request);
        }
    }
}

void generation_manager::handle(const resume_request& request)
{
    const auto token = state_.tokens.decode_continuation(request.continuation, state_.now);
    if (!token.has_value())
    {
        state_.reject(request.request, outcome::failed, token.error());
        return;
    }
    if (request.offset < 0)
    {
        state_.reject(request.request, outcome::failed,
                      make_error(error_kind::invalid_field, "offset: must not be negative"));
        return;
    }
    state_.configuration.raise_floor(token.value().highest_revision);
    release(token.value().attempt);
    begin(request.request, std::make_unique<generation>(state_, pools_, request, token.value()));
    notify_previous_owner(token.value());
    takeovers_.insert_or_assign(request.request, token.value());
    state_.timers.add(state_.now + state_.settings.requests.takeover_interval,
                      core_timer{timer_kind::repeat_takeover, request.request, 0});
}

void generation_manager::notify_previous_owner(const continuation_token& token)
{
    if (token.instance != state_.self().instance)
    {
        state_.send(token.instance, stream_takeover{token.attempt});
    }
}

void generation_manager::release(attempt_id attempt)
{
    const auto owner = state_.attempts.find(attempt);
    if (owner != state_.attempts.end())
    {
        with(owner->second.request, [](generation& previous) { previous.on_taken_over(); });
    }
}

void generation_manager::handle(const stream_takeover& takeover)
{
    release(takeover.attempt);
}

void generation_manager::handle(const cancel_request& request)
{
    const auto token = state_.tokens.decode_continuation(request.continuation, state_.now);
    if (!token.has_value())
    {
        state_.reject(request.request, outcome::failed, token.error());
        return;
    }
    const auto owner = state_.attempts.find(token.value().attempt);
    if (owner != state_.attempts.end())
    {
        with(owner->second.request, [](generation& active) { active.cancel(); });
    }
    else
    {
        state_.emit(cancel_attempt{token.value().attempt, token.value().endpoint, token.value().endpoint_address});
    }
    state_.emit(cancel_answer{request.request});
}

void generation_manager::handle(const permit_grant& grant, const instance_id& from)
{
    const bool in_progress = active_.contains(grant.request);
    with(grant.request, [&](generation& active) { active.on_permit_granted(grant, true); });
    if (!in_progress)
    {
        // The request has ended in the meantime; the permit is returned to the scheduler that granted it.
        const endpoint_entry* entry = state_.directory.find(grant.endpoint);
        const pool_id pool = entry == nullptr ? pool_id{} : entry->pool;
        state_.send(from, permit_return{pool, grant.permit, grant.endpoint, {}, {}, 0, false});
    }
}

void generation_manager::handle(const permit_denial& denial)
{
    with(denial.request, [&](generation& active) { active.on_permit_denied(denial.why); });
}

void generation_manager::handle(const permit_queued& queued)
{
    with(queued.request, [](generation& active) { active.on_permit_queued(); });
}

void generation_manager::on_caller_disconnected(request_id request)
{
    with(request, [](generation& active) { active.on_caller_disconnected(); });
}

void generation_manager::on_timer(const core_timer& due)
{
    if (due.kind == timer_kind::repeat_takeover)
    {
        const auto found = takeovers_.find(due.request);
        if (found != takeovers_.end() && active_.contains(due.request))
        {
            notify_previous_owner(found->second);
            state_.timers.add(state_.now + state_.settings.requests.takeover_interval, due);
            return;
        }
        takeovers_.erase(due.request);
        return;
    }
    with(due.request, [&](generation& active) { active.on_timer(due); });
}

void generation_manager::on_scheduler_changed()
{
    for (auto& [request, active] : active_)
    {
        active->on_scheduler_changed();
    }
}

void generation_manager::hand_over()
{
    for (auto entry = active_.begin(); entry != active_.end();)
    {
        entry->second->hand_over();
        entry = entry->second->finished() ? active_.erase(entry) : std::next(entry);
    }
}

} // namespace parsleyshift::detail
