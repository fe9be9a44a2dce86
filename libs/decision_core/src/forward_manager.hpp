#pragma once

#include "forwarded_request.hpp" // forward
#include "version_floor.hpp"     // version_floor

#include <parsleyshift/routing/route_index.hpp> // route_index

#include <memory>        // unique_ptr
#include <optional>      // optional
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift::detail
{

/// @brief Admits forwarded requests by the configuration in force and owns those in progress at this instance.
class forward_manager
{
  public:
    forward_manager(core_state& state, pool_manager& pools) : state_(state), pools_(pools) {}

    /// @brief Puts a configuration in force unless its version is not newer than that of the one in force.
    /// @return true when the configuration was put in force
    bool configure(const forwarding_configuration& configuration);
    /// @brief Puts the regions of the configuration in force into force for the requests in progress.
    void apply_regions();
    /// @brief Notifies all requests that the list of endpoints has changed.
    void on_endpoints_changed();
    /// @brief Records that the configuration in force was the newest one of the configuration service at a time.
    /// Before this instance has joined its peers, the record is kept back for a short time.
    /// @param as_of when the read of the configuration service began
    void confirm(time_point as_of);
    /// @brief Records the version of the configuration that a peer has in force; 0 if it has none.
    void record_peer_version(std::int64_t version)
    {
        peer_versions_.record(version, state_.now);
    }
    /// @brief Applies a confirmation that was kept back, once this instance has joined its peers or waited long enough.
    void advance();
    /// @brief Time at which advance() must be called if no event occurs earlier.
    [[nodiscard]] time_point next_deadline() const
    {
        return held_read_ ? join_deadline_ : never;
    }

    /// @brief Admits and starts a request, or rejects it.
    void handle(const forward_request& request);
    /// @brief Sets the times from which new streams and all new requests are refused.
    void refuse_from(time_point streams, time_point all)
    {
        refuse_streams_from_ = streams;
        refuse_all_from_ = all;
    }
    /// @brief Rejects the waiting requests that would not end before the end of a planned stop.
    void begin_stop();
    /// @brief Ends all requests in progress.
    void end_stop();
    /// @brief Passes a permit to its request, or returns it to the scheduler `from` when the request has ended.
    void handle(const permit_grant& grant, const instance_id& from);
    /// @brief Rejects the requests whose answers have not begun and whose prompts have a part that is now blocked.
    void reject_blocked();
    /// @brief Notifies all requests that this instance has lost its links to all endpoints.
    void on_links_lost();
    /// @brief Notifies all requests that the set of evacuated zones has changed.
    void on_evacuated_zones_changed();
    /// @brief Whether an attempt may still be sent; false when it has ended.
    [[nodiscard]] bool may_send(attempt_id attempt) const;
    /// @brief Notifies all requests that the schedulers of pools may have moved to other instances.
    void on_schedulers_changed();

    /// @brief Calls `handler` with a request, if it is in progress, and removes the request when it has finished.
    template <class Handler>
    void update(request_id request, Handler&& handler)
    {
        const auto found = active_.find(request);
        if (found == active_.end())
        {
            return;
        }
        handler(*found->second);
        if (found->second->finished())
        {
            active_.erase(found);
        }
    }
    /// @brief Calls `handler` with the request that an attempt belongs to; does nothing when the attempt has ended.
    template <class Handler>
    void update(attempt_id attempt, Handler&& handler)
    {
        const auto found = state_.attempts.find(attempt);
        if (found != state_.attempts.end())
        {
            update(found->second.request, std::forward<Handler>(handler));
        }
    }

    /// @brief True while the configuration is recent enough to decide whether keys and routes exist.
    [[nodiscard]] bool is_fresh(time_point now) const;
    [[nodiscard]] std::size_t active_count() const noexcept
    {
        return active_.size();
    }
    /// @brief Arrival time of the latest request, also of a rejected one.
    [[nodiscard]] time_point last_arrival() const noexcept
    {
        return last_arrival_;
    }
    /// @brief The configuration in force; empty before the first one.
    [[nodiscard]] const std::optional<route_index>& routes() const noexcept
    {
        return routes_;
    }

  private:
    /// Calls `handler` with each request in progress, and removes those that have finished.
    template <class Handler>
    void update_all(Handler handler)
    {
        std::vector<request_id> requests;
        for (const auto& [request, active] : active_)
        {
            requests.push_back(request);
        }
        for (const request_id request : requests)
        {
            update(request, handler);
        }
    }

    result<admission> admit(const forward_request& request);
    result<key_holder> authenticate(const forward_request& request, const route& matched) const;
    /// Regions that the holder of a request's key allows; all when the key is not known.
    [[nodiscard]] region_set customer_regions(const forward_request& request) const;
    [[nodiscard]] error stale_configuration_error(std::string_view subject) const;
    /// Ends the lease of the configuration in force, because the configuration service has lost a later version.
    void end_lease();

    core_state& state_;
    pool_manager& pools_;
    std::optional<route_index> routes_;
    /// Latest time at which the configuration in force was confirmed as the newest.
    time_point confirmed_at_ = time_point::min();
    /// The configuration service holds an older version than the one in force.
    bool source_lost_version_ = false;
    version_floor peer_versions_;
    /// Start of the latest read that was confirmed before this instance had joined its peers.
    std::optional<time_point> held_read_;
    time_point join_deadline_ = never;
    /// The end of the lease has been logged since the last confirmation.
    bool lease_end_logged_ = false;
    time_point last_arrival_;
    time_point refuse_streams_from_ = never;
    time_point refuse_all_from_ = never;
    std::unordered_map<request_id, std::unique_ptr<forwarded_request>> active_;
};

} // namespace parsleyshift::detail
