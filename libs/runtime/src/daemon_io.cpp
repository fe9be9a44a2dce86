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

// Indices into state::threads.
constexpr std::size_t caller_thread = 0;
constexpr std::size_t endpoint_thread = 1;
constexpr std::size_t peer_thread = 2;
constexpr std::size_t platform_thread = 3;
constexpr std::size_t thread_count = 4;
// Not an index: the action is handled by dispatch() itself.
constexpr std::size_t not_an_io_thread = thread_count;

// Messages to peers may be lost, so the oldest are dropped when the overflow of a full ring exceeds this number.
constexpr std::size_t max_overflow_peer_messages = 4096;
// Limits how long finish() waits for queued data to be written.
constexpr std::chrono::milliseconds finish_timeout{2'000};

constexpr std::size_t thread_of(const start_generation&)
{
    return endpoint_thread;
}
constexpr std::size_t thread_of(const resume_generation&)
{
    return endpoint_thread;
}
constexpr std::size_t thread_of(const cancel_attempt&)
{
    return endpoint_thread;
}
constexpr std::size_t thread_of(const set_attempt_reading&)
{
    return endpoint_thread;
}
constexpr std::size_t thread_of(const start_call&)
{
    return endpoint_thread;
}
constexpr std::size_t thread_of(const watch_endpoint&)
{
    return endpoint_thread;
}
constexpr std::size_t thread_of(const send_placement_order&)
{
    return endpoint_thread;
}
constexpr std::size_t thread_of(const send_to_peer&)
{
    return peer_thread;
}
constexpr std::size_t thread_of(const read_configuration&)
{
    return platform_thread;
}
constexpr std::size_t thread_of(const record_sample&)
{
    return not_an_io_thread;
}
constexpr std::size_t thread_of(const request_finished&)
{
    return not_an_io_thread;
}
constexpr std::size_t thread_of(const record_zone_choice&)
{
    return not_an_io_thread;
}
constexpr std::size_t thread_of(const write_log&)
{
    return not_an_io_thread;
}
constexpr std::size_t thread_of(const stop_complete&)
{
    return not_an_io_thread;
}
// Actions of forwarding_core are performed by forwarding_runtime, not by this class.
constexpr std::size_t thread_of(const start_forward&)
{
    return not_an_io_thread;
}
constexpr std::size_t thread_of(const cancel_forward&)
{
    return not_an_io_thread;
}
constexpr std::size_t thread_of(const deliver_forward&)
{
    return not_an_io_thread;
}
constexpr std::size_t thread_of(const copy_run&)
{
    return not_an_io_thread;
}
constexpr std::size_t thread_of(const probe_endpoint&)
{
    return not_an_io_thread;
}
/// All other actions are answers to callers; each has a field `request`.
template <class Answer>
constexpr std::size_t thread_of(const Answer& answer) requires requires
{
    answer.request;
}
{
    return caller_thread;
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
        : log(settings.log_line_format, settings.log_level, settings.instance),
          threads{std::make_unique<io_thread>(options.ring_capacity, decision_wakeup),
                  std::make_unique<io_thread>(options.ring_capacity, decision_wakeup),
                  std::make_unique<io_thread>(options.ring_capacity, decision_wakeup),
                  std::make_unique<io_thread>(options.ring_capacity, decision_wakeup)},
          caller_io(threads[caller_thread]->context, caller_options(settings), threads[caller_thread]->events,
                    process_metrics, [this] { return metrics_text(); }),
          endpoint_io(threads[endpoint_thread]->context, endpoint_options(settings, options),
                      threads[endpoint_thread]->events, process_metrics),
          peer_io(threads[peer_thread]->context, peer_options(settings, options), threads[peer_thread]->events,
                  process_metrics),
          platform_io(threads[platform_thread]->context, platform_options(settings), threads[platform_thread]->events,
                      process_metrics)
    {
        threads[caller_thread]->on_action = [this](outbound_action& each)
        {
            caller_io.handle(each.what);
        };
        threads[caller_thread]->on_batch_end = [this]
        {
            caller_io.flush();
        };
        threads[caller_thread]->on_space_available = [this]
        {
            caller_io.resume_reading();
        };
        threads[endpoint_thread]->on_action = [this](outbound_action& each)
        {
            endpoint_io.handle(each.what);
        };
        threads[endpoint_thread]->on_space_available = [this]
        {
            endpoint_io.resume_reading();
        };
        threads[peer_thread]->on_action = [this](outbound_action& each)
        {
            peer_io.send(std::get<send_to_peer>(each.what), each.highest_revision);
        };
        threads[peer_thread]->on_space_available = [this]
        {
            peer_io.resume_reading();
        };
        threads[platform_thread]->on_action = [this](outbound_action& each)
        {
            platform_io.handle(each.what);
        };
        threads[platform_thread]->on_space_available = [this]
        {
            platform_io.resume_reading();
        };
    }

    static caller_server_options caller_options(const daemon_settings& settings)
    {
        return {settings.caller_address, settings.instance, settings.operator_key, settings.bounds};
    }
    static endpoint_client_options endpoint_options(const daemon_settings& settings, const daemon_options& options)
    {
        endpoint_client_options converted;
        converted.load_interval = settings.intervals.load_report;
        converted.silence_timeout = options.silence_timeout;
        converted.connect_timeout = options.connect_timeout;
        return converted;
    }
    static peer_network_options peer_options(const daemon_settings& settings, const daemon_options& options)
    {
        peer_network_options converted;
        converted.address = settings.peer_address;
        converted.instance = settings.instance;
        converted.started = options.started;
        converted.connect_timeout = options.connect_timeout;
        return converted;
    }
    static platform_client_options platform_options(const daemon_settings& settings)
    {
        return {settings.configuration_service, settings.instance_list, settings.intervals.instance_list};
    }

    std::string metrics_text()
    {
        constexpr std::array event_gauges{level_quantity::ring_from_callers, level_quantity::ring_from_endpoints,
                                          level_quantity::ring_from_peers, level_quantity::ring_from_platform};
        constexpr std::array action_gauges{level_quantity::ring_to_callers, level_quantity::ring_to_endpoints,
                                           level_quantity::ring_to_peers, level_quantity::ring_to_platform};
        for (std::size_t i = 0; i < thread_count; ++i)
        {
            process_metrics.set(event_gauges[i], threads[i]->events.size());
            process_metrics.set(action_gauges[i], threads[i]->actions.size());
        }
        return process_metrics.text();
    }

    /// Returns true while the events of a thread are not received because the action ring that they fill is congested:
    /// events of endpoints become answers to callers, and requests of callers become actions for endpoints.
    [[nodiscard]] bool is_paused(std::size_t thread) const
    {
        return (thread == endpoint_thread && threads[caller_thread]->actions.congested()) ||
               (thread == caller_thread && threads[endpoint_thread]->actions.congested());
    }

    template <class Function>
    void run_on(std::size_t thread, Function function)
    {
        asio::post(threads[thread]->context, std::move(function));
    }

    event_log log;
    metrics process_metrics;
    wakeup decision_wakeup;
    std::array<std::unique_ptr<io_thread>, thread_count> threads;
    caller_server caller_io;
    endpoint_client endpoint_io;
    peer_network peer_io;
    platform_client platform_io;
    std::size_t next_ring = 0;
    std::uint16_t caller_port = 0;
    std::uint16_t peer_port = 0;
    bool stop_completed = false;
    std::atomic<bool> stop_requested = false;
};

daemon_io::daemon_io(const daemon_settings& settings, const daemon_options& options)
    : state_(std::make_unique<state>(settings, options))
{
}

daemon_io::~daemon_io()
{
    // Pending handlers refer to the servers and clients, so the threads must end before those are destroyed.
    for (const auto& each : state_->threads)
    {
        each->stop();
    }
}

result<void> daemon_io::start()
{
    state& s = *state_;
    BOOST_OUTCOME_TRY(s.caller_io.listen());
    BOOST_OUTCOME_TRY(s.peer_io.listen());
    s.caller_port = s.caller_io.port();
    s.peer_port = s.peer_io.port();
    s.run_on(platform_thread, [&s] { s.platform_io.start(); });
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
    state_->decision_wakeup.notify();
}

bool daemon_io::receive(inbound_event& received)
{
    state& s = *state_;
    if (s.stop_requested.load(std::memory_order_relaxed) && s.stop_requested.exchange(false))
    {
        received = {stop_requested{}, {}};
        return true;
    }
    for (std::size_t tried = 0; tried < thread_count; ++tried)
    {
        const std::size_t thread = s.next_ring;
        s.next_ring = (s.next_ring + 1) % thread_count;
        if (!s.is_paused(thread) && s.threads[thread]->events.receive(received))
        {
            return true;
        }
    }
    return false;
}

void daemon_io::dispatch(action requested, revision highest)
{
    state& s = *state_;
    const std::size_t thread = std::visit([](const auto& each) { return std::size_t{thread_of(each)}; }, requested);
    if (thread < thread_count)
    {
        if (const auto* rejected = std::get_if<request_rejected>(&requested);
            rejected && s.log.is_enabled(log_level::debug))
        {
            s.log.write(log_level::debug, log_event::request_failed, rejected->why.message(), rejected->request);
        }
        s.threads[thread]->actions.send({std::move(requested), highest});
    }
    else if (const auto* value = std::get_if<record_sample>(&requested))
    {
        s.process_metrics.record(*value);
    }
    else if (const auto* ended = std::get_if<request_finished>(&requested))
    {
        s.process_metrics.record(*ended);
    }
    else if (const auto* choice = std::get_if<record_zone_choice>(&requested))
    {
        s.process_metrics.record(*choice);
    }
    else if (const auto* line = std::get_if<write_log>(&requested))
    {
        s.log.write(level_of(line->what), line->what, line->detail);
    }
    else
    {
        s.stop_completed = true;
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
        each.actions.notify_consumer();
    }
    if (const std::size_t dropped = s.threads[peer_thread]->actions.drop_oldest_overflow(max_overflow_peer_messages))
    {
        s.process_metrics.count_dropped_frames(dropped);
    }
}

void daemon_io::wait(time_point until)
{
    state& s = *state_;
    s.decision_wakeup.wait(until,
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
                                   if (!s.is_paused(thread) && each.events.size() > 0)
                                   {
                                       return true;
                                   }
                               }
                               return false;
                           });
}

bool daemon_io::stopped() const noexcept
{
    return state_->stop_completed;
}

void daemon_io::finish()
{
    state& s = *state_;
    // The action rings are emptied first, so that the answers of the last batch are written before the servers close.
    const auto until = std::chrono::steady_clock::now() + finish_timeout;
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
            s.decision_wakeup.wait(millisecond_clock::now() + duration{10}, [] { return false; });
        }
    }
    auto callers_done = std::make_shared<std::promise<void>>();
    s.run_on(caller_thread, [&s, callers_done] { s.caller_io.finish([callers_done] { callers_done->set_value(); }); });
    callers_done->get_future().wait_until(until);
    const auto peers_idle = [&s]
    {
        auto idle_reply = std::make_shared<std::promise<bool>>();
        s.run_on(peer_thread, [&s, idle_reply] { idle_reply->set_value(s.peer_io.idle()); });
        auto future = idle_reply->get_future();
        return future.wait_for(finish_timeout) != std::future_status::ready || future.get();
    };
    while (!peers_idle() && std::chrono::steady_clock::now() < until)
    {
        s.decision_wakeup.wait(millisecond_clock::now() + duration{10}, [] { return false; });
    }
    for (const auto& each : s.threads)
    {
        each->stop();
    }
    s.endpoint_io.close();
    s.platform_io.close();
    s.peer_io.close();
    s.log.write(log_level::info, log_event::stop_finished, "all threads have ended");
}

event_log& daemon_io::log() noexcept
{
    return state_->log;
}

metrics& daemon_io::process_metrics() noexcept
{
    return state_->process_metrics;
}

} // namespace parsleyshift
