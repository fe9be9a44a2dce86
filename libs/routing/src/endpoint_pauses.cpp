#include <parsleyshift/routing/endpoint_pauses.hpp> // endpoint_pauses

#include <algorithm> // clamp, max

namespace parsleyshift
{

void endpoint_pauses::record(const endpoint_id& endpoint, duration pause, time_point now)
{
    const time_point end = now + std::clamp(pause, duration{}, max_pause);
    time_point& known = ends_.try_emplace(endpoint, end).first->second;
    known = std::max(known, end);
}

std::optional<time_point> endpoint_pauses::end(const endpoint_id& endpoint, time_point now) const
{
    const auto found = ends_.find(endpoint);
    return found == ends_.end() || found->second <= now ? std::nullopt : std::optional{found->second};
}

void endpoint_pauses::remove(const endpoint_id& endpoint)
{
    ends_.erase(endpoint);
}

void endpoint_pauses::purge(time_point now)
{
    std::erase_if(ends_, [now](const auto& each) { return each.second <= now; });
}

} // namespace parsleyshift
