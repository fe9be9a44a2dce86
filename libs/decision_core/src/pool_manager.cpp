#include "pool_manager.hpp" // pool_manager

#include <parsleyshift/core/hash.hpp> // rendezvous_score, mix_hash

#include <algorithm> // min, max
#include <variant>   // visit, get_if

namespace parsleyshift::detail
{
namespace
{

/// Part of an endpoint's capacity by which a near endpoint may be busier and still be preferred.
constexpr double own_zone_preference = 0.05;
/// The same for one in the requester's region, beside the zone's: the link between regions is slow and billed by
/// volume.
constexpr double own_region_preference = 0.15;
/// The same for an endpoint that holds the whole prompt in its prefix cache.
constexpr double cached_prompt_preference = 0.3;
/// The same for an endpoint in the zone of the one that a run leaves: a copy to another zone takes twice as long, so
/// that only half of the runs get away in time.
constexpr double same_zone_move_preference = 1.0;
/// The same against an endpoint that receives another run at the moment, since the copies share its link.
constexpr double receiving_penalty = 0.5;
/// What a token of output is worth against one of the prompt.
constexpr double output_worth = 10.0;

bool names_request(const scheduling_decision& decision, const instance_id& to, request_id request)
{
    const auto named = std::visit([](const auto& message) { return message.request; }, decision.message);
    return decision.to == to && named == request;
}

} // namespace

double pool_preference::operator()(const instance_id& from, const work_description& work,
                                   const endpoint_id& endpoint) const
{
    const endpoint_entry* entry = state->directory.find(endpoint);
    const member_update* requester = state->members.find(from);
    double preference = 0.0;
    if (entry != nullptr && requester != nullptr && entry->availability_zone == requester->availability_zone)
    {
        preference += own_zone_preference;
    }
    if (entry != nullptr && requester != nullptr &&
        state->entries.region_of(entry->availability_zone) == requester->region)
    {
        preference += own_region_preference;
    }
    if (!work.prefixes.empty() && work.prompt_tokens > 0)
    {
        const double saved = state->prefixes.saved_tokens(endpoint, work.prefixes);
        preference += cached_prompt_preference * std::min(1.0, saved / static_cast<double>(work.prompt_tokens));
    }
    return preference;
}

std::optional<pool_id> pool_manager::pool_for(const service_id& service) const
{
    const auto in_service = [this](const pool_id& pool)
    {
        const auto& members = state_.directory.members_of(pool);
        return std::any_of(members.begin(), members.end(), [](const auto* entry) { return !entry->leaving; });
    };
    const pool_id own = pool_of(service, state_.self().region);
    if (in_service(own))
    {
        return own;
    }
    for (const pool_id& pool : state_.directory.pools_of(service))
    {
        if (in_service(pool))
        {
            return pool;
        }
    }
    return std::nullopt;
}

const instance_id& pool_manager::host_of(const pool_id& pool)
{
    const auto found = host_of_.find(pool);
    return found != host_of_.end() ? found->second : host_of_.emplace(pool, choose_host(pool)).first->second;
}

instance_id pool_manager::choose_host(const pool_id& pool) const
{
    const auto& endpoints = state_.directory.members_of(pool);
    const region_id region = endpoints.empty() ? state_.self().region : endpoints.front()->region;
    instance_id best = state_.self().instance;
    bool best_is_near = state_.self().region == region;
    std::uint64_t highest = 0;
    for (const member_update& member : state_.members.members())
    {
        const bool near = member.region == region;
        const bool able = member.state == member_state::alive;
        const std::uint64_t score = rendezvous_score(pool.value(), member.instance.value());
        if (able && (near || !best_is_near) && (near != best_is_near || score > highest))
        {
            best = member.instance;
            best_is_near = near;
            highest = score;
        }
    }
    return best;
}

std::optional<endpoint_id> pool_manager::choose_locally(const pool_id& pool, std::int64_t memory)
{
    return local(pool).choose(memory);
}

void pool_manager::attempt_started(const pool_id& pool, const endpoint_id& endpoint, std::int64_t memory)
{
    local(pool).started(endpoint, memory);
}

void pool_manager::attempt_ended(const pool_id& pool, const endpoint_id& endpoint, std::int64_t memory)
{
    local(pool).ended(endpoint, memory);
}

local_share_chooser& pool_manager::local(const pool_id& pool)
{
    auto& chooser = local_[pool];
    if (chooser == nullptr)
    {
        chooser = std::make_unique<local_share_chooser>(state_.self().instance, state_.random.bits());
        chooser->set_instances(static_cast<std::int64_t>(std::max<std::size_t>(1, state_.members.live_count())));
        for (const endpoint_entry* entry : state_.directory.members_of(pool))
        {
            chooser->add_endpoint(entry->endpoint);
            if (entry->load)
            {
                chooser->report(*entry->load);
            }
            if (entry->leaving)
            {
                chooser->set_leaving(entry->endpoint);
            }
        }
    }
    return *chooser;
}

pool_manager::scheduler& pool_manager::host(const pool_id& pool)
{
    auto& found = hosted_[pool];
    if (found == nullptr)
    {
        found = std::make_unique<scheduler>(pool, state_.settings.scheduling, state_.lengths, state_.random.bits(),
                                            state_.now, pool_preference{&state_});
        configure(*found);
        for (const endpoint_entry* entry : state_.directory.members_of(pool))
        {
            carry_out(found->add_endpoint(entry->endpoint, state_.now));
            if (entry->load)
            {
                carry_out(found->report(*entry->load, state_.now));
            }
            if (entry->leaving)
            {
                found->endpoint_leaving(entry->endpoint);
            }
        }
        state_.log(log_event::scheduler_changed, "scheduling pool " + pool.value());
    }
    return *found;
}

void pool_manager::configure(scheduler& target) const
{
    for (const auto& [name, record] : state_.records.priorities())
    {
        target.set_class(record);
    }
    for (const auto& [name, record] : state_.records.customers())
    {
        target.set_customer_weight(name, record.weight);
    }
}

void pool_manager::carry_out(const scheduling_decisions& decisions)
{
    for (const auto& decision : decisions)
    {
        std::visit([&](const auto& message) { state_.send(decision.to, message); }, decision.message);
    }
}

void pool_manager::handle(const instance_id& from, const permit_request& request)
{
    const auto decisions = host(request.pool).request(from, request, state_.now);
    bool answered = false;
    for (const auto& decision : decisions)
    {
        answered = answered || names_request(decision, from, request.work.request);
    }
    if (!answered)
    {
        state_.send(from, permit_queued{request.work.request});
    }
    carry_out(decisions);
}

void pool_manager::handle(const instance_id& from, const permit_withdrawal& withdrawal)
{
    if (const auto found = hosted_.find(withdrawal.pool); found != hosted_.end())
    {
        carry_out(found->second->withdraw(from, withdrawal, state_.now));
    }
}

void pool_manager::handle(const instance_id& from, const permit_return& returned)
{
    evacuations_.returned(returned.permit, state_.now);
    if (const auto found = hosted_.find(returned.pool); found != hosted_.end())
    {
        carry_out(found->second->give_back(from, returned, state_.now));
    }
}

void pool_manager::handle(const instance_id& from, const permit_registration& registration)
{
    carry_out(host(registration.pool).register_permit(from, registration, state_.now));
}

void pool_manager::handle(const instance_id& from, const endpoint_health_notice& notice)
{
    endpoint_health_notice bounded = notice;
    bounded.expires = std::min(notice.expires, state_.now + state_.settings.requests.health_notice_lifetime);
    state_.reported_health.hear(from, bounded, state_.now);
    health_changed(notice.endpoint);
}

double pool_manager::weight_of(const endpoint_id& endpoint) const
{
    return std::min(state_.health.weight(endpoint, state_.now), state_.reported_health.weight(endpoint, state_.now));
}

void pool_manager::endpoints_changed(const directory_change& change)
{
    for (const auto& entry : change.removed)
    {
        state_.reported_health.forget(entry.endpoint);
        evacuate(entry);
        if (const auto found = hosted_.find(entry.pool); found != hosted_.end())
        {
            carry_out(found->second->remove_endpoint(entry.endpoint, state_.now));
        }
        if (const auto found = local_.find(entry.pool); found != local_.end())
        {
            found->second->remove_endpoint(entry.endpoint);
        }
    }
    for (const auto& endpoint : change.added)
    {
        const endpoint_entry* entry = state_.directory.find(endpoint);
        if (entry == nullptr)
        {
            continue;
        }
        if (const auto found = hosted_.find(entry->pool); found != hosted_.end())
        {
            carry_out(found->second->add_endpoint(endpoint, state_.now));
        }
        if (const auto found = local_.find(entry->pool); found != local_.end())
        {
            found->second->add_endpoint(endpoint);
        }
        if (entry->leaving)
        {
            endpoint_leaving(endpoint);
        }
    }
    for (const auto& endpoint : change.leaving)
    {
        endpoint_leaving(endpoint);
    }
    host_of_.clear();
}

void pool_manager::endpoint_leaving(const endpoint_id& endpoint)
{
    const endpoint_entry* entry = state_.directory.find(endpoint);
    if (entry == nullptr)
    {
        return;
    }
    evacuate(*entry);
    if (const auto found = hosted_.find(entry->pool); found != hosted_.end())
    {
        found->second->endpoint_leaving(endpoint);
    }
    local(entry->pool).set_leaving(endpoint);
}

void pool_manager::evacuate(const endpoint_entry& leaving)
{
    const auto found = hosted_.find(leaving.pool);
    if (!moves_enabled_ || found == hosted_.end())
    {
        return;
    }
    const scheduler& target = *found->second;
    const double pace = target.pace_of(leaving.endpoint);
    std::vector<leaving_run> runs;
    for (const active_permit& run : target.running_at(leaving.endpoint, state_.now))
    {
        const std::int64_t left = std::max<std::int64_t>(run.expected_tokens - run.known_tokens, 1);
        leaving_run described;
        described.permit = run.id;
        described.tokens = run.prompt_tokens + run.known_tokens;
        described.expected_left = duration{static_cast<duration::rep>(static_cast<double>(left) / pace)};
        described.worth =
            static_cast<double>(run.prompt_tokens) + output_worth * static_cast<double>(run.expected_tokens);
        runs.push_back(described);
        leaving_.insert_or_assign(run.id, leaving_permit{leaving.pool, leaving.availability_zone, run});
    }
    evacuations_.begin(leaving.endpoint, std::move(runs), state_.now);
}

void pool_manager::offer_places()
{
    while (const auto next = evacuations_.next(state_.now))
    {
        const auto known = leaving_.find(*next);
        if (known == leaving_.end() || !offer_place(known->second))
        {
            evacuations_.postpone(*next, state_.now);
        }
    }
}

bool pool_manager::offer_place(const leaving_permit& leaving)
{
    const auto found = hosted_.find(leaving.pool);
    if (found == hosted_.end())
    {
        return false;
    }
    const auto preference = [&](const endpoint_id& endpoint) -> std::optional<double>
    {
        const endpoint_entry* entry = state_.directory.find(endpoint);
        // The link between regions is too narrow for the memory of a run.
        if (entry == nullptr ||
            state_.entries.region_of(entry->availability_zone) != state_.entries.region_of(leaving.zone))
        {
            return std::nullopt;
        }
        const bool near = entry->availability_zone == leaving.zone;
        return (near ? same_zone_move_preference : 0.0) - (evacuations_.receives(endpoint) ? receiving_penalty : 0.0);
    };
    const auto offer = found->second->offer_place(leaving.run, state_.now, preference);
    if (!offer)
    {
        return false;
    }
    const auto& grant = std::get<permit_grant>(offer->message);
    evacuations_.offered(leaving.run.id, grant.permit, grant.endpoint, state_.now);
    carry_out({*offer});
    return true;
}

void pool_manager::load_reported(const load_report& report)
{
    const endpoint_entry* entry = state_.directory.find(report.endpoint);
    if (entry == nullptr)
    {
        return;
    }
    if (const auto found = hosted_.find(entry->pool); found != hosted_.end())
    {
        carry_out(found->second->report(report, state_.now));
    }
    local(entry->pool).report(report);
}

void pool_manager::health_changed(const endpoint_id& endpoint)
{
    const endpoint_entry* entry = state_.directory.find(endpoint);
    if (entry == nullptr)
    {
        return;
    }
    const double weight = weight_of(endpoint);
    if (const auto found = hosted_.find(entry->pool); found != hosted_.end())
    {
        carry_out(found->second->set_health(endpoint, weight, state_.now));
    }
    local(entry->pool).set_health(endpoint, weight);
}

void pool_manager::records_changed()
{
    for (auto& [pool, target] : hosted_)
    {
        configure(*target);
    }
}

void pool_manager::members_changed()
{
    host_of_.clear();
    for (auto& [pool, chooser] : local_)
    {
        chooser->set_instances(static_cast<std::int64_t>(std::max<std::size_t>(1, state_.members.live_count())));
    }
}

void pool_manager::advance()
{
    if (evacuations_.next_deadline() <= state_.now)
    {
        evacuations_.expire(state_.now);
    }
    offer_places();
    std::erase_if(leaving_, [this](const auto& entry) { return !evacuations_.waits(entry.first); });
    for (auto& [pool, target] : hosted_)
    {
        if (target->next_deadline() <= state_.now)
        {
            carry_out(target->advance(state_.now));
        }
    }
}

time_point pool_manager::next_deadline() const
{
    time_point next = evacuations_.next_deadline();
    for (const auto& [pool, target] : hosted_)
    {
        next = std::min(next, target->next_deadline());
    }
    return next;
}

std::vector<pool_id> pool_manager::hosted() const
{
    std::vector<pool_id> pools;
    for (const auto& [pool, target] : hosted_)
    {
        pools.push_back(pool);
    }
    return pools;
}

std::size_t pool_manager::waiting() const
{
    std::size_t count = 0;
    for (const auto& [pool, target] : hosted_)
    {
        count += target->waiting();
    }
    return count;
}

} // namespace parsleyshift::detail
