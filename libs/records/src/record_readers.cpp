#include "record_readers.hpp" // record_readers

#include <algorithm> // all_of, count_if

namespace parsleyshift::detail
{
namespace
{

/// Largest accepted rate of a customer in tokens per second and largest accepted burst in tokens.
constexpr double max_customer_tokens = 1e9;
/// Largest accepted size of a model's weights in bytes and rate of reads from the weight store in bytes per second;
/// below 2^53, so that doubles hold it exactly.
constexpr double max_store_bytes = 1e15;

json_reader<operation_record> operation_reader(std::string_view idempotent_key)
{
    return json_reader<operation_record>{"An operation of a plain service."}
        .field("name", &operation_record::name,
               {.description = "Name that callers use.", .required = true, .pattern = patterns::name})
        .field(idempotent_key, &operation_record::idempotent,
               {.description = "True: repeating a call is harmless. False: each call needs an order key."});
}

bool has_unique_operation_names(const service_record& service)
{
    const auto& all = service.operations;
    const auto appears_once = [&all](const operation_record& operation)
    {
        const auto same = [&operation](const operation_record& other)
        {
            return other.name == operation.name;
        };
        return std::count_if(all.begin(), all.end(), same) == 1;
    };
    return std::all_of(all.begin(), all.end(), appears_once);
}

json_reader<service_record> service_reader(std::string_view kind_key, std::string_view idempotent_key)
{
    json_reader<service_record> reader{"A service: a named group of endpoints, either engines or plain services."};
    reader
        .field(kind_key, &service_record::kind,
               {.description = "engine: runs generations; plain: runs operations.", .required = true})
        .field(
            "models", &service_record::models,
            {.description = "Models that the service's engines may hold.", .pattern = patterns::name, .max_items = 256})
        .list("operations", &service_record::operations, operation_reader(idempotent_key),
              {.description = "Operations of a plain service.", .max_items = 256})
        .field("default_class", &service_record::default_class,
               {.description = "Priority class of requests that do not specify one.",
                .required = true,
                .pattern = patterns::name})
        .condition([](const service_record& service)
                   { return service.kind == service_kind::plain || service.operations.empty(); },
                   "operations", "must be empty for a service of engines", "remove the operations")
        .condition([](const service_record& service)
                   { return service.kind == service_kind::engine || service.models.empty(); },
                   "models", "must be empty for a plain service", "remove the models")
        .condition(has_unique_operation_names, "operations", "must have different names",
                   "rename one of the operations");
    return reader;
}

const field_rule max_tokens_rule{
    .description = "Largest number of tokens that one generation may produce.", .minimum = 1, .maximum = 10'000'000};
const field_rule checks_keys_rule{
    .description = "The endpoints store the keys of executed orders and reject an order whose key is stored."};
const field_rule fencing_rule{.description = "The endpoints reject placement orders with an outdated fencing number."};

json_reader<service_record> service_v1()
{
    return service_reader("kind", "idempotent")
        .field("max_tokens", &service_record::max_tokens, max_tokens_rule)
        .field("checks_keys", &service_record::checks_keys, checks_keys_rule)
        .field("honours_fencing", &service_record::honours_fencing, fencing_rule);
}

json_reader<service_record> service_v2()
{
    json_reader<service_record> generation{"Bounds on generations."};
    generation.field("max_tokens", &service_record::max_tokens, max_tokens_rule);
    json_reader<service_record> checks{"Checks that the endpoints of the service perform."};
    checks.field("order_keys", &service_record::checks_keys, checks_keys_rule)
        .field("fencing", &service_record::honours_fencing, fencing_rule);
    return service_reader("endpoints", "repeatable")
        .nested_fields("generation", generation)
        .nested_fields("checks", checks);
}

json_reader<customer_record> customer_reader()
{
    json_reader<customer_record> reader{"A customer with its capacity share, rate limit and key."};
    reader
        .field("weight", &customer_record::weight,
               {.description = "Relative share of the capacity under load.", .minimum = 0.001, .maximum = 1'000'000})
        .field("key_sha256", &customer_record::key_sha256,
               {.description = "Hex SHA-256 of the customer key; empty: callers are not authenticated.",
                .pattern = patterns::sha256_or_empty})
        .condition([](const customer_record& customer)
                   { return customer.tokens_per_second == 0 || customer.burst_tokens > 0; },
                   "", "has a limit but no burst, so no request could ever run",
                   "allow a burst of at least the tokens of one request");
    return reader;
}

const field_rule rate_rule{
    .description = "Tokens per second; 0: no limit.", .minimum = 0, .maximum = max_customer_tokens};
const field_rule burst_rule{.description = "Largest burst in tokens.", .minimum = 0, .maximum = max_customer_tokens};

json_reader<customer_record> customer_v1()
{
    return customer_reader()
        .field("tokens_per_second", &customer_record::tokens_per_second, rate_rule)
        .field("burst_tokens", &customer_record::burst_tokens, burst_rule);
}

json_reader<customer_record> customer_v2()
{
    json_reader<customer_record> limit{"Limit on tokens; absent: no limit."};
    limit.field("rate", &customer_record::tokens_per_second, rate_rule)
        .field("burst", &customer_record::burst_tokens, burst_rule);
    return customer_reader().nested_fields("limit", limit);
}

json_reader<model_record> model_reader()
{
    json_reader<model_record> reader{"A model, its weights and its placement."};
    reader
        .field("service", &model_record::service,
               {.description = "Service whose engines hold the model.", .required = true, .pattern = patterns::name})
        .field("version", &model_record::version,
               {.description = "Version of the weights.", .required = true, .pattern = patterns::name})
        .field("adapters", &model_record::adapters,
               {.description = "Adapters loaded with the model.", .pattern = patterns::name, .max_items = 64})
        .field("role", &model_record::role,
               {.description = "Role of the engines that hold the model, for example prefill or decode.",
                .pattern = patterns::name})
        .field("weight_bytes", &model_record::weight_bytes,
               {.description = "Bytes read from the weight store for one load.",
                .minimum = 0,
                .maximum = max_store_bytes});
    return reader;
}

const field_rule min_ready_rule{.description =
                                    "Smallest number of endpoints that serve the model while others load it.",
                                .minimum = 0,
                                .maximum = 100'000};
const field_rule share_rule{
    .description = "Relative share of the service's endpoints.", .minimum = 0, .maximum = 1'000'000};

json_reader<model_record> model_v1()
{
    return model_reader()
        .field("min_ready", &model_record::min_ready, min_ready_rule)
        .field("share", &model_record::share, share_rule);
}

json_reader<model_record> model_v2()
{
    json_reader<model_record> placement{"Placement of the model."};
    placement.field("min_ready", &model_record::min_ready, min_ready_rule)
        .field("share", &model_record::share, share_rule);
    return model_reader().nested_fields("placement", placement);
}

json_reader<priority_record> priority_reader()
{
    json_reader<priority_record> reader{"A priority class of requests."};
    reader
        .field("level", &priority_record::level,
               {.description = "Requests of a higher level run first.",
                .required = true,
                .minimum = -1000,
                .maximum = 1000})
        .field("hedged", &priority_record::hedged,
               {.description =
                    "Idempotent requests of this class may be sent to a second endpoint when the first is slow."});
    return reader;
}

const field_rule queue_rule{
    .description = "Largest number of requests queued in one pool.", .minimum = 1, .maximum = 1'000'000};
const field_rule timeout_rule{.description =
                                  "Milliseconds within which a request must start if the caller specifies none.",
                              .minimum = 1,
                              .maximum = 86'400'000};

json_reader<priority_record> priority_v1()
{
    return priority_reader()
        .field_with_accessors<bool>(
            "reserved", [](const priority_record& priority) { return priority.assigned_lane == lane::reserved; },
            [](priority_record& priority, bool reserved)
            { priority.assigned_lane = reserved ? lane::reserved : lane::shared; },
            {.description = "True: the class uses the slots and memory that are reserved for short requests."})
        .field("queue_limit", &priority_record::queue_limit, queue_rule)
        .field("default_timeout_ms", &priority_record::default_timeout, timeout_rule);
}

json_reader<priority_record> priority_v2()
{
    json_reader<priority_record> queue{"Queue of the class."};
    queue.field("limit", &priority_record::queue_limit, queue_rule)
        .field("timeout_ms", &priority_record::default_timeout, timeout_rule);
    return priority_reader()
        .field(
            "lane", &priority_record::assigned_lane,
            {.description = "reserved: uses the slots and memory reserved for short requests; shared: uses the rest."})
        .nested_fields("queue", queue);
}

const field_rule slots_rule{.description = "Number of entry slots, including those that no instance holds.",
                            .required = true,
                            .minimum = 1,
                            .maximum = 100'000};
const field_rule shard_rule{.description = "Number of entry slots over which one customer's traffic is spread.",
                            .minimum = 1,
                            .maximum = 1'000};
const field_rule store_rate_rule{
    .description = "Limit in bytes per second on all concurrent reads from the weight store together; 0: no limit.",
    .minimum = 0,
    .maximum = max_store_bytes};
const field_rule store_region_rule{.description = "Region of the weight store.", .pattern = patterns::name_or_empty};

json_reader<fleet_record> fleet_reader()
{
    json_reader<fleet_record> reader{"Deployment-wide configuration; the only record of its kind, named fleet."};
    reader.condition([](const fleet_record& fleet) { return fleet.shard_size <= fleet.entry_slots; }, "",
                     "has a shard size above the number of entry slots", "lower the shard size or add entry slots");
    return reader;
}

json_reader<fleet_record> fleet_v1()
{
    return fleet_reader()
        .field("entry_slots", &fleet_record::entry_slots, slots_rule)
        .field("shard_size", &fleet_record::shard_size, shard_rule)
        .field("store_bytes_per_second", &fleet_record::store_bytes_per_second, store_rate_rule)
        .field("store_region", &fleet_record::store_region, store_region_rule);
}

json_reader<fleet_record> fleet_v2()
{
    json_reader<fleet_record> entry{"Entry slots and shards."};
    entry.field("slots", &fleet_record::entry_slots, slots_rule)
        .field("shard_size", &fleet_record::shard_size, shard_rule);
    json_reader<fleet_record> store{"The weight store."};
    store.field("bytes_per_second", &fleet_record::store_bytes_per_second, store_rate_rule)
        .field("region", &fleet_record::store_region, store_region_rule);
    return fleet_reader().nested_fields("entry", entry, true).nested_fields("weight_store", store);
}

} // namespace

const json_reader<service_record>& record_readers<service_record>::reader_for(int schema_version)
{
    static const json_reader<service_record> v1 = service_v1();
    static const json_reader<service_record> v2 = service_v2();
    return schema_version == 1 ? v1 : v2;
}

const json_reader<customer_record>& record_readers<customer_record>::reader_for(int schema_version)
{
    static const json_reader<customer_record> v1 = customer_v1();
    static const json_reader<customer_record> v2 = customer_v2();
    return schema_version == 1 ? v1 : v2;
}

const json_reader<model_record>& record_readers<model_record>::reader_for(int schema_version)
{
    static const json_reader<model_record> v1 = model_v1();
    static const json_reader<model_record> v2 = model_v2();
    return schema_version == 1 ? v1 : v2;
}

const json_reader<priority_record>& record_readers<priority_record>::reader_for(int schema_version)
{
    static const json_reader<priority_record> v1 = priority_v1();
    static const json_reader<priority_record> v2 = priority_v2();
    return schema_version == 1 ? v1 : v2;
}

const json_reader<fleet_record>& record_readers<fleet_record>::reader_for(int schema_version)
{
    static const json_reader<fleet_record> v1 = fleet_v1();
    static const json_reader<fleet_record> v2 = fleet_v2();
    return schema_version == 1 ? v1 : v2;
}

} // namespace parsleyshift::detail
