#include "forward_manager.hpp" // forward_manager

#include <algorithm> // max
#include <utility>   // exchange, move
#include <vector>    // vector

namespace parsleyshift::detail
{
namespace
{

/// Expected wait from which the retry_after of a rejected request is drawn.
constexpr duration admission_retry_after{1'000};

/// Maximum time for which a new process holds back the confirmation of its configuration until a peer has answered: two
/// join requests, 300 ms apart, and a round trip between regions.
constexpr duration first_peer_wait{700};

class_id class_of(int priority)
{
    return class_id{"priority-" + std::to_string(priority)};
}

} // namespace

bool forward_manager::configure(const forwarding_configuration& configuration)
{
    const std::int64_t version_in_force = routes_ ? routes_->configuration().version : configuration.version;
    source_lost_version_ = configuration.version < version_in_force;
    if (source_lost_version_)
    {
        state_.log(log_event::configuration_rejected,
                   "version=" + std::to_string(configuration.version) + " is older than " +
                       std::to_string(version_in_force) +
                       ", which stays in force but is not confirmed; write the configuration again");
    }
    if (routes_ && configuration.version <= version_in_force)
    {
        return false;
    }
    routes_.emplace(configuration);
    for (const std::string& note : configuration.notes)
    {
        state_.log(log_event::configuration_field_unreadable,
                   "version=" + std::to_string(configuration.version) + " " + note);
    }
    state_.durations.retain(configuration.routes);
    // The most urgent class of streams gets the reserved lane when there is a less urgent one.
    int most_urgent = 0;
    int least_urgent = 0;
    bool has_stream = false;
    for (const route& each : configuration.routes)
    {
        if (each.kind == route_kind::stream)
        {
            most_urgent = has_stream ? std::min(most_urgent, each.priority) : each.priority;
            least_urgent = has_stream ? std::max(least_urgent, each.priority) : each.priority;
            has_stream = true;
        }
    }
    for (const route& each : configuration.routes)
    {
        priority_record record;
        record.name = class_of(each.priority);
        record.level = -each.priority;
        record.assigned_lane =
            each.priority == most_urgent && most_urgent != least_urgent ? lane::reserved : lane::shared;
        state_.records.put(record);
    }
    pools_.records_changed();
    return true;
}

void forward_manager::apply_regions()
{
    update_all(
        [this](forwarded_request& active)
        {
            const forward_request& request = active.request();
            const admission& admitted = active.admitted();
            // A route or key that was removed leaves the request its regions.
            const route* matched = routes_->find(request.host, request.path);
            const bool has_holder = !request.key.empty() && routes_->holder_of(request.key) != nullptr;
            const region_set route_regions = matched == nullptr ? admitted.matched_route.regions : matched->regions;
            const region_set holder_regions = has_holder ? customer_regions(request) : admitted.customer_regions;
            active.set_regions(route_regions, holder_regions);
        });
}

void forward_manager::on_endpoints_changed()
{
    update_all([](forwarded_request& active) { active.on_endpoints_changed(); });
}

void forward_manager::confirm(time_point as_of)
{
    if (source_lost_version_ || !routes_)
    {
        return;
    }
    if (!state_.members.joined())
    {
        join_deadline_ = std::min(join_deadline_, state_.now + first_peer_wait);
        if (state_.now < join_deadline_)
        {
            held_read_ = as_of;
            return;
        }
    }
    const std::int64_t version = routes_->configuration().version;
    const bool was_held = held_read_.has_value();
    held_read_.reset();
    if (peer_versions_.shows_loss(version, as_of) || (was_held && peer_versions_.is_older(version)))
    {
        end_lease();
        return;
    }
    lease_end_logged_ = false;
    confirmed_at_ = std::max(confirmed_at_, as_of);
    for (const auto& [request, active] : active_)
    {
        const bool key_valid = active->key().empty() || (routes_ && routes_->holder_of(active->key()) != nullptr);
        if (key_valid)
        {
            active->set_key_valid_until(confirmed_at_ + state_.settings.forwarding.max_key_age);
        }
    }
}

void forward_manager::advance()
{
    if (held_read_ && (state_.members.joined() || state_.now >= join_deadline_))
    {
        confirm(*held_read_);
    }
}

void forward_manager::end_lease()
{
    confirmed_at_ = time_point::min();
    for (const auto& [request, active] : active_)
    {
        if (!active->key().empty())
        {
            active->set_key_valid_until(state_.now);
        }
    }
    if (!std::exchange(lease_end_logged_, true))
    {
        state_.log(log_event::configuration_rejected,
                   "version=" + std::to_string(routes_->configuration().version) + " is older than " +
                       std::to_string(peer_versions_.version()) +
                       ", which a peer has in force; keys are not accepted until it is read again");
    }
}

bool forward_manager::is_fresh(time_point now) const
{
    return routes_.has_value() && now - state_.settings.forwarding.max_key_age < confirmed_at_;
}

error forward_manager::stale_configuration_error(std::string_view subject) const
{
    return make_error(error_kind::configuration_missing,
                      "the configuration is too old to decide whether the " + std::string{subject} + " exists",
                      duration{admission_retry_after});
}

result<key_holder> forward_manager::authenticate(const forward_request& request, const route& matched) const
{
    const key_holder* holder = request.key.empty() ? nullptr : routes_->holder_of(request.key);
    const bool fresh = is_fresh(state_.now);
    if (holder != nullptr && fresh)
    {
        return *holder;
    }
    if (!routes_->requires_key() || matched.anonymous)
    {
        return key_holder{};
    }
    if (!fresh)
    {
        return stale_configuration_error("key");
    }
    return make_error(error_kind::unauthenticated, "the API key is unknown");
}

region_set forward_manager::customer_regions(const forward_request& request) const
{
    const key_holder* holder = request.key.empty() ? nullptr : routes_->holder_of(request.key);
    return holder == nullptr ? region_set{} : holder->regions;
}

result<admission> forward_manager::admit(const forward_request& request)
{
    if (state_.now >= refuse_all_from_)
    {
        return make_error(error_kind::shutting_down, "the instance is stopping", duration{0});
    }
    if (!routes_)
    {
        return make_error(error_kind::configuration_missing, "no configuration is in force yet",
                          state_.draw_retry_after(admission_retry_after));
    }
    const route* matched = routes_->find(request.host, request.path);
    if (matched == nullptr)
    {
        if (!is_fresh(state_.now))
        {
            return stale_configuration_error("route");
        }
        return make_error(error_kind::not_found, "no route of host " + request.host + " matches path " + request.path);
    }
    if (matched->kind == route_kind::stream && state_.now >= refuse_streams_from_)
    {
        return make_error(error_kind::shutting_down, "the instance is stopping", duration{0});
    }
    BOOST_OUTCOME_TRY(const key_holder holder, authenticate(request, *matched));
    const route_target* target = route_index::draw(*matched, state_.random);
    if (target == nullptr)
    {
        return make_error(error_kind::no_endpoint, "route " + matched->name + " has no target service",
                          state_.draw_retry_after(admission_retry_after));
    }
    admission admitted;
    admitted.matched_route = *matched;
    admitted.service = target->service;
    // Also for a request that is served without its key, since the key may be too old: its customer is still known.
    admitted.customer_regions = customer_regions(request);
    admitted.regions = matched->regions.intersection(admitted.customer_regions);
    admitted.customer = holder.customer;
    admitted.priority = holder.priority.value_or(matched->priority);
    admitted.work_class = class_of(matched->priority);
    if (const forwarding_service* service = routes_->service(target->service))
    {
        admitted.capacity = matched->kind == route_kind::stream ? service->engine : std::nullopt;
    }
    if (!holder.customer.empty())
    {
        admitted.key_valid_until = confirmed_at_ + state_.settings.forwarding.max_key_age;
    }
    admitted.configuration_version = routes_->configuration().version;
    admitted.configuration_age = state_.now - confirmed_at_;
    return admitted;
}

void forward_manager::handle(const forward_request& request)
{
    last_arrival_ = state_.now;
    auto admitted = admit(request);
    if (!admitted.has_value() || active_.size() >= state_.settings.requests.capacity)
    {
        error reason = admitted.has_value() ? make_error(error_kind::queue_full, "too many requests are in progress",
                                                         state_.draw_retry_after(admission_retry_after))
                                            : admitted.error();
        state_.log(log_event::request_ended,
                   "id=" + request.caller_id + " outcome=not_run why=" + std::string{name_of(reason.kind)} +
                       " detail=" + reason.detail +
                       " config=" + (routes_ ? std::to_string(routes_->configuration().version) : std::string{"none"}));
        request_finished ended;
        ended.what = outcome::not_run;
        ended.why = reason.kind;
        state_.emit(ended);
        state_.reject(request.request, outcome::not_run, std::move(reason));
        return;
    }
    active_.insert_or_assign(request.request,
                             std::make_unique<forwarded_request>(state_, pools_, request, std::move(admitted).value()));
    update(request.request, [](forwarded_request& added) { added.start(); });
}

void forward_manager::handle(const permit_grant& grant, const instance_id& from)
{
    const bool in_progress = active_.contains(grant.request);
    update(grant.request, [&](forwarded_request& active) { active.on_permit_granted(grant, true); });
    if (!in_progress)
    {
        // The request has ended in the meantime: returns the permit to the scheduler that granted it.
        const endpoint_entry* entry = state_.directory.find(grant.endpoint);
        const pool_id pool = entry == nullptr ? pool_id{} : entry->pool;
        state_.send(from, permit_return{pool, grant.permit, grant.endpoint, {}, {}, 0, false});
    }
}

void forward_manager::reject_blocked()
{
    update_all([](forwarded_request& active) { active.reject_if_blocked(); });
}

void forward_manager::begin_stop()
{
    update_all([](forwarded_request& active) { active.on_stop_began(); });
}

void forward_manager::end_stop()
{
    update_all([](forwarded_request& active) { active.on_stop_ending(); });
}

void forward_manager::on_links_lost()
{
    update_all([](forwarded_request& active) { active.on_links_lost(); });
}

void forward_manager::on_evacuated_zones_changed()
{
    update_all([](forwarded_request& active) { active.on_evacuated_zones_changed(); });
}

bool forward_manager::may_send(attempt_id attempt) const
{
    const auto found = state_.attempts.find(attempt);
    const auto active = found == state_.attempts.end() ? active_.end() : active_.find(found->second.request);
    return active != active_.end() && active->second->may_send();
}

void forward_manager::on_schedulers_changed()
{
    for (auto& [request, active] : active_)
    {
        active->on_scheduler_changed();
    }
}

} // namespace parsleyshift::detail
