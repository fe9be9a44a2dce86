#pragma once

#include "core_state.hpp"   // core_state
#include "pool_manager.hpp" // pool_manager

#include <map>    // map
#include <string> // string

namespace parsleyshift::detail
{

/// @brief Watches the load reports of engines, which say whether they are leaving, while the list of endpoints is out
/// of date because its source does not answer.
///
/// Engines may leave during an outage of the source, and a run that is not moved within the two seconds' notice is
/// lost. Only the instance that schedules a pool watches its engines, since it also offers their runs permits for other
/// engines.
class source_watch
{
  public:
    source_watch(core_state& state, pool_manager& pools) : state_(state), pools_(pools) {}

    /// @brief Records that the source has answered now.
    void source_answered();
    /// @brief Records that the source has failed to answer, and starts the watches at the next update().
    void source_failed();
    /// @brief Starts and stops watches when that is due; called after each event and at next_deadline().
    void update();
    /// @brief Time at which update() must be called if no event occurs earlier.
    [[nodiscard]] time_point next_deadline() const noexcept
    {
        return overdue_ ? next_update_ : answer_due_;
    }

  private:
    using address_table = std::map<endpoint_id, std::string>;

    /// Engines of the pools that this instance schedules, without leaving ones.
    [[nodiscard]] address_table engines_to_watch();

    core_state& state_;
    pool_manager& pools_;
    /// The source has not answered in time.
    bool overdue_ = false;
    /// Time by which the source must have answered again.
    time_point answer_due_ = never;
    /// Time at which the watches are next adjusted to new pools and engines, while the source is overdue.
    time_point next_update_ = never;
    address_table watched_;
};

} // namespace parsleyshift::detail
