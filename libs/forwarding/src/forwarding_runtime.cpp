#include <parsleyshift/forwarding/forwarding_runtime.hpp> // core_settings_of

#include <algorithm> // min
#include <string>    // to_string

namespace parsleyshift
{
namespace
{

/// A key is judged this long before the bound on removed keys: a request may take that long to the endpoint.
constexpr duration key_margin{700};
/// Callers keep some entry answers three times as long as stated.
constexpr int keep_factor = 3;

} // namespace

core_settings core_settings_of(const forwarder_settings& settings, incarnation started, std::uint64_t seed)
{
    core_settings core;
    core.self.instance = settings.instance;
    core.self.started = started;
    core.self.peer_address = settings.peer_address;
    core.self.address = settings.caller_address;
    core.self.availability_zone = settings.availability_zone;
    core.self.region = settings.region;
    core.seed = seed;
    // This program hands out no tokens; the codec needs a key all the same.
    core.token_keys = {token_key{"none", std::to_string(seed) + "-not-used-for-any-token-at-all"}};
    core.forwarding.key_lease = settings.key_removal_bound - key_margin;
    core.forwarding.entry_keep = std::min(core.forwarding.entry_keep, settings.longest_entry_keep);
    core.forwarding.stop_least = core.forwarding.entry_keep * keep_factor / 2;
    core.forwarding.stop_refuse = settings.stop_grace / 2;
    return forwarding_settings_of(core);
}

fleet_hints hints_of(const forwarder_settings& settings)
{
    fleet_hints hints;
    hints.seeds = settings.seeds;
    for (const zone_location& zone : settings.zones)
    {
        hints.zones.push_back({zone.zone, zone.region});
    }
    return hints;
}

} // namespace parsleyshift
