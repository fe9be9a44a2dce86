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
               {.about = "Availability zone.", .required = true, .pattern = patterns::name})
        .field("region", &zone_location::region,
               {.about = "Region that the zone lies in.", .required = true, .pattern = patterns::name});
}

void add_identity(json_reader<forwarder_settings>& reader)
{
    reader
        .field(
            "instance", &forwarder_settings::instance,
            {.about = "Name of the instance, unique in the deployment.", .required = true, .pattern = patterns::name})
        .field("availability_zone", &forwarder_settings::availability_zone,
               {.about = "Availability zone of the instance.", .required = true, .pattern = patterns::name})
        .field("region", &forwarder_settings::region,
               {.about = "Region of the instance.", .required = true, .pattern = patterns::name})
        .list("zones", &forwarder_settings::zones, zone_reader(), {.about = "All zones with their regions."});
}

void add_addresses(json_reader<forwarder_settings>& reader)
{
    const auto address = [](std::string_view about)
    {
        return field_rule{.about = about, .required = true, .pattern = patterns::address};
    };
    reader.field("caller_address", &forwarder_settings::caller_address, address("ip:port for callers."))
        .field("readiness_address", &forwarder_settings::readiness_address,
               address("ip:port on which the platform asks whether the instance is ready."))
        .field("entry_address", &forwarder_settings::entry_address,
               address("ip:port on which callers ask for addresses of instances."))
        .field("peer_address", &forwarder_settings::peer_address, address("ip:port for peers."))
        .field("metrics_address", &forwarder_settings::metrics_address, address("ip:port for metrics."))
        .field("store_address", &forwarder_settings::store_address,
               address("ip:port of the store that holds configuration and endpoints."))
        .field("seeds", &forwarder_settings::seeds,
               {.about = "Peer addresses to join through; they may be stale.",
                .pattern = patterns::address,
                .max_items = 64});
}

void add_bounds(json_reader<forwarder_settings>& reader)
{
    reader
        .field("key_removal_bound_ms", &forwarder_settings::key_removal_bound,
               {.about = "Milliseconds after the removal of a key after which no request with it may run.",
                .minimum = 2'000,
                .maximum = 600'000})
        .field("longest_entry_keep_ms", &forwarder_settings::longest_entry_keep,
               {.about = "Milliseconds that callers keep an entry answer at most.", .minimum = 100, .maximum = 600'000})
        .field("stop_grace_ms", &forwarder_settings::stop_grace,
               {.about = "Milliseconds that the platform grants for a planned stop.",
                .minimum = 1'000,
                .maximum = 3'600'000})
        .field("max_descriptors", &forwarder_settings::max_descriptors,
               {.about = "File descriptors that the process may open.", .minimum = 256, .maximum = 10'000'000})
        .field("log_level", &forwarder_settings::log_level,
               {.about = "Least severity that is logged.", .pattern = "^(debug|info|warning|error)$"});
}

const json_reader<forwarder_settings>& forwarder_settings_reader()
{
    static const json_reader<forwarder_settings> reader = []
    {
        json_reader<forwarder_settings> built{"Settings of an instance that forwards requests."};
        add_identity(built);
        add_addresses(built);
        add_bounds(built);
        return built;
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
