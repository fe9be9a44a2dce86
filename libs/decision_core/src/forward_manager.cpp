#include "forward_manager.hpp" // forward_manager

#include <algorithm> // max
#include <utility>   // move

namespace parsleyshift::detail
{
namespace
{

/// Time to come back for a request that arrives before the instance can judge it.
constexpr duration come_back_when_configured{1'000};

class_id class_of(int priority)
{
    return class_id{"priority-" + std::to_string(priority)};
}

} // namespace

bool forward_manager::configure(const forwarding_configuration& configuration)
{
    if (routes_ && configuration.version <= routes_->configuration().version)
    {
        return false;
    }
    routes_.emplace(configuration);
    // The most urgent class of streams has a lane of its own when there are others.
    int most_urgent = 0;
    int least_urgent = 0;
    bool any = false;
    for (const route& each : configuration.routes)
    {
        if (each.kind == route_kind::stream)
        {
            most_urgent = any ? std::min(most_urgent, each.priority) : each.priority;
            least_urgent = any ? std::max(least_urgent, each.priority) : each.priority;
            any = true;
        }
    }
    for (const route& each : configuration.routes)
    {
        priority_record known;
        known.name = class_of(each.priority);
        known.level = -each.priority;
        known.uses = each.priority == most_urgent && most_urgent != least_urgent ? lane::reserved : lane::shared;
        state_.records.put(known);
    }
    pools_.records_changed();
    return true;
}

void forward_manager::confirm(time_point as_of)
{
    confirmed_ = std::max(confirmed_, as_of);
    for (const auto& [request, active] : active_)
    {
        const bool holds = active->key().empty() || (routes_ && routes_->holder_of(active->key()) != nullptr);
        if (holds)
        {
            active->confirm_key(confirmed_ + state_.settings.forwarding.key_lease);
        }
    }
}

bool forward_manager::fresh(time_point now) const
{
    return routes_.has_value() && now - state_.settings.forwarding.key_lease < confirmed_;
}

error forward_manager::too_old(std::string_view what) const
{
    return make_error(error_kind::configuration_missing,
                      "the configuration is too old to tell whether the " + std::string{what} + " exists",
                      duration{come_back_when_configured});
}

result<key_holder> forward_manager::identify(const forward_request& asked, const route& where) const
{
    const key_holder* holder = asked.key.empty() ? nullptr : routes_->holder_of(asked.key);
    const bool is_fresh = fresh(state_.now);
    if (holder != nullptr && is_fresh)
    {
        return *holder;
    }
    if (!routes_->has_customers() || where.anonymous)
    {
        return key_holder{};
    }
    if (!is_fresh)
    {
        return too_old("key");
    }
    return make_error(error_kind::unauthenticated, "the key is unknown");
}

result<admission> forward_manager::admit(const forward_request& asked)
{
    if (state_.now >= closes_)
    {
        return make_error(error_kind::shutting_down, "the instance is about to end", duration{0});
    }
    if (!routes_)
    {
        return make_error(error_kind::configuration_missing, "no configuration is in force yet",
                          state_.come_back(come_back_when_configured));
    }
    const route* where = routes_->find(asked.host, asked.path);
    if (where == nullptr)
    {
        if (!fresh(state_.now))
        {
            return too_old("route");
        }
        return make_error(error_kind::not_found, "no route of " + asked.host + " leads to " + asked.path);
    }
    if (where->kind == route_kind::stream && state_.now >= streams_close_)
    {
        return make_error(error_kind::shutting_down, "the instance is about to end", duration{0});
    }
    BOOST_OUTCOME_TRY(const key_holder holder, identify(asked, *where));
    const route_target* target = route_index::draw(*where, state_.random);
    if (target == nullptr)
    {
        return make_error(error_kind::no_endpoint, "route " + where->name + " has no service",
                          state_.come_back(come_back_when_configured));
    }
    admission admitted;
    admitted.where = *where;
    admitted.service = target->service;
    admitted.customer = holder.customer;
    admitted.priority = holder.priority.value_or(where->priority);
    admitted.work_class = class_of(where->priority);
    if (const forwarding_service* service = routes_->service(target->service))
    {
        admitted.engine = where->kind == route_kind::stream ? service->engine : std::nullopt;
    }
    if (!holder.customer.empty())
    {
        admitted.key_valid_until = confirmed_ + state_.settings.forwarding.key_lease;
    }
    admitted.version = routes_->configuration().version;
    admitted.configuration_age = state_.now - confirmed_;
    return admitted;
}

void forward_manager::handle(const forward_request& asked)
{
    last_arrival_ = state_.now;
    auto admitted = admit(asked);
    if (!admitted.has_value() || active_.size() >= state_.settings.requests.capacity)
    {
        error why = admitted.has_value() ? make_error(error_kind::queue_full, "too many requests are in progress",
                                                      state_.come_back(come_back_when_configured))
                                         : admitted.error();
        state_.log(log_event::request_ended,
                   "id=" + asked.caller_id + " outcome=not_run why=" + std::string{name_of(why.kind)} +
                       " detail=" + why.detail +
                       " config=" + (routes_ ? std::to_string(routes_->configuration().version) : std::string{"none"}));
        request_finished ended;
        ended.what = outcome::not_run;
        ended.why = why.kind;
        state_.emit(ended);
        state_.reject(asked.request, outcome::not_run, std::move(why));
        return;
    }
    active_.insert_or_assign(asked.request,
                             std::make_unique<forward>(state_, pools_, asked, std::move(admitted).value()));
    with(asked.request, [](forward& begun) { begun.begin(); });
}

void forward_manager::handle(const permit_grant& grant, const instance_id& from)
{
    const bool wanted = active_.contains(grant.request);
    with(grant.request, [&](forward& active) { active.permitted(grant, true); });
    if (!wanted)
    {
        // The request has ended meanwhile; the permit goes back to the scheduler that granted it.
        const endpoint_entry* entry = state_.directory.find(grant.endpoint);
        const pool_id pool = entry == nullptr ? pool_id{} : entry->pool;
        state_.send(from, permit_return{pool, grant.permit, grant.endpoint, {}, {}, 0, false});
    }
}

void forward_manager::scheduler_moved()
{
    for (auto& [request, active] : active_)
    {
        active->scheduler_moved();
    }
}

} // namespace parsleyshift::detail
