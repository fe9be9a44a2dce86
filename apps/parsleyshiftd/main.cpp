#include "command_line.hpp"     // decide_start
#include "core_settings_of.hpp" // core_settings_of
#include "run_daemon.hpp"       // run_daemon

#include <parsleyshift/core/clock.hpp>                  // millisecond_clock
#include <parsleyshift/decision_core/decision_core.hpp> // decision_core

#include <cstdint>   // uint64_t
#include <exception> // exception
#include <iostream>  // cerr
#include <random>    // random_device

namespace
{

int run(const parsleyshift::daemon_settings& settings)
{
    using namespace parsleyshift;
    daemon_options options;
    // A later start has a higher number as long as the machine's clock does not go back over a restart.
    options.started = incarnation{static_cast<std::uint64_t>(to_ms(millisecond_clock::now()))};
    const std::uint64_t seed = std::random_device{}();
    auto core = decision_core::make(core_settings_of(settings, options.started, seed));
    if (core.has_error())
    {
        std::cerr << "token_keys: " << core.error().message() << '\n';
        return 1;
    }
    return run_daemon(settings, options, core.value());
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        const auto decision = parsleyshift::decide_start(argc, argv);
        return decision.settings ? run(*decision.settings) : decision.exit_code;
    }
    catch (const std::exception& problem)
    {
        std::cerr << problem.what() << '\n';
        return 1;
    }
}
