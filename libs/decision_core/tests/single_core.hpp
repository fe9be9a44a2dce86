#pragma once

#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/core/random_source.hpp>            // random_source
#include <parsleyshift/decision_core/forwarding_core.hpp> // forwarding_core

#include <algorithm> // count_if
#include <map>       // map
#include <optional>  // optional
#include <set>       // set
#include <string>    // string
#include <variant>   // get_if
#include <vector>    // vector

namespace parsleyshift::test
{

using namespace parsleyshift::literals;

inline constexpr time_point start = at_ms(1'000'000'000);
inline const service_id desk{"desk"};
inline const service_id writers{"writers"};

inline route made_route(const std::string& prefix, route_kind kind, const service_id& service, int attempts = 1)
{
    route added;
    added.name = "r" + prefix;
    added.host = "h";
    added.path_prefix = prefix;
    added.kind = kind;
    added.targets = {{service, 1.0}};
    added.timeout = 3'000_ms;
    added.objective = 400_ms;
    added.most_attempts = attempts;
    return added;
}

inline forwarding_configuration configuration(std::int64_t version, std::vector<std::string> keys)
{
    forwarding_configuration result;
    result.version = version;
    result.routes = {made_route("/look/", route_kind::idempotent, desk, 2),
                     made_route("/order/", route_kind::once, desk), made_route("/plan/", route_kind::stream, writers)};
    result.routes.back().timeout = 30_s;
    route open = made_route("/open/", route_kind::idempotent, desk, 2);
    open.anonymous = true;
    result.routes.push_back(open);
    result.services = {{desk, 100, std::nullopt}, {writers, 100, engine_capacity{8, 20'000, 4, true}}};
    result.customers = {{customer_id{"c"}, std::move(keys), std::nullopt}};
    return result;
}

inline listed_instance endpoint(const std::string& id, const service_id& service, bool leaving = false)
{
    return {id,           instance_role::engine, service, "10.0.0.1:80", "",
            zone_id{"z"}, region_id{"r"},        leaving, incarnation{1}};
}

/// Drives a forwarding_core in virtual time and records its actions.
class single_core
{
  public:
    explicit single_core(fleet_hints hints = {}) : core_(forwarding_core::make(settings(), std::move(hints)).value())
    {
        feed(timer_expired{});
    }

    static core_settings settings()
    {
        core_settings result;
        result.self.instance = instance_id{"i"};
        result.self.started = incarnation{1};
        result.self.address = "10.0.0.9:80";
        result.self.peer_address = "10.0.0.9:81";
        result.self.availability_zone = zone_id{"z"};
        result.self.region = region_id{"r"};
        result.token_keys = {token_key{"k", "0123456789012345678901234567890123456789"}};
        return forwarding_settings_of(result);
    }
    /// Passes an event to the core at the current time and records the actions.
    void feed(const event& input)
    {
        core_.handle(input, now, out_);
        for (action& each : out_)
        {
            record_action(each);
        }
        out_.clear();
    }
    /// Advances the time, and passes in a timer_expired at each deadline of the core.
    void pass(duration time)
    {
        const time_point end = now + time;
        while (core_.next_deadline() <= end)
        {
            now = std::max(now + 1_ms, core_.next_deadline());
            feed(timer_expired{});
        }
        now = std::max(now, end);
    }
    /// Provides a confirmed configuration and two endpoints each of the services `desk` and `writers`.
    void serve(std::vector<std::string> keys = {"key"})
    {
        feed(forwarding_configured{configuration(1, std::move(keys))});
        feed(configuration_confirmed{now});
        list({endpoint("d1", desk), endpoint("d2", desk), endpoint("w1", writers), endpoint("w2", writers)});
    }
    void list(std::vector<listed_instance> endpoints)
    {
        feed(instances_listed{now, std::move(endpoints)});
    }
    /// Sends a request to the core.
    request_id ask(const std::string& path, const std::string& key = "key")
    {
        forward_request request;
        request.request = request_id{++request_count_};
        request.caller_id = std::to_string(request_count_);
        request.host = "h";
        request.path = path;
        request.key = key;
        request.prompt_tokens = 100;
        request.max_tokens = 400;
        request.content = same_content ? 1 : request_count_;
        feed(request);
        return request.request;
    }
    /// The last attempt of a request, or null when none was sent.
    const start_forward* sent(request_id request) const
    {
        const start_forward* last = nullptr;
        for (const start_forward& each : starts)
        {
            last = each.request == request ? &each : last;
        }
        return last;
    }
    std::size_t times_sent(request_id request) const
    {
        return static_cast<std::size_t>(std::count_if(
            starts.begin(), starts.end(), [request](const start_forward& each) { return each.request == request; }));
    }
    const request_rejected* rejection(request_id request) const
    {
        const auto found = rejections.find(request.value());
        return found == rejections.end() ? nullptr : &found->second;
    }
    [[nodiscard]] bool ready() const
    {
        return core_.ready(now);
    }
    [[nodiscard]] std::optional<source_peer> source_reader() const
    {
        return core_.source_reader();
    }
    /// Passes in the member record of a peer, sent by the peer itself.
    void hear_of(const std::string& peer, const region_id& region, member_state state)
    {
        member_update update;
        update.instance = instance_id{peer};
        update.started = incarnation{1};
        update.peer_address = "10.1.0.1:81";
        update.region = region;
        update.state = state;
        feed(peer_received{
            {update.instance, update.started, update.peer_address, revision{}, member_updates{{update}}}});
    }

    time_point now = start;
    /// Gives all requests the same content, as if one request were repeated.
    bool same_content = false;
    std::vector<start_forward> starts;
    std::vector<attempt_id> dropped;
    std::vector<deliver_forward> delivered;
    std::map<std::uint64_t, request_rejected> rejections;
    std::vector<entry_answer> entries;
    std::vector<copy_run> copies;
    /// Endpoints whose load reports the core reads.
    std::set<endpoint_id> watched;
    /// A request was rejected more than once.
    bool rejected_twice = false;
    bool stopped = false;

  private:
    void record_action(action& each)
    {
        if (auto* begun = std::get_if<start_forward>(&each))
        {
            starts.push_back(std::move(*begun));
        }
        else if (const auto* drop = std::get_if<drop_forward>(&each))
        {
            dropped.push_back(drop->attempt);
        }
        else if (const auto* deliver = std::get_if<deliver_forward>(&each))
        {
            delivered.push_back(*deliver);
        }
        else if (auto* rejected = std::get_if<request_rejected>(&each))
        {
            const std::uint64_t request = rejected->request.value();
            rejected_twice = !rejections.emplace(request, std::move(*rejected)).second || rejected_twice;
        }
        else if (auto* answer = std::get_if<entry_answer>(&each))
        {
            entries.push_back(std::move(*answer));
        }
        else if (auto* copy = std::get_if<copy_run>(&each))
        {
            copies.push_back(std::move(*copy));
        }
        else if (const auto* watch = std::get_if<watch_endpoint>(&each))
        {
            watch->enabled ? void(watched.insert(watch->endpoint)) : void(watched.erase(watch->endpoint));
        }
        else if (std::holds_alternative<stop_complete>(each))
        {
            stopped = true;
        }
    }

    forwarding_core core_;
    std::vector<action> out_;
    std::uint64_t request_count_ = 0;
};

/// @brief Fixture with one core; `why` and `how` return the error and the outcome of a rejected request.
struct core_fixture : public Utest
{
    single_core core;

    error_kind why(request_id request) const
    {
        const request_rejected* rejected = core.rejection(request);
        return rejected == nullptr ? error_kind::internal : rejected->why.kind;
    }
    outcome how(request_id request) const
    {
        const request_rejected* rejected = core.rejection(request);
        return rejected == nullptr ? outcome::completed : rejected->what;
    }
    /// Lists the given engine as leaving and the other one as in service.
    void leave(const endpoint_id& engine)
    {
        const bool is_first = engine == endpoint_id{"w1"};
        core.list({endpoint("w1", writers, is_first), endpoint("w2", writers, !is_first)});
    }
};

} // namespace parsleyshift::test
