#include <parsleyshift/quarantine/suspicion.hpp> // suspicion

#include <algorithm> // any_of, find_if, lower_bound, max

namespace parsleyshift
{

bool suspicion::mark(const endpoint_id& endpoint, time_point when)
{
    const observation added{when, endpoint};
    const auto place = std::lower_bound(observations_.begin(), observations_.end(), added);
    const bool known = place != observations_.end() && *place == added;
    const bool too_old = observations_.size() >= most_observations && place == observations_.begin();
    if (known || too_old || when <= cleared_)
    {
        return false;
    }
    observations_.insert(place, added);
    if (observations_.size() > most_observations)
    {
        observations_.erase(observations_.begin());
    }
    return true;
}

bool suspicion::clear_until(time_point cleared)
{
    if (cleared <= cleared_)
    {
        return false;
    }
    cleared_ = cleared;
    std::erase_if(observations_, [this](const observation& known) { return known.when <= cleared_; });
    return true;
}

std::size_t suspicion::deaths(duration step, duration keep, time_point now) const
{
    if (latest() + keep <= now)
    {
        return 0;
    }
    std::size_t count = 0;
    for (const observation& known : observations_)
    {
        const bool seen_before = std::any_of(observations_.begin(), observations_.end(),
                                             [&](const observation& earlier) {
                                                 return earlier.endpoint == known.endpoint &&
                                                        earlier.when < known.when && known.when - earlier.when <= step;
                                             });
        if (latest() - known.when < keep && !seen_before)
        {
            ++count;
        }
    }
    return count;
}

std::optional<time_point> suspicion::latest_at(const endpoint_id& endpoint) const
{
    const auto found = std::find_if(observations_.rbegin(), observations_.rend(),
                                    [&endpoint](const observation& known) { return known.endpoint == endpoint; });
    return found == observations_.rend() ? std::nullopt : std::optional{found->when};
}

time_point suspicion::latest() const noexcept
{
    return observations_.empty() ? time_point{} : observations_.back().when;
}

time_point suspicion::cleared() const noexcept
{
    return cleared_;
}

quarantine_notice suspicion::to_notice(fingerprint request, duration keep) const
{
    quarantine_notice notice;
    notice.request = request;
    for (const observation& known : observations_)
    {
        notice.deaths.push_back(known.endpoint);
        notice.times.push_back(known.when);
    }
    notice.expires = std::max(latest(), cleared_) + keep;
    notice.cleared = cleared_;
    return notice;
}

} // namespace parsleyshift
