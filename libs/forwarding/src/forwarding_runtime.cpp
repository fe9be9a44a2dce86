#include <parsleyshift/forwarding/forwarding_runtime.hpp> // core_settings_of

#include <malloc.h> // mallopt

#include <algorithm> // min
#include <string>    // to_string

namespace parsleyshift
{
namespace
{

/// Subtracted from the bound on removed keys, because an accepted request may take this long to reach its endpoint.
constexpr duration key_margin{700};
/// Some callers keep the addresses of an entry response for up to three times the stated time.
constexpr int entry_keep_factor = 3;
/// Part of the time for a planned stop in which the last answers are written and their connections are closed.
constexpr int last_answers_divisor = 8;

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
    // This program issues no tokens, but the token codec requires a key.
    core.token_keys = {token_key{"none", std::to_string(seed) + "-not-used-for-any-token-at-all"}};
    core.forwarding.max_key_age = settings.key_removal_bound - key_margin;
    core.forwarding.entry_ttl = std::min(core.forwarding.entry_ttl, settings.longest_entry_keep);
    core.forwarding.min_stop_duration = core.forwarding.entry_ttl * entry_keep_factor / 2;
    core.forwarding.stop_reject_after = settings.stop_grace / 2;
    core.forwarding.stop_end_after = settings.stop_grace - settings.stop_grace / last_answers_divisor;
    core.zone_traffic = settings.zone_traffic;
    return forwarding_settings_of(core);
}

bootstrap_settings bootstrap_settings_of(const forwarder_settings& settings)
{
    bootstrap_settings hints;
    hints.seeds = settings.seeds;
    for (const zone_location& zone : settings.zones)
    {
        hints.zones.push_back({zone.zone, zone.region});
    }
    return hints;
}

void return_large_blocks()
{
    // By default glibc raises this threshold to the largest block freed so far, up to 32 MiB. Blocks below it stay in
    // the heap, whose size then depends on the order in which bodies and answers of several MB are freed.
    constexpr int threshold_bytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, threshold_bytes);
    mallopt(M_TRIM_THRESHOLD, threshold_bytes);
}

} // namespace parsleyshift
