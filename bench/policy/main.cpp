#include "baselines.hpp"        // round_robin
#include "metrics.hpp"          // metrics
#include "oracle.hpp"           // oracle
#include "scheduler_policy.hpp" // scheduler_policy
#include "variants.hpp"         // without_lane
#include "workload.hpp"         // make_jobs
#include "world.hpp"            // world

#include <cxxopts.hpp>       // Options
#include <nlohmann/json.hpp> // json

#include <fstream>     // ofstream
#include <functional>  // function
#include <future>      // async
#include <iostream>    // cerr
#include <memory>      // unique_ptr
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace
{

using namespace parsleyshift;
using namespace parsleyshift::bench;

using capacities = std::array<double, pool_count>;

constexpr microseconds report_interval = 250 * one_ms;
constexpr microseconds report_lag = 500 * one_ms;

template <class Policy>
void send_reports(world& run, std::vector<std::unique_ptr<Policy>>& policies)
{
    for (std::size_t pool = 0; pool < pool_count; ++pool)
    {
        for (std::size_t engine = 0; engine < run.engines(pool).size(); ++engine)
        {
            run.after(report_lag, [&policies, pool, engine, report = run.report_of(pool, engine)]
                      { policies[pool]->reported(engine, report); });
        }
    }
    run.after(report_interval, [&run, &policies] { send_reports(run, policies); });
}

/// @brief Runs one seed under one policy.
template <dispatch_policy Policy>
std::unique_ptr<world> simulate(const deployment& where, scenario what, const capacities& capacity, std::uint64_t seed)
{
    auto run = std::make_unique<world>(where, what, make_jobs(where, what, capacity, seed));
    std::vector<std::unique_ptr<Policy>> policies;
    for (std::size_t pool = 0; pool < pool_count; ++pool)
    {
        policies.push_back(std::make_unique<Policy>(*run, pool, seed * pool_count + pool));
    }
    send_reports(*run, policies);
    run->run([&policies](job& work) { policies[work.pool]->arrive(work); },
             [&policies](job& work) { policies[work.pool]->ended(work); },
             [&policies](std::size_t pool, std::size_t engine, microseconds took)
             { policies[pool]->stepped(engine, took); });
    return run;
}

/// @brief Requests per second that each pool can complete: the tokens per second of the oracle under a persistent
/// backlog with patient callers, divided by the mean output of the offered requests.
capacities measure_capacity(const deployment& where)
{
    const capacities offered{250.0, 250.0};
    const auto run = simulate<oracle>(where, scenario::saturated, offered, 1);
    capacities completed{};
    capacities offered_tokens{};
    capacities offered_count{};
    for (const job& work : run->jobs())
    {
        const bool counts = work.finished >= warm_up && work.finished < arrivals_end;
        completed[work.pool] += counts ? static_cast<double>(work.length) : 0.0;
        offered_tokens[work.pool] += static_cast<double>(work.length);
        offered_count[work.pool] += 1.0;
    }
    capacities rate{};
    for (std::size_t pool = 0; pool < pool_count; ++pool)
    {
        const double tokens_per_second =
            completed[pool] / (static_cast<double>(arrivals_end - warm_up) / static_cast<double>(one_second));
        rate[pool] = tokens_per_second * offered_count[pool] / offered_tokens[pool];
    }
    return rate;
}

struct named_policy
{
    std::string_view name;
    std::function<metrics(const deployment&, scenario, const capacities&)> run;
};

template <dispatch_policy Policy>
named_policy policy(std::string_view name, std::uint64_t seeds)
{
    return named_policy{name, [seeds](const deployment& where, scenario what, const capacities& capacity)
                        {
                            metrics sum;
                            for (std::uint64_t seed = 1; seed <= seeds; ++seed)
                            {
                                sum.add(*simulate<Policy>(where, what, capacity, seed));
                            }
                            return sum;
                        }};
}

std::vector<named_policy> compared_policies(std::uint64_t seeds)
{
    return {policy<scheduler_policy<all_mechanisms>>("parsleyshift", seeds),
            policy<oracle>("oracle", seeds),
            policy<round_robin>("round_robin", seeds),
            policy<least_in_flight>("least_in_flight", seeds),
            policy<two_choices>("two_choices", seeds),
            policy<first_come_first_served>("first_come_first_served", seeds)};
}

std::vector<named_policy> ablation_policies(std::uint64_t seeds)
{
    return {policy<scheduler_policy<all_mechanisms>>("all", seeds),
            policy<scheduler_policy<without_lane>>("without_lane", seeds),
            policy<scheduler_policy<without_growth>>("without_growth", seeds),
            policy<scheduler_policy<without_headroom>>("without_headroom", seeds),
            policy<scheduler_policy<without_aging>>("without_aging", seeds),
            policy<scheduler_policy<without_consolidation>>("without_consolidation", seeds),
            policy<scheduler_policy<without_early_denial>>("without_early_denial", seeds),
            policy<scheduler_policy<without_fairness>>("without_fairness", seeds),
            policy<scheduler_policy<without_customers>>("without_customers", seeds),
            policy<scheduler_policy<without_health>>("without_health", seeds),
            policy<scheduler_policy<without_zones>>("without_zones", seeds)};
}

std::string_view unit_of(metric which)
{
    switch (which)
    {
    case metric::in_time_share:
    case metric::refused_share:
        return "share";
    case metric::preemptions:
    case metric::false_not_run:
        return "count";
    case metric::wasted_tokens:
        return "tokens";
    default:
        return "ms";
    }
}

/// @brief Rows of one scenario: ours against each baseline, or each variant against all mechanisms.
nlohmann::json rows_of(const deployment& where, scenario what, const std::vector<named_policy>& policies,
                       const std::vector<metrics>& results, bool ablation)
{
    nlohmann::json rows = nlohmann::json::array();
    const std::size_t first = ablation ? 1 : 2;
    for (const auto& row : enum_names<metric>::rows)
    {
        for (std::size_t other = first; other < policies.size(); ++other)
        {
            nlohmann::json line{{"deployment", where.name},
                                {"scenario", name_of(what)},
                                {"metric", row.name},
                                {"baseline", policies[other].name},
                                {"baseline_value", results[other].value(row.value)},
                                {"value", results[0].value(row.value)},
                                {"unit", unit_of(row.value)}};
            if (!ablation)
            {
                line["oracle_value"] = results[1].value(row.value);
            }
            rows.push_back(line);
        }
    }
    return rows;
}

nlohmann::json run_all(const std::vector<named_policy>& policies, const std::string& only, bool ablation)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const deployment& where : deployments())
    {
        const capacities capacity = measure_capacity(where);
        std::cerr << where.name << " capacity " << capacity[0] << " and " << capacity[1] << " requests/s\n";
        for (const auto& row : enum_names<scenario>::rows)
        {
            if (!only.empty() && only != row.name)
            {
                continue;
            }
            // Each policy runs on its own core; the runs share nothing.
            std::vector<std::future<metrics>> running;
            for (const named_policy& each : policies)
            {
                running.push_back(std::async(std::launch::async, each.run, where, row.value, capacity));
            }
            std::vector<metrics> results;
            for (std::future<metrics>& result : running)
            {
                results.push_back(result.get());
            }
            for (const nlohmann::json& line : rows_of(where, row.value, policies, results, ablation))
            {
                rows.push_back(line);
            }
        }
    }
    return rows;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options{"policy_benchmark", "Compares scheduling policies in virtual time"};
    options.add_options()("output", "JSON file to write", cxxopts::value<std::string>()->default_value("bench.json"))(
        "seeds", "number of seeds, starting at 1", cxxopts::value<std::uint64_t>()->default_value("3"))(
        "scenario", "run only this scenario", cxxopts::value<std::string>()->default_value(""))(
        "ablation", "compare the scheduler with single mechanisms switched off");
    const auto arguments = options.parse(argc, argv);
    const auto seeds = arguments["seeds"].as<std::uint64_t>();
    const bool ablation = arguments.count("ablation") > 0;
    const auto policies = ablation ? ablation_policies(seeds) : compared_policies(seeds);
    std::ofstream file{arguments["output"].as<std::string>()};
    file << run_all(policies, arguments["scenario"].as<std::string>(), ablation).dump(1) << '\n';
    return file.good() ? 0 : 1;
}
