#pragma once

#include "forward.hpp" // forward

#include <parsleyshift/routing/route_index.hpp> // route_index

#include <memory>        // unique_ptr
#include <optional>      // optional
#include <unordered_map> // unordered_map

namespace parsleyshift::detail
{

/// @brief The forwarded requests in progress at this instance, and the configuration that admits them.
class forward_manager
{
  public:
    forward_manager(core_state& state, pool_manager& pools) : state_(state), pools_(pools) {}

    /// @brief Puts a configuration in force; one that is older than the one in force changes nothing.
    /// @return true when it came into force
    bool configure(const forwarding_configuration& configuration);
    /// @brief The configuration in force was the service's newest at a time.
    void confirm(time_point as_of);

    void handle(const forward_request& asked);
    /// @brief New streams are refused from one time on, all new requests from another.
    void close_at(time_point streams, time_point all)
    {
        streams_close_ = streams;
        closes_ = all;
    }
    void handle(const permit_grant& grant, const instance_id& from);
    void scheduler_moved();

    /// @brief Calls `what` on a request, if it is in progress, and removes it when it has finished.
    template <class Step>
    void with(request_id request, Step&& what)
    {
        const auto found = active_.find(request);
        if (found == active_.end())
        {
            return;
        }
        what(*found->second);
        if (found->second->finished())
        {
            active_.erase(found);
        }
    }
    /// @brief Calls `what` on the request that an attempt belongs to; results of other attempts are dropped.
    template <class Step>
    void with(attempt_id attempt, Step&& what)
    {
        const auto found = state_.attempts.find(attempt);
        if (found != state_.attempts.end())
        {
            with(found->second.request, std::forward<Step>(what));
        }
    }

    /// @brief True when keys can be judged now.
    [[nodiscard]] bool fresh(time_point now) const;
    [[nodiscard]] std::size_t active() const noexcept
    {
        return active_.size();
    }
    [[nodiscard]] time_point last_arrival() const noexcept
    {
        return last_arrival_;
    }
    [[nodiscard]] const std::optional<route_index>& routes() const noexcept
    {
        return routes_;
    }

  private:
    result<admission> admit(const forward_request& asked);
    result<key_holder> identify(const forward_request& asked, const route& where) const;
    [[nodiscard]] error too_old(std::string_view what) const;

    core_state& state_;
    pool_manager& pools_;
    std::optional<route_index> routes_;
    /// The configuration was the newest at this time.
    time_point confirmed_ = time_point::min();
    time_point last_arrival_;
    time_point streams_close_ = never;
    time_point closes_ = never;
    std::unordered_map<request_id, std::unique_ptr<forward>> active_;
};

} // namespace parsleyshift::detail
