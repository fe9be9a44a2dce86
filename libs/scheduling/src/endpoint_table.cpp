#include <parsleyshift/scheduling/endpoint_table.hpp> // endpoint_table

#include <algorithm> // clamp, find, max, min, nth_element
#include <cmath>     // ceil, floor
#include <cstddef>   // ptrdiff_t
#include <utility>   // move

namespace parsleyshift
{

namespace
{

// Weight of a new sample in the moving average of an endpoint's decode rate.
constexpr double decode_rate_ewma_weight = 0.3;
// Bounds the expected prefill of one prompt: a caller may state any number of tokens.
constexpr double max_prefill_ms = 3'600'000.0;
// Maximum number of ended permits kept for an endpoint between two load reports.
constexpr std::size_t max_recent_ends = 1024;

} // namespace

endpoint_table::endpoint_table(const scheduler_settings& settings, const length_estimator& lengths)
    : settings_(settings), lengths_(&lengths)
{
}

endpoint_table::index endpoint_table::add(const endpoint_id& endpoint)
{
    const auto found = index_of_.find(endpoint);
    if (found != index_of_.end())
    {
        return found->second;
    }
    index endpoint_index = entries_.size();
    if (free_entries_.empty())
    {
        entries_.emplace_back();
    }
    else
    {
        endpoint_index = free_entries_.back();
        free_entries_.pop_back();
        entries_[endpoint_index] = endpoint_entry{};
    }
    entries_[endpoint_index].id = endpoint;
    entries_[endpoint_index].in_use = true;
    entries_[endpoint_index].pacer.halve_until(caution_until_);
    index_of_.emplace(endpoint, endpoint_index);
    update_available(endpoint_index);
    return endpoint_index;
}

std::vector<request_key> endpoint_table::remove(const endpoint_id& endpoint)
{
    std::vector<request_key> ended;
    const auto found = index_of_.find(endpoint);
    if (found == index_of_.end())
    {
        return ended;
    }
    const index endpoint_index = found->second;
    endpoint_entry& entry = entries_[endpoint_index];
    entry.in_use = false;
    update_available(endpoint_index);
    for (const active_permit* permit : entry.permits)
    {
        ended.push_back(permit->key);
        expiries_.erase(expiry{permit->expires, permit->id});
        // A copy, because erase() destroys the permit that holds the key.
        const permit_id id = permit->id;
        permits_.erase(id);
    }
    entry = endpoint_entry{};
    index_of_.erase(found);
    free_entries_.push_back(endpoint_index);
    return ended;
}

void endpoint_table::set_leaving(const endpoint_id& endpoint)
{
    if (const auto endpoint_index = find(endpoint))
    {
        entries_[*endpoint_index].leaving = true;
        update_available(*endpoint_index);
    }
}

void endpoint_table::set_excluded(const endpoint_id& endpoint, bool excluded)
{
    if (const auto endpoint_index = find(endpoint))
    {
        entries_[*endpoint_index].excluded = excluded;
        update_available(*endpoint_index);
    }
}

void endpoint_table::set_health(const endpoint_id& endpoint, double weight)
{
    if (const auto endpoint_index = find(endpoint))
    {
        entries_[*endpoint_index].health = std::clamp(weight, 0.0, 1.0);
        update_available(*endpoint_index);
    }
}

void endpoint_table::set_start_limit(const endpoint_id& endpoint, std::optional<double> starts_per_second,
                                     time_point now)
{
    if (const auto endpoint_index = find(endpoint))
    {
        entries_[*endpoint_index].pacer.set_limit(starts_per_second, now);
    }
}

void endpoint_table::allow_paced_starts(bool allowed, time_point now)
{
    if (allowed && !paced_starts_allowed_)
    {
        caution_until_ = now + settings_.takeover_caution;
        for (endpoint_entry& entry : entries_)
        {
            entry.pacer.restart(now, settings_.takeover_caution);
        }
    }
    paced_starts_allowed_ = allowed;
}

time_point endpoint_table::next_paced_start(time_point now) const
{
    time_point next = never;
    for (const endpoint_entry& entry : entries_)
    {
        const bool waits = entry.in_use && paced_starts_allowed_ && !entry.pacer.may_start(now);
        next = waits ? std::min(next, entry.pacer.next_start()) : next;
    }
    return next;
}

void endpoint_table::report(const load_report& report, time_point now)
{
    const auto endpoint_index = find(report.endpoint);
    if (!endpoint_index)
    {
        return;
    }
    endpoint_entry& entry = entries_[*endpoint_index];
    const time_point as_of = std::min(report.as_of, now);
    if (entry.reported && as_of <= entry.reported_as_of)
    {
        return;
    }
    entry.reported = true;
    entry.reported_as_of = as_of;
    entry.leaving = entry.leaving || report.leaving;
    entry.slots = report.slots;
    entry.memory_capacity = report.memory_capacity;
    while (!entry.recent_ends.empty() && entry.recent_ends.front().time < as_of)
    {
        entry.recent_ends.pop_front();
    }
    auto permitted_running = static_cast<std::int64_t>(entry.recent_ends.size());
    std::int64_t permitted_memory = 0;
    for (const ended_permit& ended : entry.recent_ends)
    {
        permitted_memory += ended.memory_tokens;
    }
    for (const active_permit* permit : entry.permits)
    {
        if (permit->granted < as_of)
        {
            ++permitted_running;
            permitted_memory += permit->prompt_tokens + estimated_tokens(entry, *permit, as_of);
        }
    }
    entry.unattributed_running = std::max<std::int64_t>(report.running + report.waiting - permitted_running, 0);
    entry.unattributed_memory = std::max<std::int64_t>(report.memory_used - permitted_memory, 0);
    update_available(*endpoint_index);
}

void endpoint_table::insert(const active_permit& permit, bool already_reported)
{
    const index endpoint_index = add(permit.endpoint);
    endpoint_entry& entry = entries_[endpoint_index];
    const auto [stored, added] = permits_.try_emplace(permit.id, permit);
    if (!added)
    {
        return;
    }
    expiries_.insert(expiry{permit.expires, permit.id});
    if (!already_reported)
    {
        mark_paused_runs(entry, permit);
    }
    entry.permits.push_back(&stored->second);
    if (!already_reported)
    {
        entry.pacer.record_start(permit.granted);
    }
    entry.shared_permits += permit.work_lane == lane::shared ? 1 : 0;
    entry.expected_memory += permit.prompt_tokens + permit.expected_tokens;
    if (already_reported && entry.unattributed_running > 0)
    {
        entry.unattributed_memory -= entry.unattributed_memory / entry.unattributed_running;
        --entry.unattributed_running;
    }
    if (permit.needs_prefill && !already_reported && settings_.prefill_tokens_per_ms > 0.0)
    {
        const double factor = permit.gap_objective > duration{} ? entry.pace.factor(pool_pace_, permit.granted) : 1.0;
        const double read_ms = factor * static_cast<double>(permit.prompt_tokens) / settings_.prefill_tokens_per_ms;
        const double prefill_ms = std::min(read_ms, max_prefill_ms);
        stored->second.prefill_time = duration{static_cast<duration::rep>(prefill_ms)};
        entry.prefill_until = std::max(entry.prefill_until, permit.granted) + stored->second.prefill_time;
        stored->second.prefill_end = entry.prefill_until;
        entry.pace.prompt_granted(permit.id, permit.prompt_tokens, permit.granted, entry.prefill_until);
    }
    update_available(endpoint_index);
}

double endpoint_table::prefill_backlog_share(index endpoint_index, time_point now) const
{
    const duration left = std::max(entries_[endpoint_index].prefill_until - now, duration{});
    return static_cast<double>(left.count()) /
           static_cast<double>(std::max<duration::rep>(settings_.max_prefill_backlog.count(), 1));
}

void endpoint_table::record_inter_token_latency(const endpoint_id& endpoint, duration latency)
{
    const auto endpoint_index = find(endpoint);
    if (!endpoint_index || latency <= duration{})
    {
        return;
    }
    double& average = entries_[*endpoint_index].inter_token_latency_ms;
    const auto measured = static_cast<double>(latency.count());
    average = average > 0.0 ? average + settings_.inter_token_latency_ewma_weight * (measured - average) : measured;
    inter_token_latencies_ms_.clear();
    for (const endpoint_entry& entry : entries_)
    {
        if (entry.in_use && entry.inter_token_latency_ms > 0.0)
        {
            inter_token_latencies_ms_.push_back(entry.inter_token_latency_ms);
        }
    }
    // The lower median, so that the slower one of two engines exceeds it.
    const auto middle =
        inter_token_latencies_ms_.begin() + static_cast<std::ptrdiff_t>((inter_token_latencies_ms_.size() - 1) / 2);
    std::nth_element(inter_token_latencies_ms_.begin(), middle, inter_token_latencies_ms_.end());
    median_inter_token_latency_ms_ = *middle;
}

double endpoint_table::slowness(index endpoint_index) const
{
    const double latency_ms = entries_[endpoint_index].inter_token_latency_ms;
    return latency_ms > 0.0 && median_inter_token_latency_ms_ > 0.0
               ? std::max(latency_ms / median_inter_token_latency_ms_ - 1.0, 0.0)
               : 0.0;
}

time_point endpoint_table::next_prefill_capacity(time_point now) const
{
    time_point next = never;
    for (const endpoint_entry& entry : entries_)
    {
        const bool exceeds_limit = entry.in_use && entry.prefill_until - now > settings_.max_prefill_backlog;
        next = exceeds_limit ? std::min(next, entry.prefill_until - settings_.max_prefill_backlog) : next;
        next = entry.in_use && entry.pace_retry > now ? std::min(next, entry.pace_retry) : next;
    }
    return next;
}

bool endpoint_table::renew(permit_id permit, std::int64_t tokens, time_point now)
{
    const auto found = permits_.find(permit);
    if (found == permits_.end())
    {
        return false;
    }
    active_permit& renewed = found->second;
    expiries_.erase(expiry{renewed.expires, permit});
    renewed.expires = now + settings_.permit_lifetime;
    expiries_.insert(expiry{renewed.expires, permit});
    endpoint_entry& entry = entries_[index_of_.at(renewed.endpoint)];
    const std::int64_t elapsed = (now - renewed.tokens_as_of).count();
    if (tokens > renewed.produced_tokens && renewed.produced_tokens > 0 && elapsed > 0)
    {
        const double measured = static_cast<double>(tokens - renewed.produced_tokens) / static_cast<double>(elapsed);
        entry.decode_rate += decode_rate_ewma_weight * (measured - entry.decode_rate);
    }
    renewed.produced_tokens = std::max(renewed.produced_tokens, tokens);
    renewed.tokens_as_of = now;
    if (renewed.produced_tokens >= renewed.expected_tokens)
    {
        raise_expected_tokens(entry, renewed, renewed.produced_tokens);
    }
    return true;
}

std::optional<active_permit> endpoint_table::erase(permit_id permit, time_point now)
{
    const auto found = permits_.find(permit);
    if (found == permits_.end())
    {
        return std::nullopt;
    }
    const index endpoint_index = index_of_.at(found->second.endpoint);
    endpoint_entry& entry = entries_[endpoint_index];
    if (entry.recent_ends.size() >= max_recent_ends)
    {
        entry.recent_ends.pop_front();
    }
    entry.recent_ends.push_back(
        ended_permit{now, found->second.prompt_tokens + estimated_tokens(entry, found->second, now)});
    detach(entry, found->second);
    retract_prefill(entry, found->second, now);
    expiries_.erase(expiry{found->second.expires, permit});
    active_permit ended = std::move(found->second);
    permits_.erase(found);
    update_available(endpoint_index);
    return ended;
}

void endpoint_table::detach(endpoint_entry& entry, const active_permit& permit)
{
    const auto position = std::find(entry.permits.begin(), entry.permits.end(), &permit);
    *position = entry.permits.back();
    entry.permits.pop_back();
    entry.shared_permits -= permit.work_lane == lane::shared ? 1 : 0;
    entry.stragglers -= permit.straggler ? 1 : 0;
    entry.expected_memory -= permit.prompt_tokens + permit.expected_tokens;
}

void endpoint_table::retract_prefill(endpoint_entry& entry, const active_permit& permit, time_point now)
{
    const duration unread = std::clamp(permit.prefill_end - now, duration{}, permit.prefill_time);
    if (unread == duration{})
    {
        return;
    }
    entry.prefill_until -= unread;
    for (active_permit* other : entry.permits)
    {
        if (other->prefill_end > permit.prefill_end)
        {
            other->prefill_end -= unread;
        }
    }
}

std::optional<permit_id> endpoint_table::expired(time_point now) const
{
    if (expiries_.empty() || expiries_.begin()->time > now)
    {
        return std::nullopt;
    }
    return expiries_.begin()->permit;
}

time_point endpoint_table::next_expiry() const
{
    return expiries_.empty() ? never : expiries_.begin()->time;
}

std::optional<std::int64_t> endpoint_table::largest_memory() const
{
    std::optional<std::int64_t> largest;
    for (const endpoint_entry& entry : entries_)
    {
        if (!entry.in_use || entry.leaving)
        {
            continue;
        }
        if (!entry.reported || entry.memory_capacity <= 0)
        {
            return std::nullopt;
        }
        largest = std::max(largest.value_or(0), entry.memory_capacity);
    }
    return largest;
}

bool endpoint_table::fits(index endpoint_index, const resource_demand& demand, time_point now)
{
    endpoint_entry& entry = entries_[endpoint_index];
    const bool may_start = entry.pacer.may_start(now) && (paced_starts_allowed_ || !entry.pacer.limited());
    if (!accepts_work(entry) || !may_start || !slots_fit(entry, demand) ||
        entry.prefill_until - now > settings_.max_prefill_backlog)
    {
        return false;
    }
    if (demand.gap_objective > duration{} && settings_.learn_engine_pace && !pace_fits(entry, demand, now))
    {
        return false;
    }
    // A capacity of 0 is unknown: only slots limit the endpoint, with default_slots before its first load report.
    return entry.memory_capacity <= 0 || memory_fits(entry, demand, now);
}

bool endpoint_table::slots_fit(const endpoint_entry& entry, const resource_demand& demand) const
{
    const std::int64_t allowed = allowed_slots(entry);
    if (running_count(entry) >= allowed)
    {
        return false;
    }
    const std::int64_t reserved = reserved_slots(entry);
    if (demand.work_lane == lane::reserved)
    {
        const auto used = static_cast<std::int64_t>(entry.permits.size()) - entry.shared_permits;
        return !demand.reserved_share_only || used < reserved;
    }
    return entry.shared_permits + entry.unattributed_running < std::max<std::int64_t>(allowed - reserved, 1);
}

std::int64_t endpoint_table::reserved_slots(const endpoint_entry& entry) const
{
    return static_cast<std::int64_t>(std::ceil(static_cast<double>(allowed_slots(entry)) * settings_.reserved_share));
}

void endpoint_table::collect_streams(endpoint_entry& entry, const resource_demand& demand, time_point now)
{
    all_streams_.clear();
    shared_streams_.clear();
    for (active_permit* permit : entry.permits)
    {
        const std::int64_t tokens = estimated_tokens(entry, *permit, now);
        if (tokens >= permit->expected_tokens)
        {
            raise_expected_tokens(entry, *permit, tokens);
        }
        const stream_growth growth{permit->prompt_tokens + tokens,
                                   std::max<std::int64_t>(permit->expected_tokens - tokens, 1)};
        all_streams_.push_back(growth);
        if (permit->work_lane == lane::shared)
        {
            shared_streams_.push_back(growth);
        }
    }
    const stream_growth added{demand.prompt_tokens, demand.expected_tokens};
    all_streams_.push_back(added);
    if (demand.work_lane == lane::shared)
    {
        shared_streams_.push_back(added);
    }
}

bool endpoint_table::memory_fits(endpoint_entry& entry, const resource_demand& demand, time_point now)
{
    const auto memory = static_cast<double>(entry.memory_capacity);
    const auto all_limit = static_cast<std::int64_t>(memory * (1.0 - settings_.headroom_share));
    const auto reserved_memory = static_cast<std::int64_t>(memory * settings_.reserved_share);
    const std::int64_t shared_limit = all_limit - reserved_memory;
    resource_demand bounded = demand;
    // A request that exceeds the limit on its own may run when its lane is empty, otherwise it would never run.
    bounded.expected_tokens =
        std::min(demand.expected_tokens, std::max<std::int64_t>(shared_limit - demand.prompt_tokens, 1));
    collect_streams(entry, bounded, now);
    const std::int64_t shared_peak = forecast_peak(shared_streams_) + entry.unattributed_memory;
    if (demand.work_lane == lane::shared && shared_peak > shared_limit &&
        entry.shared_permits + entry.unattributed_running > 0)
    {
        return false;
    }
    const std::int64_t all_peak = forecast_peak(all_streams_) + entry.unattributed_memory;
    if (demand.reserved_share_only && all_peak - shared_peak > reserved_memory)
    {
        return false;
    }
    return all_peak <= all_limit || running_count(entry) == 0;
}

double endpoint_table::utilization(index endpoint_index) const
{
    const endpoint_entry& entry = entries_[endpoint_index];
    const auto slots = static_cast<double>(entry.reported ? entry.slots : settings_.default_slots);
    const double slot_share = static_cast<double>(running_count(entry)) / std::max(slots, 1.0);
    const double memory_share = entry.memory_capacity > 0
                                    ? static_cast<double>(entry.expected_memory + entry.unattributed_memory) /
                                          static_cast<double>(entry.memory_capacity)
                                    : 0.0;
    return std::max(slot_share, memory_share) / std::max(entry.health, 0.01);
}

bool endpoint_table::has_stragglers(index endpoint_index) const
{
    return entries_[endpoint_index].stragglers > 0;
}

double endpoint_table::health(index endpoint_index) const
{
    return entries_[endpoint_index].health;
}

const endpoint_id& endpoint_table::id_of(index endpoint_index) const
{
    return entries_[endpoint_index].id;
}

std::optional<endpoint_table::index> endpoint_table::find(const endpoint_id& endpoint) const
{
    const auto found = index_of_.find(endpoint);
    return found == index_of_.end() ? std::nullopt : std::optional{found->second};
}

const active_permit* endpoint_table::permit(permit_id permit) const
{
    const auto found = permits_.find(permit);
    return found == permits_.end() ? nullptr : &found->second;
}

std::vector<active_permit> endpoint_table::permits_at(const endpoint_id& endpoint, time_point now) const
{
    std::vector<active_permit> found;
    if (const auto endpoint_index = find(endpoint))
    {
        const endpoint_entry& entry = entries_[*endpoint_index];
        for (const active_permit* permit : entry.permits)
        {
            found.push_back(*permit);
            found.back().produced_tokens = estimated_tokens(entry, *permit, now);
            found.back().tokens_as_of = now;
        }
    }
    return found;
}

double endpoint_table::decode_rate(const endpoint_id& endpoint) const
{
    const auto endpoint_index = find(endpoint);
    return endpoint_index ? entries_[*endpoint_index].decode_rate : endpoint_entry{}.decode_rate;
}

void endpoint_table::finish_slow_start()
{
    slow_start_ = false;
    for (index endpoint_index = 0; endpoint_index < entries_.size(); ++endpoint_index)
    {
        update_available(endpoint_index);
    }
}

std::int64_t endpoint_table::allowed_slots(const endpoint_entry& entry) const
{
    if (!entry.reported)
    {
        return slow_start_ ? 0 : settings_.default_slots;
    }
    const double scaled = static_cast<double>(entry.slots) * entry.health;
    return std::max<std::int64_t>(static_cast<std::int64_t>(std::floor(scaled + 0.5)), 1);
}

bool endpoint_table::accepts_work(const endpoint_entry& entry) const
{
    return entry.in_use && !entry.leaving && !entry.excluded && entry.health > 0.0;
}

std::int64_t endpoint_table::running_count(const endpoint_entry& entry) const
{
    return static_cast<std::int64_t>(entry.permits.size()) + entry.unattributed_running;
}

std::int64_t endpoint_table::estimated_tokens(const endpoint_entry& entry, const active_permit& permit,
                                              time_point now) const
{
    const auto elapsed = static_cast<double>(std::max<std::int64_t>((now - permit.tokens_as_of).count(), 0));
    const std::int64_t tokens = permit.produced_tokens + static_cast<std::int64_t>(elapsed * entry.decode_rate);
    return permit.max_tokens > 0 ? std::min(tokens, permit.max_tokens) : tokens;
}

void endpoint_table::raise_expected_tokens(endpoint_entry& entry, active_permit& permit, std::int64_t tokens) const
{
    const std::int64_t raised =
        lengths_->total(permit.work_class, permit.customer, settings_.reserve_quantile, tokens, permit.max_tokens);
    entry.expected_memory += raised - permit.expected_tokens;
    permit.expected_tokens = raised;
    const double limit = settings_.straggler_factor * static_cast<double>(permit.initial_expected_tokens);
    if (!permit.straggler && static_cast<double>(tokens) >= limit)
    {
        permit.straggler = true;
        ++entry.stragglers;
    }
}

void endpoint_table::update_available(index endpoint_index)
{
    endpoint_entry& entry = entries_[endpoint_index];
    const bool is_available = accepts_work(entry) && running_count(entry) < allowed_slots(entry);
    if (is_available == entry.in_available)
    {
        return;
    }
    entry.in_available = is_available;
    if (is_available)
    {
        entry.available_position = available_.size();
        available_.push_back(endpoint_index);
        return;
    }
    const index last = available_.back();
    available_[entry.available_position] = last;
    entries_[last].available_position = entry.available_position;
    available_.pop_back();
}

} // namespace parsleyshift
