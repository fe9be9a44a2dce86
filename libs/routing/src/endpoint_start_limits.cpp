#include <parsleyshift/routing/endpoint_start_limits.hpp> // endpoint_start_limits

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
