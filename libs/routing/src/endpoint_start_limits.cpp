#include <parsleyshift/routing/endpoint_start_limits.hpp> // endpoint_start_limits

#include <algorithm> // max

namespace parsleyshift
{

bool endpoint_start_limits::record_answer(const endpoint_id& endpoint, std::optional<double> starts_per_second,
                                          time_point sent, time_point now)
{
    const auto found = statements_.find(endpoint);
    if (found == statements_.end())
    {
        if (starts_per_second)
        {
            statements_.emplace(endpoint, statement{starts_per_second, now});
        }
        return starts_per_second.has_value();
    }
    statement& known = found->second;
    if (!starts_per_second && sent < known.as_of)
    {
        return false;
    }
    const bool changed = known.starts_per_second != starts_per_second;
    known = statement{starts_per_second, now};
    return changed;
}

bool endpoint_start_limits::merge(const endpoint_limit_notice& notice, time_point now)
{
    const time_point as_of = now - std::max(notice.age, duration{});
    const auto starts_per_second = notice.limited ? std::optional{notice.starts_per_second} : std::nullopt;
    const auto found = statements_.find(notice.endpoint);
    const bool is_known = found != statements_.end();
    if (is_known ? as_of <= found->second.as_of : !notice.limited)
    {
        return false;
    }
    const bool changed = !is_known || found->second.starts_per_second != starts_per_second;
    statements_.insert_or_assign(notice.endpoint, statement{starts_per_second, as_of});
    return changed;
}

std::vector<endpoint_limit_notice> endpoint_start_limits::notices(time_point now) const
{
    std::vector<endpoint_limit_notice> known;
    for (const auto& [endpoint, stated] : statements_)
    {
        if (stated.starts_per_second || now - stated.as_of < ended_notice_lifetime)
        {
            known.push_back(notice_of(endpoint, now));
        }
    }
    return known;
}

endpoint_limit_notice endpoint_start_limits::notice_of(const endpoint_id& endpoint, time_point now) const
{
    const auto found = statements_.find(endpoint);
    const statement stated = found == statements_.end() ? statement{std::nullopt, now} : found->second;
    return {endpoint, stated.starts_per_second.has_value(), stated.starts_per_second.value_or(0.0), now - stated.as_of};
}

void endpoint_start_limits::remove(const endpoint_id& endpoint)
{
    statements_.erase(endpoint);
}

std::optional<double> endpoint_start_limits::limit(const endpoint_id& endpoint) const
{
    const auto found = statements_.find(endpoint);
    return found == statements_.end() ? std::nullopt : found->second.starts_per_second;
}

} // namespace parsleyshift
