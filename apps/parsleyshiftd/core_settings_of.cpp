#include "core_settings_of.hpp" // core_settings_of

#include <parsleyshift/records/parse_record.hpp> // latest_record_schema

namespace parsleyshift
{

core_settings core_settings_of(const daemon_settings& settings, incarnation started, std::uint64_t seed)
{
    core_settings core;
    core.self.instance = settings.instance;
    core.self.started = started;
    core.self.peer_address = settings.peer_address;
    core.self.address = settings.caller_address;
    core.self.availability_zone = settings.availability_zone;
    core.self.region = settings.region;
    core.self.entry_slot = settings.entry_slot;
    core.self.schema = latest_record_schema;
    core.token_keys = settings.token_keys;
    core.seed = seed;
    core.requests.capacity = static_cast<std::size_t>(settings.bounds.max_connections);
    core.configuration.watch_wait = settings.intervals.configuration_wait;
    return core;
}

} // namespace parsleyshift
