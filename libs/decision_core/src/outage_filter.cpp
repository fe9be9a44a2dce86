#include "outage_filter.hpp" // outage_filter

#include <algorithm> // any_of
#include <utility>   // exchange

namespace parsleyshift::detail
{

void outage_filter::source_lost()
{
    lost_ = true;
}

bool outage_filter::source_answered(time_point now)
{
    if (!lost_)
    {
        return false;
    }
    lost_ = false;
    keep_until_ = now + grace_;
    return true;
}

instances_listed outage_filter::filter(const instances_listed& listed, time_point now)
{
    last_listed_ = listed;
    instances_listed effective = listed;
    if (keep_until_ != never && now < keep_until_)
    {
        for (const listed_instance& entry : in_force_.instances)
        {
            const auto has_same_id = [&entry](const listed_instance& row)
            {
                return row.id == entry.id;
            };
            if (!std::any_of(listed.instances.begin(), listed.instances.end(), has_same_id))
            {
                effective.instances.push_back(entry);
            }
        }
    }
    in_force_ = effective;
    return effective;
}

std::optional<instances_listed> outage_filter::expire(time_point now)
{
    if (now < keep_until_)
    {
        return std::nullopt;
    }
    keep_until_ = never;
    in_force_ = last_listed_;
    return last_listed_;
}

} // namespace parsleyshift::detail
