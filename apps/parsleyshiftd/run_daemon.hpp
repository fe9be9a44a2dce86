#pragma once

#include "stop_signals.hpp" // stop_signals

#include <parsleyshift/records/settings.hpp>       // daemon_settings
#include <parsleyshift/runtime/daemon_runtime.hpp> // daemon_runtime

#include <csignal>  // signal
#include <cstdlib>  // _Exit
#include <iostream> // cerr

namespace parsleyshift
{

/// @brief Runs a decider until its planned stop is complete.
/// @return exit code: 0 after stop_complete, 1 when an address cannot be used
template <decider D>
int run_daemon(const daemon_settings& settings, const daemon_options& options, D& core)
{
    // Writes to a closed pipe or socket report an error instead.
    std::signal(SIGPIPE, SIG_IGN);
    daemon_runtime<D> instance(settings, options, core);
    const stop_signals signals([&instance] { instance.request_stop(); }, [] { std::_Exit(1); });
    if (const auto begun = instance.start(); begun.has_error())
    {
        std::cerr << begun.error().message() << '\n';
        return 1;
    }
    instance.wait();
    return 0;
}

} // namespace parsleyshift
