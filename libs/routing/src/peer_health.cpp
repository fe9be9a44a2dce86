#include <parsleyshift/routing/peer_health.hpp> // peer_health

#include <algorithm> // clamp, find_if

namespace parsleyshift
{

peer_health::peer_health(std::size_t most_reports) : most_reports_(most_reports) {}

void peer_health::hear(const instance_id& sender, const endpoint_health_notice& notice, time_point now)
{
    if (notice.expires <= now)
    {
        return;
    }
    const report heard{sender, std::clamp(notice.weight, 0.0, 1.0), notice.expires};
    const auto known = by_endpoint_.find(notice.endpoint);
    if (known != by_endpoint_.end())
    {
        const auto last = std::find_if(known->second.begin(), known->second.end(),
                                       [&](const report& earlier) { return earlier.sender == sender; });
        if (last != known->second.end())
        {
            *last = heard;
            return;
        }
    }
    if (reports_ < most_reports_)
    {
        by_endpoint_[notice.endpoint].push_back(heard);
        ++reports_;
    }
}

double peer_health::weight(const endpoint_id& endpoint, time_point now) const
{
    double sum = 1.0;
    double count = 1.0;
    const auto known = by_endpoint_.find(endpoint);
    if (known == by_endpoint_.end())
    {
        return 1.0;
    }
    for (const report& heard : known->second)
    {
        if (heard.expires > now)
        {
            sum += heard.weight;
            count += 1.0;
        }
    }
    return sum / count;
}

void peer_health::forget(const endpoint_id& endpoint)
{
    const auto known = by_endpoint_.find(endpoint);
    if (known != by_endpoint_.end())
    {
        reports_ -= known->second.size();
        by_endpoint_.erase(known);
    }
}

void peer_health::purge(time_point now)
{
    reports_ = 0;
    for (auto& [endpoint, reports] : by_endpoint_)
    {
        std::erase_if(reports, [now](const report& heard) { return heard.expires <= now; });
        reports_ += reports.size();
    }
    std::erase_if(by_endpoint_, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace parsleyshift
