#include <parsleyshift/routing/evacuated_zones.hpp> // evacuated_zones

#include <algorithm> // binary_search, set_difference, sort, unique
#include <iterator>  // back_inserter
#include <utility>   // move

namespace parsleyshift
{

evacuated_zones::change evacuated_zones::replace(std::vector<zone_id> zones)
{
    std::sort(zones.begin(), zones.end());
    zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
    change changed;
    std::set_difference(zones.begin(), zones.end(), zones_.begin(), zones_.end(), std::back_inserter(changed.begun));
    std::set_difference(zones_.begin(), zones_.end(), zones.begin(), zones.end(), std::back_inserter(changed.ended));
    zones_ = std::move(zones);
    return changed;
}

bool evacuated_zones::contains(const zone_id& zone) const
{
    return std::binary_search(zones_.begin(), zones_.end(), zone);
}

} // namespace parsleyshift
