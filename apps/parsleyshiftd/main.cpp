#include "command_line.hpp" // decide_start
#include "run_daemon.hpp"   // run_daemon
#include "unready_core.hpp" // unready_core

#include <parsleyshift/core/clock.hpp> // millisecond_clock

int main(int argc, char** argv)
{
    using namespace parsleyshift;
    const start_decision decision = decide_start(argc, argv);
    if (!decision.settings)
    {
        return decision.exit_code;
    }
    daemon_options options;
    // A later start has a higher number as long as the machine's clock does not go back over a restart.
    options.started = incarnation{static_cast<std::uint64_t>(to_ms(millisecond_clock::now()))};
    unready_core core;
    return run_daemon(*decision.settings, options, core);
}
