#include <parsleyshift/migration/evacuation_planner.hpp> // evacuation_planner

#include <algorithm> // any_of, find_if, max, min, sort
#include <utility>   // move

namespace parsleyshift
{
namespace
{

double worth_for_tokens(const leaving_run& run)
{
    return run.worth / static_cast<double>(std::max<std::int64_t>(run.tokens, 1));
}

} // namespace

void evacuation_planner::begin(const endpoint_id& endpoint, std::vector<leaving_run> runs, time_point now)
{
    const auto [found, is_new] = leaving_.try_emplace(endpoint);
    if (!is_new)
    {
        return;
    }
    evacuation& begun = found->second;
    begun.over = now + settings_.notice;
    const duration in_time = settings_.notice - settings_.safety;
    std::sort(runs.begin(), runs.end(),
              [in_time](const leaving_run& left, const leaving_run& right)
              {
                  const bool left_ends = left.expected_left < in_time;
                  const bool right_ends = right.expected_left < in_time;
                  if (left_ends != right_ends)
                  {
                      return left_ends;
                  }
                  const double left_worth = worth_for_tokens(left);
                  const double right_worth = worth_for_tokens(right);
                  return left_worth != right_worth ? left_worth < right_worth : left.permit < right.permit;
              });
    begun.waiting = std::move(runs);
}

std::optional<permit_id> evacuation_planner::next(time_point now) const
{
    for (const auto& [endpoint, leaving] : leaving_)
    {
        const auto due = std::find_if(leaving.waiting.rbegin(), leaving.waiting.rend(),
                                      [now](const leaving_run& run) { return run.not_before <= now; });
        if (!leaving.current && due != leaving.waiting.rend())
        {
            return due->permit;
        }
    }
    return std::nullopt;
}

void evacuation_planner::offered(permit_id run, permit_id place, const endpoint_id& to, time_point now)
{
    for (auto& [endpoint, leaving] : leaving_)
    {
        const auto found = std::find_if(leaving.waiting.begin(), leaving.waiting.end(),
                                        [run](const leaving_run& waiting) { return waiting.permit == run; });
        if (found != leaving.waiting.end())
        {
            leaving.current = move{*found, place, to, now + settings_.patience};
            leaving.waiting.erase(found);
        }
    }
}

void evacuation_planner::postpone(permit_id run, time_point now)
{
    for (auto& [endpoint, leaving] : leaving_)
    {
        const auto found = std::find_if(leaving.waiting.begin(), leaving.waiting.end(),
                                        [run](const leaving_run& waiting) { return waiting.permit == run; });
        if (found != leaving.waiting.end())
        {
            const leaving_run again = *found;
            leaving.waiting.erase(found);
            try_later(leaving, again, now);
        }
    }
}

void evacuation_planner::try_later(evacuation& leaving, leaving_run run, time_point now) const
{
    run.not_before = now + settings_.retry;
    if (++run.tries < settings_.most_tries)
    {
        leaving.waiting.insert(leaving.waiting.begin(), run);
    }
}

void evacuation_planner::returned(permit_id permit, time_point now)
{
    for (auto& [endpoint, leaving] : leaving_)
    {
        std::erase_if(leaving.waiting, [permit](const leaving_run& waiting) { return waiting.permit == permit; });
        if (!leaving.current)
        {
            continue;
        }
        if (leaving.current->run.permit == permit)
        {
            leaving.current.reset();
        }
        else if (leaving.current->place == permit)
        {
            const leaving_run again = leaving.current->run;
            leaving.current.reset();
            try_later(leaving, again, now);
        }
    }
}

bool evacuation_planner::waits(permit_id run) const
{
    const auto holds = [run](const auto& entry)
    {
        const evacuation& leaving = entry.second;
        const auto same = [run](const leaving_run& waiting)
        {
            return waiting.permit == run;
        };
        return (leaving.current && leaving.current->run.permit == run) ||
               std::any_of(leaving.waiting.begin(), leaving.waiting.end(), same);
    };
    return std::any_of(leaving_.begin(), leaving_.end(), holds);
}

void evacuation_planner::expire(time_point now)
{
    for (auto& [endpoint, leaving] : leaving_)
    {
        if (leaving.current && now >= leaving.current->give_up)
        {
            leaving.current.reset();
        }
        if (now >= leaving.over)
        {
            leaving.waiting.clear();
        }
    }
    // A later sign of the same endpoint must not begin again, so that it is forgotten only some time after it is gone.
    const duration remembered = settings_.notice * 10;
    std::erase_if(leaving_, [&](const auto& entry) { return now >= entry.second.over + remembered; });
}

time_point evacuation_planner::next_deadline() const
{
    time_point next = never;
    for (const auto& [endpoint, leaving] : leaving_)
    {
        next = leaving.current ? std::min(next, leaving.current->give_up) : next;
        next = leaving.waiting.empty() ? next : std::min(next, leaving.over);
        for (const leaving_run& run : leaving.waiting)
        {
            // Others wait for the end of the current move.
            next = leaving.current || run.tries == 0 ? next : std::min(next, run.not_before);
        }
    }
    return next;
}

bool evacuation_planner::receives(const endpoint_id& endpoint) const
{
    return std::any_of(leaving_.begin(), leaving_.end(),
                       [&endpoint](const auto& entry)
                       { return entry.second.current && entry.second.current->to == endpoint; });
}

} // namespace parsleyshift
