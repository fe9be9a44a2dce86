#pragma once

#include <parsleyshift/core/ids.hpp> // zone_id

#include <vector> // vector

namespace parsleyshift
{

/// @brief The zones that the operators evacuate: no new work may reach their endpoints.
class evacuated_zones
{
  public:
    /// @brief Zones whose state a replacement has changed, in ascending order.
    struct change
    {
        std::vector<zone_id> begun;
        std::vector<zone_id> ended;
    };

    /// @brief Replaces the set; the order and duplicates do not matter. O(n log(n)).
    change replace(std::vector<zone_id> zones);
    /// @brief Whether a zone is evacuated. O(log(n)).
    [[nodiscard]] bool contains(const zone_id& zone) const;
    /// @brief The evacuated zones in ascending order.
    [[nodiscard]] const std::vector<zone_id>& zones() const noexcept
    {
        return zones_;
    }
    [[nodiscard]] bool empty() const noexcept
    {
        return zones_.empty();
    }

  private:
    /// Sorted and without duplicates.
    std::vector<zone_id> zones_;
};

} // namespace parsleyshift
