#include <parsleyshift/configuration/read_schedule.hpp>

#include <parsleyshift/core/hash.hpp> // rendezvous_score

#include <algorithm> // max, min

namespace parsleyshift
{

bool is_chosen_reader(const member_update& self, std::span<const member_update> members, std::size_t count)
{
    constexpr std::string_view key = "configuration reader";
    const std::uint64_t own_score = rendezvous_score(key, self.instance.value());
    std::size_t higher_scores = 0;
    for (const member_update& member : members)
    {
        const bool live = member.state == member_state::alive || member.state == member_state::suspect;
        if (!live || member.region != self.region || member.instance == self.instance)
        {
            continue;
        }
        higher_scores += rendezvous_score(key, member.instance.value()) > own_score ? 1 : 0;
    }
    return higher_scores < count;
}

read_schedule::read_schedule(configuration_settings settings, std::uint64_t seed)
    : settings_(settings), random_(seed), backoff_(settings.min_read_interval)
{
}

void read_schedule::set_enabled(bool enabled, time_point now)
{
    if (enabled && !enabled_)
    {
        next_read_ = std::max(next_read_,
                              now + random_.jittered(settings_.min_read_interval, 1.0) - settings_.min_read_interval);
    }
    enabled_ = enabled;
}

std::optional<read_configuration> read_schedule::begin(time_point now, revision known_revision)
{
    if (in_flight_ && now >= started_at_ + in_flight_->wait + settings_.read_timeout_margin)
    {
        end(now, false);
    }
    if (!enabled_ || in_flight_ || now < next_read_)
    {
        return std::nullopt;
    }
    const bool full = known_revision == revision{} || now >= next_full_read_;
    if (full)
    {
        next_full_read_ = now + random_.jittered(settings_.full_read_interval, 0.2);
    }
    in_flight_ =
        full ? read_configuration{revision{}, duration{}} : read_configuration{known_revision, settings_.watch_wait};
    revision_at_start_ = known_revision;
    started_at_ = now;
    ++read_count_;
    return in_flight_;
}

void read_schedule::end(time_point now, bool successful)
{
    in_flight_.reset();
    if (successful)
    {
        backoff_ = settings_.min_read_interval;
        next_read_ = std::max(now, started_at_ + random_.jittered(settings_.min_read_interval, 1.0));
        return;
    }
    // Makes the next read a full one, since the read that failed may have been full; it still waits for the backoff.
    next_full_read_ = std::min(next_full_read_, now);
    next_read_ = now + random_.jittered(backoff_, 1.0);
    backoff_ = std::min(settings_.max_backoff, backoff_ * 2);
}

const std::optional<read_configuration>& read_schedule::in_flight() const
{
    return in_flight_;
}

revision read_schedule::revision_at_start() const
{
    return revision_at_start_;
}

time_point read_schedule::next_deadline() const
{
    if (in_flight_)
    {
        return started_at_ + in_flight_->wait + settings_.read_timeout_margin;
    }
    return enabled_ ? next_read_ : never;
}

std::uint64_t read_schedule::read_count() const
{
    return read_count_;
}

} // namespace parsleyshift
