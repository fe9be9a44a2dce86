#pragma once

#include <parsleyshift/core/ids.hpp>                    // incarnation
#include <parsleyshift/decision_core/core_settings.hpp> // core_settings
#include <parsleyshift/records/settings.hpp>            // daemon_settings

#include <cstdint> // uint64_t

namespace parsleyshift
{

/// @brief What the decision core needs to know, from the daemon's settings.
/// @param started process start number
/// @param seed of all random choices
core_settings core_settings_of(const daemon_settings& settings, incarnation started, std::uint64_t seed);

} // namespace parsleyshift
