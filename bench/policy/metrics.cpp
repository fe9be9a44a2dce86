#include "metrics.hpp" // metrics

#include <algorithm> // nth_element
#include <cmath>     // ceil

namespace parsleyshift::bench
{

namespace
{

double to_milliseconds(microseconds time)
{
    return static_cast<double>(time) / static_cast<double>(one_ms);
}

double percentile99(std::vector<double> values)
{
    if (values.empty())
    {
        return 0.0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(0.99 * static_cast<double>(values.size()))) - 1;
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank), values.end());
    return values[rank];
}

double percentile99_of_counts(const std::vector<std::int64_t>& counts)
{
    std::int64_t total = 0;
    for (const std::int64_t count : counts)
    {
        total += count;
    }
    std::int64_t seen = 0;
    for (std::size_t value = 0; value < counts.size(); ++value)
    {
        seen += counts[value];
        if (seen * 100 >= total * 99)
        {
            return static_cast<double>(value);
        }
    }
    return 0.0;
}

double ratio(std::int64_t part, std::int64_t whole)
{
    return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

/// @brief Part of the run that the share in time is about: the crest and the recovery where there is one.
bool in_window(scenario what, microseconds arrived)
{
    const bool has_crest = what == scenario::swing || what == scenario::scheduler_loss || what == scenario::flood;
    return !has_crest || (arrived >= crest_begin && arrived < crest_end + 30 * one_second);
}

} // namespace

void metrics::add(world& run)
{
    for (const job& work : run.jobs())
    {
        if (work.arrived >= warm_up)
        {
            const bool calm = run.what() == scenario::slowed && !near_slowness(run.what(), work.arrived);
            add_job(work, in_window(run.what(), work.arrived), calm);
        }
    }
    gaps_.resize(run.gaps().size());
    for (std::size_t value = 0; value < gaps_.size(); ++value)
    {
        gaps_[value] += run.gaps()[value];
    }
    for (std::size_t pool = 0; pool < pool_count; ++pool)
    {
        for (const engine_model& engine : run.engines(pool))
        {
            preemptions_ += engine.preemptions();
        }
    }
    false_not_run_ += run.false_not_run();
}

void metrics::add_job(const job& work, bool in_window, bool calm)
{
    const bool completed = work.state == job_state::completed;
    const microseconds answered = completed ? work.finished : work.finish_by;
    const microseconds first = work.first_token != 0 ? work.first_token : work.finish_by;
    if (work.is_long && !work.straggler)
    {
        long_answer_.push_back(to_milliseconds(answered - work.arrived));
    }
    if (!work.is_long && !calm)
    {
        short_answer_.push_back(to_milliseconds(answered - work.arrived));
    }
    if (!work.is_long && work.pool == 0)
    {
        short_first_.push_back(to_milliseconds(first - work.arrived));
    }
    started_ += work.first_token != 0 ? 1 : 0;
    stalled_ms_ += to_milliseconds(work.stalled);
    wasted_ += work.recomputed + (completed ? 0 : work.produced);
    if (in_window)
    {
        ++counted_;
        in_time_ += completed && work.first_token <= work.start_by && work.finished <= work.finish_by ? 1 : 0;
        refused_ += work.first_token == 0 ? 1 : 0;
    }
}

double metrics::value(metric which) const
{
    switch (which)
    {
    case metric::short_behind_long_p99_ms:
        return percentile99(short_first_);
    case metric::tail_p99_ms:
        return percentile99(short_answer_);
    case metric::stall_ms:
        return started_ == 0 ? 0.0 : stalled_ms_ / static_cast<double>(started_);
    case metric::preemptions:
        return static_cast<double>(preemptions_);
    case metric::token_gap_p99_ms:
        return percentile99_of_counts(gaps_);
    case metric::long_p99_ms:
        return percentile99(long_answer_);
    case metric::in_time_share:
        return ratio(in_time_, counted_);
    case metric::refused_share:
        return ratio(refused_, counted_);
    case metric::false_not_run:
        return static_cast<double>(false_not_run_);
    case metric::wasted_tokens:
        return static_cast<double>(wasted_);
    }
    return 0.0;
}

} // namespace parsleyshift::bench
