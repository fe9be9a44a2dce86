#include <parsleyshift/migration/evacuation_planner.hpp> // evacuation_planner

#include <algorithm> // any_of, find_if, max, min, sort
#include <utility>   // move

namespace parsleyshift
{
namespace
{

double worth_per_token(const leaving_run& run)
{
    return run.value / static_cast<double>(std::max<std::int64_t>(run.tokens, 1));
}

} // namespace

void evacuation_planner::start(const endpoint_id& endpoint, std::vector<leaving_run> runs, time_point now)
{
    const auto [found, inserted] = plans_.try_emplace(endpoint);
    if (!inserted)
    {
        return;
    }
    evacuation_plan& plan = found->second;
    plan.notice_end = now + settings_.notice_period;
    const duration latest_end = settings_.notice_period - settings_.safety_margin;
    std::sort(runs.begin(), runs.end(),
              [latest_end](const leaving_run& left, const leaving_run& right)
              {
                  const bool left_ends_in_time = left.expected_remaining < latest_end;
                  const bool right_ends_in_time = right.expected_remaining < latest_end;
                  if (left_ends_in_time != right_ends_in_time)
                  {
                      return left_ends_in_time;
                  }
                  const double left_worth = worth_per_token(left);
                  const double right_worth = worth_per_token(right);
                  return left_worth != right_worth ? left_worth < right_worth : left.permit < right.permit;
              });
    plan.waiting = std::move(runs);
}

std::optional<permit_id> evacuation_planner::next(time_point now) const
{
    for (const auto& [endpoint, plan] : plans_)
    {
        const auto due = std::find_if(plan.waiting.rbegin(), plan.waiting.rend(),
                                      [now](const leaving_run& run) { return run.not_before <= now; });
        if (!plan.current && due != plan.waiting.rend())
        {
            return due->permit;
        }
    }
    return std::nullopt;
}

void evacuation_planner::start_move(permit_id run, permit_id destination_permit, const endpoint_id& destination,
                                    time_point now)
{
    for (auto& [endpoint, plan] : plans_)
    {
        const auto found = std::find_if(plan.waiting.begin(), plan.waiting.end(),
                                        [run](const leaving_run& waiting) { return waiting.permit == run; });
        if (found != plan.waiting.end())
        {
            plan.current = active_migration{*found, destination_permit, destination, now + settings_.migration_timeout};
            plan.waiting.erase(found);
        }
    }
}

void evacuation_planner::postpone(permit_id run, time_point now)
{
    for (auto& [endpoint, plan] : plans_)
    {
        const auto found = std::find_if(plan.waiting.begin(), plan.waiting.end(),
                                        [run](const leaving_run& waiting) { return waiting.permit == run; });
        if (found != plan.waiting.end())
        {
            const leaving_run retried = *found;
            plan.waiting.erase(found);
            requeue(plan, retried, now);
        }
    }
}

void evacuation_planner::requeue(evacuation_plan& plan, leaving_run run, time_point now) const
{
    run.not_before = now + settings_.retry_interval;
    if (++run.attempts < settings_.max_attempts)
    {
        plan.waiting.insert(plan.waiting.begin(), run);
    }
}

void evacuation_planner::permit_returned(permit_id permit, time_point now)
{
    for (auto& [endpoint, plan] : plans_)
    {
        std::erase_if(plan.waiting, [permit](const leaving_run& waiting) { return waiting.permit == permit; });
        if (!plan.current)
        {
            continue;
        }
        if (plan.current->run.permit == permit)
        {
            plan.current.reset();
        }
        else if (plan.current->destination_permit == permit)
        {
            const leaving_run retried = plan.current->run;
            plan.current.reset();
            requeue(plan, retried, now);
        }
    }
}

bool evacuation_planner::is_pending(permit_id run) const
{
    const auto contains_run = [run](const auto& entry)
    {
        const evacuation_plan& plan = entry.second;
        const auto is_run = [run](const leaving_run& waiting)
        {
            return waiting.permit == run;
        };
        return (plan.current && plan.current->run.permit == run) ||
               std::any_of(plan.waiting.begin(), plan.waiting.end(), is_run);
    };
    return std::any_of(plans_.begin(), plans_.end(), contains_run);
}

void evacuation_planner::expire(time_point now)
{
    for (auto& [endpoint, plan] : plans_)
    {
        if (plan.current && now >= plan.current->deadline)
        {
            plan.current.reset();
        }
        if (now >= plan.notice_end)
        {
            plan.waiting.clear();
        }
    }
    // The plan outlives the endpoint by ten notice periods, so that a late repeated notice does not start a second
    // evacuation.
    const duration retention = settings_.notice_period * 10;
    std::erase_if(plans_, [&](const auto& entry) { return now >= entry.second.notice_end + retention; });
}

time_point evacuation_planner::next_deadline() const
{
    time_point next = never;
    for (const auto& [endpoint, plan] : plans_)
    {
        next = plan.current ? std::min(next, plan.current->deadline) : next;
        next = plan.waiting.empty() ? next : std::min(next, plan.notice_end);
        for (const leaving_run& run : plan.waiting)
        {
            // During a migration, its end determines when the next run migrates.
            next = plan.current || run.attempts == 0 ? next : std::min(next, run.not_before);
        }
    }
    return next;
}

bool evacuation_planner::is_destination(const endpoint_id& endpoint) const
{
    return std::any_of(plans_.begin(), plans_.end(),
                       [&endpoint](const auto& entry)
                       { return entry.second.current && entry.second.current->destination == endpoint; });
}

} // namespace parsleyshift
