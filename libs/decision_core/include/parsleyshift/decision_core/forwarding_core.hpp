#pragma once

#include <parsleyshift/configuration/source_relay.hpp>  // source_peer
#include <parsleyshift/core/clock.hpp>                  // time_point
#include <parsleyshift/core/error.hpp>                  // result
#include <parsleyshift/decision_core/core_settings.hpp> // core_settings
#include <parsleyshift/messages/action.hpp>             // action
#include <parsleyshift/messages/event.hpp>              // event

#include <memory> // unique_ptr
#include <string> // string
#include <vector> // vector

namespace parsleyshift
{

/// @brief Peer addresses, some of which may be out of date, and the zones of each region, from the settings.
struct bootstrap_settings
{
    /// Addresses ("ip:port") of peers through which the instance joins the fleet.
    std::vector<std::string> seeds;
    struct zone
    {
        zone_id name;
        region_id region;
    };
    std::vector<zone> zones;
};

/// @brief Adapts settings to a core for forwarded requests: permits expire sooner, since a scheduler has no other sign
/// that an instance has ended, and the retry budgets of all instances together stay below the platform's bound.
/// @return the given settings with the changed values
core_settings forwarding_settings_of(core_settings settings);

/// @brief Values of gauges.
struct core_levels
{
    std::size_t evacuated_zones = 0;
    /// Requests of this instance in progress at endpoints of evacuated zones.
    std::size_t requests_in_evacuated_zones = 0;
    std::size_t cold_endpoints = 0;
};

/// @brief Decision logic of an instance that forwards requests, without sockets, threads, globals or clock reads.
///
/// It uses the same event and action types as decision_core, and the same parts for membership, pool schedulers,
/// endpoint health and quarantine. It has no orders, placement, limits or records of its own: routes, customers and
/// services come as one configuration from the operators.
class forwarding_core
{
  public:
    /// @brief Makes a core.
    /// @return the core, or invalid_field when a token key is invalid
    static result<forwarding_core> make(core_settings settings, bootstrap_settings hints);

    forwarding_core(forwarding_core&& other) noexcept;
    forwarding_core& operator=(forwarding_core&& other) noexcept;
    forwarding_core(const forwarding_core&) = delete;
    forwarding_core& operator=(const forwarding_core&) = delete;
    ~forwarding_core();

    /// @brief Handles one event and appends the resulting actions to `out`; see decision_core::handle().
    void handle(const event& input, time_point now, std::vector<action>& out);
    /// @brief Earliest time at which the core needs a timer_expired event.
    [[nodiscard]] time_point next_deadline() const;
    /// @brief True while the configuration is recent enough to check keys and no stop is planned.
    [[nodiscard]] bool ready(time_point now) const;
    /// @brief True once a stop is planned.
    [[nodiscard]] bool stopping() const;
    /// @brief Whether an attempt may still be sent. Asked immediately before its first byte is written, since its
    /// endpoint may have begun to leave, or its zone may have been evacuated, while the connection was established.
    [[nodiscard]] bool may_send(attempt_id attempt) const;
    /// @brief Current values of the core's gauges. Linear in the endpoints, for each evacuated zone.
    [[nodiscard]] core_levels levels() const;
    /// @brief Peers from which this instance gets the configuration's source data, so that one instance of each region
    /// reads the source and another one takes its place when it does not answer.
    [[nodiscard]] source_readers reading_peers() const;
    /// @brief Version of the configuration in force, for the envelopes of messages to peers; 0 without one.
    [[nodiscard]] revision highest_revision() const;
    /// @brief Bounds on callers' input from the configuration in force, or the defaults before there is one.
    [[nodiscard]] const forwarding_limits& bounds() const;
    /// @brief Replaces the hints and joins the fleet again through the new addresses at the next event.
    void set_bootstrap(bootstrap_settings hints);

  private:
    class implementation;

    explicit forwarding_core(std::unique_ptr<implementation> impl);

    std::unique_ptr<implementation> implementation_;
};

} // namespace parsleyshift
