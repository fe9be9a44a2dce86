#pragma once

#include <vector> // vector

namespace parsleyshift
{

/// @brief Records SIGTERM, SIGINT and SIGHUP from now on, so that they do not end a process that has not installed its
/// handlers yet. Call it first in main().
void hold_startup_signals() noexcept;

/// @brief True when SIGTERM or SIGINT has been recorded.
[[nodiscard]] bool is_stop_held() noexcept;

/// @brief Returns the signals recorded so far, each once, and forgets them. Call it after the handlers are installed.
std::vector<int> take_startup_signals();

} // namespace parsleyshift
