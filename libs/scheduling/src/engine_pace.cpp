#include <parsleyshift/scheduling/engine_pace.hpp> // engine_pace

#include <algorithm> // clamp, count_if, find_if, max, min, none_of, nth_element
#include <cmath>     // abs, exp2
#include <cstdlib>   // abs

namespace parsleyshift
{

namespace
{

constexpr std::size_t max_runs = 8;
constexpr std::size_t max_runs_per_instance = 2;
constexpr std::size_t max_readings = 16;
constexpr std::size_t max_pool_samples = 64;
/// Samples of the pool below which the initial values apply.
constexpr std::size_t min_pool_samples = 8;
/// Time for which an engine counts towards the pool's median after its last measurement.
constexpr duration engine_memory{60'000};
constexpr std::size_t max_engines = 4'096;
/// Upper bound of that share: at 24 runs the gap is then five times as long.
constexpr double max_run_share = 0.2;
/// Initial extension of a gap while a prompt is read. With it, an engine at half speed exceeds 180 ms (56 ms x 3.5) and
/// one of usual speed does not, as measured at an installation with both.
constexpr double initial_extension = 2.5;
/// Prompts below this are read within a few steps.
constexpr std::int64_t min_prompt_tokens = 500;
/// Times that the pool's extension counts in the median over an engine's own runs.
constexpr std::size_t pool_weight = 3;
/// Own measurements from which an engine of usual speed may count as pausing its runs.
constexpr std::size_t min_own_extensions = 4;
/// Time after which an engine's own extensions are dropped. An engine that gets no prompts beside its runs because of
/// them would otherwise never be measured again.
constexpr duration extension_memory{10'000};
/// Time without measurements after which an estimate begins to move back, and in which it moves half of the way.
constexpr duration estimate_hold{5'000};
constexpr duration estimate_half_life{15'000};
/// Runs for which the pool's median engine must keep a limit.
constexpr double usual_runs = 4.0;
/// Share of slow engines from which an unknown engine is treated with caution.
constexpr double uneven_share = 0.05;
/// Time after its first work in which an engine is treated with caution until it is measured: an engine at half speed
/// is measured within 1.5 s, and later if registrations are lost. It ends, so that lost registrations do not keep the
/// engine at one run.
constexpr duration usual_caution{2'000};
constexpr duration uneven_caution{6'000};
/// Share of the pool's engines that must have been measured for the pool to count as even.
constexpr double measured_share = 0.9;

template <class Values>
double lower_median(Values values)
{
    if (values.empty())
    {
        return 0.0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

void push_bounded(std::deque<double>& values, double value)
{
    values.push_back(value);
    if (values.size() > max_pool_samples)
    {
        values.pop_front();
    }
}

/// Whether a value has changed by more than 2%. Smaller changes do not matter to the medians, whose cost grows with the
/// engines of the pool.
bool differs(double known, double measured)
{
    constexpr double negligible = 0.02;
    return std::abs(measured - known) > negligible * known;
}

double ms_of(duration time)
{
    return static_cast<double>(time.count());
}

} // namespace

void run_values::put(const instance_id& source, permit_id run, double value, time_point now)
{
    const auto same_run =
        std::find_if(values_.begin(), values_.end(), [run](const run_value& each) { return each.run == run; });
    const auto of_source = [&source](const run_value& each)
    {
        return each.source == source;
    };
    if (same_run != values_.end())
    {
        values_.erase(same_run);
    }
    else if (std::count_if(values_.begin(), values_.end(), of_source) >=
             static_cast<std::ptrdiff_t>(max_runs_per_instance))
    {
        values_.erase(std::find_if(values_.begin(), values_.end(), of_source));
    }
    else if (values_.size() >= max_runs)
    {
        values_.pop_front();
    }
    values_.push_back(run_value{source, run, value, now});
}

double run_values::median(double prior, std::size_t prior_count) const
{
    std::vector<double> sorted(prior_count, prior);
    for (const run_value& each : values_)
    {
        sorted.push_back(each.value);
    }
    return lower_median(std::move(sorted));
}

void run_values::expire(time_point now, duration age)
{
    while (!values_.empty() && now - values_.front().time > age)
    {
        values_.pop_front();
    }
}

void pace_reference::record_gap(const endpoint_id& engine, double gap_ms, time_point now)
{
    engine_values& values = engines_[engine];
    values.time = now;
    if (differs(values.gap_ms, gap_ms))
    {
        values.gap_ms = gap_ms;
        update(now);
    }
}

void pace_reference::record_first_event(const endpoint_id& engine, double ms_per_token, time_point now)
{
    engine_values& values = engines_[engine];
    values.time = now;
    if (differs(values.first_event_ms, ms_per_token))
    {
        values.first_event_ms = ms_per_token;
        update(now);
    }
}

void pace_reference::record_run_share(double share)
{
    push_bounded(run_shares_, std::clamp(share, 0.0, max_run_share));
    run_share_ = run_shares_.size() < min_pool_samples ? initial_run_share : lower_median(run_shares_);
}

void pace_reference::record_reading(double extension, std::size_t prompts)
{
    std::deque<double>& readings = prompts > 1 ? stacked_readings_ : single_readings_;
    push_bounded(readings, std::max(extension, 0.0));
    (prompts > 1 ? stacked_reading_ : single_reading_) = lower_median(readings);
}

double pace_reference::reading_extension(std::size_t prompts) const noexcept
{
    const double single = single_readings_.size() < min_pool_samples ? initial_extension : single_reading_;
    const bool is_stacked = prompts > 1 && stacked_readings_.size() >= min_pool_samples;
    return is_stacked ? std::max(stacked_reading_, single) : single;
}

bool pace_reference::keeps(duration limit) const noexcept
{
    return median_gap_ms_ > 0.0 &&
           median_gap_ms_ * (1.0 + run_share() * usual_runs + reading_extension(1)) <= ms_of(limit);
}

bool pace_reference::is_uneven(duration limit) const noexcept
{
    const double longest_gap_ms = ms_of(limit) / (1.0 + run_share() + reading_extension(1));
    const double slow_ms = std::max(longest_gap_ms, median_gap_ms_ * engine_pace::slow_factor);
    const auto slow = std::count_if(gaps_.begin(), gaps_.end(), [slow_ms](double gap) { return gap > slow_ms; });
    return static_cast<double>(slow) > uneven_share * static_cast<double>(gaps_.size());
}

void pace_reference::update(time_point now)
{
    std::erase_if(engines_, [&](const auto& each) { return now - each.second.time > engine_memory; });
    if (engines_.size() > max_engines)
    {
        engines_.clear();
    }
    gaps_.clear();
    std::vector<double> first_events;
    for (const auto& [engine, values] : engines_)
    {
        if (values.gap_ms > 0.0)
        {
            gaps_.push_back(values.gap_ms);
        }
        if (values.first_event_ms > 0.0)
        {
            first_events.push_back(values.first_event_ms);
        }
    }
    median_gap_ms_ = lower_median(gaps_);
    median_first_event_ms_ = lower_median(std::move(first_events));
    double factors = 0.0;
    for (const double gap : gaps_)
    {
        const double factor = gap / median_gap_ms_;
        factors += factor < engine_pace::slow_factor ? 1.0 : factor;
    }
    mean_factor_ = gaps_.empty() ? 1.0 : factors / static_cast<double>(gaps_.size());
}

void engine_pace::prompt_granted(permit_id run, std::int64_t tokens, time_point now, time_point end)
{
    if (readings_.size() >= max_readings)
    {
        readings_.pop_front();
    }
    readings_.push_back(prompt_reading{run, tokens, now, end});
    first_work_ = std::min(first_work_, now);
}

std::size_t engine_pace::prompts_read(const pace_observation& seen, time_point from, time_point to) const
{
    std::size_t most = 0;
    for (const prompt_reading& first : readings_)
    {
        const time_point at = std::max(first.begin, from);
        const auto is_read = [&](const prompt_reading& each)
        {
            return each.run != seen.run && each.tokens >= min_prompt_tokens && each.begin <= at && each.end > at;
        };
        const auto read = at <= to ? std::count_if(readings_.begin(), readings_.end(), is_read) : 0;
        most = std::max(most, static_cast<std::size_t>(read));
    }
    return most;
}

void engine_pace::observe(const endpoint_id& engine, const pace_observation& seen, pace_reference& pool, time_point now)
{
    first_work_ = std::min(first_work_, now);
    extensions_.expire(now, extension_memory);
    observe_first_event(engine, seen, pool, now);
    if (seen.usual_gap > duration{})
    {
        observe_gap(engine, seen, pool, now);
        observe_reading(seen, pool, now);
    }
}

void engine_pace::observe_gap(const endpoint_id& engine, const pace_observation& seen, pace_reference& pool,
                              time_point now)
{
    const double gap_ms = ms_of(seen.usual_gap);
    const double without_load = gap_ms / (1.0 + pool.run_share() * static_cast<double>(seen.runs));
    // The shortest of a few gaps is long as well if a prompt was read all the time; it says only that the engine is not
    // slower.
    constexpr duration few_gaps{1'000};
    const bool read_throughout = now - seen.since < few_gaps && prompts_read(seen, seen.since, seen.since) > 0;
    const double expected = gaps_.size() > 0 ? gaps_.median(0.0, 0) : pool.gap_ms();
    if (read_throughout && expected > 0.0 && without_load > slow_factor * expected)
    {
        return;
    }
    // Two numbers of runs at one engine show how much each run costs, whatever the speed of the engine.
    constexpr std::int64_t min_difference = 2;
    if (latest_gap_ms_ > 0.0 && std::abs(seen.runs - latest_runs_) >= min_difference)
    {
        const double cross =
            latest_gap_ms_ * static_cast<double>(seen.runs) - gap_ms * static_cast<double>(latest_runs_);
        if (std::abs(cross) > 0.0)
        {
            pool.record_run_share((gap_ms - latest_gap_ms_) / cross);
        }
    }
    latest_gap_ms_ = gap_ms;
    latest_runs_ = seen.runs;
    gaps_.put(seen.source, seen.run, without_load, now);
    updated_ = now;
    pool.record_gap(engine, gaps_.median(0.0, 0), now);
}

void engine_pace::observe_reading(const pace_observation& seen, pace_reference& pool, time_point now)
{
    // A prompt that was read in part may not have extended any gap by a full step of reading.
    const auto is_complete = [&](const prompt_reading& each)
    {
        return each.run != seen.run && each.tokens >= min_prompt_tokens && each.begin >= seen.since && each.end <= now;
    };
    if (seen.longest_gap <= duration{} || std::none_of(readings_.begin(), readings_.end(), is_complete))
    {
        return;
    }
    const double gap_ms = ms_of(seen.usual_gap);
    const double without_load = gap_ms / (1.0 + pool.run_share() * static_cast<double>(seen.runs));
    const double extension = (ms_of(seen.longest_gap) - gap_ms) / without_load;
    pool.record_reading(extension, prompts_read(seen, seen.since, now));
    extensions_.put(seen.source, seen.run, extension, now);
}

void engine_pace::observe_first_event(const endpoint_id& engine, const pace_observation& seen, pace_reference& pool,
                                      time_point now)
{
    const time_point first_event = seen.granted + seen.first_event_latency;
    const bool measured = seen.first_event_latency > duration{} && seen.prompt_tokens >= min_prompt_tokens;
    if (!measured || prompts_read(seen, seen.granted, first_event) > 0)
    {
        return;
    }
    first_events_.put(seen.source, seen.run, ms_of(seen.first_event_latency) / static_cast<double>(seen.prompt_tokens),
                      now);
    // Streams of a few events are too short for a usual gap. They keep the estimate of a slow engine that gets no
    // others.
    const bool confirms_slowness =
        pool.first_event_ms() > 0.0 && first_events_.median(0.0, 0) >= slow_factor * pool.first_event_ms();
    if (gaps_.size() == 0 || confirms_slowness)
    {
        updated_ = now;
    }
    pool.record_first_event(engine, first_events_.median(0.0, 0), now);
}

double engine_pace::measured_factor(const pace_reference& pool, time_point now) const
{
    double measured = 1.0;
    if (gaps_.size() > 0 && pool.gap_ms() > 0.0)
    {
        measured = gaps_.median(0.0, 0) / pool.gap_ms();
    }
    else if (first_events_.size() >= min_first_events && pool.first_event_ms() > 0.0)
    {
        measured = first_events_.median(0.0, 0) / pool.first_event_ms();
    }
    const duration unused = std::max(now - updated_ - estimate_hold, duration{});
    return 1.0 + (measured - 1.0) * std::exp2(-ms_of(unused) / ms_of(estimate_half_life));
}

double engine_pace::factor(const pace_reference& pool, time_point now) const
{
    if (!known())
    {
        return pool.mean_factor();
    }
    const double measured = measured_factor(pool, now);
    return measured < slow_factor ? 1.0 : measured;
}

double engine_pace::reading_extension(const pace_reference& pool, std::size_t prompts) const
{
    return extensions_.median(pool.reading_extension(prompts), pool_weight);
}

duration engine_pace::caution(const paced_load& load, const pace_reference& pool)
{
    if (pool.is_uneven(load.limit))
    {
        return uneven_caution;
    }
    const double measured = static_cast<double>(pool.engines());
    return measured < measured_share * static_cast<double>(load.engines) ? usual_caution : duration{};
}

pace_verdict engine_pace::admit(const paced_load& load, const pace_reference& pool, time_point now) const
{
    // An engine that cannot keep a limit that the pool's median cannot keep either is not worse than the others.
    if (load.runs == 0 || load.limit <= duration{} || !pool.keeps(load.limit))
    {
        return pace_verdict::fits;
    }
    const bool pauses_others = load.reading > duration{} && load.limited_runs > 0;
    if (!known())
    {
        const bool is_new = first_work_ != never && now - first_work_ < caution(load, pool);
        return pauses_others && is_new ? pace_verdict::unmeasured : pace_verdict::fits;
    }
    const double limit_ms = ms_of(load.limit);
    const double factor = measured_factor(pool, now);
    const double gap_ms = factor * pool.gap_ms();
    const double decoding_ms = gap_ms * (1.0 + pool.run_share() * static_cast<double>(load.runs + 1));
    const bool is_slow = factor >= slow_factor;
    if (is_slow && decoding_ms > limit_ms)
    {
        return pace_verdict::excluded;
    }
    if (!pauses_others || (!is_slow && extensions_.size() < min_own_extensions))
    {
        return pace_verdict::fits;
    }
    const double longest_ms = decoding_ms + std::min(gap_ms * reading_extension(pool, 1), factor * ms_of(load.reading));
    if (longest_ms > limit_ms)
    {
        return pace_verdict::excluded;
    }
    const bool is_stacked_too_long = decoding_ms + gap_ms * reading_extension(pool, 2) > limit_ms;
    return load.reads_now && is_stacked_too_long ? pace_verdict::after_reading : pace_verdict::fits;
}

pace_summary engine_pace::summary(const pace_reference& pool, time_point now) const
{
    if (!known())
    {
        return {};
    }
    const double factor = measured_factor(pool, now);
    const double gap_ms = factor * pool.gap_ms();
    return {gap_ms, gap_ms * (1.0 + pool.run_share() + reading_extension(pool, 1)), factor};
}

} // namespace parsleyshift
