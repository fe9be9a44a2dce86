#pragma once

#include <parsleyshift/core/clock.hpp>                    // millisecond_clock
#include <parsleyshift/decision_core/forwarding_core.hpp> // forwarding_core
#include <parsleyshift/forwarding/forwarder.hpp>          // forwarder
#include <parsleyshift/forwarding/load_reader.hpp>        // load_reader
#include <parsleyshift/forwarding/store_reader.hpp>       // store_reader
#include <parsleyshift/records/forwarder_settings.hpp>    // forwarder_settings
#include <parsleyshift/runtime/buffered_sink.hpp>         // buffered_sink
#include <parsleyshift/runtime/channel.hpp>               // channel
#include <parsleyshift/runtime/event_log.hpp>             // event_log
#include <parsleyshift/runtime/inbound_event.hpp>         // inbound_event
#include <parsleyshift/runtime/log_budget.hpp>            // is_budgeted, log_budget
#include <parsleyshift/runtime/memory_budget.hpp>         // memory_budget
#include <parsleyshift/runtime/metrics.hpp>               // metrics
#include <parsleyshift/runtime/peer_network.hpp>          // peer_network
#include <parsleyshift/runtime/settings_file.hpp>         // settings_file
#include <parsleyshift/runtime/startup_signals.hpp>       // take_startup_signals

#include <boost/asio/post.hpp>       // post
#include <boost/asio/signal_set.hpp> // signal_set

#include <unistd.h> // STDOUT_FILENO

#include <algorithm> // any_of, find_if
#include <csignal>   // SIGTERM
#include <cstddef>   // size_t
#include <deque>     // deque
#include <memory>    // make_shared
#include <optional>  // optional
#include <string>    // string
#include <utility>   // move
#include <variant>   // visit
#include <vector>    // vector

namespace parsleyshift
{

/// @brief Derives the core's settings from the settings file.
/// @param started incarnation of the instance: a number that is higher than that of each earlier start
/// @param seed of the core's random numbers
core_settings core_settings_of(const forwarder_settings& settings, incarnation started, std::uint64_t seed);
/// @brief Derives the addresses of the peers to join through (the setting `seeds`) and the regions of the zones from
/// the settings file.
bootstrap_settings bootstrap_settings_of(const forwarder_settings& settings);
/// @brief Makes the allocator return large blocks to the system as soon as they are freed, for the whole process.
void return_large_blocks();

/// @brief An instance that forwards requests: core, servers, clients, store reader and peers on one thread.
///
/// With a second thread each event passed between the threads would cost two wake-ups, and the machines of the target
/// deployments have a quarter of a CPU core; see docs/decisions/13-one-thread.md.
/// @tparam P the wire protocol towards callers, endpoints and the store
template <class P>
requires forwarding_protocol<P> && store_protocol<P>
class forwarding_runtime
{
  public:
    /// @param file the settings file; its fields `seeds`, `zones` and `log_level` are reloaded when it changes
    /// @param started incarnation of the instance
    /// @param seed of the random delays between retries
    /// @param log_descriptor file descriptor for log lines; set to non-blocking mode
    forwarding_runtime(forwarder_settings settings, settings_file file, P protocol, forwarding_core core,
                       incarnation started, std::uint64_t seed, int log_descriptor = STDOUT_FILENO)
        : settings_(std::move(settings)),
          settings_file_(std::move(file)),
          protocol_(std::move(protocol)),
          core_(std::move(core)),
          sink_(std::make_shared<buffered_sink>(log_descriptor)),
          log_(log_format::json, settings_.log_level, settings_.instance, sink_),
          peer_events_(
              peer_channel_capacity, [this] { drain_peers(); }, [this] { peers_.resume_reading(); }),
          peers_(context_, peer_options(settings_, started), peer_events_, metrics_),
          forwarder_(
              context_, forwarder_options(settings_, budget_), endpoint_options(), protocol_, metrics_,
              [this](event what) { feed(std::move(what)); }, [this] { end_batch(); }),
          load_reader_(
              context_, protocol_, [this](event what) { feed(std::move(what)); }, [this] { end_batch(); }),
          store_reader_(context_, settings_.store_address, protocol_, seed, settings_.link_mbps * bytes_per_ms_and_mbps,
                        store_callbacks()),
          entry_handler_([this](const auto& session, const http_request& request)
                         { handle_entry_request(session, request); },
                         [this] { end_batch(); }),
          readiness_handler_([this](const auto& session, const http_request& request)
                             { handle_readiness_request(session, request); },
                             [this] { end_batch(); }),
          metrics_handler_([this](const auto& session, const http_request& request)
                           { handle_metrics_request(session, request); },
                           [this] { end_batch(); }),
          entry_server_(context_, local_options(settings_.entry_address, "entry_address"), entry_handler_),
          readiness_server_(context_, local_options(settings_.readiness_address, "readiness_address"),
                            readiness_handler_),
          metrics_server_(context_, local_options(settings_.metrics_address, "metrics_address"), metrics_handler_),
          signals_(context_, SIGTERM, SIGINT, SIGHUP),
          core_timer_(context_),
          settings_timer_(context_)
    {
        forwarder_.set_send_check([this](attempt_id attempt) { return core_.may_send(attempt); });
    }

    /// @brief Binds the addresses. While another process uses one, tries again for as long as the planned stop of a
    /// former process of this instance may take, or until a signal asks for a stop.
    /// @return error invalid_field or address_in_use
    result<void> listen()
    {
        wait_for_signal();
        early_signals_ = take_startup_signals();
        const time_point give_up = millisecond_clock::now() + settings_.stop_grace + listen_margin;
        auto bound = listen_once();
        if (is_address_in_use(bound))
        {
            log_.write(log_level::warning, log_event::listen_delayed, bound.error().detail);
            sink_->write_out();
        }
        while (is_address_in_use(bound) && !is_stop_requested_early() && millisecond_clock::now() < give_up)
        {
            // Runs the handlers of signals; nothing else has been started.
            context_.run_for(listen_retry_interval);
            bound = listen_once();
        }
        return is_address_in_use(bound) && is_stop_requested_early() ? boost::outcome_v2::success() : bound;
    }
    /// @brief Serves until a planned stop is complete. Requires a successful listen().
    void run()
    {
        if (is_stop_requested_early())
        {
            log_.write(log_level::info, log_event::stop_finished, "the process exits before it has begun to serve");
            sink_->write_out();
            return;
        }
        is_running_ = true;
        log_.write(log_level::info, log_event::instance_started,
                   "callers=" + settings_.caller_address + " store=" + settings_.store_address);
        for (const int signal : early_signals_)
        {
            on_signal(signal);
        }
        schedule_settings_check();
        store_reader_.start();
        feed(timer_expired{});
        end_batch();
        context_.run();
        log_.write(log_level::info, log_event::stop_finished, "the process exits");
        sink_->write_out();
    }
    /// @brief Ends run() without waiting for requests in progress. May be called from any thread.
    void stop_now()
    {
        context_.stop();
    }
    /// @brief Port of the callers' server; for tests that let the system choose it, like the ports below.
    [[nodiscard]] std::uint16_t caller_port()
    {
        return forwarder_.server().port();
    }
    [[nodiscard]] std::uint16_t entry_port() const
    {
        return entry_server_.port();
    }
    [[nodiscard]] std::uint16_t readiness_port() const
    {
        return readiness_server_.port();
    }
    [[nodiscard]] std::uint16_t metrics_port() const
    {
        return metrics_server_.port();
    }

  private:
    static constexpr std::size_t peer_channel_capacity = 1024;
    /// Bytes per millisecond of a link of 1 Mbit/s.
    static constexpr double bytes_per_ms_and_mbps = 125.0;
    static constexpr double bytes_per_mb = 1e6;
    static constexpr duration settings_poll_interval{1'000};
    static constexpr duration listen_retry_interval{100};
    /// Time beyond that of a planned stop for which an address in use is tried again.
    static constexpr duration listen_margin{1'000};
    /// File descriptors kept for endpoints, peers, listeners and files; the others are for callers.
    static constexpr std::int64_t reserved_descriptors = 700;

    static bool is_address_in_use(const result<void>& bound)
    {
        return bound.has_error() && bound.error().kind == error_kind::address_in_use;
    }
    /// Binds all addresses or none, so that callers are refused meanwhile instead of waiting.
    result<void> listen_once()
    {
        auto bound = listen_all();
        if (bound.has_error())
        {
            forwarder_.server().stop_listening();
            entry_server_.stop_listening();
            readiness_server_.stop_listening();
            metrics_server_.stop_listening();
        }
        return bound;
    }
    result<void> listen_all()
    {
        BOOST_OUTCOME_TRY(forwarder_.listen());
        BOOST_OUTCOME_TRY(entry_server_.listen());
        BOOST_OUTCOME_TRY(readiness_server_.listen());
        BOOST_OUTCOME_TRY(metrics_server_.listen());
        // Last, since it cannot be undone.
        BOOST_OUTCOME_TRY(peers_.listen());
        return boost::outcome_v2::success();
    }
    [[nodiscard]] bool is_stop_requested_early() const
    {
        return !is_running_ &&
               std::any_of(early_signals_.begin(), early_signals_.end(), [](int signal) { return signal != SIGHUP; });
    }

    static peer_network_options peer_options(const forwarder_settings& settings, incarnation started)
    {
        peer_network_options options;
        options.address = settings.peer_address;
        options.instance = settings.instance;
        options.started = started;
        return options;
    }
    static http_server_options caller_options(const forwarder_settings& settings)
    {
        http_server_options options;
        options.address = settings.caller_address;
        // At least 64, even if the setting max_descriptors leaves fewer.
        options.bounds.max_connections =
            static_cast<int>(std::max<std::int64_t>(settings.max_descriptors - reserved_descriptors, 64));
        return options;
    }
    static http_server_options forwarder_options(const forwarder_settings& settings,
                                                 std::optional<memory_budget>& budget)
    {
        http_server_options options = caller_options(settings);
        if (settings.memory_limit_mb > 0)
        {
            // The other half is for the program, its copy of the store, connections and copies in transit: 9 MB when
            // idle, and the largest response for a moment twice.
            return_large_blocks();
            budget.emplace(static_cast<std::size_t>(settings.memory_limit_mb * bytes_per_mb / 2));
            options.budget = &*budget;
        }
        return options;
    }
    static http_server_options local_options(const std::string& address, const char* setting)
    {
        http_server_options options;
        options.address = address;
        options.address_setting = setting;
        options.bounds.max_connections = 256;
        return options;
    }
    static http_client_options endpoint_options()
    {
        http_client_options options;
        options.connect_timeout = duration{1'000};
        // The core limits the time of each attempt.
        options.silence_timeout = duration{600'000};
        options.max_idle_per_address = 8;
        options.sweep_interval = duration{250};
        options.unacknowledged_timeout = duration{2'000};
        return options;
    }

    region_id region_of(const zone_id& zone) const
    {
        const auto found = std::find_if(settings_.zones.begin(), settings_.zones.end(),
                                        [&zone](const zone_location& location) { return location.zone == zone; });
        return found == settings_.zones.end() ? region_id{} : found->region;
    }

    /// Passes an event to the core and executes the resulting actions. Events that arise meanwhile are queued, so that
    /// the core is never called recursively.
    void feed(event what)
    {
        pending_events_.push_back(std::move(what));
        if (std::exchange(dispatching_, true))
        {
            return;
        }
        while (!pending_events_.empty())
        {
            const event next = std::move(pending_events_.front());
            pending_events_.pop_front();
            actions_.clear();
            core_.handle(next, millisecond_clock::now(), actions_);
            std::vector<action> actions;
            actions.swap(actions_);
            for (action& each_action : actions)
            {
                std::visit([this](auto& concrete) { execute(concrete); }, each_action);
            }
        }
        dispatching_ = false;
        end_batch();
    }

    /// Ignores the actions without an overload below; forwarding_core never emits them.
    template <class Action>
    void execute(Action& /*ignored*/)
    {
    }
    void execute(start_forward& start)
    {
        forwarder_.handle(start);
    }
    void execute(cancel_forward& drop)
    {
        forwarder_.handle(drop);
    }
    void execute(deliver_forward& deliver)
    {
        forwarder_.handle(deliver);
    }
    void execute(request_rejected& rejected)
    {
        forwarder_.handle(rejected);
    }
    void execute(copy_run& copy)
    {
        forwarder_.handle(copy);
    }
    void execute(watch_endpoint& watch)
    {
        load_reader_.handle(watch);
    }
    void execute(probe_endpoint& probe)
    {
        load_reader_.handle(probe);
    }
    void execute(entry_answer& answer)
    {
        if (const auto session = entry_server_.find(answer.request))
        {
            const local_response response = protocol_.entry_response(answer);
            session->answer_raw(local_response_head(response, session->keeps_alive()), response.body);
            entry_server_.schedule_flush(session);
        }
    }
    void execute(send_to_peer& message)
    {
        // The envelope carries the version in force, so that peers notice when the store has lost it.
        peers_.send(message, core_.highest_revision());
    }
    void execute(record_sample& value)
    {
        metrics_.record(value);
    }
    void execute(request_finished& ended)
    {
        metrics_.record(ended);
    }
    void execute(record_zone_choice& choice)
    {
        metrics_.record(choice);
    }
    void execute(write_log& entry)
    {
        const bool is_warning = entry.what == log_event::endpoint_ejected || entry.what == log_event::dependency_lost ||
                                entry.what == log_event::request_quarantined;
        write_budgeted(is_warning ? log_level::warning : log_level::info, entry.what, entry.detail);
    }
    /// Writes a line unless too many of its kind have been written in this second; the next one says how many were
    /// left out.
    void write_budgeted(log_level level, log_event kind, const std::string& detail)
    {
        if (!is_budgeted(kind) || log_.is_enabled(log_level::debug))
        {
            log_.write(level, kind, detail);
            return;
        }
        if (const auto left_out = log_budget_.admit(kind, millisecond_clock::now()))
        {
            log_.write(level, kind, detail + (*left_out == 0 ? "" : " left_out=" + std::to_string(*left_out)));
        }
    }
    void execute(stop_complete& /*complete*/)
    {
        store_reader_.close();
        load_reader_.close();
        // The last response may not have been written yet.
        forwarder_.flush();
        forwarder_.server().finish(late_requests::answered, [this] { context_.stop(); });
    }

    typename store_reader<P>::callbacks store_callbacks()
    {
        return {[this](const zone_id& zone) { return region_of(zone); },
                [this] { return core_.reading_peers(); },
                [this](const source_peer& to, peer_message message)
                {
                    send_to_peer outbound{to.instance, to.address, std::move(message)};
                    peers_.send(outbound, core_.highest_revision());
                },
                [this](event what) { feed(std::move(what)); },
                [this](const error& why) { on_item_rejected(why); },
                [this](const store_read& read) { on_store_read(read); },
                [this](source_era era, revision as_of) { on_era(era, as_of); },
                [this](std::size_t bytes) { metrics_.count_relayed(bytes); },
                [this]
                {
                    end_batch();
                }};
    }
    void drain_peers()
    {
        inbound_event inbound;
        while (peer_events_.receive(inbound))
        {
            const auto* received = std::get_if<peer_received>(&inbound.what);
            if (received == nullptr || !handle_source_message(received->envelope))
            {
                feed(std::move(inbound.what));
            }
        }
        peer_events_.batch_received();
    }
    /// Passes messages about the store's items to the store reader; the core does not handle them.
    /// @return true for such a message
    bool handle_source_message(const peer_envelope& envelope)
    {
        const source_peer from{envelope.sender, envelope.peer_address};
        if (const auto* pull = std::get_if<source_pull>(&envelope.message))
        {
            store_reader_.handle(from, *pull);
            return true;
        }
        if (const auto* answer = std::get_if<source_answer>(&envelope.message))
        {
            store_reader_.handle(from, *answer);
            return true;
        }
        return false;
    }
    void on_store_read(const store_read& read)
    {
        metrics_.record(read);
        const std::string detail = read.request + ": " + std::string{name_of(read.result)} + " after " +
                                   std::to_string(read.elapsed.count()) + " ms, " + std::to_string(read.bytes) +
                                   " bytes" + (read.reason.empty() ? "" : ", " + read.reason);
        if (read.result == store_read_result::complete)
        {
            log_.write(log_level::debug, log_event::configuration_read, detail);
        }
        else
        {
            log_.write(log_level::warning, log_event::configuration_read_failed, detail);
        }
    }
    void on_era(source_era era, revision as_of)
    {
        metrics_.set(level_quantity::current_source_era, static_cast<std::size_t>(era.value()));
        log_.write(log_level::info, log_event::source_era_changed,
                   "era=" + std::to_string(era.value()) + " revision=" + std::to_string(as_of.value()));
    }
    void on_item_rejected(const error& why)
    {
        metrics_.count_malformed(input_source::platform, why.kind);
        write_budgeted(log_level::warning, log_event::input_rejected, why.message());
    }

    void handle_entry_request(const std::shared_ptr<http_session>& session, const http_request& request)
    {
        auto query = protocol_.read_entry_query(request);
        if (query.has_error())
        {
            request_rejected malformed;
            malformed.why = query.error();
            const local_response response = protocol_.rejection_response(malformed);
            session->answer_raw(local_response_head(response, session->keeps_alive()), response.body);
            entry_server_.schedule_flush(session);
            end_batch();
            return;
        }
        query.value().request = entry_server_.register_request(session);
        feed(std::move(query).value());
    }
    void handle_readiness_request(const std::shared_ptr<http_session>& session, const http_request& request)
    {
        constexpr unsigned not_found = 404;
        constexpr unsigned unavailable = 503;
        local_response response;
        response.content_type = "text/plain";
        if (!protocol_.is_readiness_request(request))
        {
            response.status = not_found;
        }
        else if (!core_.ready(millisecond_clock::now()))
        {
            response.status = unavailable;
        }
        session->answer_raw(local_response_head(response, session->keeps_alive()), response.body);
        readiness_server_.schedule_flush(session);
        end_batch();
    }
    void handle_metrics_request(const std::shared_ptr<http_session>& session, const http_request& request)
    {
        local_response response;
        response.content_type = "text/plain; version=0.0.4";
        if (request.target() == "/metrics")
        {
            metrics_.set(level_quantity::log_lines_dropped, sink_->dropped());
            const core_levels levels = core_.levels();
            metrics_.set(level_quantity::evacuated_zones, levels.evacuated_zones);
            metrics_.set(level_quantity::requests_in_evacuated_zones, levels.requests_in_evacuated_zones);
            metrics_.set(level_quantity::cold_endpoints, levels.cold_endpoints);
            response.body = metrics_.text();
        }
        else
        {
            response.status = 404;
        }
        session->answer_raw(local_response_head(response, session->keeps_alive()), response.body);
        metrics_server_.schedule_flush(session);
        end_batch();
    }

    /// Schedules a flush after a batch of events, so that its output takes one system call for each connection.
    void end_batch()
    {
        if (!dispatching_ && !std::exchange(flush_posted_, true))
        {
            asio::post(context_, [this] { flush(); });
        }
    }
    void flush()
    {
        flush_posted_ = false;
        // Events that arise during the flush are queued instead of scheduling another flush.
        dispatching_ = true;
        forwarder_.flush();
        entry_server_.flush();
        readiness_server_.flush();
        metrics_server_.flush();
        dispatching_ = false;
        if (!pending_events_.empty())
        {
            event next = std::move(pending_events_.front());
            pending_events_.pop_front();
            feed(std::move(next));
        }
        sink_->write_out();
        apply_bounds();
        schedule_core_timer();
    }
    /// Applies the configured limits on callers' requests to the callers' server after they have changed. The server
    /// has one timeout for the whole request, so header_timeout limits the time for the body as well.
    void apply_bounds()
    {
        const forwarding_limits& configured = core_.bounds();
        if (configured == bounds_)
        {
            return;
        }
        bounds_ = configured;
        caller_bounds bounds = caller_options(settings_).bounds;
        bounds.max_header_bytes = static_cast<std::size_t>(configured.max_header_bytes);
        bounds.max_body_bytes = static_cast<std::size_t>(configured.max_body_bytes);
        bounds.request_timeout = configured.header_timeout;
        forwarder_.server().set_bounds(bounds, configured.idle_timeout);
    }
    /// Schedules a timer_expired event for the core's next deadline.
    void schedule_core_timer()
    {
        const time_point due = core_.next_deadline();
        const time_point now = millisecond_clock::now();
        const bool is_scheduled_in_time = timer_due_ != never && timer_due_ <= due && timer_due_ > now;
        if (due == never || is_scheduled_in_time)
        {
            return;
        }
        timer_due_ = std::max(due, now + duration{1});
        core_timer_.expires_after(timer_due_ - now);
        core_timer_.async_wait(
            [this](const boost::system::error_code& failure)
            {
                if (!failure)
                {
                    timer_due_ = never;
                    feed(timer_expired{});
                }
            });
    }

    void wait_for_signal()
    {
        signals_.async_wait(
            [this](const boost::system::error_code& failure, int signal)
            {
                if (failure)
                {
                    return;
                }
                if (is_running_)
                {
                    on_signal(signal);
                }
                else
                {
                    early_signals_.push_back(signal);
                }
                wait_for_signal();
            });
    }
    void on_signal(int signal)
    {
        if (signal == SIGHUP)
        {
            reload(true);
            return;
        }
        forwarder_.server().close_after_answers();
        feed(stop_requested{});
    }
    void schedule_settings_check()
    {
        settings_timer_.expires_after(settings_poll_interval);
        settings_timer_.async_wait(
            [this](const boost::system::error_code& failure)
            {
                if (!failure)
                {
                    reload(false);
                    schedule_settings_check();
                }
            });
    }
    /// Reads the settings file again. @param forced also when the file has not changed
    void reload(bool forced)
    {
        if (!forced && !settings_file_.changed())
        {
            return;
        }
        const auto text = settings_file_.read();
        auto decoded = text.has_value() ? read_forwarder_settings(text.value()) : json_issues{};
        if (decoded.has_error())
        {
            log_.write(log_level::warning, log_event::settings_reloaded,
                       "the settings file cannot be used, the previous settings stay in effect: " +
                           (text.has_value() ? decoded.error().text() : text.error().message()));
            return;
        }
        const forwarder_settings& changed = decoded.value();
        settings_.seeds = changed.seeds;
        settings_.zones = changed.zones;
        settings_.log_level = changed.log_level;
        log_.set_min_level(settings_.log_level);
        core_.set_bootstrap(bootstrap_settings_of(settings_));
        log_.write(log_level::info, log_event::settings_reloaded,
                   "seeds, zones and log_level were applied; other changes need a restart");
        end_batch();
    }

    forwarder_settings settings_;
    settings_file settings_file_;
    P protocol_;
    forwarding_core core_;
    /// Outlives the context, whose pending operations hold shares. Empty without a limit of the memory.
    std::optional<memory_budget> budget_;
    asio::io_context context_{1};
    metrics metrics_;
    std::shared_ptr<buffered_sink> sink_;
    event_log log_;
    log_budget log_budget_;
    channel<inbound_event> peer_events_;
    peer_network peers_;
    forwarder<P> forwarder_;
    load_reader<P> load_reader_;
    store_reader<P> store_reader_;
    local_handler entry_handler_;
    local_handler readiness_handler_;
    local_handler metrics_handler_;
    http_server entry_server_;
    http_server readiness_server_;
    http_server metrics_server_;
    asio::signal_set signals_;
    steady_timer core_timer_;
    steady_timer settings_timer_;
    std::deque<event> pending_events_;
    std::vector<action> actions_;
    forwarding_limits bounds_;
    time_point timer_due_ = never;
    /// Signals that arrived before run().
    std::vector<int> early_signals_;
    bool is_running_ = false;
    bool dispatching_ = false;
    bool flush_posted_ = false;
};

} // namespace parsleyshift
