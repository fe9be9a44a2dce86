#pragma once

#include "world.hpp" // world

#include <parsleyshift/core/random_source.hpp> // random_source

#include <array>    // array
#include <concepts> // constructible_from
#include <cstddef>  // size_t
#include <vector>   // vector

namespace parsleyshift::bench
{

/// @brief A way to serve one pool; the baselines, the scheduler and the oracle are types of this concept.
template <class Policy>
concept dispatch_policy = std::constructible_from<Policy, world&, std::size_t, std::uint64_t> &&
    requires(Policy policy, job& work, const load_report& report, std::size_t engine, microseconds took)
{
    policy.arrive(work);
    policy.ended(work);
    policy.reported(engine, report);
    policy.stepped(engine, took);
};

/// @brief What the baselines share: they send at once, and the engines queue in the order of arrival.
class sends_at_once
{
  public:
    sends_at_once(world& where, std::size_t pool, std::uint64_t seed)
        : world_(where), engines_(where.engines(pool).size()), random_(seed)
    {
    }
    void ended(job& /*work*/) {}
    void reported(std::size_t /*engine*/, const load_report& /*report*/) {}
    void stepped(std::size_t /*engine*/, microseconds /*took*/) {}

  protected:
    world& world_;
    std::size_t engines_;
    random_source random_;
};

/// @brief Each entry instance takes the engines in turn.
class round_robin : public sends_at_once
{
  public:
    using sends_at_once::sends_at_once;
    void arrive(job& work)
    {
        world_.send(work, next_[work.entry]++ % engines_, 0);
    }

  private:
    std::array<std::size_t, entry_count> next_{0, 1, 2, 3, 4, 5, 6, 7};
};

/// @brief Each entry instance sends to the engine with the fewest of its own requests.
class least_in_flight : public sends_at_once
{
  public:
    using sends_at_once::sends_at_once;
    void arrive(job& work)
    {
        std::vector<int>& counts = counts_[work.entry];
        counts.resize(engines_);
        const std::size_t first = random_.index(engines_);
        std::size_t best = first;
        for (std::size_t step = 1; step < engines_; ++step)
        {
            const std::size_t engine = (first + step) % engines_;
            best = counts[engine] < counts[best] ? engine : best;
        }
        ++counts[best];
        world_.send(work, best, 0);
    }
    void ended(job& work)
    {
        --counts_[work.entry][work.engine];
    }

  private:
    std::array<std::vector<int>, entry_count> counts_;
};

/// @brief The less loaded of two random engines by the load reports, which lag.
class two_choices : public sends_at_once
{
  public:
    using sends_at_once::sends_at_once;
    void arrive(job& work)
    {
        load_.resize(engines_);
        const std::size_t first = random_.index(engines_);
        const std::size_t second = random_.index(engines_);
        world_.send(work, load_[second] < load_[first] ? second : first, 0);
    }
    void reported(std::size_t engine, const load_report& report)
    {
        load_.resize(engines_);
        load_[engine] = report.running + report.waiting;
    }

  private:
    std::vector<std::int64_t> load_;
};

/// @brief One dispatcher that counts the requests of all entry instances exactly and without delay sends each request,
/// in the order of arrival, to the engine with the fewest.
class first_come_first_served : public sends_at_once
{
  public:
    using sends_at_once::sends_at_once;
    void arrive(job& work)
    {
        counts_.resize(engines_);
        const std::size_t first = random_.index(engines_);
        std::size_t best = first;
        for (std::size_t step = 1; step < engines_; ++step)
        {
            const std::size_t engine = (first + step) % engines_;
            best = counts_[engine] < counts_[best] ? engine : best;
        }
        ++counts_[best];
        world_.send(work, best, 0);
    }
    void ended(job& work)
    {
        --counts_[work.engine];
    }

  private:
    std::vector<int> counts_;
};

} // namespace parsleyshift::bench
