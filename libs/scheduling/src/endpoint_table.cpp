#include <parsleyshift/scheduling/endpoint_table.hpp> // endpoint_table

#include <algorithm> // clamp, find, max, min, nth_element
#include <cmath>     // ceil, floor
#include <cstddef>   // ptrdiff_t
#include <utility>   // move

namespace parsleyshift
{

namespace
{

// Weight of a new measurement of an endpoint's pace.
constexpr double pace_gain = 0.3;
// Ends of permits remembered between two load reports of one endpoint.
constexpr std::size_t max_recent_ends = 1024;

} // namespace

endpoint_table::endpoint_table(const scheduler_settings& settings, const length_estimator& lengths)
    : settings_(settings), lengths_(&lengths)
{
}

endpoint_table::index endpoint_table::add(const endpoint_id& endpoint)
{
    const auto known = index_of_.find(endpoint);
    if (known != index_of_.end())
    {
        return known->second;
    }
    index at = entries_.size();
    if (unused_.empty())
    {
        entries_.emplace_back();
    }
    else
    {
        at = unused_.back();
        unused_.pop_back();
        entries_[at] = endpoint_entry{};
    }
    entries_[at].id = endpoint;
    entries_[at].used = true;
    index_of_.emplace(endpoint, at);
    update_open(at);
    return at;
}

std::vector<work_key> endpoint_table::remove(const endpoint_id& endpoint)
{
    std::vector<work_key> ended;
    const auto known = index_of_.find(endpoint);
    if (known == index_of_.end())
    {
        return ended;
    }
    const index at = known->second;
    endpoint_entry& entry = entries_[at];
    entry.used = false;
    update_open(at);
    for (const active_permit* permit : entry.permits)
    {
        ended.push_back(permit->key);
        expiries_.erase(expiry{permit->expires, permit->id});
        // A copy, because erasing destroys the number that the reference would name.
        const permit_id id = permit->id;
        permits_.erase(id);
    }
    entry = endpoint_entry{};
    index_of_.erase(known);
    unused_.push_back(at);
    return ended;
}

void endpoint_table::set_leaving(const endpoint_id& endpoint)
{
    if (const auto at = find(endpoint))
    {
        entries_[*at].leaving = true;
        update_open(*at);
    }
}

void endpoint_table::set_health(const endpoint_id& endpoint, double weight)
{
    if (const auto at = find(endpoint))
    {
        entries_[*at].health = std::clamp(weight, 0.0, 1.0);
        update_open(*at);
    }
}

void endpoint_table::report(const load_report& report, time_point now)
{
    const auto at = find(report.endpoint);
    if (!at)
    {
        return;
    }
    endpoint_entry& entry = entries_[*at];
    const time_point as_of = std::min(report.as_of, now);
    if (entry.reported && as_of <= entry.reported_as_of)
    {
        return;
    }
    entry.reported = true;
    entry.reported_as_of = as_of;
    entry.leaving = entry.leaving || report.leaving;
    entry.slots = report.slots;
    entry.memory = report.memory_capacity;
    while (!entry.recent_ends.empty() && entry.recent_ends.front().at < as_of)
    {
        entry.recent_ends.pop_front();
    }
    auto known_running = static_cast<std::int64_t>(entry.recent_ends.size());
    std::int64_t known_held = 0;
    for (const ended_permit& ended : entry.recent_ends)
    {
        known_held += ended.held;
    }
    for (const active_permit* permit : entry.permits)
    {
        if (permit->granted < as_of)
        {
            ++known_running;
            known_held += permit->prompt_tokens + produced(entry, *permit, as_of);
        }
    }
    entry.foreign_running = std::max<std::int64_t>(report.running + report.waiting - known_running, 0);
    entry.foreign_memory = std::max<std::int64_t>(report.memory_used - known_held, 0);
    update_open(*at);
}

void endpoint_table::insert(const active_permit& permit, bool explains_report)
{
    const index at = add(permit.endpoint);
    endpoint_entry& entry = entries_[at];
    const auto [stored, added] = permits_.try_emplace(permit.id, permit);
    if (!added)
    {
        return;
    }
    expiries_.insert(expiry{permit.expires, permit.id});
    entry.permits.push_back(&stored->second);
    entry.shared_permits += permit.uses == lane::shared ? 1 : 0;
    entry.expected_memory += permit.prompt_tokens + permit.expected_tokens;
    if (explains_report && entry.foreign_running > 0)
    {
        entry.foreign_memory -= entry.foreign_memory / entry.foreign_running;
        --entry.foreign_running;
    }
    if (permit.reads_prompt && !explains_report && settings_.prompt_tokens_per_ms > 0.0)
    {
        const double taken = static_cast<double>(permit.prompt_tokens) / settings_.prompt_tokens_per_ms;
        entry.reading_until =
            std::max(entry.reading_until, permit.granted) + duration{static_cast<duration::rep>(taken)};
    }
    update_open(at);
}

double endpoint_table::reading_share(index at, time_point now) const
{
    const duration left = std::max(entries_[at].reading_until - now, duration{});
    return static_cast<double>(left.count()) /
           static_cast<double>(std::max<duration::rep>(settings_.reading_limit.count(), 1));
}

void endpoint_table::note_gap(const endpoint_id& endpoint, duration gap)
{
    const auto at = find(endpoint);
    if (!at || gap <= duration{})
    {
        return;
    }
    double& known = entries_[*at].usual_gap;
    const auto measured = static_cast<double>(gap.count());
    known = known > 0.0 ? known + settings_.gap_gain * (measured - known) : measured;
    gaps_.clear();
    for (const endpoint_entry& entry : entries_)
    {
        if (entry.used && entry.usual_gap > 0.0)
        {
            gaps_.push_back(entry.usual_gap);
        }
    }
    // The lower one of two middles, so that one of two engines can be slow.
    const auto middle = gaps_.begin() + static_cast<std::ptrdiff_t>((gaps_.size() - 1) / 2);
    std::nth_element(gaps_.begin(), middle, gaps_.end());
    median_gap_ = *middle;
}

double endpoint_table::slowness(index at) const
{
    const double gap = entries_[at].usual_gap;
    return gap > 0.0 && median_gap_ > 0.0 ? std::max(gap / median_gap_ - 1.0, 0.0) : 0.0;
}

time_point endpoint_table::next_read(time_point now) const
{
    time_point next = never;
    for (const endpoint_entry& entry : entries_)
    {
        const bool waits = entry.used && entry.reading_until - now > settings_.reading_limit;
        next = waits ? std::min(next, entry.reading_until - settings_.reading_limit) : next;
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
    const std::int64_t elapsed = (now - renewed.known_at).count();
    if (tokens > renewed.known_tokens && renewed.known_tokens > 0 && elapsed > 0)
    {
        const double measured = static_cast<double>(tokens - renewed.known_tokens) / static_cast<double>(elapsed);
        entry.pace += pace_gain * (measured - entry.pace);
    }
    renewed.known_tokens = std::max(renewed.known_tokens, tokens);
    renewed.known_at = now;
    if (renewed.known_tokens >= renewed.expected_tokens)
    {
        outgrow(entry, renewed, renewed.known_tokens);
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
    const index at = index_of_.at(found->second.endpoint);
    endpoint_entry& entry = entries_[at];
    if (entry.recent_ends.size() >= max_recent_ends)
    {
        entry.recent_ends.pop_front();
    }
    entry.recent_ends.push_back(ended_permit{now, found->second.prompt_tokens + produced(entry, found->second, now)});
    detach(entry, found->second);
    expiries_.erase(expiry{found->second.expires, permit});
    active_permit ended = std::move(found->second);
    permits_.erase(found);
    update_open(at);
    return ended;
}

void endpoint_table::detach(endpoint_entry& entry, const active_permit& permit)
{
    const auto position = std::find(entry.permits.begin(), entry.permits.end(), &permit);
    *position = entry.permits.back();
    entry.permits.pop_back();
    entry.shared_permits -= permit.uses == lane::shared ? 1 : 0;
    entry.stragglers -= permit.straggler ? 1 : 0;
    entry.expected_memory -= permit.prompt_tokens + permit.expected_tokens;
}

std::optional<permit_id> endpoint_table::expired(time_point now) const
{
    if (expiries_.empty() || expiries_.begin()->at > now)
    {
        return std::nullopt;
    }
    return expiries_.begin()->permit;
}

time_point endpoint_table::next_expiry() const
{
    return expiries_.empty() ? never : expiries_.begin()->at;
}

bool endpoint_table::fits(index at, const room_request& need, time_point now)
{
    endpoint_entry& entry = entries_[at];
    if (!takes_work(entry) || !slots_fit(entry, need) || entry.reading_until - now > settings_.reading_limit)
    {
        return false;
    }
    // An endpoint of unknown size gets a few permits without regard to memory.
    return entry.memory <= 0 || memory_fits(entry, need, now);
}

bool endpoint_table::slots_fit(const endpoint_entry& entry, const room_request& need) const
{
    const std::int64_t allowed = allowed_slots(entry);
    if (running(entry) >= allowed)
    {
        return false;
    }
    const std::int64_t reserved = reserved_slots(entry);
    if (need.uses == lane::reserved)
    {
        const auto used = static_cast<std::int64_t>(entry.permits.size()) - entry.shared_permits;
        return !need.reserve_only || used < reserved;
    }
    return entry.shared_permits + entry.foreign_running < std::max<std::int64_t>(allowed - reserved, 1);
}

std::int64_t endpoint_table::reserved_slots(const endpoint_entry& entry) const
{
    return static_cast<std::int64_t>(std::ceil(static_cast<double>(allowed_slots(entry)) * settings_.reserved_share));
}

void endpoint_table::collect_streams(endpoint_entry& entry, const room_request& need, time_point now)
{
    all_streams_.clear();
    shared_streams_.clear();
    for (active_permit* permit : entry.permits)
    {
        const std::int64_t tokens = produced(entry, *permit, now);
        if (tokens >= permit->expected_tokens)
        {
            outgrow(entry, *permit, tokens);
        }
        const stream_growth growth{permit->prompt_tokens + tokens,
                                   std::max<std::int64_t>(permit->expected_tokens - tokens, 1)};
        all_streams_.push_back(growth);
        if (permit->uses == lane::shared)
        {
            shared_streams_.push_back(growth);
        }
    }
    const stream_growth added{need.prompt_tokens, need.expected_tokens};
    all_streams_.push_back(added);
    if (need.uses == lane::shared)
    {
        shared_streams_.push_back(added);
    }
}

bool endpoint_table::memory_fits(endpoint_entry& entry, const room_request& need, time_point now)
{
    const auto memory = static_cast<double>(entry.memory);
    const auto all_limit = static_cast<std::int64_t>(memory * (1.0 - settings_.headroom_share));
    const auto reserve = static_cast<std::int64_t>(memory * settings_.reserved_share);
    const std::int64_t shared_limit = all_limit - reserve;
    room_request bounded = need;
    // Work that alone exceeds the limit may run when nothing of its lane runs, or it would never run.
    bounded.expected_tokens =
        std::min(need.expected_tokens, std::max<std::int64_t>(shared_limit - need.prompt_tokens, 1));
    collect_streams(entry, bounded, now);
    const std::int64_t shared_peak = forecast_peak(shared_streams_) + entry.foreign_memory;
    if (need.uses == lane::shared && shared_peak > shared_limit && entry.shared_permits + entry.foreign_running > 0)
    {
        return false;
    }
    const std::int64_t all_peak = forecast_peak(all_streams_) + entry.foreign_memory;
    if (need.reserve_only && all_peak - shared_peak > reserve)
    {
        return false;
    }
    return all_peak <= all_limit || running(entry) == 0;
}

double endpoint_table::busy(index at) const
{
    const endpoint_entry& entry = entries_[at];
    const auto slots = static_cast<double>(entry.reported ? entry.slots : settings_.unknown_slots);
    const double slot_share = static_cast<double>(running(entry)) / std::max(slots, 1.0);
    const double memory_share = entry.memory > 0 ? static_cast<double>(entry.expected_memory + entry.foreign_memory) /
                                                       static_cast<double>(entry.memory)
                                                 : 0.0;
    return std::max(slot_share, memory_share) / std::max(entry.health, 0.01);
}

bool endpoint_table::has_stragglers(index at) const
{
    return entries_[at].stragglers > 0;
}

double endpoint_table::health(index at) const
{
    return entries_[at].health;
}

const endpoint_id& endpoint_table::id_of(index at) const
{
    return entries_[at].id;
}

std::optional<endpoint_table::index> endpoint_table::find(const endpoint_id& endpoint) const
{
    const auto known = index_of_.find(endpoint);
    return known == index_of_.end() ? std::nullopt : std::optional{known->second};
}

const active_permit* endpoint_table::permit(permit_id permit) const
{
    const auto found = permits_.find(permit);
    return found == permits_.end() ? nullptr : &found->second;
}

std::vector<active_permit> endpoint_table::permits_at(const endpoint_id& endpoint, time_point now) const
{
    std::vector<active_permit> found;
    if (const auto at = find(endpoint))
    {
        const endpoint_entry& entry = entries_[*at];
        for (const active_permit* permit : entry.permits)
        {
            found.push_back(*permit);
            found.back().known_tokens = produced(entry, *permit, now);
            found.back().known_at = now;
        }
    }
    return found;
}

double endpoint_table::pace_of(const endpoint_id& endpoint) const
{
    const auto at = find(endpoint);
    return at ? entries_[*at].pace : endpoint_entry{}.pace;
}

void endpoint_table::finish_slow_start()
{
    slow_start_ = false;
    for (index at = 0; at < entries_.size(); ++at)
    {
        update_open(at);
    }
}

std::int64_t endpoint_table::allowed_slots(const endpoint_entry& entry) const
{
    if (!entry.reported)
    {
        return slow_start_ ? 0 : settings_.unknown_slots;
    }
    const double scaled = static_cast<double>(entry.slots) * entry.health;
    return std::max<std::int64_t>(static_cast<std::int64_t>(std::floor(scaled + 0.5)), 1);
}

bool endpoint_table::takes_work(const endpoint_entry& entry) const
{
    return entry.used && !entry.leaving && entry.health > 0.0;
}

std::int64_t endpoint_table::running(const endpoint_entry& entry) const
{
    return static_cast<std::int64_t>(entry.permits.size()) + entry.foreign_running;
}

std::int64_t endpoint_table::produced(const endpoint_entry& entry, const active_permit& permit, time_point now) const
{
    const auto elapsed = static_cast<double>(std::max<std::int64_t>((now - permit.known_at).count(), 0));
    const std::int64_t tokens = permit.known_tokens + static_cast<std::int64_t>(elapsed * entry.pace);
    return permit.max_tokens > 0 ? std::min(tokens, permit.max_tokens) : tokens;
}

void endpoint_table::outgrow(endpoint_entry& entry, active_permit& permit, std::int64_t tokens) const
{
    const std::int64_t raised =
        lengths_->total(permit.work_class, permit.customer, settings_.reserve_quantile, tokens, permit.max_tokens);
    entry.expected_memory += raised - permit.expected_tokens;
    permit.expected_tokens = raised;
    const double limit = settings_.straggler_factor * static_cast<double>(permit.first_expected);
    if (!permit.straggler && static_cast<double>(tokens) >= limit)
    {
        permit.straggler = true;
        ++entry.stragglers;
    }
}

void endpoint_table::update_open(index at)
{
    endpoint_entry& entry = entries_[at];
    const bool open = takes_work(entry) && running(entry) < allowed_slots(entry);
    if (open == entry.in_open)
    {
        return;
    }
    entry.in_open = open;
    if (open)
    {
        entry.open_position = open_.size();
        open_.push_back(at);
        return;
    }
    const index last = open_.back();
    open_[entry.open_position] = last;
    entries_[last].open_position = entry.open_position;
    open_.pop_back();
}

} // namespace parsleyshift
