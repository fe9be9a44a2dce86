#pragma once

#include <parsleyshift/core/clock.hpp> // duration, time_point
#include <parsleyshift/core/ids.hpp>   // endpoint_id, incarnation

#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief Endpoints that have stated in an answer that they are leaving, while the list does not say so yet. Peers are
/// told about these for a while; what the list says they learn from the list.
class stated_departures
{
  public:
    /// @brief Records a departure that was not known before.
    void record(const endpoint_id& endpoint, incarnation started, time_point now)
    {
        departures_.insert_or_assign(endpoint, departure{started, now});
    }
    /// @brief Forgets an endpoint, because the list says that it is leaving or lacks it.
    void remove(const endpoint_id& endpoint)
    {
        departures_.erase(endpoint);
    }
    /// @brief Process start number of an endpoint that has stated that it is leaving; 0 when it has not.
    [[nodiscard]] incarnation process_of(const endpoint_id& endpoint) const
    {
        const auto found = departures_.find(endpoint);
        return found == departures_.end() ? incarnation{} : found->second.started;
    }
    [[nodiscard]] bool contains(const endpoint_id& endpoint) const
    {
        return departures_.contains(endpoint);
    }
    /// @brief Forgets the departures that are older than `lifetime`, and returns the endpoints of the others.
    std::vector<endpoint_id> current(time_point now)
    {
        std::erase_if(departures_, [now](const auto& each) { return now - each.second.learned_at >= lifetime; });
        std::vector<endpoint_id> endpoints;
        for (const auto& [endpoint, known] : departures_)
        {
            endpoints.push_back(endpoint);
        }
        return endpoints;
    }

  private:
    /// In this time a departure reaches all instances, told by each to one other every second.
    static constexpr duration lifetime{10'000};

    struct departure
    {
        incarnation started;
        time_point learned_at;
    };
    std::unordered_map<endpoint_id, departure> departures_;
};

} // namespace parsleyshift
