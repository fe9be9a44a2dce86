#include <parsleyshift/configuration/read_schedule.hpp>

#include <parsleyshift/core/hash.hpp> // rendezvous_score

#include <algorithm> // max, min

namespace parsleyshift
{

bool is_chosen_reader(const member_update& self, std::span<const member_update> members, std::size_t count)
{
    constexpr std::string_view key = "configuration reader";
    const std::uint64_t own_score = rendezvous_score(key, self.instance.value());
    std::size_t ahead = 0;
    for (const member_update& member : members)
    {
        const bool live = member.state == member_state::alive || member.state == member_state::suspect;
        if (!live || member.region != self.region || member.instance == self.instance)
        {
            continue;
        }
        ahead += rendezvous_score(key, member.instance.value()) > own_score ? 1 : 0;
    }
    return ahead < count;
}

read_schedule::read_schedule(configuration_settings settings, std::uint64_t seed)
    : settings_(settings), random_(seed), backoff_(settings.read_spacing)
{
}

void read_schedule::set_reading(bool reads, time_point now)
{
    if (reads && !reads_)
    {
        next_read_ = std::max(next_read_, now + random_.jittered(settings_.read_spacing, 1.0) - settings_.read_spacing);
    }
    reads_ = reads;
}

std::optional<read_configuration> read_schedule::begin(time_point now, revision known)
{
    if (in_flight_ && now >= begun_ + in_flight_->wait + settings_.read_grace)
    {
        end(now, false);
    }
    if (!reads_ || in_flight_ || now < next_read_)
    {
        return std::nullopt;
    }
    const bool full = known == revision{} || now >= next_full_read_;
    if (full)
    {
        next_full_read_ = now + random_.jittered(settings_.full_read_interval, 0.2);
    }
    in_flight_ = full ? read_configuration{revision{}, duration{}} : read_configuration{known, settings_.watch_wait};
    known_at_begin_ = known;
    begun_ = now;
    ++calls_;
    return in_flight_;
}

void read_schedule::end(time_point now, bool useful)
{
    in_flight_.reset();
    if (useful)
    {
        backoff_ = settings_.read_spacing;
        next_read_ = std::max(now, begun_ + random_.jittered(settings_.read_spacing, 1.0));
        return;
    }
    // A full read that failed is not repeated at once, and not forgotten either.
    next_full_read_ = std::min(next_full_read_, now);
    next_read_ = now + random_.jittered(backoff_, 1.0);
    backoff_ = std::min(settings_.longest_backoff, backoff_ * 2);
}

const std::optional<read_configuration>& read_schedule::in_flight() const
{
    return in_flight_;
}

revision read_schedule::known_at_begin() const
{
    return known_at_begin_;
}

time_point read_schedule::next_deadline() const
{
    if (in_flight_)
    {
        return begun_ + in_flight_->wait + settings_.read_grace;
    }
    return reads_ ? next_read_ : never;
}

std::uint64_t read_schedule::calls() const
{
    return calls_;
}

} // namespace parsleyshift
