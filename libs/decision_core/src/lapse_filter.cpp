#include "lapse_filter.hpp" // lapse_filter

#include <algorithm> // any_of
#include <utility>   // exchange

namespace parsleyshift::detail
{

void lapse_filter::source_lost()
{
    lost_ = true;
}

bool lapse_filter::source_answered(time_point now)
{
    if (!lost_)
    {
        return false;
    }
    lost_ = false;
    keep_until_ = now + grace_;
    return true;
}

instances_listed lapse_filter::take(const instances_listed& read, time_point now)
{
    last_read_ = read;
    instances_listed holds = read;
    if (keep_until_ != never && now < keep_until_)
    {
        for (const listed_instance& known : in_force_.instances)
        {
            const auto same = [&known](const listed_instance& row)
            {
                return row.id == known.id;
            };
            if (!std::any_of(read.instances.begin(), read.instances.end(), same))
            {
                holds.instances.push_back(known);
            }
        }
    }
    in_force_ = holds;
    return holds;
}

std::optional<instances_listed> lapse_filter::expire(time_point now)
{
    if (now < keep_until_)
    {
        return std::nullopt;
    }
    keep_until_ = never;
    in_force_ = last_read_;
    return last_read_;
}

} // namespace parsleyshift::detail
