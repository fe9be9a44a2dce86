#pragma once

#include <parsleyshift/configuration/source_relay.hpp>  // source_peer
#include <parsleyshift/core/clock.hpp>                  // time_point
#include <parsleyshift/core/error.hpp>                  // result
#include <parsleyshift/decision_core/core_settings.hpp> // core_settings
#include <parsleyshift/messages/action.hpp>             // action
#include <parsleyshift/messages/event.hpp>              // event

#include <memory>   // unique_ptr
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace parsleyshift
{

/// @brief Address of a peer that may be stale, and the zones that lie in each region, from the settings.
struct fleet_hints
{
    /// Peer addresses ("ip:port") to join through.
    std::vector<std::string> seeds;
    struct zone
    {
        zone_id name;
        region_id region;
    };
    std::vector<zone> zones;
};

/// @brief The settings of a core for forwarded requests: permits expire sooner, since nothing else tells a scheduler
/// of the end of an instance, and the retry budgets of all instances together stay below the platform's bound.
core_settings forwarding_settings_of(core_settings settings);

/// @brief All decisions of an instance that forwards requests, without sockets, threads, globals or clock reads.
///
/// It takes the same events and gives the same actions as decision_core, and has the same parts for membership, pool
/// schedulers, endpoint health and quarantine. It has no orders, placement, limits or records of its own: routes,
/// customers and services come as one configuration from the operators.
class forwarding_core
{
  public:
    /// @brief Makes a core.
    /// @return the core, or invalid_field when a token key is unusable
    static result<forwarding_core> make(core_settings settings, fleet_hints hints);

    forwarding_core(forwarding_core&& other) noexcept;
    forwarding_core& operator=(forwarding_core&& other) noexcept;
    forwarding_core(const forwarding_core&) = delete;
    forwarding_core& operator=(const forwarding_core&) = delete;
    ~forwarding_core();

    /// @brief Feeds one event; see decision_core::handle().
    void handle(const event& happened, time_point now, std::vector<action>& out);
    /// @brief Earliest time at which the core wants a timer_expired event.
    [[nodiscard]] time_point next_deadline() const;
    /// @brief True while the instance has a configuration that is fresh enough for keys, and no stop is planned.
    [[nodiscard]] bool ready(time_point now) const;
    /// @brief True once a stop is planned.
    [[nodiscard]] bool stopping() const;
    /// @brief The peer through which this instance learns what the configuration's source says, so that one instance of
    /// each region reads it; nothing when that is this instance.
    [[nodiscard]] std::optional<source_peer> source_reader() const;
    /// @brief Bounds on callers' input in force.
    [[nodiscard]] const forwarding_bounds& bounds() const;
    /// @brief Replaces the addresses to join through.
    void set_hints(fleet_hints hints);

  private:
    class implementation;

    explicit forwarding_core(std::unique_ptr<implementation> parts);

    std::unique_ptr<implementation> parts_;
};

} // namespace parsleyshift
