#include <parsleyshift/routing/peer_health.hpp> // peer_health

#include <algorithm> // clamp, find_if

namespace parsleyshift
{

peer_health::peer_health(std::size_t max_reports) : max_reports_(max_reports) {}

void peer_health::record(const instance_id& sender, const endpoint_health_notice& notice, time_point now)
{
    if (notice.expires <= now)
    {
        return;
    }
    const report received{sender, std::clamp(notice.weight, 0.0, 1.0), notice.expires};
    const auto found = by_endpoint_.find(notice.endpoint);
    if (found != by_endpoint_.end())
    {
        const auto previous = std::find_if(found->second.begin(), found->second.end(),
                                           [&](const report& existing) { return existing.sender == sender; });
        if (previous != found->second.end())
        {
            *previous = received;
            return;
        }
    }
    if (report_count_ < max_reports_)
    {
        by_endpoint_[notice.endpoint].push_back(received);
        ++report_count_;
    }
}

double peer_health::weight(const endpoint_id& endpoint, time_point now) const
{
    double sum = 1.0;
    double count = 1.0;
    const auto found = by_endpoint_.find(endpoint);
    if (found == by_endpoint_.end())
    {
        return 1.0;
    }
    for (const report& received : found->second)
    {
        if (received.expires > now)
        {
            sum += received.weight;
            count += 1.0;
        }
    }
    return sum / count;
}

void peer_health::remove(const endpoint_id& endpoint)
{
    const auto found = by_endpoint_.find(endpoint);
    if (found != by_endpoint_.end())
    {
        report_count_ -= found->second.size();
        by_endpoint_.erase(found);
    }
}

void peer_health::purge(time_point now)
{
    report_count_ = 0;
    for (auto& [endpoint, reports] : by_endpoint_)
    {
        std::erase_if(reports, [now](const report& received) { return received.expires <= now; });
        report_count_ += reports.size();
    }
    std::erase_if(by_endpoint_, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace parsleyshift
