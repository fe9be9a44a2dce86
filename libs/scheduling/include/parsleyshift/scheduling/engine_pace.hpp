#pragma once

#include <parsleyshift/core/clock.hpp> // duration, time_point
#include <parsleyshift/core/ids.hpp>   // endpoint_id, instance_id, permit_id

#include <cstddef>       // size_t
#include <cstdint>       // int64_t
#include <deque>         // deque
#include <optional>      // optional
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief What a registration of a run, and the scheduler's own records, say about the run's engine.
struct pace_observation
{
    /// Instance that measured.
    instance_id source;
    permit_id run;
    /// Runs at the engine, including this one.
    std::int64_t runs = 1;
    std::int64_t prompt_tokens = 0;
    duration usual_gap{};
    duration longest_gap{};
    duration first_event_latency{};
    time_point granted;
    /// Start of the time that longest_gap covers.
    time_point since;
};

/// @brief Measured values of the latest runs: one value per run, and two runs per instance, so that neither one run nor
/// one lossy link decides the median.
class run_values
{
  public:
    /// @brief Sets the value of a run. Linear in the capacity of 8 runs.
    void put(const instance_id& source, permit_id run, double value, time_point now);
    /// @brief Lower median of the values and of `prior_count` times `prior`; 0 without values.
    [[nodiscard]] double median(double prior, std::size_t prior_count) const;
    /// @brief Removes values older than `age`.
    void expire(time_point now, duration age);
    [[nodiscard]] std::size_t size() const noexcept
    {
        return values_.size();
    }

  private:
    struct run_value
    {
        instance_id source;
        permit_id run;
        double value = 0.0;
        time_point time;
    };

    std::deque<run_value> values_;
};

/// @brief What the engines of a pool have in common, learned from all of them: the usual gap of the median engine, the
/// growth of the gap with the number of runs, and the growth while a prompt is read.
///
/// Engines that have left the pool count for a minute, since most engines of a pool may be new.
class pace_reference
{
  public:
    /// Share by which each run extends the gap, until it has been measured.
    static constexpr double initial_run_share = 0.03;

    /// @brief Sets the gap without load of an engine. Linear in the engines.
    void record_gap(const endpoint_id& engine, double gap_ms, time_point now);
    /// @brief Sets the time per prompt token to the first event of an engine. Linear in the engines.
    void record_first_event(const endpoint_id& engine, double ms_per_token, time_point now);
    /// @brief Adds an estimate of the share by which each run extends the gap.
    void record_run_share(double share);
    /// @brief Adds a measured extension of a gap by the reading of prompts, as a multiple of the gap without load.
    /// @param prompts number of prompts that were read at the same time
    void record_reading(double extension, std::size_t prompts);

    /// @brief Gap of the median engine without load, in milliseconds; 0 without samples.
    [[nodiscard]] double gap_ms() const noexcept
    {
        return median_gap_ms_;
    }
    /// @brief Time of the median engine to the first event, in milliseconds per prompt token; 0 without samples.
    [[nodiscard]] double first_event_ms() const noexcept
    {
        return median_first_event_ms_;
    }
    /// @brief Mean over the engines of their gap divided by the median, where engines below engine_pace::slow_factor
    /// count as 1.
    [[nodiscard]] double mean_factor() const noexcept
    {
        return mean_factor_;
    }
    /// @brief Share by which each run extends the gap.
    [[nodiscard]] double run_share() const noexcept
    {
        return run_share_;
    }
    /// @brief Extension of a gap by the reading of prompts, as a multiple of the gap without load.
    [[nodiscard]] double reading_extension(std::size_t prompts) const noexcept;
    /// @brief Whether the median engine keeps gaps below `limit` while it reads a prompt beside a few runs.
    [[nodiscard]] bool keeps(duration limit) const noexcept;
    /// @brief Engines measured in the last minute, including those that have left.
    [[nodiscard]] std::size_t engines() const noexcept
    {
        return gaps_.size();
    }
    /// @brief Whether some engines exceed `limit` by the same work.
    [[nodiscard]] bool is_uneven(duration limit) const noexcept;

  private:
    struct engine_values
    {
        double gap_ms = 0.0;
        double first_event_ms = 0.0;
        time_point time;
    };

    void update(time_point now);

    std::unordered_map<endpoint_id, engine_values> engines_;
    /// Buffer, kept to avoid allocations; the gaps of all engines in order.
    std::vector<double> gaps_;
    std::deque<double> run_shares_;
    std::deque<double> single_readings_;
    std::deque<double> stacked_readings_;
    double median_gap_ms_ = 0.0;
    double median_first_event_ms_ = 0.0;
    double mean_factor_ = 1.0;
    double run_share_ = initial_run_share;
    double single_reading_ = 0.0;
    double stacked_reading_ = 0.0;
};

/// @brief Work at an engine, or for it, that limits the gaps of its stream.
struct paced_load
{
    /// Runs at the engine.
    std::int64_t runs = 0;
    /// Those of the runs that limit their gaps.
    std::int64_t limited_runs = 0;
    /// Smallest limit of these runs and of the added one.
    duration limit{};
    /// Time in which the engine, if it were like the median, would read the added run's prompt; 0 if there is none.
    duration reading{};
    /// The engine still reads earlier prompts.
    bool reads_now = false;
    /// Engines of the pool.
    std::size_t engines = 0;
};

/// @brief Result of engine_pace::admit.
enum class pace_verdict
{
    fits,
    /// The gaps would become too long as long as the engine reads earlier prompts.
    after_reading,
    /// The engine has not been measured yet.
    unmeasured,
    excluded
};

/// @brief Summary of an engine's estimate for operators.
struct pace_summary
{
    /// Estimated gap without load, in milliseconds; 0 before the first measurement.
    double gap_ms = 0.0;
    /// Estimated gap beside one run while a prompt is read, in milliseconds.
    double reading_gap_ms = 0.0;
    /// Gap divided by that of the pool's median engine.
    double factor = 1.0;
};

/// @brief Model of one engine's performance, learned from its runs.
///
/// The gap between two events is gap x (1 + run_share x runs), plus gap x extension while prompts are read. `gap` is
/// the engine's own; `run_share` is the pool's, and `extension` is a median over the engine's own runs and the pool's
/// value.
class engine_pace
{
  public:
    /// Gap, relative to the pool's median, from which an engine is treated as slow. Engines of one type differ by up to
    /// 1.3, and are treated alike.
    static constexpr double slow_factor = 1.35;

    /// @brief Records that the engine has to read a prompt.
    /// @param end expected end of the reading
    void prompt_granted(permit_id run, std::int64_t tokens, time_point now, time_point end);
    /// @brief Applies a registration. Quadratic in the prompts of the last seconds, of which 16 are kept.
    void observe(const endpoint_id& engine, const pace_observation& seen, pace_reference& pool, time_point now);

    /// @brief True once the engine has been measured.
    [[nodiscard]] bool known() const noexcept
    {
        return gaps_.size() > 0 || first_events_.size() >= min_first_events;
    }
    /// @brief Estimated gap relative to the pool's median; 1 for engines below slow_factor, and the pool's mean for an
    /// unknown one. Moves back towards 1 while the engine has no runs, so that it gets work again.
    [[nodiscard]] double factor(const pace_reference& pool, time_point now) const;
    /// @brief Whether the engine keeps all limits if it gets one more run. An idle engine takes any run.
    [[nodiscard]] pace_verdict admit(const paced_load& load, const pace_reference& pool, time_point now) const;
    [[nodiscard]] pace_summary summary(const pace_reference& pool, time_point now) const;

  private:
    /// The time to a first event depends on cached prompts, so that one measurement says little.
    static constexpr std::size_t min_first_events = 2;

    struct prompt_reading
    {
        permit_id run;
        std::int64_t tokens = 0;
        time_point begin;
        time_point end;
    };

    /// Time after its first work in which an engine that has not been measured gets one run with a limit.
    [[nodiscard]] static duration caution(const paced_load& load, const pace_reference& pool);
    [[nodiscard]] double measured_factor(const pace_reference& pool, time_point now) const;
    [[nodiscard]] double reading_extension(const pace_reference& pool, std::size_t prompts) const;
    /// Largest number of prompts of other runs that were read at the same time between two times; prompts too short to
    /// pause a run for several steps do not count.
    [[nodiscard]] std::size_t prompts_read(const pace_observation& seen, time_point from, time_point to) const;
    void observe_gap(const endpoint_id& engine, const pace_observation& seen, pace_reference& pool, time_point now);
    void observe_reading(const pace_observation& seen, pace_reference& pool, time_point now);
    void observe_first_event(const endpoint_id& engine, const pace_observation& seen, pace_reference& pool,
                             time_point now);

    run_values gaps_;
    run_values extensions_;
    run_values first_events_;
    std::deque<prompt_reading> readings_;
    time_point updated_;
    time_point first_work_ = never;
    /// Latest usual gap and the number of runs at that time.
    double latest_gap_ms_ = 0.0;
    std::int64_t latest_runs_ = 0;
};

} // namespace parsleyshift
