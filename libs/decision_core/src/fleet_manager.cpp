#include "fleet_manager.hpp" // fleet_manager

#include <parsleyshift/entry/customer_shard.hpp> // customer_shard

#include <algorithm> // find, min
#include <string>    // string, to_string
#include <utility>   // move

namespace parsleyshift::detail
{
namespace
{

/// Consecutive failures to read the load report after which an endpoint counts as dead; a single lost response does not
/// count.
constexpr int max_load_failures = 2;
/// Interval at which expired quarantine entries and expired health notices are removed.
constexpr duration purge_interval{5'000};

std::string describe(const raw_record& record)
{
    return record.kind + "/" + record.name + " revision " + std::to_string(record.changed.value()) +
           (record.withdrawn ? " withdrawn" : "");
}

} // namespace

void fleet_manager::handle(const configuration_received& answer)
{
    configuration_output output;
    state_.configuration.handle(answer, state_.now, output);
    apply(output);
}

void fleet_manager::handle(const configuration_unavailable& answer)
{
    configuration_output output;
    state_.configuration.handle(answer, state_.now, output);
    apply(output);
}

void fleet_manager::handle(const peer_envelope& envelope)
{
    membership_output members;
    state_.members.handle(envelope, state_.now, members);
    apply(members);
    configuration_output configuration;
    state_.configuration.handle(envelope, state_.now, configuration);
    apply(configuration);
}

void fleet_manager::handle(const instances_listed& list)
{
    membership_output members;
    state_.members.handle_list(list.instances, state_.now, members);
    apply(members);
    const directory_change change = state_.apply_instance_list(list);
    if (change.added.empty() && change.removed.empty() && change.leaving.empty())
    {
        return;
    }
    pools_.endpoints_changed(change);
    engines_.clear();
    for (const auto& listed : list.instances)
    {
        if (listed.role == instance_role::engine && !listed.leaving)
        {
            engines_.push_back({endpoint_id{listed.id}, listed.service, listed.address, listed.region});
        }
    }
    planner_.set_endpoints(engines_);
    topology_changed_ = true;
}

void fleet_manager::handle(const load_reported& reported)
{
    if (state_.directory.handle_load(reported.report, state_.now))
    {
        endpoint_leaving(reported.report.endpoint);
    }
    state_.quarantine.endpoint_survived(reported.report.endpoint);
    pools_.load_reported(reported.report);
    planner_.handle(reported.report, state_.now);
}

void fleet_manager::handle(const load_unavailable& missing)
{
    state_.directory.handle_load_unavailable(missing.endpoint);
    const endpoint_entry* entry = state_.directory.find(missing.endpoint);
    if (entry == nullptr || entry->load_failures < max_load_failures)
    {
        return;
    }
    state_.health.record_failure(missing.endpoint, state_.now);
    if (entry->load_failures == max_load_failures && !entry->leaving)
    {
        state_.endpoint_died(missing.endpoint);
    }
}

void fleet_manager::handle(const cache_reported& reported)
{
    state_.prefixes.apply(reported.endpoint, reported.events);
}

void fleet_manager::handle(const placement_answered& answer)
{
    planner_.handle(answer, state_.now);
}

void fleet_manager::endpoint_leaving(const endpoint_id& endpoint)
{
    state_.log(log_event::endpoint_leaving, endpoint.value());
    pools_.endpoint_leaving(endpoint);
}

void fleet_manager::handle(const entry_query& query)
{
    const entry_ranking ranking = state_.entries.select(query.customer, query.availability_zone, state_.random);
    entry_token token;
    token.instance = state_.self().instance;
    token.started = state_.self().started;
    token.highest_revision = state_.configuration.highest();
    token.issued = state_.now;
    const auto text = state_.tokens.encode(token);
    state_.emit(
        entry_answer{query.request, ranking.entries, ranking.ttl, text.has_value() ? text.value() : std::string{}});
}

void fleet_manager::apply(membership_output& output)
{
    for (auto& message : output.messages)
    {
        state_.emit(std::move(message));
    }
    for (const auto& change : output.changes)
    {
        state_.log(log_event::member_changed, change.instance.value() + " is " + std::string{name_of(change.now)});
        if (const member_update* member = state_.members.find(change.instance))
        {
            state_.entries.update(*member);
        }
    }
    // An instance without peers gets no member changes; joining is its only change of membership.
    const bool joined = std::exchange(joined_, state_.members.joined());
    if (!output.changes.empty() || joined != joined_)
    {
        members_changed();
    }
    if (state_.members.superseded() && !superseded_)
    {
        superseded_ = true;
        state_.log(log_event::stop_began, "a later process has started with this instance's id");
        state_.stopping = true;
    }
}

void fleet_manager::members_changed()
{
    configuration_output output;
    state_.configuration.update_members(state_.members.members(), state_.members.joined(), state_.now, output);
    apply(output);
    pools_.members_changed();
    planner_.update_members(state_.members.members());
    topology_changed_ = true;
}

void fleet_manager::apply(configuration_output& output)
{
    for (auto& message : output.messages)
    {
        state_.emit(std::move(message));
    }
    for (const auto& read : output.reads)
    {
        state_.emit(read);
    }
    for (const auto& rejected : output.rejected)
    {
        state_.log(log_event::configuration_rejected, rejected.kind + "/" + rejected.name + " revision " +
                                                          std::to_string(rejected.changed.value()) + ": " +
                                                          rejected.why.message());
    }
    for (const auto& unreadable : output.unreadable)
    {
        state_.log(log_event::configuration_rejected, unreadable.kind + "/" + unreadable.name + ": schema version " +
                                                          std::to_string(unreadable.schema) +
                                                          " is newer than this process supports; upgrade the instance");
    }
    if (!output.changes.empty())
    {
        apply_records(output.changes);
    }
}

void fleet_manager::apply_records(const std::vector<raw_record>& changes)
{
    for (const auto& record : changes)
    {
        state_.records.apply(record);
        state_.log(log_event::configuration_accepted, describe(record));
        if (record.kind == "customer" && record.withdrawn)
        {
            state_.limits.remove_customer(customer_id{record.name});
        }
    }
    state_.entries.configure(state_.records.fleet());
    update_limits();
    pools_.records_changed();
    planner_.set_configuration(state_.records.placement(), state_.now);
    // A new service can have endpoints that were listed before its record became active.
    topology_changed_ = true;
}

void fleet_manager::update_limits()
{
    for (const auto& [name, customer] : state_.records.customers())
    {
        update_limit(customer);
    }
}

void fleet_manager::update_limit(const customer_record& customer)
{
    const fleet_record& fleet = state_.records.fleet();
    const auto slots = customer_shard(customer.name, fleet.entry_slots, fleet.shard_size);
    limit_share share;
    share.tokens_per_second = customer.tokens_per_second;
    share.burst_tokens = customer.burst_tokens;
    share.shard_size = static_cast<int>(std::max<std::size_t>(1, slots.size()));
    share.holds_slot = std::find(slots.begin(), slots.end(), state_.self().entry_slot) != slots.end();
    state_.limits.set_share(customer.name, share, state_.now);
}

void fleet_manager::update_watches()
{
    std::unordered_set<endpoint_id> wanted;
    const auto watch = [&](const endpoint_entry* entry)
    {
        wanted.insert(entry->endpoint);
        if (watched_.insert(entry->endpoint).second)
        {
            // The last value enables the watch.
            state_.emit(watch_endpoint{entry->endpoint, entry->address, entry->engine, true});
        }
    };
    // Limited to the pool used for each service and the pools scheduled here: the cost of reading the load of every
    // pool would grow, on each instance, with the number of endpoints of the whole fleet.
    std::unordered_set<pool_id> pools;
    for (const auto& [key, record] : state_.records.raw())
    {
        if (key.kind != "service")
        {
            continue;
        }
        if (const auto used = pools_.pool_for(service_id{key.name}))
        {
            pools.insert(*used);
        }
        for (const pool_id& pool : state_.directory.pools_of(service_id{key.name}))
        {
            if (pools_.scheduler_instance_of(pool) == state_.self().instance)
            {
                pools.insert(pool);
            }
        }
    }
    for (const pool_id& pool : pools)
    {
        const bool scheduled_here = pools_.scheduler_instance_of(pool) == state_.self().instance;
        const auto& used =
            scheduled_here ? state_.directory.endpoints_of(pool) : state_.candidates.subset_of(pool, state_.directory);
        std::for_each(used.begin(), used.end(), watch);
    }
    for (auto current = watched_.begin(); current != watched_.end();)
    {
        if (wanted.contains(*current))
        {
            ++current;
            continue;
        }
        // The last value disables the watch; address and `engine` are not needed for that.
        state_.emit(watch_endpoint{*current, {}, true, false});
        current = watched_.erase(current);
    }
}

void fleet_manager::evaluate_health()
{
    for (const auto& change : state_.health.evaluate(state_.now))
    {
        reduced_weight_.insert(change.endpoint);
        const bool ejected = change.state == health_state::ejected;
        state_.log(ejected ? log_event::endpoint_ejected : log_event::endpoint_restored,
                   change.endpoint.value() + " is " + std::string{name_of(change.state)});
        const endpoint_entry* entry = state_.directory.find(change.endpoint);
        if (entry == nullptr)
        {
            continue;
        }
        const instance_id& scheduler = pools_.scheduler_instance_of(entry->pool);
        if (scheduler != state_.self().instance)
        {
            state_.send(scheduler, endpoint_health_notice{
                                       entry->pool, change.endpoint, state_.health.weight(change.endpoint, state_.now),
                                       state_.now + state_.settings.requests.health_notice_lifetime});
        }
    }
    // After a recovery the weight rises over time without a change of the health state.
    for (auto endpoint = reduced_weight_.begin(); endpoint != reduced_weight_.end();)
    {
        pools_.health_changed(*endpoint);
        const bool restored = state_.health.weight(*endpoint, state_.now) >= 1.0;
        endpoint = restored ? reduced_weight_.erase(endpoint) : std::next(endpoint);
    }
}

void fleet_manager::advance()
{
    if (state_.members.next_deadline() <= state_.now)
    {
        membership_output members;
        state_.members.expire(state_.now, members);
        apply(members);
    }
    if (state_.configuration.next_deadline() <= state_.now)
    {
        configuration_output configuration;
        state_.configuration.expire(state_.now, configuration);
        apply(configuration);
    }
    if (state_.health.next_evaluation() <= state_.now)
    {
        evaluate_health();
    }
    if (planner_.next_deadline() <= state_.now)
    {
        std::vector<send_placement_order> orders;
        planner_.expire(state_.now, orders);
        for (auto& order : orders)
        {
            state_.log(log_event::placement_ordered, std::string{name_of(order.order.action)} + " " +
                                                         order.order.model.value() + " at " +
                                                         order.order.endpoint.value());
            state_.emit(std::move(order));
        }
    }
    if (next_purge_ <= state_.now)
    {
        state_.quarantine.purge(state_.now);
        state_.reported_health.purge(state_.now);
        next_purge_ = state_.now + purge_interval;
    }
}

bool fleet_manager::take_topology_change()
{
    if (topology_changed_)
    {
        update_watches();
    }
    return std::exchange(topology_changed_, false);
}

void fleet_manager::leave()
{
    membership_output members;
    state_.members.leave(state_.now, members);
    apply(members);
    state_.entries.update(state_.members.self());
}

time_point fleet_manager::next_deadline() const
{
    return std::min({state_.members.next_deadline(), state_.configuration.next_deadline(),
                     state_.health.next_evaluation(), planner_.next_deadline(), next_purge_});
}

} // namespace parsleyshift::detail
