#include "workload.hpp" // make_jobs

#include <algorithm> // clamp, stable_sort
#include <cmath>     // exp, log
#include <random>    // exponential_distribution, geometric_distribution, lognormal_distribution, mt19937_64

namespace parsleyshift::bench
{

namespace
{

constexpr microseconds period = 30 * one_second;
constexpr microseconds moment = 12 * one_second;

// Shares of the ten customers; three are large.
constexpr std::array<double, customer_count> customer_share{0.25, 0.20, 0.15, 0.06, 0.06, 0.06, 0.06, 0.06, 0.05, 0.05};
// Their long outputs relative to the median of all.
constexpr std::array<double, customer_count> customer_length{1.0, 0.6, 1.5, 0.8, 1.2, 1.0, 0.7, 1.4, 0.9, 1.1};
constexpr std::size_t flooding_customer = 5;
constexpr std::size_t shard_size = 3;

/// @brief Load as a multiple of the capacity.
double load_at(scenario what, microseconds now)
{
    const bool crest = now >= crest_begin && now < crest_end;
    switch (what)
    {
    case scenario::steady70:
        return 0.7;
    case scenario::steady90:
        return 0.9;
    case scenario::swing:
    case scenario::scheduler_loss:
        return crest ? 3.0 : 0.6;
    case scenario::stragglers:
        return 0.85;
    case scenario::slowed:
        return 0.55;
    case scenario::flood:
        return crest ? 2.0 : 0.6;
    case scenario::saturated:
        return 1.0;
    }
    return 0.0;
}

class job_maker
{
  public:
    job_maker(const deployment& where, scenario what, std::uint64_t seed) : where_(where), what_(what), engine_(seed) {}

    /// @brief Adds one short request, or a batch of long ones that a customer submits together.
    void add(std::size_t pool, microseconds now, std::vector<job>& jobs)
    {
        const std::size_t customer = choose_customer(now);
        // A customer's requests arrive at the entry instances of its shard.
        const std::size_t entry = (customer * 7 + engine_() % shard_size * 3) % entry_count;
        const bool is_long = pool == 0 && fraction() < batch_share();
        std::geometric_distribution<int> more{1.0 / where_.long_batch};
        const int size = is_long ? 1 + more(engine_) : 1;
        for (int number = 0; number < size; ++number)
        {
            jobs.push_back(make(pool, is_long, customer, now + number * batch_spacing));
            jobs.back().entry = entry;
        }
    }
    /// @brief Requests per call of add(), on average.
    [[nodiscard]] double requests_per_call(std::size_t pool) const
    {
        return pool == 0 ? 1.0 + batch_share() * (where_.long_batch - 1.0) : 1.0;
    }
    microseconds next_gap(double per_second)
    {
        std::exponential_distribution<double> gap{per_second};
        return static_cast<microseconds>(gap(engine_) * static_cast<double>(one_second)) + 1;
    }
    double fraction()
    {
        return std::uniform_real_distribution<double>{0.0, 1.0}(engine_);
    }

  private:
    static constexpr double straggler_share = 0.002;
    static constexpr microseconds batch_spacing = 20 * one_ms;

    /// @brief Share of calls of add() that make a batch, so that long_share of the requests are long.
    [[nodiscard]] double batch_share() const
    {
        const double share = where_.long_share;
        return share / (where_.long_batch * (1.0 - share) + share);
    }
    job make(std::size_t pool, bool is_long, std::size_t customer, microseconds now)
    {
        job made;
        made.pool = pool;
        made.arrived = now;
        made.customer = customer;
        made.is_long = is_long;
        const double factor = made.is_long ? customer_length[made.customer] : 1.0;
        const double median = made.is_long ? where_.long_median * factor : 10.0;
        std::lognormal_distribution<double> length{std::log(median), made.is_long ? where_.long_spread : 0.3};
        made.length = std::clamp<std::int64_t>(static_cast<std::int64_t>(length(engine_)), 2, 6'000);
        made.prompt = made.is_long ? 150 + static_cast<std::int64_t>(engine_() % 100) : 60;
        made.straggler = what_ == scenario::stragglers && made.is_long && fraction() < straggler_share;
        if (made.straggler)
        {
            made.length = static_cast<std::int64_t>(50.0 * where_.long_median);
        }
        set_deadlines(made);
        return made;
    }
    std::size_t choose_customer(microseconds now)
    {
        const bool crest = now >= crest_begin && now < crest_end;
        // In a flood the load grows from 0.6 to 2.0 times the capacity, all of it by one customer.
        if (what_ == scenario::flood && crest && fraction() < 1.4 / 2.0)
        {
            return flooding_customer;
        }
        double rest = fraction();
        for (std::size_t customer = 0; customer < customer_count; ++customer)
        {
            rest -= customer_share[customer];
            if (rest < 0.0)
            {
                return customer;
            }
        }
        return customer_count - 1;
    }
    void set_deadlines(job& made) const
    {
        constexpr microseconds patient = 100'000 * one_second;
        const microseconds start = made.is_long ? 30 * one_second : 3 * one_second;
        microseconds finish = made.is_long ? 120 * one_second : 10 * one_second;
        finish = made.straggler ? 1'200 * one_second : finish;
        const bool waits = what_ == scenario::saturated;
        made.start_by = made.arrived + (waits ? patient : start);
        made.finish_by = made.arrived + (waits ? patient : finish);
    }

    deployment where_;
    scenario what_;
    std::mt19937_64 engine_;
};

} // namespace

microseconds deployment::delay(std::size_t from, std::size_t to) const
{
    if (from == to)
    {
        return 100;
    }
    return from == 2 || to == 2 ? region_delay : zone_delay;
}

std::vector<deployment> deployments()
{
    deployment okonkwo;
    okonkwo.name = "okonkwo";
    okonkwo.zones = {"ikeja", "apapa", "garki"};
    okonkwo.zone_delay = 500;
    okonkwo.engines = {12, 3};
    deployment lapviz = okonkwo;
    lapviz.name = "lapviz";
    lapviz.zones = {"kiskunsag", "hortobagy", "zirc"};
    lapviz.zone_delay = 1'000;
    lapviz.engines = {14, 3};
    lapviz.long_median = 300.0;
    lapviz.long_spread = 0.8;
    lapviz.shapes[0].memory = 17'000;
    return {okonkwo, lapviz};
}

std::vector<job> make_jobs(const deployment& where, scenario what, const std::array<double, pool_count>& capacity,
                           std::uint64_t seed)
{
    std::vector<job> jobs;
    for (std::size_t pool = 0; pool < pool_count; ++pool)
    {
        job_maker maker{where, what, seed * pool_count + pool};
        double peak = 0.0;
        for (microseconds at = 0; at < arrivals_end; at += one_second)
        {
            peak = std::max(peak, load_at(what, at));
        }
        // Thinning of a process at the peak rate.
        for (microseconds now = 0; now < arrivals_end;
             now += maker.next_gap(peak * capacity[pool] / maker.requests_per_call(pool)))
        {
            if (maker.fraction() * peak < load_at(what, now))
            {
                maker.add(pool, now, jobs);
            }
        }
    }
    std::stable_sort(jobs.begin(), jobs.end(),
                     [](const job& left, const job& right) { return left.arrived < right.arrived; });
    for (std::size_t number = 0; number < jobs.size(); ++number)
    {
        jobs[number].number = number + 1;
    }
    return jobs;
}

double speed_of(scenario what, std::size_t engine, std::size_t engines, microseconds now)
{
    if (what != scenario::slowed || now < warm_up || now % period >= moment)
    {
        return 1.0;
    }
    // The slow quarter moves on with each moment.
    const auto round = static_cast<std::size_t>(now / period);
    const std::size_t quarter = (engines + 3) / 4;
    return (engine + round * quarter) % engines < quarter ? 1.0 / 3.0 : 1.0;
}

bool near_slowness(scenario what, microseconds now)
{
    return what == scenario::slowed && (now + one_second) % period < moment + one_second;
}

} // namespace parsleyshift::bench
