#include <parsleyshift/runtime/daemon_io.hpp> // daemon_io

#include "caller_server.hpp"                     // caller_server
#include "endpoint_client.hpp"                   // endpoint_client
#include "io_thread.hpp"                         // io_thread
#include "platform_client.hpp"                   // platform_client
#include <parsleyshift/runtime/peer_network.hpp> // peer_network

#include <parsleyshift/runtime/wakeup.hpp> // wakeup

#include <array>   // array
#include <atomic>  // atomic
#include <chrono>  // milliseconds
#include <future>  // promise
#include <utility> // move
#include <variant> // visit

namespace parsleyshift
{

namespace
{

// Indices of the I/O threads.
constexpr std::size_t callers = 0;
constexpr std::size_t endpoints = 1;
constexpr std::size_t peers = 2;
constexpr std::size_t platform = 3;
constexpr std::size_t thread_count = 4;
/// The action is recorded on the decision thread.
constexpr std::size_t nowhere = thread_count;

// Messages to peers may be lost, so what is held back for a full ring is bounded by dropping.
constexpr std::size_t max_held_peer_messages = 4096;
constexpr std::chrono::milliseconds finish_time{2'000};

constexpr std::size_t thread_of(const start_generation&)
{
    return endpoints;
}
constexpr std::size_t thread_of(const resume_generation&)
{
    return endpoints;
}
constexpr std::size_t thread_of(const cancel_attempt&)
{
    return endpoints;
}
constexpr std::size_t thread_of(const set_attempt_reading&)
{
    return endpoints;
}
constexpr std::size_t thread_of(const start_call&)
{
    return endpoints;
}
constexpr std::size_t thread_of(const watch_endpoint&)
{
    return endpoints;
}
constexpr std::size_t thread_of(const send_placement_order&)
{
    return endpoints;
}
constexpr std::size_t thread_of(const send_to_peer&)
{
    return peers;
}
constexpr std::size_t thread_of(const read_configuration&)
{
    return platform;
}
constexpr std::size_t thread_of(const observe&)
{
    return nowhere;
}
constexpr std::size_t thread_of(const request_finished&)
{
    return nowhere;
}
constexpr std::size_t thread_of(const write_log&)
{
    return nowhere;
}
constexpr std::size_t thread_of(const stop_complete&)
{
    return nowhere;
}
// Forwarded requests have a runtime of their own.
constexpr std::size_t thread_of(const start_forward&)
{
    return nowhere;
}
constexpr std::size_t thread_of(const drop_forward&)
{
    return nowhere;
}
constexpr std::size_t thread_of(const deliver_forward&)
{
    return nowhere;
}
constexpr std::size_t thread_of(const copy_run&)
{
    return nowhere;
}
/// Everything else is an answer to a caller.
template <class Answer>
constexpr std::size_t thread_of(const Answer& answer) requires requires
{
    answer.request;
}
{
    return callers;
}

log_level level_of(log_event what)
{
    switch (what)
    {
    case log_event::configuration_rejected:
    case log_event::endpoint_ejected:
    case log_event::request_quarantined:
    case log_event::request_failed:
    case log_event::input_rejected:
        return log_level::warning;
    default:
        return log_level::info;
    }
}

} // namespace

struct daemon_io::state
{
    state(const daemon_settings& settings, const daemon_options& options)
        : log(settings.log_as, settings.log_level, settings.instance),
          threads{std::make_unique<io_thread>(options.ring_capacity, decisions),
                  std::make_unique<io_thread>(options.ring_capacity, decisions),
                  std::make_unique<io_thread>(options.ring_capacity, decisions),
                  std::make_unique<io_thread>(options.ring_capacity, decisions)},
          caller_side(threads[callers]->context, caller_options(settings), threads[callers]->events, figures,
                      [this] { return metrics_text(); }),
          endpoint_side(threads[endpoints]->context, endpoint_options(settings, options), threads[endpoints]->events,
                        figures),
          peer_side(threads[peers]->context, peer_options(settings, options), threads[peers]->events, figures),
          platform_side(threads[platform]->context, platform_options(settings), threads[platform]->events, figures)
    {
        threads[callers]->on_action = [this](outbound_action& each)
        {
            caller_side.handle(each.what);
        };
        threads[callers]->on_batch = [this]
        {
            caller_side.flush();
        };
        threads[callers]->on_room = [this]
        {
            caller_side.resume_reading();
        };
        threads[endpoints]->on_action = [this](outbound_action& each)
        {
            endpoint_side.handle(each.what);
        };
        threads[endpoints]->on_room = [this]
        {
            endpoint_side.resume_reading();
        };
        threads[peers]->on_action = [this](outbound_action& each)
        {
            peer_side.send(std::get<send_to_peer>(each.what), each.highest);
        };
        threads[peers]->on_room = [this]
        {
            peer_side.resume_reading();
        };
        threads[platform]->on_action = [this](outbound_action& each)
        {
            platform_side.handle(each.what);
        };
        threads[platform]->on_room = [this]
        {
            platform_side.resume_reading();
        };
    }

    static caller_server_options caller_options(const daemon_settings& settings)
    {
        return {settings.caller_address, settings.instance, settings.operator_key, settings.bounds};
    }
    static endpoint_client_options endpoint_options(const daemon_settings& settings, const daemon_options& options)
    {
        endpoint_client_options made;
        made.load_interval = settings.intervals.load_report;
        made.silence_timeout = options.silence_timeout;
        made.connect_timeout = options.connect_timeout;
        return made;
    }
    static peer_network_options peer_options(const daemon_settings& settings, const daemon_options& options)
    {
        peer_network_options made;
        made.address = settings.peer_address;
        made.instance = settings.instance;
        made.started = options.started;
        made.connect_timeout = options.connect_timeout;
        return made;
    }
    static platform_client_options platform_options(const daemon_settings& settings)
    {
        return {settings.configuration_service, settings.instance_list, settings.intervals.instance_list};
    }

    std::string metrics_text()
    {
        constexpr std::array from{level_quantity::ring_from_callers, level_quantity::ring_from_endpoints,
                                  level_quantity::ring_from_peers, level_quantity::ring_from_platform};
        constexpr std::array to{level_quantity::ring_to_callers, level_quantity::ring_to_endpoints,
                                level_quantity::ring_to_peers, level_quantity::ring_to_platform};
        for (std::size_t i = 0; i < thread_count; ++i)
        {
            figures.set(from[i], threads[i]->events.size());
            figures.set(to[i], threads[i]->actions.size());
        }
        return figures.text();
    }

    /// Events of a thread rest while the actions that they cause most cannot be passed on: tokens of endpoints become
    /// answers to callers, and requests of callers become work for endpoints.
    [[nodiscard]] bool rests(std::size_t thread) const
    {
        return (thread == endpoints && threads[callers]->actions.congested()) ||
               (thread == callers && threads[endpoints]->actions.congested());
    }

    template <class Function>
    void run_on(std::size_t thread, Function function)
    {
        asio::post(threads[thread]->context, std::move(function));
    }

    event_log log;
    metrics figures;
    wakeup decisions;
    std::array<std::unique_ptr<io_thread>, thread_count> threads;
    caller_server caller_side;
    endpoint_client endpoint_side;
    peer_network peer_side;
    platform_client platform_side;
    std::size_t turn = 0;
    std::uint16_t caller_port = 0;
    std::uint16_t peer_port = 0;
    bool stop_seen = false;
    std::atomic<bool> stop_requested = false;
};

daemon_io::daemon_io(const daemon_settings& settings, const daemon_options& options)
    : state_(std::make_unique<state>(settings, options))
{
}

daemon_io::~daemon_io()
{
    // Handlers that have not run refer to the servers and clients, so the threads end before those are destroyed.
    for (const auto& each : state_->threads)
    {
        each->stop();
    }
}

result<void> daemon_io::start()
{
    state& s = *state_;
    BOOST_OUTCOME_TRY(s.caller_side.listen());
    BOOST_OUTCOME_TRY(s.peer_side.listen());
    s.caller_port = s.caller_side.port();
    s.peer_port = s.peer_side.port();
    s.run_on(platform, [&s] { s.platform_side.start(); });
    constexpr std::array names{"callers", "endpoints", "peers", "platform"};
    for (std::size_t i = 0; i < thread_count; ++i)
    {
        s.threads[i]->start(s.log, names[i]);
    }
    s.log.write(log_level::info, log_event::instance_started,
                "callers on port " + std::to_string(s.caller_port) + ", peers on port " + std::to_string(s.peer_port));
    return boost::outcome_v2::success();
}

std::uint16_t daemon_io::caller_port() const noexcept
{
    return state_->caller_port;
}

std::uint16_t daemon_io::peer_port() const noexcept
{
    return state_->peer_port;
}

void daemon_io::request_stop()
{
    state_->stop_requested.store(true);
    state_->decisions.notify();
}

bool daemon_io::next(inbound_event& taken)
{
    state& s = *state_;
    if (s.stop_requested.load(std::memory_order_relaxed) && s.stop_requested.exchange(false))
    {
        taken = {stop_planned{}, {}};
        return true;
    }
    for (std::size_t tried = 0; tried < thread_count; ++tried)
    {
        const std::size_t thread = s.turn;
        s.turn = (s.turn + 1) % thread_count;
        if (!s.rests(thread) && s.threads[thread]->events.receive(taken))
        {
            return true;
        }
    }
    return false;
}

void daemon_io::dispatch(action what, revision highest)
{
    state& s = *state_;
    const std::size_t thread = std::visit([](const auto& each) { return std::size_t{thread_of(each)}; }, what);
    if (thread < thread_count)
    {
        if (const auto* rejected = std::get_if<request_rejected>(&what); rejected && s.log.writes(log_level::debug))
        {
            s.log.write(log_level::debug, log_event::request_failed, rejected->why.message(), rejected->request);
        }
        s.threads[thread]->actions.send({std::move(what), highest});
    }
    else if (const auto* value = std::get_if<observe>(&what))
    {
        s.figures.record(*value);
    }
    else if (const auto* ended = std::get_if<request_finished>(&what))
    {
        s.figures.record(*ended);
    }
    else if (const auto* line = std::get_if<write_log>(&what))
    {
        s.log.write(level_of(line->what), line->what, line->detail);
    }
    else
    {
        s.stop_seen = true;
    }
}

void daemon_io::flush()
{
    state& s = *state_;
    for (std::size_t thread = 0; thread < thread_count; ++thread)
    {
        io_thread& each = *s.threads[thread];
        each.events.batch_received();
        if (each.actions.congested())
        {
            each.actions.flush();
        }
        each.actions.announce();
    }
    if (const std::size_t dropped = s.threads[peers]->actions.drop_held(max_held_peer_messages))
    {
        s.figures.count_dropped_frames(dropped);
    }
}

void daemon_io::wait(time_point until)
{
    state& s = *state_;
    s.decisions.wait(until,
                     [&s]
                     {
                         if (s.stop_requested.load())
                         {
                             return true;
                         }
                         for (std::size_t thread = 0; thread < thread_count; ++thread)
                         {
                             io_thread& each = *s.threads[thread];
                             if (each.actions.congested() && each.actions.flush())
                             {
                                 return true;
                             }
                             if (!s.rests(thread) && each.events.size() > 0)
                             {
                                 return true;
                             }
                         }
                         return false;
                     });
}

bool daemon_io::stopped() const noexcept
{
    return state_->stop_seen;
}

void daemon_io::finish()
{
    state& s = *state_;
    // Posted after the last drain, so that the answers of the last batch are written first.
    const auto until = std::chrono::steady_clock::now() + finish_time;
    bool all_sent = false;
    while (!all_sent && std::chrono::steady_clock::now() < until)
    {
        flush();
        all_sent = true;
        for (const auto& each : s.threads)
        {
            all_sent = all_sent && !each->actions.congested();
        }
        if (!all_sent)
        {
            s.decisions.wait(millisecond_clock::now() + duration{10}, [] { return false; });
        }
    }
    auto callers_done = std::make_shared<std::promise<void>>();
    s.run_on(callers, [&s, callers_done] { s.caller_side.finish([callers_done] { callers_done->set_value(); }); });
    callers_done->get_future().wait_until(until);
    const auto peers_idle = [&s]
    {
        auto answer = std::make_shared<std::promise<bool>>();
        s.run_on(peers, [&s, answer] { answer->set_value(s.peer_side.idle()); });
        auto future = answer->get_future();
        return future.wait_for(finish_time) != std::future_status::ready || future.get();
    };
    while (!peers_idle() && std::chrono::steady_clock::now() < until)
    {
        s.decisions.wait(millisecond_clock::now() + duration{10}, [] { return false; });
    }
    for (const auto& each : s.threads)
    {
        each->stop();
    }
    s.endpoint_side.close();
    s.platform_side.close();
    s.peer_side.close();
    s.log.write(log_level::info, log_event::stop_finished, "all threads have ended");
}

event_log& daemon_io::log() noexcept
{
    return state_->log;
}

metrics& daemon_io::figures() noexcept
{
    return state_->figures;
}

} // namespace parsleyshift
