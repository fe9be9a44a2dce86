#pragma once

#include <parsleyshift/core/clock.hpp>                    // duration, time_point
#include <parsleyshift/core/ids.hpp>                      // region_id, zone_id
#include <parsleyshift/records/zone_traffic_settings.hpp> // zone_traffic_settings
#include <parsleyshift/routing/decayed_sum.hpp>           // decayed_sum

#include <cstdint>       // int64_t
#include <optional>      // optional
#include <unordered_map> // unordered_map

namespace parsleyshift
{

/// @brief An availability zone and its region; the region of an unknown zone is empty.
struct zone_place
{
    zone_id zone;
    region_id region;

    friend bool operator==(const zone_place&, const zone_place&) = default;
};

/// @brief What a request and its answer transfer.
struct transfer_size
{
    /// Bytes of the request and of its answer together.
    std::int64_t bytes = 0;
    /// Parts of the answer that are sent at different times, each of which may be lost on its own.
    std::int64_t messages = 1;
};

/// @brief Cost of the network paths between zones in milliseconds: latency, loss, transfer time and price.
///
/// Latencies and bandwidths come from the settings; the platform does not state them. The probes of this instance raise
/// the latency and state the loss of the paths from its own zone and of the links from its own region. What is sent
/// over a link between regions raises the time of transfers there.
class zone_paths
{
  public:
    /// @param own zone of this instance
    zone_paths(const zone_traffic_settings& settings, zone_place own);

    /// @brief Records a probe of a peer in another zone. A single unanswered probe does not count, since the peer
    /// itself may have stopped.
    /// @param round_trip empty if the probe was not answered
    void record_probe(const zone_place& to, std::optional<duration> round_trip, time_point now);
    /// @brief Records that bytes are sent between two zones in either direction.
    void record_transfer(const zone_place& from, const zone_place& to, std::int64_t bytes, time_point now);
    /// @brief Expected time that a request and its answer spend on the path, in addition to the work. 0 in one zone.
    [[nodiscard]] double time_ms(const zone_place& from, const zone_place& to, const transfer_size& size,
                                 time_point now) const;
    /// @brief Price of a transfer, expressed as milliseconds of waiting. 0 in one zone.
    [[nodiscard]] double price_ms(const zone_place& from, const zone_place& to, const transfer_size& size) const;
    /// @brief Used share of the bandwidth of the link between two regions, in [0, 1].
    [[nodiscard]] double link_use(const region_id& one, const region_id& other, time_point now) const;

  private:
    struct measured_path
    {
        /// Moving average of the round-trip time above that of the settings.
        double excess_ms = 0.0;
        /// Moving average of the share of unanswered probes.
        double loss = 0.0;
        /// Time of the last unanswered probe.
        time_point lost{};
        time_point as_of{};
    };

    [[nodiscard]] double latency_ms(const zone_place& from, const zone_place& to) const;
    /// Null without a recent measurement.
    [[nodiscard]] const measured_path* measured(const zone_place& from, const zone_place& to, time_point now) const;

    zone_traffic_settings settings_;
    zone_place own_;
    /// Paths to the zones of this region, and to other regions.
    std::unordered_map<zone_id, measured_path> zones_;
    std::unordered_map<region_id, measured_path> regions_;
    /// Bytes sent between each two regions, by the names of both in ascending order.
    std::unordered_map<region_id, std::unordered_map<region_id, decayed_sum>> links_;
};

} // namespace parsleyshift
