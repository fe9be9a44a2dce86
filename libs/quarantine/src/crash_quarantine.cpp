#include <parsleyshift/quarantine/crash_quarantine.hpp> // crash_quarantine

#include <algorithm> // any_of, count_if, find, max, min_element, sort, unique

namespace parsleyshift
{

namespace
{

constexpr std::size_t deaths_to_convict = 2;

/// Time of a death in a notice; a peer that sends no times knows the death from its expiry only.
time_point time_of(const quarantine_notice& notice, std::size_t index, duration keep)
{
    return index < notice.times.size() ? notice.times[index] : notice.expires - keep;
}

} // namespace

crash_quarantine::crash_quarantine(const quarantine_policy& policy) : policy_(policy) {}

void crash_quarantine::started(attempt_id attempt, fingerprint request, const endpoint_id& endpoint)
{
    const auto [known, added] = runs_.try_emplace(attempt, run{request, endpoint, std::nullopt, std::nullopt});
    if (!added)
    {
        known->second.broke = std::nullopt;
        return;
    }
    if (const auto suspected = suspicions_.find(request); suspected != suspicions_.end())
    {
        known->second.death_before = suspected->second.latest_at(endpoint);
    }
    by_endpoint_[endpoint].push_back(attempt);
    by_request_[request].push_back(attempt);
}

void crash_quarantine::erase_run(attempt_id attempt)
{
    const auto known = runs_.find(attempt);
    const auto at_endpoint = by_endpoint_.find(known->second.endpoint);
    std::erase(at_endpoint->second, attempt);
    if (at_endpoint->second.empty())
    {
        by_endpoint_.erase(at_endpoint);
    }
    const auto of_request = by_request_.find(known->second.request);
    std::erase(of_request->second, attempt);
    if (of_request->second.empty())
    {
        by_request_.erase(of_request);
    }
    runs_.erase(known);
}

std::optional<quarantine_notice> crash_quarantine::ended(attempt_id attempt, run_end how, time_point now)
{
    const auto known = runs_.find(attempt);
    if (known == runs_.end())
    {
        return std::nullopt;
    }
    if (how == run_end::broken)
    {
        known->second.broke = now;
        return std::nullopt;
    }
    const fingerprint request = known->second.request;
    erase_run(attempt);
    const auto suspected = suspicions_.find(request);
    if (how != run_end::completed || suspected == suspicions_.end())
    {
        return std::nullopt;
    }
    if (!suspected->second.clear_until(suspected->second.latest()))
    {
        return std::nullopt;
    }
    return suspected->second.to_notice(request, policy_.keep);
}

bool crash_quarantine::counts(const run& known, time_point now) const
{
    return !known.broke || now < *known.broke + policy_.death_delay;
}

std::size_t crash_quarantine::runs_of(fingerprint request, time_point now) const
{
    const auto known = by_request_.find(request);
    if (known == by_request_.end())
    {
        return 0;
    }
    return static_cast<std::size_t>(std::count_if(known->second.begin(), known->second.end(),
                                                  [&](attempt_id attempt) { return counts(runs_.at(attempt), now); }));
}

std::size_t crash_quarantine::broken_runs_of(fingerprint request, time_point now) const
{
    const auto known = by_request_.find(request);
    if (known == by_request_.end())
    {
        return 0;
    }
    return static_cast<std::size_t>(std::count_if(known->second.begin(), known->second.end(),
                                                  [&](attempt_id attempt)
                                                  {
                                                      const run& one = runs_.at(attempt);
                                                      return one.broke && counts(one, now);
                                                  }));
}

std::vector<crash_quarantine::run> crash_quarantine::runs_at(const endpoint_id& endpoint, time_point now) const
{
    std::vector<run> found;
    const auto known = by_endpoint_.find(endpoint);
    if (known == by_endpoint_.end())
    {
        return found;
    }
    for (const attempt_id attempt : known->second)
    {
        const run& one = runs_.at(attempt);
        if (counts(one, now))
        {
            found.push_back(one);
        }
    }
    return found;
}

time_point crash_quarantine::step_of(time_point when) const
{
    const duration since_epoch = when.time_since_epoch();
    return when - since_epoch % policy_.same_death;
}

time_point crash_quarantine::death_time(const run& dead, time_point now) const
{
    // The link breaks with the death; `now` is when the death is known, which differs between instances.
    const time_point seen = step_of(dead.broke.value_or(now));
    if (!dead.death_before)
    {
        return seen;
    }
    // Other instances may have put the earlier death one step later; beyond the step after that nothing joins the two.
    const time_point apart = *dead.death_before + 3 * policy_.same_death;
    return std::max(seen, apart);
}

std::vector<quarantine_notice> crash_quarantine::endpoint_died(const endpoint_id& endpoint, time_point now)
{
    std::vector<fingerprint> marked;
    for (const run& one : runs_at(endpoint, now))
    {
        suspicion_of(one.request, now).mark(endpoint, death_time(one, now));
        marked.push_back(one.request);
    }
    std::sort(marked.begin(), marked.end());
    marked.erase(std::unique(marked.begin(), marked.end()), marked.end());
    std::vector<quarantine_notice> notices;
    for (const fingerprint request : marked)
    {
        if (const std::optional<quarantine_notice> notice = notice_of(request))
        {
            notices.push_back(*notice);
        }
    }
    const auto known = by_endpoint_.find(endpoint);
    const attempt_list dead = known == by_endpoint_.end() ? attempt_list{} : known->second;
    for (const attempt_id attempt : dead)
    {
        erase_run(attempt);
    }
    return notices;
}

void crash_quarantine::endpoint_alive(const endpoint_id& endpoint)
{
    const auto known = by_endpoint_.find(endpoint);
    const attempt_list attempts = known == by_endpoint_.end() ? attempt_list{} : known->second;
    for (const attempt_id attempt : attempts)
    {
        if (runs_.at(attempt).broke)
        {
            erase_run(attempt);
        }
    }
}

void crash_quarantine::make_room(time_point now)
{
    if (suspicions_.size() < policy_.most_fingerprints)
    {
        return;
    }
    purge(now);
    if (suspicions_.size() < policy_.most_fingerprints)
    {
        return;
    }
    // O(fingerprints), but only while the bound is reached.
    const auto before = [&](const auto& left, const auto& right)
    {
        const bool left_convicted = deaths_of(left.first, now) >= deaths_to_convict;
        const bool right_convicted = deaths_of(right.first, now) >= deaths_to_convict;
        if (left_convicted != right_convicted)
        {
            return right_convicted;
        }
        return left.second.latest() < right.second.latest();
    };
    suspicions_.erase(std::min_element(suspicions_.begin(), suspicions_.end(), before));
}

suspicion& crash_quarantine::suspicion_of(fingerprint request, time_point now)
{
    const auto known = suspicions_.find(request);
    if (known != suspicions_.end())
    {
        return known->second;
    }
    make_room(now);
    return suspicions_[request];
}

bool crash_quarantine::merge(const quarantine_notice& notice, time_point now)
{
    if (notice.expires <= now)
    {
        return false;
    }
    suspicion& suspected = suspicion_of(notice.request, now);
    bool changed = suspected.clear_until(notice.cleared);
    for (std::size_t index = 0; index < notice.deaths.size(); ++index)
    {
        const time_point when = step_of(time_of(notice, index, policy_.keep));
        changed = suspected.mark(notice.deaths[index], when) || changed;
    }
    return changed;
}

std::size_t crash_quarantine::deaths_of(fingerprint request, time_point now) const
{
    const auto known = suspicions_.find(request);
    return known == suspicions_.end() ? 0 : known->second.deaths(policy_.same_death, policy_.keep, now);
}

std::size_t crash_quarantine::marks_of(fingerprint request, time_point now) const
{
    return deaths_of(request, now) + broken_runs_of(request, now);
}

run_verdict crash_quarantine::verdict(fingerprint request, time_point now) const
{
    if (deaths_of(request, now) >= deaths_to_convict)
    {
        return run_verdict::quarantined;
    }
    const std::size_t marks = marks_of(request, now);
    if (marks >= deaths_to_convict)
    {
        return run_verdict::held;
    }
    return marks == 0 ? run_verdict::clear : run_verdict::suspect;
}

bool crash_quarantine::suspect_runs_at(const endpoint_id& endpoint, time_point now) const
{
    const std::vector<run> there = runs_at(endpoint, now);
    return std::any_of(there.begin(), there.end(),
                       [&](const run& one) { return verdict(one.request, now) != run_verdict::clear; });
}

bool crash_quarantine::may_run(fingerprint request, const endpoint_id& endpoint, time_point now) const
{
    switch (verdict(request, now))
    {
    case run_verdict::clear:
        return true;
    case run_verdict::suspect:
        break;
    case run_verdict::held:
    case run_verdict::quarantined:
        return false;
    }
    const bool runs_already = runs_of(request, now) > broken_runs_of(request, now);
    return !runs_already && !suspect_runs_at(endpoint, now);
}

error crash_quarantine::rejection(fingerprint request, time_point now) const
{
    const auto known = suspicions_.find(request);
    const time_point until = known == suspicions_.end() ? now : known->second.latest() + policy_.keep;
    return make_error(error_kind::quarantined, "request: two endpoints died while running it",
                      std::max(duration{}, until - now));
}

std::optional<quarantine_notice> crash_quarantine::notice_of(fingerprint request) const
{
    const auto known = suspicions_.find(request);
    if (known == suspicions_.end())
    {
        return std::nullopt;
    }
    return known->second.to_notice(request, policy_.keep);
}

std::vector<quarantine_notice> crash_quarantine::notices(std::size_t most, time_point now) const
{
    std::vector<quarantine_notice> found;
    for (const auto& [request, suspected] : suspicions_)
    {
        if (found.size() < most && suspected.deaths(policy_.same_death, policy_.keep, now) > 0)
        {
            found.push_back(suspected.to_notice(request, policy_.keep));
        }
    }
    return found;
}

void crash_quarantine::purge(time_point now)
{
    std::erase_if(suspicions_, [&](const auto& entry)
                  { return std::max(entry.second.latest(), entry.second.cleared()) + policy_.keep <= now; });
    std::vector<attempt_id> settled;
    for (const auto& [attempt, known] : runs_)
    {
        if (!counts(known, now))
        {
            settled.push_back(attempt);
        }
    }
    for (const attempt_id attempt : settled)
    {
        erase_run(attempt);
    }
}

std::size_t crash_quarantine::size() const noexcept
{
    return suspicions_.size();
}

} // namespace parsleyshift
