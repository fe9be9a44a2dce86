#include <parsleyshift/routing/endpoint_start_limits.hpp> // endpoint_start_limits

#include <algorithm> // max

namespace parsleyshift
{

bool endpoint_start_limits::record_answer(const endpoint_id& endpoint, const endpoint_statement& stated,
                                          time_point sent, time_point now)
{
    const known_limit answered{stated.starts_per_second, stated.tolerated_rejections.has_value(), now};
    const auto found = limits_.find(endpoint);
    const bool is_known = found != limits_.end();
    if (!answered.limits_starts() && (!is_known || sent < found->second.as_of))
    {
        return false;
    }
    return replace(endpoint, answered);
}

bool endpoint_start_limits::merge(const endpoint_notice& notice, time_point now)
{
    const known_limit stated{notice.limited ? std::optional{notice.starts_per_second} : std::nullopt, notice.brittle,
                             now - std::max(notice.age, duration{})};
    const auto found = limits_.find(notice.endpoint);
    const bool is_known = found != limits_.end();
    if (is_known ? stated.as_of <= found->second.as_of : !stated.limits_starts())
    {
        return false;
    }
    return replace(notice.endpoint, stated);
}

bool endpoint_start_limits::replace(const endpoint_id& endpoint, const known_limit& stated)
{
    const auto [found, is_new] = limits_.try_emplace(endpoint, stated);
    const bool changed = is_new || !found->second.states_the_same(stated);
    found->second = stated;
    return changed;
}

std::vector<endpoint_notice> endpoint_start_limits::notices(time_point now) const
{
    std::vector<endpoint_notice> known;
    for (const auto& [endpoint, stated] : limits_)
    {
        if (stated.limits_starts() || now - stated.as_of < ended_notice_lifetime)
        {
            known.push_back(notice_of(endpoint, now));
        }
    }
    return known;
}

endpoint_notice endpoint_start_limits::notice_of(const endpoint_id& endpoint, time_point now) const
{
    endpoint_notice notice;
    notice.endpoint = endpoint;
    notice.age = unknown_age;
    if (const auto found = limits_.find(endpoint); found != limits_.end())
    {
        notice.limited = found->second.starts_per_second.has_value();
        notice.starts_per_second = found->second.starts_per_second.value_or(0.0);
        notice.brittle = found->second.brittle;
        notice.age = now - found->second.as_of;
    }
    return notice;
}

void endpoint_start_limits::remove(const endpoint_id& endpoint)
{
    limits_.erase(endpoint);
}

std::optional<double> endpoint_start_limits::limit(const endpoint_id& endpoint) const
{
    const auto found = limits_.find(endpoint);
    return found == limits_.end() ? std::nullopt : found->second.starts_per_second;
}

bool endpoint_start_limits::brittle(const endpoint_id& endpoint) const
{
    const auto found = limits_.find(endpoint);
    return found != limits_.end() && found->second.brittle;
}

} // namespace parsleyshift
