#include "random_run.hpp" // random_run

#include "CppUTest/TestHarness.h" // TEST

#include <string> // string

using namespace parsleyshift::scenarios;

TEST_GROUP(soak){};

// Guards against faults that only come together: doubled orders, false not_run, spliced streams, configuration that
// goes back or differs, and requests without an end. scripts/soak runs as many seeds as wanted.
TEST(soak, random_faults_break_no_promise)
{
    constexpr std::uint64_t seeds = 24;
    constexpr int steps = 120;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        const run_report report = random_run(seed, steps);
        for (const auto& line : report.broken)
        {
            FAIL(("seed " + std::to_string(seed) + ": " + line).c_str());
        }
    }
}
