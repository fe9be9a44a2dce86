#include <parsleyshift/routing/zone_paths.hpp> // zone_paths

#include <algorithm> // clamp, max, min, minmax
#include <cmath>     // pow
#include <utility>   // move

namespace parsleyshift
{

namespace
{

/// Weight of a new probe in the moving averages. An instance sends one probe a second.
constexpr double probe_weight = 0.2;
/// Age at which a measurement counts no more. Few probes go to other regions, so that these come seconds apart.
constexpr duration measurement_lifetime{30'000};
/// Time after which a lost packet is sent again; the smallest retransmission timeout of common TCP implementations.
constexpr double retransmission_ms = 200.0;
/// Time over which the use of a link is averaged; a link of 60 Mbit/s transfers a long stream in about 10 ms.
constexpr duration link_use_window{1'000};
/// Above this use, the estimated wait for the link would grow without bound.
constexpr double max_link_use = 0.95;
constexpr double bits_per_byte = 8.0;
constexpr double bytes_per_megabyte = 1'000'000.0;

} // namespace

zone_paths::zone_paths(const zone_traffic_settings& settings, zone_place own)
    : settings_(settings), own_(std::move(own))
{
}

void zone_paths::record_probe(const zone_place& to, std::optional<duration> round_trip, time_point now)
{
    if (to.zone == own_.zone)
    {
        return;
    }
    measured_path& path = to.region == own_.region ? zones_[to.zone] : regions_[to.region];
    const bool outdated = now - path.as_of > measurement_lifetime;
    if (outdated)
    {
        path = {};
    }
    if (!round_trip)
    {
        const bool repeated = now - path.lost <= measurement_lifetime;
        path.loss += repeated ? probe_weight * (1.0 - path.loss) : 0.0;
        path.lost = now;
    }
    else
    {
        path.loss -= probe_weight * path.loss;
        const double excess = static_cast<double>(round_trip->count()) - 2.0 * latency_ms(own_, to);
        path.excess_ms += probe_weight * (std::max(excess, 0.0) - path.excess_ms);
    }
    path.as_of = now;
}

void zone_paths::record_transfer(const zone_place& from, const zone_place& to, std::int64_t bytes, time_point now)
{
    if (from.region != to.region)
    {
        const auto& [first, second] = std::minmax(from.region, to.region);
        links_[first].try_emplace(second, link_use_window).first->second.add(static_cast<double>(bytes), now);
    }
}

double zone_paths::link_use(const region_id& one, const region_id& other, time_point now) const
{
    const auto& [first, second] = std::minmax(one, other);
    const auto from_first = links_.find(first);
    if (from_first == links_.end() || !from_first->second.contains(second))
    {
        return 0.0;
    }
    const double bits_per_ms = from_first->second.at(second).per_ms(now) * bits_per_byte;
    return std::clamp(bits_per_ms / (settings_.region_link_mbps * 1'000.0), 0.0, 1.0);
}

double zone_paths::latency_ms(const zone_place& from, const zone_place& to) const
{
    const duration latency = from.region == to.region ? settings_.zone_latency : settings_.region_latency;
    return static_cast<double>(latency.count());
}

const zone_paths::measured_path* zone_paths::measured(const zone_place& from, const zone_place& to,
                                                      time_point now) const
{
    const measured_path* found = nullptr;
    if (from.region != to.region)
    {
        const auto region = regions_.find(from.region == own_.region ? to.region : from.region);
        const bool from_own_region = from.region == own_.region || to.region == own_.region;
        found = from_own_region && region != regions_.end() ? &region->second : nullptr;
    }
    else if (from.zone == own_.zone || to.zone == own_.zone)
    {
        const auto zone = zones_.find(from.zone == own_.zone ? to.zone : from.zone);
        found = zone != zones_.end() ? &zone->second : nullptr;
    }
    return found != nullptr && now - found->as_of <= measurement_lifetime ? found : nullptr;
}

double zone_paths::time_ms(const zone_place& from, const zone_place& to, const transfer_size& size,
                           time_point now) const
{
    if (from.zone == to.zone)
    {
        return 0.0;
    }
    double time = 2.0 * latency_ms(from, to);
    if (const measured_path* path = measured(from, to, now))
    {
        time += path->excess_ms;
        // The request, its acknowledgement, or any part of the answer may be lost.
        const double any_lost = 1.0 - std::pow(1.0 - path->loss, static_cast<double>(size.messages + 2));
        time += any_lost * retransmission_ms;
    }
    if (from.region != to.region)
    {
        const double transfer =
            static_cast<double>(size.bytes) * bits_per_byte / (settings_.region_link_mbps * 1'000.0);
        time += transfer / (1.0 - std::min(link_use(from.region, to.region, now), max_link_use));
    }
    return time;
}

double zone_paths::price_ms(const zone_place& from, const zone_place& to, const transfer_size& size) const
{
    if (from.zone == to.zone)
    {
        return 0.0;
    }
    const double price = from.region == to.region ? settings_.zone_price_ms_per_mb : settings_.region_price_ms_per_mb;
    return price * static_cast<double>(size.bytes) / bytes_per_megabyte;
}

} // namespace parsleyshift
