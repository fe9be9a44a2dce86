#include <parsleyshift/quarantine/part_quarantine.hpp> // part_quarantine

#include <algorithm> // any_of, count_if, find, max, min, sort, unique
#include <utility>   // move

namespace parsleyshift
{

namespace
{

/// Steps between two observations up to which they may be of one death: the instances that observe it detect it at
/// different times and by clocks of their own.
constexpr int same_death_steps = 2;

bool contains(std::span<const fingerprint> parts, fingerprint part)
{
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

} // namespace

part_quarantine::part_quarantine(const part_quarantine_policy& policy) : policy_(policy) {}

void part_quarantine::run_started(attempt_id attempt, std::vector<fingerprint> parts, const endpoint_id& endpoint)
{
    if (!parts.empty())
    {
        runs_.insert_or_assign(attempt, run{std::move(parts), endpoint, std::nullopt});
    }
}

std::vector<quarantine_notice> part_quarantine::answer_began(attempt_id attempt, time_point now)
{
    std::vector<quarantine_notice> notices;
    const auto found = runs_.find(attempt);
    if (found == runs_.end())
    {
        return notices;
    }
    for (const fingerprint part : found->second.parts)
    {
        if (proofs_.size() < policy_.max_parts || proofs_.contains(part))
        {
            proofs_[part] = now;
        }
        if (clear_deaths(part, now))
        {
            notices.push_back(notice_of(part));
        }
    }
    runs_.erase(found);
    return notices;
}

void part_quarantine::run_ended(attempt_id attempt, run_end end, time_point now)
{
    const auto found = runs_.find(attempt);
    if (found == runs_.end())
    {
        return;
    }
    if (end == run_end::connection_lost)
    {
        found->second.lost_at = now;
        return;
    }
    runs_.erase(found);
}

std::vector<quarantine_notice> part_quarantine::endpoint_died(const endpoint_id& endpoint, time_point now)
{
    std::vector<fingerprint> affected;
    for (const auto& [attempt, ended] : runs_)
    {
        const bool is_expired = ended.lost_at && now >= *ended.lost_at + policy_.death_detection_timeout;
        if (ended.endpoint != endpoint || is_expired)
        {
            continue;
        }
        for (const fingerprint part : ended.parts)
        {
            death_history* history = history_of(part, now);
            if (history != nullptr &&
                history->add(endpoint, floor_to_step(ended.lost_at.value_or(now), policy_.observation_step)))
            {
                affected.push_back(part);
            }
        }
    }
    std::erase_if(runs_, [&](const auto& entry) { return entry.second.endpoint == endpoint; });
    std::sort(affected.begin(), affected.end());
    affected.erase(std::unique(affected.begin(), affected.end()), affected.end());
    std::vector<quarantine_notice> notices;
    for (const fingerprint part : affected)
    {
        apply_proof(part);
        notices.push_back(notice_of(part));
    }
    return notices;
}

void part_quarantine::endpoint_survived(const endpoint_id& endpoint)
{
    std::erase_if(runs_, [&](const auto& entry)
                  { return entry.second.endpoint == endpoint && entry.second.lost_at.has_value(); });
}

std::optional<quarantine_notice> part_quarantine::merge(const quarantine_notice& notice, time_point now)
{
    death_history* history = notice.expires <= now ? nullptr : history_of(notice.request, now);
    if (history == nullptr)
    {
        return std::nullopt;
    }
    bool changed = history->clear_until(notice.cleared_at);
    for (std::size_t index = 0; index < std::min(notice.deaths.size(), notice.times.size()); ++index)
    {
        changed =
            history->add(notice.deaths[index], floor_to_step(notice.times[index], policy_.observation_step)) || changed;
    }
    changed = apply_proof(notice.request) || changed;
    return changed ? std::optional{notice_of(notice.request)} : std::nullopt;
}

part_verdict part_quarantine::verdict_of(std::span<const fingerprint> parts, time_point now) const
{
    part_verdict verdict;
    std::optional<deaths> others;
    for (const fingerprint part : parts)
    {
        const deaths own = deaths_of(part, now);
        if (own.size() < policy_.deaths_to_block)
        {
            continue;
        }
        if (!others)
        {
            others = deaths_of_others(parts, now);
        }
        const auto unexplained = static_cast<std::size_t>(
            std::count_if(own.begin(), own.end(), [&](const auto& death) { return !is_explained(death, *others); }));
        const time_point until = own.back().when + trial_delay(own.size());
        if (unexplained >= policy_.deaths_to_block && until >= verdict.until)
        {
            verdict = {until > now ? part_state::blocked : part_state::on_trial, part, until};
        }
    }
    return verdict;
}

bool part_quarantine::has_run(fingerprint part) const
{
    return std::any_of(runs_.begin(), runs_.end(),
                       [part](const auto& entry)
                       { return !entry.second.lost_at && contains(entry.second.parts, part); });
}

std::vector<quarantine_notice> part_quarantine::notices(std::size_t max_count, time_point now) const
{
    std::vector<std::pair<time_point, fingerprint>> latest;
    for (const auto& [part, history] : histories_)
    {
        if (history.death_count(policy_.observation_step, policy_.retention, now) > 0)
        {
            latest.emplace_back(history.latest_death(), part);
        }
    }
    std::sort(latest.rbegin(), latest.rend());
    std::vector<quarantine_notice> collected;
    for (std::size_t index = 0; index < std::min(max_count, latest.size()); ++index)
    {
        collected.push_back(notice_of(latest[index].second));
    }
    return collected;
}

void part_quarantine::purge(time_point now)
{
    std::erase_if(histories_, [&](const auto& entry) { return entry.second.expiry(policy_.retention) <= now; });
    std::erase_if(proofs_, [&](const auto& entry) { return entry.second + policy_.proof_retention <= now; });
    std::erase_if(runs_,
                  [&](const auto& entry)
                  {
                      const auto& lost_at = entry.second.lost_at;
                      return lost_at && *lost_at + policy_.death_detection_timeout <= now;
                  });
}

quarantine_notice part_quarantine::notice_of(fingerprint part) const
{
    quarantine_notice notice = histories_.at(part).to_notice(part, policy_.retention);
    notice.prompt_part = true;
    return notice;
}

bool part_quarantine::apply_proof(fingerprint part)
{
    const auto proof = proofs_.find(part);
    return proof != proofs_.end() && clear_deaths(part, proof->second);
}

bool part_quarantine::clear_deaths(fingerprint part, time_point until)
{
    // Without deaths there is nothing to clear, and peers that answer frequently would exchange notices for ever.
    const auto history = histories_.find(part);
    return history != histories_.end() && history->second.has_deaths() && history->second.clear_until(until);
}

death_history* part_quarantine::history_of(fingerprint part, time_point now)
{
    if (histories_.size() >= policy_.max_parts && !histories_.contains(part))
    {
        purge(now);
        if (histories_.size() >= policy_.max_parts)
        {
            return nullptr;
        }
    }
    return &histories_[part];
}

part_quarantine::deaths part_quarantine::deaths_of(fingerprint part, time_point now) const
{
    const auto history = histories_.find(part);
    if (history == histories_.end())
    {
        return {};
    }
    const auto proof = proofs_.find(part);
    const time_point last_answer =
        std::max(history->second.cleared_until(), proof == proofs_.end() ? time_point{} : proof->second);
    const bool is_proven = now < last_answer + policy_.proof_lifetime;
    return is_proven ? deaths{} : history->second.deaths(policy_.observation_step, policy_.retention, now);
}

part_quarantine::deaths part_quarantine::deaths_of_others(std::span<const fingerprint> parts, time_point now) const
{
    deaths collected;
    for (const auto& [part, history] : histories_)
    {
        if (contains(parts, part))
        {
            continue;
        }
        const deaths own = deaths_of(part, now);
        if (own.size() >= policy_.deaths_to_block)
        {
            collected.insert(collected.end(), own.begin(), own.end());
        }
    }
    return collected;
}

bool part_quarantine::is_explained(const death_history::observation& death, const deaths& others) const
{
    return std::any_of(others.begin(), others.end(),
                       [&](const auto& other)
                       {
                           const duration apart = std::chrono::abs(other.when - death.when);
                           return other.endpoint == death.endpoint &&
                                  apart <= same_death_steps * policy_.observation_step;
                       });
}

duration part_quarantine::trial_delay(std::size_t death_count) const
{
    duration delay = policy_.first_trial_after;
    for (std::size_t count = policy_.deaths_to_block; count < death_count; ++count)
    {
        delay = std::min(2 * delay, policy_.retention);
    }
    return delay;
}

} // namespace parsleyshift
