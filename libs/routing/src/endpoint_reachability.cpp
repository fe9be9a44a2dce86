#include <parsleyshift/routing/endpoint_reachability.hpp> // endpoint_reachability

#include <algorithm> // find, max, min
#include <utility>   // move

namespace parsleyshift
{

void endpoint_reachability::record_sent(time_point now)
{
    doubt_at_ = std::min(doubt_at_, now + doubt_after);
}

bool endpoint_reachability::record_answer()
{
    doubt_at_ = never;
    unanswered_.clear();
    const bool was_lost = lost_;
    lost_ = false;
    return was_lost;
}

void endpoint_reachability::record_failure(time_point now)
{
    doubt_at_ = std::min(doubt_at_, now + doubt_after_failure);
}

bool endpoint_reachability::round_due(time_point now) const
{
    return next_round() <= now;
}

time_point endpoint_reachability::next_round() const
{
    if (!unanswered_.empty() || (!lost_ && doubt_at_ == never))
    {
        return never;
    }
    return lost_ ? next_allowed_round_ : std::max(doubt_at_, next_allowed_round_);
}

void endpoint_reachability::begin_round(std::vector<endpoint_id> probed, time_point now)
{
    unanswered_ = std::move(probed);
    round_size_ = unanswered_.size();
    next_allowed_round_ = now + (lost_ ? lost_round_interval : round_interval);
}

bool endpoint_reachability::record_unanswered_probe(const endpoint_id& endpoint, time_point now)
{
    const auto found = std::find(unanswered_.begin(), unanswered_.end(), endpoint);
    if (found == unanswered_.end())
    {
        return false;
    }
    unanswered_.erase(found);
    if (!unanswered_.empty() || round_size_ < min_probes || lost_)
    {
        return false;
    }
    lost_ = true;
    next_allowed_round_ = std::min(next_allowed_round_, now + lost_round_interval);
    return true;
}

} // namespace parsleyshift
