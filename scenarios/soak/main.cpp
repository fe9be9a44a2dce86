#include "random_run.hpp" // random_run

#include <cxxopts.hpp> // Options

#include <cstdint>   // uint64_t
#include <exception> // exception
#include <iostream>  // cout, cerr

namespace
{

int soak(std::uint64_t first, std::uint64_t seeds, int steps)
{
    using namespace parsleyshift::scenarios;
    std::uint64_t failed = 0;
    run_report total;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed)
    {
        const run_report report = random_run(seed, steps);
        failed += report.broken.empty() ? 0 : 1;
        for (const auto& line : report.broken)
        {
            std::cout << "seed " << seed << ": " << line << '\n';
        }
        total.generations += report.generations;
        total.calls += report.calls;
        total.orders += report.orders;
        total.unknown_orders += report.unknown_orders;
        total.completed += report.completed;
        total.faults += report.faults;
    }
    std::cout << seeds << " seeds of " << steps << " steps: " << total.generations << " generations, " << total.calls
              << " calls, " << total.orders << " orders of which " << total.unknown_orders << " unknown, "
              << total.completed << " answers completed, " << total.faults << " faults\n";
    std::cout << seeds - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        cxxopts::Options options("parsleyshift_soak", "Runs random schedules of faults and checks every promise.");
        options.add_options()("first", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
            "seeds", "number of seeds", cxxopts::value<std::uint64_t>()->default_value("100"))(
            "steps", "steps in each run", cxxopts::value<int>()->default_value("150"))("help", "shows this help");
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        return soak(given["first"].as<std::uint64_t>(), given["seeds"].as<std::uint64_t>(), given["steps"].as<int>());
    }
    catch (const std::exception& problem)
    {
        std::cerr << problem.what() << '\n';
        return 2;
    }
}
