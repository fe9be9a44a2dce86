#include "generation_manager.hpp" // generation_manager

#include <parsleyshift/entry/customer_shard.hpp>           // customer_shard
#include <parsleyshift/quarantine/request_fingerprint.hpp> // request_fingerprint
#include <parsleyshift/routing/prefix_hashes.hpp>          // prefix_hashes, bytes_per_token

#include <algorithm> // find, min
#include <iterator>  // next
#include <utility>   // move

namespace parsleyshift::detail
{

void generation_manager::handle(const generation_request& asked)
{
    if (state_.stopping)
    {
        state_.reject(asked.request, outcome::not_run,
                      make_error(error_kind::shutting_down, "the instance is stopping", duration{0}));
        return;
    }
    const service_record* service = state_.records.service(asked.service);
    if (service == nullptr || service->kind != service_kind::engine)
    {
        state_.reject(asked.request, outcome::not_run,
                      make_error(error_kind::unknown_name, "service: no engines serve " + asked.service.value()));
        return;
    }
    auto work = describe(asked, *service);
    if (!work.has_value())
    {
        state_.reject(asked.request, outcome::not_run, work.error());
        return;
    }
    const fingerprint print = request_fingerprint(asked.customer, asked.service, {}, asked.prompt);
    if (state_.quarantine.verdict(print, state_.now) == run_verdict::quarantined)
    {
        state_.reject(asked.request, outcome::not_run, state_.quarantine.rejection(print, state_.now));
        return;
    }
    admit(asked, std::move(work).value(), print);
}

result<work_description> generation_manager::describe(const generation_request& asked,
                                                      const service_record& service) const
{
    work_description work;
    work.request = asked.request;
    work.customer = asked.customer;
    work.service = asked.service;
    work.model = asked.model;
    work.work_class = asked.work_class.empty() ? service.default_class : asked.work_class;
    const priority_record* priority = state_.records.priority(work.work_class);
    if (priority == nullptr)
    {
        return make_error(error_kind::unknown_name, "class: no priority record is named " + work.work_class.value());
    }
    const auto& models = service.models;
    if (!asked.model.empty() && std::find(models.begin(), models.end(), asked.model) == models.end())
    {
        return make_error(error_kind::unknown_name,
                          "model: " + asked.service.value() + " does not serve " + asked.model.value());
    }
    work.prompt_tokens = static_cast<std::int64_t>(asked.prompt.size()) / bytes_per_token + 1;
    work.max_tokens = asked.max_tokens > 0 ? std::min(asked.max_tokens, service.max_tokens) : service.max_tokens;
    work.prefixes = prefix_hashes(asked.prompt);
    work.start_by = state_.now + asked.timeout.value_or(priority->default_timeout);
    return work;
}

void generation_manager::admit(const generation_request& asked, work_description work, fingerprint print)
{
    if (active_.size() >= state_.settings.requests.capacity)
    {
        state_.reject(asked.request, outcome::not_run,
                      make_error(error_kind::queue_full, "the instance has too many requests in progress",
                                 state_.come_back(duration{1'000})));
        return;
    }
    const std::int64_t estimate =
        work.prompt_tokens + state_.lengths.total(work.work_class, asked.customer, 0.5, 0, work.max_tokens);
    auto charge = state_.limits.admit(asked.customer, estimate, state_.now);
    if (!charge.has_value())
    {
        ask_for_budget(asked.customer, estimate);
        state_.reject(asked.request, outcome::not_run, charge.error());
        return;
    }
    generation_request described = asked;
    described.work_class = work.work_class;
    auto added = std::make_unique<generation>(state_, pools_, std::move(described), std::move(work),
                                              std::move(charge).value(), print);
    begin(asked.request, std::move(added));
}

void generation_manager::begin(request_id request, std::unique_ptr<generation> added)
{
    active_.insert_or_assign(request, std::move(added));
    with(request, [](generation& begun) { begun.begin(); });
}

void generation_manager::ask_for_budget(const customer_id& customer, std::int64_t estimate)
{
    const auto wanted = state_.limits.wanted(customer, estimate, state_.now);
    const fleet_record& fleet = state_.records.fleet();
    if (!wanted)
    {
        return;
    }
    for (const int slot : customer_shard(customer, fleet.entry_slots, fleet.shard_size))
    {
        const member_update* holder = state_.members.holder_of(slot);
        if (holder != nullptr && holder->instance != state_.self().instance)
        {
            state_.send(holder->instance, holder->peer_address, *wanted);
        }
    }
}

void generation_manager::handle(const resume_request& asked)
{
    const auto token = state_.tokens.decode_continuation(asked.continuation, state_.now);
    if (!token.has_value())
    {
        state_.reject(asked.request, outcome::failed, token.error());
        return;
    }
    if (asked.offset < 0)
    {
        state_.reject(asked.request, outcome::failed,
                      make_error(error_kind::invalid_field, "offset: must not be negative"));
        return;
    }
    state_.configuration.raise_floor(token.value().highest);
    release(token.value().attempt);
    begin(asked.request, std::make_unique<generation>(state_, pools_, asked, token.value()));
    tell_former_owner(token.value());
    takeovers_.insert_or_assign(asked.request, token.value());
    state_.timers.add(state_.now + state_.settings.requests.takeover_interval,
                      core_timer{timer_kind::repeat_takeover, asked.request, 0});
}

void generation_manager::tell_former_owner(const continuation_token& token)
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
        with(owner->second.request, [](generation& former) { former.taken_over(); });
    }
}

void generation_manager::handle(const stream_takeover& takeover)
{
    release(takeover.attempt);
}

void generation_manager::handle(const cancel_request& asked)
{
    const auto token = state_.tokens.decode_continuation(asked.continuation, state_.now);
    if (!token.has_value())
    {
        state_.reject(asked.request, outcome::failed, token.error());
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
    state_.emit(cancel_answer{asked.request});
}

void generation_manager::handle(const permit_grant& grant, const instance_id& from)
{
    const bool wanted = active_.contains(grant.request);
    with(grant.request, [&](generation& active) { active.permitted(grant, true); });
    if (!wanted)
    {
        // The request has ended meanwhile; the permit goes back to the scheduler that granted it.
        const endpoint_entry* entry = state_.directory.find(grant.endpoint);
        const pool_id pool = entry == nullptr ? pool_id{} : entry->pool;
        state_.send(from, permit_return{pool, grant.permit, grant.endpoint, {}, {}, 0, false});
    }
}

void generation_manager::handle(const permit_denial& denial)
{
    with(denial.request, [&](generation& active) { active.denied(denial.why); });
}

void generation_manager::handle(const permit_queued& queued)
{
    with(queued.request, [](generation& active) { active.queued(); });
}

void generation_manager::caller_gone(request_id request)
{
    with(request, [](generation& active) { active.caller_gone(); });
}

void generation_manager::timer(const core_timer& due)
{
    if (due.what == timer_kind::repeat_takeover)
    {
        const auto found = takeovers_.find(due.request);
        if (found != takeovers_.end() && active_.contains(due.request))
        {
            tell_former_owner(found->second);
            state_.timers.add(state_.now + state_.settings.requests.takeover_interval, due);
            return;
        }
        takeovers_.erase(due.request);
        return;
    }
    with(due.request, [&](generation& active) { active.timer(due); });
}

void generation_manager::scheduler_moved()
{
    for (auto& [request, active] : active_)
    {
        active->scheduler_moved();
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
