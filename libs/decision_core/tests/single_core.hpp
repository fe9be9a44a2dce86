#pragma once

#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/core/random_source.hpp>            // random_source
#include <parsleyshift/decision_core/forwarding_core.hpp> // forwarding_core

#include <algorithm> // count_if
#include <cstdint>   // int64_t
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
inline const service_id plain_service{"desk"};
inline const service_id engine_service{"writers"};

inline route make_route(const std::string& prefix, route_kind kind, const service_id& service, int attempts = 1)
{
    route created;
    created.name = "r" + prefix;
    created.host = "h";
    created.path_prefix = prefix;
    created.kind = kind;
    created.targets = {{service, 1.0}};
    created.timeout = 3'000_ms;
    created.objective = 400_ms;
    created.gap_objective = 180_ms;
    created.max_attempts = attempts;
    return created;
}

inline forwarding_configuration make_configuration(std::int64_t version, std::vector<std::string> keys)
{
    forwarding_configuration created;
    created.version = version;
    created.routes = {make_route("/idempotent/", route_kind::idempotent, plain_service, 2),
                      make_route("/non-idempotent/", route_kind::once, plain_service),
                      make_route("/stream/", route_kind::stream, engine_service)};
    created.routes.back().timeout = 30_s;
    route keyless = make_route("/keyless/", route_kind::idempotent, plain_service, 2);
    keyless.anonymous = true;
    created.routes.push_back(keyless);
    created.services = {{plain_service, 100, std::nullopt}, {engine_service, 100, engine_capacity{8, 20'000, 4, true}}};
    created.customers.emplace().push_back({customer_id{"c"}, std::move(keys), std::nullopt});
    return created;
}

inline listed_instance make_endpoint(const std::string& id, const service_id& service, bool leaving = false)
{
    return {id,           instance_role::engine, service, "10.0.0.1:80", "",
            zone_id{"z"}, region_id{"r"},        leaving, incarnation{1}};
}

/// @brief A caller's request with a content of its own.
inline forward_request make_request(std::uint64_t number, const std::string& path, const std::string& key = "key")
{
    forward_request request;
    request.request = request_id{number};
    request.caller_id = std::to_string(number);
    request.host = "h";
    request.path = path;
    request.key = key;
    request.prompt_tokens = 100;
    request.max_tokens = 400;
    request.content_hash = number;
    return request;
}

/// @brief Runs one core without peers in virtual time and records its actions.
class single_core
{
  public:
    explicit single_core(bootstrap_settings hints = {})
        : core_(forwarding_core::make(settings(), std::move(hints)).value())
    {
        feed(timer_expired{});
    }

    static core_settings settings()
    {
        core_settings base;
        base.self.instance = instance_id{"i"};
        base.self.started = incarnation{1};
        base.self.address = "10.0.0.9:80";
        base.self.peer_address = "10.0.0.9:81";
        base.self.availability_zone = zone_id{"z"};
        base.self.region = region_id{"r"};
        base.token_keys = {token_key{"k", "0123456789012345678901234567890123456789"}};
        return forwarding_settings_of(base);
    }
    /// @brief Sends an event to the core and records the resulting actions.
    void feed(const event& input)
    {
        core_.handle(input, now, out_);
        for (action& each : out_)
        {
            record(each);
        }
        out_.clear();
    }
    /// @brief Advances the time and sends timer_expired at each deadline of the core until then.
    void advance(duration time)
    {
        const time_point end = now + time;
        while (core_.next_deadline() <= end)
        {
            now = std::max(now + 1_ms, core_.next_deadline());
            feed(timer_expired{});
        }
        now = std::max(now, end);
    }
    /// @brief Sends a configuration, its confirmation, and a list of two plain endpoints and two engines.
    void configure(std::vector<std::string> keys = {"key"})
    {
        feed(forwarding_configured{make_configuration(1, std::move(keys))});
        feed(configuration_confirmed{now});
        list({make_endpoint("d1", plain_service), make_endpoint("d2", plain_service),
              make_endpoint("w1", engine_service), make_endpoint("w2", engine_service)});
    }
    /// @brief Sends a list of endpoints.
    void list(std::vector<listed_instance> endpoints)
    {
        feed(instances_listed{now, std::move(endpoints)});
    }
    /// @brief Sends a request from a caller.
    request_id send_request(const std::string& path, const std::string& key = "key")
    {
        forward_request request = make_request(++request_count_, path, key);
        request.prompt_tokens = prompt_tokens;
        request.prompt_parts = prompt_parts;
        request.content_hash = same_content ? 1 : request_count_;
        feed(request);
        return request.request;
    }
    /// @brief The latest attempt of a request that was sent to an endpoint, or null.
    const start_forward* last_start(request_id request) const
    {
        const start_forward* last = nullptr;
        for (const start_forward& each : starts)
        {
            last = each.request == request ? &each : last;
        }
        return last;
    }
    /// @brief Number of attempts of a request.
    std::size_t start_count(request_id request) const
    {
        return static_cast<std::size_t>(std::count_if(
            starts.begin(), starts.end(), [request](const start_forward& each) { return each.request == request; }));
    }
    /// @brief The rejection of a request, or null.
    const request_rejected* rejection(request_id request) const
    {
        const auto found = rejections.find(request.value());
        return found == rejections.end() ? nullptr : &found->second;
    }
    [[nodiscard]] bool ready() const
    {
        return core_.ready(now);
    }
    [[nodiscard]] source_readers reading_peers() const
    {
        return core_.reading_peers();
    }
    /// @brief Whether an attempt may still be written.
    [[nodiscard]] bool may_send(attempt_id attempt) const
    {
        return core_.may_send(attempt);
    }
    [[nodiscard]] core_levels levels() const
    {
        return core_.levels();
    }
    /// @brief Number of lines of a kind in the log.
    [[nodiscard]] int lines(log_event kind) const
    {
        const auto found = line_counts.find(kind);
        return found == line_counts.end() ? 0 : found->second;
    }
    /// @brief Receives a notice from a peer.
    void receive_notice(const std::string& peer, const quarantine_notice& notice)
    {
        feed(peer_received{{instance_id{peer}, incarnation{1}, "10.1.0.1:81", revision{}, notice}});
    }
    /// @brief Receives a message from a peer that has a version of the configuration in force.
    void receive_configuration_version(const std::string& peer, std::uint64_t version)
    {
        feed(peer_received{
            {instance_id{peer}, incarnation{1}, "10.1.0.1:81", revision{version}, permit_queued{request_id{0}}}});
    }
    /// @brief Receives a message from a peer that announces its own membership state.
    /// @param address address for callers; empty if the peer takes no requests
    void receive_member_update(const std::string& peer, const region_id& region, member_state state,
                               const std::string& address = {})
    {
        member_update update;
        update.address = address;
        update.instance = instance_id{peer};
        update.started = incarnation{1};
        update.peer_address = "10.1.0.1:81";
        update.region = region;
        update.state = state;
        feed(peer_received{
            {update.instance, update.started, update.peer_address, revision{}, member_updates{{update}}}});
    }

    /// @brief The messages of one type that were sent to peers.
    template <class Message>
    std::vector<Message> sent_of() const
    {
        std::vector<Message> found;
        for (const peer_message& each : sent)
        {
            if (const auto* message = std::get_if<Message>(&each))
            {
                found.push_back(*message);
            }
        }
        return found;
    }

    /// @brief The log lines of one kind.
    std::vector<std::string> lines_of(log_event kind) const
    {
        std::vector<std::string> lines;
        for (const write_log& each : logged)
        {
            if (each.what == kind)
            {
                lines.push_back(each.detail);
            }
        }
        return lines;
    }

    time_point now = start;
    /// All requests have the same content, as if one request were resent.
    bool same_content = false;
    /// Size of the prompts of all requests.
    std::int64_t prompt_tokens = 100;
    /// Parts of the prompts of all requests.
    std::vector<std::string> prompt_parts;
    std::vector<start_forward> starts;
    std::vector<attempt_id> dropped;
    std::vector<deliver_forward> delivered;
    std::map<std::uint64_t, request_rejected> rejections;
    std::vector<entry_answer> entries;
    std::vector<copy_run> copies;
    std::vector<probe_endpoint> probes;
    /// Messages that were sent to peers.
    std::vector<peer_message> sent;
    std::vector<write_log> logged;
    /// Notices about parts of prompts that were sent to peers.
    std::vector<quarantine_notice> part_notices;
    /// Registrations of permits that were sent to peers.
    std::vector<permit_registration> registrations;
    /// Endpoints whose load reports the core watches.
    std::set<endpoint_id> watched;
    std::map<log_event, int> line_counts;
    bool rejected_twice = false;
    bool stopped = false;

  private:
    void record(action& each)
    {
        if (auto* started = std::get_if<start_forward>(&each))
        {
            starts.push_back(std::move(*started));
        }
        else if (const auto* drop = std::get_if<cancel_forward>(&each))
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
        else if (auto* probe = std::get_if<probe_endpoint>(&each))
        {
            probes.push_back(std::move(*probe));
        }
        else if (const auto* message = std::get_if<send_to_peer>(&each))
        {
            sent.push_back(message->message);
            const auto* notice = std::get_if<quarantine_notice>(&message->message);
            if (notice != nullptr && notice->prompt_part)
            {
                part_notices.push_back(*notice);
            }
            if (const auto* registration = std::get_if<permit_registration>(&message->message))
            {
                registrations.push_back(*registration);
            }
        }
        else if (auto* line = std::get_if<write_log>(&each))
        {
            ++line_counts[line->what];
            logged.push_back(std::move(*line));
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

/// @brief Fixture with one core and checks of how its requests ended.
struct core_fixture : public Utest
{
    single_core core;

    /// @brief Error kind of a rejected request; `internal` when it was not rejected.
    error_kind rejection_kind(request_id request) const
    {
        const request_rejected* rejected = core.rejection(request);
        return rejected == nullptr ? error_kind::internal : rejected->why.kind;
    }
    /// @brief Outcome of a rejected request; `completed` when it was not rejected.
    outcome rejection_outcome(request_id request) const
    {
        const request_rejected* rejected = core.rejection(request);
        return rejected == nullptr ? outcome::completed : rejected->what;
    }
    /// @brief Sends a list in which one of the engines w1 and w2 is leaving.
    void list_as_leaving(const endpoint_id& engine)
    {
        const bool is_first = engine == endpoint_id{"w1"};
        core.list({make_endpoint("w1", engine_service, is_first), make_endpoint("w2", engine_service, !is_first)});
    }
};

} // namespace parsleyshift::test
