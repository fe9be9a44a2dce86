#include <parsleyshift/records/json_reader.hpp>   // json_reader
#include <parsleyshift/records/read_settings.hpp> // read_settings

#include <algorithm> // all_of, count_if
#include <string>    // string

namespace parsleyshift
{
namespace
{

json_reader<token_key> token_key_reader()
{
    return json_reader<token_key>{"A secret for signing entry tokens, continuation tokens and order keys."}
        .field("id", &token_key::id,
               {.description = "Name of the key, part of each token.", .required = true, .pattern = patterns::name})
        .field("secret", &token_key::secret,
               {.description = "Secret shared by all instances; at least 32 characters.",
                .required = true,
                .pattern = "^[!-~]{32,256}$"});
}

json_reader<caller_bounds> bounds_reader()
{
    return json_reader<caller_bounds>{"Bounds on the resources that callers can use."}
        .field("max_header_bytes", &caller_bounds::max_header_bytes,
               {.description = "Largest size of a request header in bytes.", .minimum = 1024, .maximum = 1024 * 1024})
        .field(
            "max_body_bytes", &caller_bounds::max_body_bytes,
            {.description = "Largest size of a request body in bytes.", .minimum = 1024, .maximum = 64 * 1024 * 1024})
        .field("max_json_depth", &caller_bounds::max_json_depth,
               {.description = "Largest nesting depth of objects and arrays in a request body.",
                .minimum = 2,
                .maximum = 256})
        .field("max_backlog_bytes", &caller_bounds::max_backlog_bytes,
               {.description = "Unsent bytes of one answer at which reading from the endpoint pauses.",
                .minimum = 1024,
                .maximum = 16 * 1024 * 1024})
        .field("max_connections", &caller_bounds::max_connections,
               {.description = "Largest number of open connections of all callers together.",
                .minimum = 1,
                .maximum = 1'000'000})
        .field("request_timeout_ms", &caller_bounds::request_timeout,
               {.description = "Milliseconds within which a whole request must arrive.",
                .minimum = 100,
                .maximum = 600'000})
        .field("write_timeout_ms", &caller_bounds::write_timeout,
               {.description =
                    "Milliseconds without write progress after which a caller that does not read is disconnected.",
                .minimum = 100,
                .maximum = 600'000});
}

json_reader<polling_intervals> intervals_reader()
{
    return json_reader<polling_intervals>{"Polling intervals of the daemon and the longest wait of its watch requests."}
        .field(
            "load_report_ms", &polling_intervals::load_report,
            {.description = "Milliseconds between two load reports of an endpoint.", .minimum = 10, .maximum = 60'000})
        .field(
            "instance_list_ms", &polling_intervals::instance_list,
            {.description = "Milliseconds between two reads of the instance list.", .minimum = 10, .maximum = 60'000})
        .field(
            "configuration_wait_ms", &polling_intervals::configuration_wait,
            {.description =
                 "Longest time in milliseconds that one watch request to the configuration service waits for a change.",
             .minimum = 100,
             .maximum = 300'000});
}

void add_identity_fields(json_reader<daemon_settings>& reader)
{
    reader
        .field("instance", &daemon_settings::instance,
               {.description = "Name of the instance, unique in the deployment.",
                .required = true,
                .pattern = patterns::name})
        .field("availability_zone", &daemon_settings::availability_zone,
               {.description = "Availability zone of the instance.", .required = true, .pattern = patterns::name})
        .field("region", &daemon_settings::region,
               {.description = "Region of the instance.", .required = true, .pattern = patterns::name})
        .field("entry_slot", &daemon_settings::entry_slot,
               {.description = "Entry slot that the instance holds; -1: none.", .minimum = -1, .maximum = 99'999});
}

void add_address_fields(json_reader<daemon_settings>& reader)
{
    reader
        .field("caller_address", &daemon_settings::caller_address,
               {.description = "ip:port for callers, operators and /metrics.",
                .required = true,
                .pattern = patterns::address})
        .field("peer_address", &daemon_settings::peer_address,
               {.description = "ip:port for peers.", .required = true, .pattern = patterns::address})
        .field("configuration_service", &daemon_settings::configuration_service,
               {.description = "ip:port of the configuration service.", .required = true, .pattern = patterns::address})
        .field("instance_list", &daemon_settings::instance_list,
               {.description = "ip:port of the platform's instance list.",
                .required = true,
                .pattern = patterns::address});
}

void add_operator_fields(json_reader<daemon_settings>& reader)
{
    reader
        .list("token_keys", &daemon_settings::token_keys, token_key_reader(),
              {.description =
                   "Keys for signing entry tokens, continuation tokens and order keys; the first signs and every key "
                   "verifies, which allows key rotation.",
               .required = true,
               .max_items = 16})
        .field("operator_key", &daemon_settings::operator_key,
               {.description = "Required as a bearer token of operator calls; empty: operator calls are refused.",
                .pattern = "^([!-~]{16,256})?$"})
        .nested_object("bounds", &daemon_settings::bounds, bounds_reader())
        .nested_object("intervals", &daemon_settings::intervals, intervals_reader())
        .field("log_format", &daemon_settings::log_line_format, {.description = "Format of the log lines."})
        .field("log_level", &daemon_settings::log_level,
               {.description = "Lowest severity that is logged.",
                .pattern = "^(trace|debug|info|warn|error|critical|off)$"});
}

bool has_unique_key_ids(const daemon_settings& settings)
{
    const auto& keys = settings.token_keys;
    const auto appears_once = [&keys](const token_key& key)
    {
        return std::count_if(keys.begin(), keys.end(), [&key](const token_key& other) { return other.id == key.id; }) ==
               1;
    };
    return std::all_of(keys.begin(), keys.end(), appears_once);
}

const json_reader<daemon_settings>& settings_reader()
{
    static const json_reader<daemon_settings> reader = []
    {
        json_reader<daemon_settings> settings_fields{"Settings of parsleyshiftd."};
        add_identity_fields(settings_fields);
        add_address_fields(settings_fields);
        add_operator_fields(settings_fields);
        settings_fields.condition([](const daemon_settings& settings) { return !settings.token_keys.empty(); },
                                  "token_keys", "must hold at least one key", "add a key that all instances share");
        settings_fields.condition(has_unique_key_ids, "token_keys", "must hold keys with different ids",
                                  "rename one of the keys");
        return settings_fields;
    }();
    return reader;
}

} // namespace

read_result<daemon_settings> read_settings(std::string_view text)
{
    return settings_reader().read_text(text);
}

std::string write_settings(const daemon_settings& settings)
{
    return settings_reader().write(settings).dump(4) + "\n";
}

std::string settings_schema()
{
    nlohmann::json schema = settings_reader().schema();
    schema["$schema"] = "https://json-schema.org/draft/2020-12/schema";
    schema["title"] = "parsleyshiftd settings";
    return schema.dump(4) + "\n";
}

} // namespace parsleyshift
