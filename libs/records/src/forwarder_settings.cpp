#include <parsleyshift/records/forwarder_settings.hpp> // forwarder_settings

#include <parsleyshift/records/json_reader.hpp> // json_reader

namespace parsleyshift
{
namespace
{

json_reader<zone_location> zone_reader()
{
    return json_reader<zone_location>{"An availability zone and its region."}
        .field("zone", &zone_location::zone,
               {.description = "Availability zone.", .required = true, .pattern = patterns::name})
        .field("region", &zone_location::region,
               {.description = "Region of the zone.", .required = true, .pattern = patterns::name});
}

void add_identity_fields(json_reader<forwarder_settings>& reader)
{
    reader
        .field("instance", &forwarder_settings::instance,
               {.description = "Name of the instance, unique in the deployment.",
                .required = true,
                .pattern = patterns::name})
        .field("availability_zone", &forwarder_settings::availability_zone,
               {.description = "Availability zone of the instance.", .required = true, .pattern = patterns::name})
        .field("region", &forwarder_settings::region,
               {.description = "Region of the instance.", .required = true, .pattern = patterns::name})
        .list("zones", &forwarder_settings::zones, zone_reader(), {.description = "All zones with their regions."});
}

json_reader<zone_traffic_settings> zone_traffic_reader()
{
    const auto price_rule = [](std::string_view description)
    {
        return field_rule{.description = description, .minimum = 0, .maximum = 1'000'000};
    };
    json_reader<zone_traffic_settings> reader{"Which requests are served in another zone than their caller's."};
    reader
        .field("mode", &zone_traffic_settings::mode,
               {.description = "constant: fixed preferences for zone and region; adaptive: by expected times and the "
                               "cost of the path; by_configuration: adaptive if the configuration restricts routes or "
                               "customers to regions and two regions have two zones or more, otherwise constant."})
        .field("zone_latency_ms", &zone_traffic_settings::zone_latency,
               {.description = "One-way latency in milliseconds between zones of one region.",
                .minimum = 0,
                .maximum = 10'000})
        .field("region_latency_ms", &zone_traffic_settings::region_latency,
               {.description = "One-way latency in milliseconds between regions.", .minimum = 0, .maximum = 10'000})
        .field("region_link_mbps", &zone_traffic_settings::region_link_mbps,
               {.description = "Bandwidth in Mbit/s of the link between two regions, in each direction.",
                .minimum = 0.1,
                .maximum = 1'000'000})
        .field("zone_price_ms_per_mb", &zone_traffic_settings::zone_price_ms_per_mb,
               price_rule("Milliseconds of waiting that one megabyte between zones of one region is worth; 0: time "
                          "alone counts."))
        .field("region_price_ms_per_mb", &zone_traffic_settings::region_price_ms_per_mb,
               price_rule("Milliseconds of waiting that one megabyte between regions is worth; 0: time alone counts."))
        .field("services_kept_home", &zone_traffic_settings::services_kept_home,
               {.description = "Services whose requests leave their zone only if it has no endpoint with room.",
                .pattern = patterns::name,
                .max_items = 64});
    return reader;
}

void add_address_fields(json_reader<forwarder_settings>& reader)
{
    const auto address_rule = [](std::string_view description)
    {
        return field_rule{.description = description, .required = true, .pattern = patterns::address};
    };
    reader.field("caller_address", &forwarder_settings::caller_address, address_rule("ip:port for callers."))
        .field("readiness_address", &forwarder_settings::readiness_address,
               address_rule("ip:port that serves the platform's readiness probes."))
        .field("entry_address", &forwarder_settings::entry_address,
               address_rule("ip:port that serves the callers' entry lookups, which return instance addresses."))
        .field("peer_address", &forwarder_settings::peer_address, address_rule("ip:port for peers."))
        .field("metrics_address", &forwarder_settings::metrics_address, address_rule("ip:port for metrics."))
        .field("store_address", &forwarder_settings::store_address,
               address_rule("ip:port of the configuration store, which also holds the endpoints."))
        .field("seeds", &forwarder_settings::seeds,
               {.description = "Addresses of peers that the instance contacts first to join the others; addresses no "
                               "longer in use are allowed.",
                .pattern = patterns::address,
                .max_items = 64});
}

void add_limit_and_log_fields(json_reader<forwarder_settings>& reader)
{
    reader
        .field(
            "key_removal_bound_ms", &forwarder_settings::key_removal_bound,
            {.description =
                 "Longest time in milliseconds for which requests may still run with a customer key after its removal.",
             .minimum = 2'000,
             .maximum = 600'000})
        .field("longest_entry_keep_ms", &forwarder_settings::longest_entry_keep,
               {.description = "Longest time in milliseconds that callers may cache the answer of an entry lookup.",
                .minimum = 100,
                .maximum = 600'000})
        .field("stop_grace_ms", &forwarder_settings::stop_grace,
               {.description = "Milliseconds that the platform allows for a planned stop.",
                .minimum = 1'000,
                .maximum = 3'600'000})
        .field("max_descriptors", &forwarder_settings::max_descriptors,
               {.description = "Largest number of file descriptors that the process may open.",
                .minimum = 256,
                .maximum = 10'000'000})
        .field("link_mbps", &forwarder_settings::link_mbps,
               {.description = "Rate of the instance's network link in Mbit/s, by which data for peers is paced.",
                .minimum = 1,
                .maximum = 1'000'000})
        .field("memory_limit_mb", &forwarder_settings::memory_limit_mb,
               {.description =
                    "Memory of the instance in MB of 1,000,000 bytes. Request bodies, buffered responses and "
                    "unsent output take at most half of it. Without it only bodies are limited, to 256 MiB.",
                .minimum = 64,
                .maximum = 1'000'000})
        .nested_object("zone_traffic", &forwarder_settings::zone_traffic, zone_traffic_reader())
        .field("log_level", &forwarder_settings::log_level,
               {.description = "Lowest severity that is logged.", .pattern = "^(debug|info|warning|error)$"});
}

const json_reader<forwarder_settings>& forwarder_settings_reader()
{
    static const json_reader<forwarder_settings> reader = []
    {
        json_reader<forwarder_settings> settings_fields{"Settings of an instance that forwards requests."};
        add_identity_fields(settings_fields);
        add_address_fields(settings_fields);
        add_limit_and_log_fields(settings_fields);
        return settings_fields;
    }();
    return reader;
}

} // namespace

read_result<forwarder_settings> read_forwarder_settings(std::string_view text)
{
    return forwarder_settings_reader().read_text(text);
}

std::string forwarder_settings_schema()
{
    nlohmann::json schema = forwarder_settings_reader().schema();
    schema["$schema"] = "https://json-schema.org/draft/2020-12/schema";
    schema["title"] = "settings of an instance that forwards requests";
    return schema.dump(4) + "\n";
}

} // namespace parsleyshift
