#include <parsleyshift/quarantine/suspicion.hpp> // suspicion

#include <algorithm> // lower_bound, max, min, min_element

namespace parsleyshift
{

bool suspicion::mark(const endpoint_id& endpoint, const death_times& times)
{
    if (times.last <= cleared_)
    {
        return false;
    }
    const auto place =
        std::lower_bound(deaths_.begin(), deaths_.end(), endpoint,
                         [](const death& left, const endpoint_id& right) { return left.endpoint < right; });
    if (place == deaths_.end() || place->endpoint != endpoint)
    {
        const suspicion before = *this;
        deaths_.insert(place, {endpoint, times});
        drop_oldest();
        return !(*this == before);
    }
    const death_times merged{std::min(place->times.first, times.first), std::max(place->times.last, times.last)};
    const bool changed = !(merged == place->times);
    place->times = merged;
    return changed;
}

bool suspicion::clear_until(time_point cleared)
{
    if (cleared <= cleared_)
    {
        return false;
    }
    cleared_ = cleared;
    drop_cleared();
    return true;
}

void suspicion::drop_cleared()
{
    std::erase_if(deaths_, [this](const death& known) { return known.times.last <= cleared_; });
}

void suspicion::drop_oldest()
{
    if (deaths_.size() <= most_endpoints)
    {
        return;
    }
    deaths_.erase(std::min_element(deaths_.begin(), deaths_.end(),
                                   [](const death& left, const death& right)
                                   { return left.times.last < right.times.last; }));
}

std::size_t suspicion::deaths(duration same_death, duration keep, time_point now) const
{
    std::size_t count = 0;
    for (const death& known : deaths_)
    {
        if (known.times.last + keep <= now)
        {
            continue;
        }
        const time_point earliest = std::max(known.times.first, cleared_);
        const bool first_counts = known.times.first > cleared_ && known.times.first + keep > now;
        const bool two = first_counts && known.times.last - earliest > same_death;
        count += two ? 2 : 1;
    }
    return count;
}

time_point suspicion::latest() const noexcept
{
    time_point latest;
    for (const death& known : deaths_)
    {
        latest = std::max(latest, known.times.last);
    }
    return latest;
}

time_point suspicion::cleared() const noexcept
{
    return cleared_;
}

quarantine_notice suspicion::to_notice(fingerprint request, duration keep) const
{
    quarantine_notice notice;
    notice.request = request;
    for (const death& known : deaths_)
    {
        notice.deaths.push_back(known.endpoint);
        notice.times.push_back(known.times);
    }
    notice.expires = std::max(latest(), cleared_) + keep;
    notice.cleared = cleared_;
    return notice;
}

} // namespace parsleyshift
