#pragma once

#include "core_state.hpp"   // core_state
#include "pool_manager.hpp" // pool_manager

#include <map>    // map
#include <string> // string

namespace parsleyshift::detail
{

/// @brief Asks engines themselves whether they leave, while the list that would tell it is not up to date.
///
/// Engines go on leaving while the list's source is down, and a run that does not move within the notice of two seconds
/// is lost. Only the instance that schedules a pool asks its engines, since it is the one that offers places to runs.
class source_watch
{
  public:
    source_watch(core_state& state, pool_manager& pools) : state_(state), pools_(pools) {}

    /// @brief The source has answered now.
    void answered();
    /// @brief The source has failed to answer.
    void failed();
    /// @brief Starts and stops watches when that is due.
    void update();
    [[nodiscard]] time_point next_deadline() const noexcept
    {
        return overdue_ ? next_update_ : due_;
    }

  private:
    using address_table = std::map<endpoint_id, std::string>;

    [[nodiscard]] address_table wanted();

    core_state& state_;
    pool_manager& pools_;
    bool overdue_ = false;
    /// The source must have answered by then.
    time_point due_ = never;
    /// While the source is overdue, pools and engines that are new are found at this time.
    time_point next_update_ = never;
    address_table watched_;
};

} // namespace parsleyshift::detail
