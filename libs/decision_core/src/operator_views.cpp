#include "operator_views.hpp" // operator_view_json

#include <parsleyshift/entry/customer_shard.hpp> // customer_shard

#include <nlohmann/json.hpp> // json

namespace parsleyshift::detail
{
namespace
{

using nlohmann::json;

json members_json(const core_state& state)
{
    json members = json::array();
    for (const auto& member : state.members.members())
    {
        members.push_back({{"instance", member.instance.value()},
                           {"state", name_of(member.state)},
                           {"availability_zone", member.availability_zone.value()},
                           {"region", member.region.value()},
                           {"address", member.address},
                           {"entry_slot", member.entry_slot},
                           {"incarnation", member.started.value()},
                           {"schema", member.schema},
                           {"busy_percent", member.busy_percent}});
    }
    return members;
}

json endpoint_json(const core_state& state, const endpoint_entry& entry)
{
    const endpoint_load load = state.ledger.load(entry);
    return {{"endpoint", entry.endpoint.value()},
            {"availability_zone", entry.availability_zone.value()},
            {"address", entry.address},
            {"leaving", entry.leaving},
            {"health", name_of(state.health.state(entry.endpoint))},
            {"weight", state.health.weight(entry.endpoint, state.now)},
            {"requests", load.requests},
            {"slots", load.slots},
            {"memory", load.memory},
            {"memory_capacity", load.memory_capacity},
            {"in_flight_here", state.ledger.in_flight(entry.endpoint)}};
}

json pools_json(const core_state& state, pool_manager& pools)
{
    json pool_list = json::array();
    for (const auto& [key, record] : state.records.raw())
    {
        if (key.kind != "service")
        {
            continue;
        }
        for (const pool_id& pool : state.directory.pools_of(service_id{key.name}))
        {
            json endpoints = json::array();
            for (const endpoint_entry* entry : state.directory.endpoints_of(pool))
            {
                endpoints.push_back(endpoint_json(state, *entry));
            }
            pool_list.push_back({{"pool", pool.value()},
                                 {"scheduler", pools.scheduler_instance_of(pool).value()},
                                 {"endpoints", std::move(endpoints)}});
        }
    }
    return pool_list;
}

json status_json(const core_state& state, pool_manager& pools, const request_counts& counts)
{
    return {{"instance", state.self().instance.value()},
            {"incarnation", state.self().started.value()},
            {"availability_zone", state.self().availability_zone.value()},
            {"region", state.self().region.value()},
            {"ready", state.configuration.ready()},
            {"stopping", state.stopping},
            {"revision", state.configuration.highest().value()},
            {"revision_floor", state.configuration.floor().value()},
            {"configuration_reader", state.configuration.is_reader()},
            {"health_score", state.members.health_score()},
            {"generations", counts.generations},
            {"calls", counts.calls},
            {"orders_held", counts.orders_held},
            {"waiting_here", pools.waiting()},
            {"members", members_json(state)},
            {"pools", pools_json(state, pools)}};
}

json explain_json(const core_state& state, pool_manager& pools, const operator_query& query)
{
    const service_record* service = state.records.service(query.service);
    const customer_record* customer = state.records.customer(query.customer);
    const fleet_record& fleet = state.records.fleet();
    json answer{{"customer", query.customer.value()},
                {"service", query.service.value()},
                {"service_known", service != nullptr},
                {"customer_known", customer != nullptr},
                {"entry_slots", customer_shard(query.customer, fleet.entry_slots, fleet.shard_size)},
                {"serves_customer_here", state.entries.serves(query.customer)},
                {"tokens_available_here", state.limits.available(query.customer, state.now)}};
    if (customer != nullptr)
    {
        answer["weight"] = customer->weight;
        answer["tokens_per_second"] = customer->tokens_per_second;
    }
    if (service == nullptr)
    {
        return answer;
    }
    answer["kind"] = name_of(service->kind);
    answer["default_class"] = service->default_class.value();
    if (const auto pool = pools.pool_for(query.service))
    {
        json endpoints = json::array();
        for (const endpoint_entry* entry : state.directory.endpoints_of(*pool))
        {
            endpoints.push_back(endpoint_json(state, *entry));
        }
        answer["pool"] = pool->value();
        answer["scheduler"] = pools.scheduler_instance_of(*pool).value();
        answer["endpoints"] = std::move(endpoints);
    }
    return answer;
}

json records_json(const core_state& state)
{
    json records = json::array();
    for (const auto& [key, record] : state.records.raw())
    {
        records.push_back({{"kind", record.kind},
                           {"name", record.name},
                           {"revision", record.changed.value()},
                           {"schema", record.schema},
                           {"body", json::parse(record.body, nullptr, false)}});
    }
    return {{"revision", state.configuration.highest().value()}, {"records", std::move(records)}};
}

} // namespace

std::string operator_view_json(const core_state& state, pool_manager& pools, const request_counts& counts,
                               const operator_query& query)
{
    switch (query.what)
    {
    case operator_view::explain:
        return explain_json(state, pools, query).dump();
    case operator_view::records:
        return records_json(state).dump();
    case operator_view::status:
        break;
    }
    return status_json(state, pools, counts).dump();
}

} // namespace parsleyshift::detail
