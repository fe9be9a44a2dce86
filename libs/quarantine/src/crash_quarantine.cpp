#include <parsleyshift/quarantine/crash_quarantine.hpp> // crash_quarantine

#include <algorithm> // any_of, count_if, find, max, min_element, sort, unique

namespace parsleyshift
{

namespace
{

constexpr std::size_t deaths_to_quarantine = 2;

/// Time of a death in a notice; derived from the expiry when the notice has fewer times than deaths.
time_point death_time_in(const quarantine_notice& notice, std::size_t index, duration retention)
{
    return index < notice.times.size() ? notice.times[index] : notice.expires - retention;
}

} // namespace

crash_quarantine::crash_quarantine(const quarantine_policy& policy) : policy_(policy) {}

void crash_quarantine::run_started(attempt_id attempt, fingerprint request, const endpoint_id& endpoint)
{
    const auto [entry, added] = runs_.try_emplace(attempt, run{request, endpoint, std::nullopt, std::nullopt});
    if (!added)
    {
        entry->second.disconnected_at = std::nullopt;
        return;
    }
    if (const auto history = histories_.find(request); history != histories_.end())
    {
        entry->second.previous_death = history->second.latest_death_at(endpoint);
    }
    attempts_by_endpoint_[endpoint].push_back(attempt);
    attempts_by_request_[request].push_back(attempt);
}

void crash_quarantine::erase_run(attempt_id attempt)
{
    const auto found = runs_.find(attempt);
    const auto at_endpoint = attempts_by_endpoint_.find(found->second.endpoint);
    std::erase(at_endpoint->second, attempt);
    if (at_endpoint->second.empty())
    {
        attempts_by_endpoint_.erase(at_endpoint);
    }
    const auto of_request = attempts_by_request_.find(found->second.request);
    std::erase(of_request->second, attempt);
    if (of_request->second.empty())
    {
        attempts_by_request_.erase(of_request);
    }
    runs_.erase(found);
}

std::optional<quarantine_notice> crash_quarantine::run_ended(attempt_id attempt, run_end end, time_point now)
{
    const auto found = runs_.find(attempt);
    if (found == runs_.end())
    {
        return std::nullopt;
    }
    if (end == run_end::connection_lost)
    {
        found->second.disconnected_at = now;
        return std::nullopt;
    }
    const fingerprint request = found->second.request;
    erase_run(attempt);
    const auto history = histories_.find(request);
    if (end != run_end::completed || history == histories_.end())
    {
        return std::nullopt;
    }
    if (!history->second.clear_until(history->second.latest_death()))
    {
        return std::nullopt;
    }
    return history->second.to_notice(request, policy_.retention);
}

bool crash_quarantine::is_tracked(const run& candidate, time_point now) const
{
    return !candidate.disconnected_at || now < *candidate.disconnected_at + policy_.death_detection_timeout;
}

std::size_t crash_quarantine::tracked_run_count(fingerprint request, time_point now) const
{
    const auto found = attempts_by_request_.find(request);
    if (found == attempts_by_request_.end())
    {
        return 0;
    }
    return static_cast<std::size_t>(std::count_if(found->second.begin(), found->second.end(),
                                                  [&](attempt_id attempt)
                                                  { return is_tracked(runs_.at(attempt), now); }));
}

std::size_t crash_quarantine::disconnected_run_count(fingerprint request, time_point now) const
{
    const auto found = attempts_by_request_.find(request);
    if (found == attempts_by_request_.end())
    {
        return 0;
    }
    return static_cast<std::size_t>(std::count_if(found->second.begin(), found->second.end(),
                                                  [&](attempt_id attempt)
                                                  {
                                                      const run& candidate = runs_.at(attempt);
                                                      return candidate.disconnected_at && is_tracked(candidate, now);
                                                  }));
}

std::vector<crash_quarantine::run> crash_quarantine::tracked_runs_at(const endpoint_id& endpoint, time_point now) const
{
    std::vector<run> tracked_runs;
    const auto found = attempts_by_endpoint_.find(endpoint);
    if (found == attempts_by_endpoint_.end())
    {
        return tracked_runs;
    }
    for (const attempt_id attempt : found->second)
    {
        const run& candidate = runs_.at(attempt);
        if (is_tracked(candidate, now))
        {
            tracked_runs.push_back(candidate);
        }
    }
    return tracked_runs;
}

time_point crash_quarantine::death_time(const run& ended_run, time_point now) const
{
    // The connection is lost when the endpoint dies; `now` is the time of detection, which differs between instances.
    const time_point observed = floor_to_step(ended_run.disconnected_at.value_or(now), policy_.observation_step);
    if (!ended_run.previous_death)
    {
        return observed;
    }
    // Other instances may have recorded the earlier death one step later, and deaths in adjacent steps count as one: a
    // distance of three steps keeps the two deaths separate.
    const time_point earliest_separate = *ended_run.previous_death + 3 * policy_.observation_step;
    return std::max(observed, earliest_separate);
}

std::vector<quarantine_notice> crash_quarantine::endpoint_died(const endpoint_id& endpoint, time_point now)
{
    std::vector<fingerprint> affected;
    for (const run& ended_run : tracked_runs_at(endpoint, now))
    {
        history_of(ended_run.request, now).add(endpoint, death_time(ended_run, now));
        affected.push_back(ended_run.request);
    }
    std::sort(affected.begin(), affected.end());
    affected.erase(std::unique(affected.begin(), affected.end()), affected.end());
    std::vector<quarantine_notice> notices;
    for (const fingerprint request : affected)
    {
        if (const std::optional<quarantine_notice> notice = notice_of(request))
        {
            notices.push_back(*notice);
        }
    }
    const auto found = attempts_by_endpoint_.find(endpoint);
    const attempt_list attempts = found == attempts_by_endpoint_.end() ? attempt_list{} : found->second;
    for (const attempt_id attempt : attempts)
    {
        erase_run(attempt);
    }
    return notices;
}

void crash_quarantine::endpoint_survived(const endpoint_id& endpoint)
{
    const auto found = attempts_by_endpoint_.find(endpoint);
    const attempt_list attempts = found == attempts_by_endpoint_.end() ? attempt_list{} : found->second;
    for (const attempt_id attempt : attempts)
    {
        if (runs_.at(attempt).disconnected_at)
        {
            erase_run(attempt);
        }
    }
}

void crash_quarantine::evict_if_full(time_point now)
{
    if (histories_.size() < policy_.max_fingerprints)
    {
        return;
    }
    purge(now);
    if (histories_.size() < policy_.max_fingerprints)
    {
        return;
    }
    // A linear search, but only while max_fingerprints is reached.
    const auto evicted_before = [&](const auto& left, const auto& right)
    {
        const bool left_quarantined = death_count(left.first, now) >= deaths_to_quarantine;
        const bool right_quarantined = death_count(right.first, now) >= deaths_to_quarantine;
        if (left_quarantined != right_quarantined)
        {
            return right_quarantined;
        }
        return left.second.latest_death() < right.second.latest_death();
    };
    histories_.erase(std::min_element(histories_.begin(), histories_.end(), evicted_before));
}

death_history& crash_quarantine::history_of(fingerprint request, time_point now)
{
    const auto found = histories_.find(request);
    if (found != histories_.end())
    {
        return found->second;
    }
    evict_if_full(now);
    return histories_[request];
}

bool crash_quarantine::merge(const quarantine_notice& notice, time_point now)
{
    if (notice.expires <= now)
    {
        return false;
    }
    death_history& history = history_of(notice.request, now);
    bool changed = history.clear_until(notice.cleared_at);
    for (std::size_t index = 0; index < notice.deaths.size(); ++index)
    {
        const time_point when =
            floor_to_step(death_time_in(notice, index, policy_.retention), policy_.observation_step);
        changed = history.add(notice.deaths[index], when) || changed;
    }
    return changed;
}

std::size_t crash_quarantine::death_count(fingerprint request, time_point now) const
{
    const auto found = histories_.find(request);
    return found == histories_.end() ? 0 : found->second.death_count(policy_.observation_step, policy_.retention, now);
}

std::size_t crash_quarantine::possible_death_count(fingerprint request, time_point now) const
{
    return death_count(request, now) + disconnected_run_count(request, now);
}

quarantine_state crash_quarantine::state_of(fingerprint request, time_point now) const
{
    if (death_count(request, now) >= deaths_to_quarantine)
    {
        return quarantine_state::quarantined;
    }
    const std::size_t possible_deaths = possible_death_count(request, now);
    if (possible_deaths >= deaths_to_quarantine)
    {
        return quarantine_state::held;
    }
    return possible_deaths == 0 ? quarantine_state::clear : quarantine_state::suspect;
}

bool crash_quarantine::has_suspect_run(const endpoint_id& endpoint, time_point now) const
{
    const std::vector<run> runs = tracked_runs_at(endpoint, now);
    return std::any_of(runs.begin(), runs.end(),
                       [&](const run& candidate)
                       { return state_of(candidate.request, now) != quarantine_state::clear; });
}

bool crash_quarantine::may_run(fingerprint request, const endpoint_id& endpoint, time_point now) const
{
    switch (state_of(request, now))
    {
    case quarantine_state::clear:
        return true;
    case quarantine_state::suspect:
        break;
    case quarantine_state::held:
    case quarantine_state::quarantined:
        return false;
    }
    const bool has_run_in_progress = tracked_run_count(request, now) > disconnected_run_count(request, now);
    return !has_run_in_progress && !has_suspect_run(endpoint, now);
}

error crash_quarantine::rejection(fingerprint request, time_point now) const
{
    const auto found = histories_.find(request);
    const time_point until = found == histories_.end() ? now : found->second.latest_death() + policy_.retention;
    return make_error(error_kind::quarantined, "two endpoints died while running this request",
                      std::max(duration{}, until - now));
}

std::optional<quarantine_notice> crash_quarantine::notice_of(fingerprint request) const
{
    const auto found = histories_.find(request);
    if (found == histories_.end())
    {
        return std::nullopt;
    }
    return found->second.to_notice(request, policy_.retention);
}

std::vector<quarantine_notice> crash_quarantine::notices(std::size_t max_count, time_point now) const
{
    std::vector<quarantine_notice> collected;
    for (const auto& [request, history] : histories_)
    {
        if (collected.size() < max_count && history.death_count(policy_.observation_step, policy_.retention, now) > 0)
        {
            collected.push_back(history.to_notice(request, policy_.retention));
        }
    }
    return collected;
}

void crash_quarantine::purge(time_point now)
{
    std::erase_if(histories_, [&](const auto& entry) { return entry.second.expiry(policy_.retention) <= now; });
    std::vector<attempt_id> expired;
    for (const auto& [attempt, candidate] : runs_)
    {
        if (!is_tracked(candidate, now))
        {
            expired.push_back(attempt);
        }
    }
    for (const attempt_id attempt : expired)
    {
        erase_run(attempt);
    }
}

std::size_t crash_quarantine::size() const noexcept
{
    return histories_.size();
}

} // namespace parsleyshift
