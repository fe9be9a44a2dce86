#include <parsleyshift/quarantine/death_history.hpp> // death_history

#include <algorithm> // any_of, find_if, lower_bound, max

namespace parsleyshift
{

bool death_history::add(const endpoint_id& endpoint, time_point when)
{
    const observation added{when, endpoint};
    const auto position = std::lower_bound(observations_.begin(), observations_.end(), added);
    const bool present = position != observations_.end() && *position == added;
    const bool too_old = observations_.size() >= max_observations && position == observations_.begin();
    if (present || too_old || when <= cleared_until_)
    {
        return false;
    }
    observations_.insert(position, added);
    if (observations_.size() > max_observations)
    {
        observations_.erase(observations_.begin());
    }
    return true;
}

bool death_history::clear_until(time_point until)
{
    if (until <= cleared_until_)
    {
        return false;
    }
    cleared_until_ = until;
    std::erase_if(observations_, [this](const observation& observed) { return observed.when <= cleared_until_; });
    return true;
}

std::vector<death_history::observation> death_history::deaths(duration step, duration retention, time_point now) const
{
    std::vector<observation> distinct;
    if (latest_death() + retention <= now)
    {
        return distinct;
    }
    for (const observation& observed : observations_)
    {
        const bool repeats_earlier = std::any_of(observations_.begin(), observations_.end(),
                                                 [&](const observation& earlier)
                                                 {
                                                     return earlier.endpoint == observed.endpoint &&
                                                            earlier.when < observed.when &&
                                                            observed.when - earlier.when <= step;
                                                 });
        if (latest_death() - observed.when < retention && !repeats_earlier)
        {
            distinct.push_back(observed);
        }
    }
    return distinct;
}

std::size_t death_history::death_count(duration step, duration retention, time_point now) const
{
    return deaths(step, retention, now).size();
}

std::optional<time_point> death_history::latest_death_at(const endpoint_id& endpoint) const
{
    const auto found = std::find_if(observations_.rbegin(), observations_.rend(),
                                    [&endpoint](const observation& observed) { return observed.endpoint == endpoint; });
    return found == observations_.rend() ? std::nullopt : std::optional{found->when};
}

time_point death_history::latest_death() const noexcept
{
    return observations_.empty() ? time_point{} : observations_.back().when;
}

time_point death_history::expiry(duration retention) const noexcept
{
    return std::max(latest_death(), cleared_until_) + retention;
}

time_point death_history::cleared_until() const noexcept
{
    return cleared_until_;
}

quarantine_notice death_history::to_notice(fingerprint request, duration retention) const
{
    quarantine_notice notice;
    notice.request = request;
    for (const observation& observed : observations_)
    {
        notice.deaths.push_back(observed.endpoint);
        notice.times.push_back(observed.when);
    }
    notice.expires = expiry(retention);
    notice.cleared_at = cleared_until_;
    return notice;
}

} // namespace parsleyshift
