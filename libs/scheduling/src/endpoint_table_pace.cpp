// The members of endpoint_table that apply the learned pace of engines.
#include <parsleyshift/scheduling/endpoint_table.hpp> // endpoint_table

#include <algorithm> // max, min

namespace parsleyshift
{

namespace
{

// Output tokens at which a request is charged half of an engine's slowness. A stream of a few events spends its time on
// its prompt, which a slow engine reads within the objective; a long one is late by its pauses.
constexpr double brief_output_tokens = 200.0;
// Time after which a request is examined again at an engine that has not been measured, if no registration arrives.
constexpr duration unmeasured_retry{500};

} // namespace

paced_load endpoint_table::load_of(const endpoint_entry& entry, const resource_demand& demand) const
{
    paced_load load;
    load.runs = running_count(entry);
    load.limit = demand.on_time ? demand.gap_objective : duration::max();
    for (const active_permit* permit : entry.permits)
    {
        if (permit->gap_objective > duration{} && permit->on_time)
        {
            ++load.limited_runs;
            load.limit = std::min(load.limit, permit->gap_objective);
        }
    }
    if (demand.needs_prefill && settings_.prefill_tokens_per_ms > 0.0)
    {
        const double ms = static_cast<double>(demand.prompt_tokens) / settings_.prefill_tokens_per_ms;
        load.reading = duration{static_cast<duration::rep>(ms)};
    }
    load.engines = index_of_.size();
    return load;
}

bool endpoint_table::pace_fits(endpoint_entry& entry, const resource_demand& demand, time_point now) const
{
    paced_load load = load_of(entry, demand);
    load.reads_now = entry.prefill_until > now;
    entry.pace_retry = never;
    const bool may_pause = demand.on_time && demand.urgent && load.limited_runs <= 1;
    if (load.limit == duration::max() || may_pause)
    {
        return true;
    }
    const pace_verdict verdict = entry.pace.admit(load, pool_pace_, now);
    if (verdict == pace_verdict::unmeasured)
    {
        entry.pace_retry = now + unmeasured_retry;
    }
    else if (verdict == pace_verdict::after_reading)
    {
        entry.pace_retry = entry.prefill_until;
    }
    return verdict == pace_verdict::fits;
}

void endpoint_table::mark_paused_runs(endpoint_entry& entry, const active_permit& added) const
{
    if (added.gap_objective <= duration{} || !added.needs_prefill || !settings_.learn_engine_pace)
    {
        return;
    }
    resource_demand demand;
    demand.prompt_tokens = added.prompt_tokens;
    demand.gap_objective = added.gap_objective;
    if (entry.pace.admit(load_of(entry, demand), pool_pace_, added.granted) != pace_verdict::excluded)
    {
        return;
    }
    for (active_permit* permit : entry.permits)
    {
        permit->on_time = false;
    }
}

double endpoint_table::slowness_for(index endpoint_index, const resource_demand& demand, time_point now) const
{
    if (demand.gap_objective <= duration{} || !settings_.learn_engine_pace)
    {
        return slowness(endpoint_index);
    }
    if (!demand.on_time)
    {
        // An engine that is too slow for others is the place for a request that is late in any case.
        return 0.0;
    }
    const double factor = entries_[endpoint_index].pace.factor(pool_pace_, now);
    const auto output = static_cast<double>(std::max<std::int64_t>(demand.expected_tokens, 0));
    return factor > 1.0 ? (factor - 1.0) * output / (output + brief_output_tokens) : slowness(endpoint_index);
}

bool endpoint_table::record_pace(const permit_registration& registration, const instance_id& from, time_point now)
{
    const auto found = permits_.find(registration.permit);
    if (found == permits_.end() || found->second.gap_objective <= duration{} || !settings_.learn_engine_pace)
    {
        return false;
    }
    active_permit& permit = found->second;
    endpoint_entry& entry = entries_[index_of_.at(permit.endpoint)];
    pace_observation seen;
    seen.source = from;
    seen.run = permit.id;
    seen.runs = running_count(entry);
    seen.prompt_tokens = permit.prompt_tokens;
    seen.usual_gap = registration.usual_gap;
    seen.longest_gap = registration.longest_gap;
    seen.granted = permit.granted;
    seen.since = std::max(permit.tokens_as_of, permit.granted + registration.first_event_latency);
    const bool is_first_event = permit.needs_prefill && !permit.first_event_seen;
    seen.first_event_latency = is_first_event ? registration.first_event_latency : duration{};
    permit.on_time = permit.on_time && registration.longest_gap <= permit.gap_objective;
    permit.first_event_seen = permit.first_event_seen || registration.first_event_latency > duration{};
    const bool was_known = entry.pace.known();
    entry.pace.observe(permit.endpoint, seen, pool_pace_, now);
    return !was_known && entry.pace.known();
}

pace_summary endpoint_table::pace_of(const endpoint_id& endpoint, time_point now) const
{
    const auto endpoint_index = find(endpoint);
    return endpoint_index ? entries_[*endpoint_index].pace.summary(pool_pace_, now) : pace_summary{};
}

} // namespace parsleyshift
