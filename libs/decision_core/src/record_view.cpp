#include "record_view.hpp" // record_view

#include <parsleyshift/core/name_table.hpp> // value_of

#include <algorithm>   // max
#include <type_traits> // is_same_v
#include <variant>     // visit

namespace parsleyshift::detail
{
namespace
{

template <class Key, class Value>
const Value* find_value(const std::unordered_map<Key, Value>& values, const Key& key)
{
    const auto found = values.find(key);
    return found == values.end() ? nullptr : &found->second;
}

bool affects_placement(record_kind kind)
{
    return kind == record_kind::service || kind == record_kind::model || kind == record_kind::fleet;
}

} // namespace

record_check_result parsing_acceptor::operator()(const raw_record& record) const
{
    const auto parsed = parse_record(record);
    if (parsed.has_value())
    {
        return {acceptance::accepted, std::nullopt};
    }
    const bool newer_schema =
        parsed.error().kind == error_kind::unsupported_schema && record.schema > latest_record_schema;
    return {newer_schema ? acceptance::unreadable : acceptance::rejected, parsed.error()};
}

record_kind record_view::apply(const raw_record& record)
{
    const record_kind kind = value_of<record_kind>(record.kind).value_or(record_kind::service);
    if (affects_placement(kind))
    {
        latest_placement_ = std::max(latest_placement_, record.changed);
    }
    const record_key key{record.kind, record.name};
    if (record.withdrawn)
    {
        raw_.erase(key);
        remove(kind, record.name);
        return kind;
    }
    if (const auto parsed = parse_record(record); parsed.has_value())
    {
        raw_[key] = record;
        put(parsed.value());
    }
    return kind;
}

void record_view::put(const record_body& body)
{
    std::visit(
        [this](const auto& record)
        {
            using type = std::decay_t<decltype(record)>;
            if constexpr (std::is_same_v<type, service_record>)
            {
                services_[record.name] = record;
            }
            else if constexpr (std::is_same_v<type, customer_record>)
            {
                customers_[record.name] = record;
            }
            else if constexpr (std::is_same_v<type, model_record>)
            {
                models_[record.name] = record;
            }
            else if constexpr (std::is_same_v<type, priority_record>)
            {
                priorities_[record.name] = record;
            }
            else
            {
                fleet_ = record;
            }
        },
        body);
}

void record_view::remove(record_kind kind, const std::string& name)
{
    switch (kind)
    {
    case record_kind::service:
        services_.erase(service_id{name});
        break;
    case record_kind::customer:
        customers_.erase(customer_id{name});
        break;
    case record_kind::model:
        models_.erase(model_id{name});
        break;
    case record_kind::priority:
        priorities_.erase(class_id{name});
        break;
    case record_kind::fleet:
        fleet_ = fleet_record{};
        break;
    }
}

const service_record* record_view::service(const service_id& name) const
{
    return find_value(services_, name);
}

const customer_record* record_view::customer(const customer_id& name) const
{
    return find_value(customers_, name);
}

const priority_record* record_view::priority(const class_id& name) const
{
    return find_value(priorities_, name);
}

placement_configuration record_view::placement() const
{
    placement_configuration configuration;
    for (const auto& [key, raw] : raw_)
    {
        if (const auto* service = find_value(services_, service_id{key.name});
            key.kind == "service" && service != nullptr)
        {
            configuration.services.push_back({*service, raw.changed});
        }
        if (const auto* model = find_value(models_, model_id{key.name}); key.kind == "model" && model != nullptr)
        {
            configuration.models.push_back({*model, raw.changed});
        }
    }
    configuration.fleet = fleet_;
    configuration.latest_revision = latest_placement_;
    return configuration;
}

} // namespace parsleyshift::detail
