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
#include <parsleyshift/runtime/metrics.hpp>               // metrics
#include <parsleyshift/runtime/peer_network.hpp>          // peer_network
#include <parsleyshift/runtime/settings_file.hpp>         // settings_file

#include <boost/asio/post.hpp>       // post
#include <boost/asio/signal_set.hpp> // signal_set

#include <unistd.h> // STDOUT_FILENO

#include <algorithm> // find_if
#include <csignal>   // SIGTERM
#include <deque>     // deque
#include <memory>    // make_shared
#include <string>    // string
#include <utility>   // move
#include <variant>   // visit
#include <vector>    // vector

namespace parsleyshift
{

/// @brief Core settings and hints that follow from the settings file.
core_settings core_settings_of(const forwarder_settings& settings, incarnation started, std::uint64_t seed);
fleet_hints hints_of(const forwarder_settings& settings);

/// @brief An instance that forwards requests: core, servers, clients, store reader and peers on one thread.
///
/// One thread, since an event that crosses a ring between threads costs two wake-ups, and one machine of the target
/// deployments has a quarter of a core; docs/decisions/13-one-thread.md says more.
/// @tparam P the wire protocol towards callers, endpoints and the store
template <class P>
requires forwarding_protocol<P> && store_protocol<P>
class forwarding_runtime
{
  public:
    /// @param file the settings file, read again when it changes
    /// @param log_descriptor where log lines go; made non-blocking
    forwarding_runtime(forwarder_settings settings, settings_file file, P protocol, forwarding_core core,
                       incarnation started, std::uint64_t seed, int log_descriptor = STDOUT_FILENO)
        : settings_(std::move(settings)),
          file_(std::move(file)),
          protocol_(std::move(protocol)),
          core_(std::move(core)),
          sink_(std::make_shared<buffered_sink>(log_descriptor)),
          log_(log_format::json, settings_.log_level, settings_.instance, sink_),
          peer_events_(
              peer_ring, [this] { drain_peers(); }, [this] { peers_.resume_reading(); }),
          peers_(context_, peer_options(settings_, started), peer_events_, figures_),
          forwarder_(
              context_, caller_options(settings_), endpoint_options(), protocol_, figures_,
              [this](event what) { feed(std::move(what)); }, [this] { end_batch(); }),
          loads_(
              context_, protocol_, [this](event what) { feed(std::move(what)); }, [this] { end_batch(); }),
          store_(context_, settings_.store_address, protocol_, seed, surroundings_of_store()),
          entry_handler_([this](const auto& session, const http_request& asked) { answer_entry(session, asked); },
                         [this] { end_batch(); }),
          readiness_handler_([this](const auto& session, const http_request& asked)
                             { answer_readiness(session, asked); },
                             [this] { end_batch(); }),
          metrics_handler_([this](const auto& session, const http_request& asked) { answer_metrics(session, asked); },
                           [this] { end_batch(); }),
          entry_server_(context_, local_options(settings_.entry_address, "entry_address"), entry_handler_),
          readiness_server_(context_, local_options(settings_.readiness_address, "readiness_address"),
                            readiness_handler_),
          metrics_server_(context_, local_options(settings_.metrics_address, "metrics_address"), metrics_handler_),
          signals_(context_, SIGTERM, SIGINT, SIGHUP),
          core_timer_(context_),
          file_timer_(context_)
    {
    }

    /// @brief Binds the addresses. @return error invalid_field
    result<void> listen()
    {
        BOOST_OUTCOME_TRY(forwarder_.listen());
        BOOST_OUTCOME_TRY(entry_server_.listen());
        BOOST_OUTCOME_TRY(readiness_server_.listen());
        BOOST_OUTCOME_TRY(metrics_server_.listen());
        BOOST_OUTCOME_TRY(peers_.listen());
        return boost::outcome_v2::success();
    }
    /// @brief Serves until a planned stop is complete.
    void run()
    {
        log_.write(log_level::info, log_event::instance_started,
                   "callers=" + settings_.caller_address + " store=" + settings_.store_address);
        wait_for_signal();
        watch_file();
        store_.start();
        feed(timer_expired{});
        end_batch();
        context_.run();
        log_.write(log_level::info, log_event::stop_finished, "the process ends");
        sink_->write_out();
    }
    /// @brief Ends run() without waiting for requests in progress. Any thread.
    void abandon()
    {
        context_.stop();
    }
    /// @brief Ports, for tests that let the system choose them.
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
    static constexpr std::size_t peer_ring = 1024;
    static constexpr duration file_interval{1'000};
    /// Descriptors that are not for callers: endpoints, peers, listeners, files.
    static constexpr std::int64_t other_descriptors = 700;

    static peer_network_options peer_options(const forwarder_settings& settings, incarnation started)
    {
        peer_network_options made;
        made.address = settings.peer_address;
        made.instance = settings.instance;
        made.started = started;
        return made;
    }
    static http_server_options caller_options(const forwarder_settings& settings)
    {
        http_server_options made;
        made.address = settings.caller_address;
        made.bounds.max_connections =
            static_cast<int>(std::max<std::int64_t>(settings.max_descriptors - other_descriptors, 64));
        return made;
    }
    static http_server_options local_options(const std::string& address, const char* what)
    {
        http_server_options made;
        made.address = address;
        made.what = what;
        made.bounds.max_connections = 256;
        return made;
    }
    static http_client_options endpoint_options()
    {
        http_client_options made;
        made.connect_timeout = duration{1'000};
        // The core bounds the time of each attempt.
        made.silence_timeout = duration{600'000};
        made.max_idle_per_address = 8;
        made.sweep_interval = duration{250};
        made.unacknowledged_timeout = duration{2'000};
        return made;
    }

    region_id region_of(const zone_id& zone) const
    {
        const auto found = std::find_if(settings_.zones.begin(), settings_.zones.end(),
                                        [&zone](const zone_location& known) { return known.zone == zone; });
        return found == settings_.zones.end() ? region_id{} : found->region;
    }

    void feed(event what)
    {
        waiting_.push_back(std::move(what));
        if (std::exchange(feeding_, true))
        {
            return;
        }
        while (!waiting_.empty())
        {
            const event next = std::move(waiting_.front());
            waiting_.pop_front();
            actions_.clear();
            core_.handle(next, millisecond_clock::now(), actions_);
            std::vector<action> actions;
            actions.swap(actions_);
            for (action& each : actions)
            {
                std::visit([this](auto& wanted) { carry_out(wanted); }, each);
            }
        }
        feeding_ = false;
        end_batch();
    }

    /// Actions of the other core.
    template <class Action>
    void carry_out(Action& /*wanted*/)
    {
    }
    void carry_out(start_forward& start)
    {
        forwarder_.handle(start);
    }
    void carry_out(drop_forward& drop)
    {
        forwarder_.handle(drop);
    }
    void carry_out(deliver_forward& deliver)
    {
        forwarder_.handle(deliver);
    }
    void carry_out(request_rejected& rejected)
    {
        forwarder_.handle(rejected);
    }
    void carry_out(copy_run& copy)
    {
        forwarder_.handle(copy);
    }
    void carry_out(watch_endpoint& wanted)
    {
        loads_.handle(wanted);
    }
    void carry_out(entry_answer& answer)
    {
        if (const auto session = entry_server_.find(answer.request))
        {
            const own_answer own = protocol_.entries(answer);
            session->answer_raw(head_of(own, session->keeps_alive()), own.body);
            entry_server_.touch(session);
        }
    }
    void carry_out(send_to_peer& message)
    {
        peers_.send(message, revision{});
    }
    void carry_out(observe& value)
    {
        figures_.record(value);
    }
    void carry_out(request_finished& ended)
    {
        figures_.record(ended);
    }
    void carry_out(write_log& line)
    {
        const bool is_warning = line.what == log_event::endpoint_ejected || line.what == log_event::dependency_lost ||
                                line.what == log_event::request_quarantined;
        log_.write(is_warning ? log_level::warning : log_level::info, line.what, line.detail);
    }
    void carry_out(stop_complete& /*complete*/)
    {
        store_.close();
        loads_.close();
        // The last answer may still have to be written.
        forwarder_.flush();
        forwarder_.server().finish([this] { context_.stop(); });
    }

    typename store_reader<P>::surroundings surroundings_of_store()
    {
        return {[this](const zone_id& zone) { return region_of(zone); },
                [this] { return core_.source_reader(); },
                [this](const source_peer& to, peer_message message)
                {
                    send_to_peer sent{to.instance, to.address, std::move(message)};
                    peers_.send(sent, revision{});
                },
                [this](event what) { feed(std::move(what)); },
                [this](const error& why) { reject_item(why); },
                [this]
                {
                    end_batch();
                }};
    }
    void drain_peers()
    {
        inbound_event taken;
        while (peer_events_.receive(taken))
        {
            const auto* received = std::get_if<peer_received>(&taken.what);
            if (received == nullptr || !relay(received->envelope))
            {
                feed(std::move(taken.what));
            }
        }
        peer_events_.batch_received();
    }
    /// Readings of the store pass by the core. @return true for a message about them
    bool relay(const peer_envelope& envelope)
    {
        const source_peer from{envelope.sender, envelope.peer_address};
        if (const auto* pull = std::get_if<source_pull>(&envelope.message))
        {
            store_.handle(from, *pull);
            return true;
        }
        if (const auto* answer = std::get_if<source_answer>(&envelope.message))
        {
            store_.handle(from, *answer);
            return true;
        }
        return false;
    }
    void reject_item(const error& why)
    {
        figures_.count_malformed(input_source::platform, why.kind);
        log_.write(log_level::warning, log_event::input_rejected, why.message());
    }

    void answer_entry(const std::shared_ptr<http_session>& session, const http_request& asked)
    {
        auto query = protocol_.read_entry_query(asked);
        if (query.has_error())
        {
            request_rejected malformed;
            malformed.why = query.error();
            const own_answer own = protocol_.rejection(malformed);
            session->answer_raw(head_of(own, session->keeps_alive()), own.body);
            entry_server_.touch(session);
            end_batch();
            return;
        }
        query.value().request = entry_server_.enroll(session);
        feed(std::move(query).value());
    }
    void answer_readiness(const std::shared_ptr<http_session>& session, const http_request& asked)
    {
        constexpr unsigned not_found = 404;
        constexpr unsigned unavailable = 503;
        own_answer own;
        own.content_type = "text/plain";
        if (!protocol_.asks_for_readiness(asked))
        {
            own.status = not_found;
        }
        else if (!core_.ready(millisecond_clock::now()))
        {
            own.status = unavailable;
        }
        session->answer_raw(head_of(own, session->keeps_alive()), own.body);
        readiness_server_.touch(session);
        end_batch();
    }
    void answer_metrics(const std::shared_ptr<http_session>& session, const http_request& asked)
    {
        own_answer own;
        own.content_type = "text/plain; version=0.0.4";
        if (asked.target() == "/metrics")
        {
            figures_.set(level_quantity::log_lines_dropped, sink_->dropped());
            own.body = figures_.text();
        }
        else
        {
            own.status = 404;
        }
        session->answer_raw(head_of(own, session->keeps_alive()), own.body);
        metrics_server_.touch(session);
        end_batch();
    }

    /// Writes what a batch of events has caused, with one system call for each connection.
    void end_batch()
    {
        if (!feeding_ && !std::exchange(flush_posted_, true))
        {
            asio::post(context_, [this] { flush(); });
        }
    }
    void flush()
    {
        flush_posted_ = false;
        // A flush must not cause another one by itself.
        feeding_ = true;
        forwarder_.flush();
        entry_server_.flush();
        readiness_server_.flush();
        metrics_server_.flush();
        feeding_ = false;
        if (!waiting_.empty())
        {
            event next = std::move(waiting_.front());
            waiting_.pop_front();
            feed(std::move(next));
        }
        sink_->write_out();
        apply_bounds();
        arm();
    }
    void apply_bounds()
    {
        const forwarding_bounds& wanted = core_.bounds();
        if (wanted == bounds_)
        {
            return;
        }
        bounds_ = wanted;
        caller_bounds bounds = caller_options(settings_).bounds;
        bounds.max_header_bytes = static_cast<std::size_t>(wanted.max_header_bytes);
        bounds.max_body_bytes = static_cast<std::size_t>(wanted.max_body_bytes);
        bounds.request_timeout = wanted.header_timeout;
        forwarder_.server().set_bounds(bounds, wanted.idle_timeout);
    }
    void arm()
    {
        const time_point due = core_.next_deadline();
        const time_point now = millisecond_clock::now();
        const bool armed_in_time = armed_ != never && armed_ <= due && armed_ > now;
        if (due == never || armed_in_time)
        {
            return;
        }
        armed_ = std::max(due, now + duration{1});
        core_timer_.expires_after(armed_ - now);
        core_timer_.async_wait(
            [this](const boost::system::error_code& failure)
            {
                if (!failure)
                {
                    armed_ = never;
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
                if (signal == SIGHUP)
                {
                    reload(true);
                }
                else
                {
                    forwarder_.server().close_after_answers();
                    feed(stop_planned{});
                }
                wait_for_signal();
            });
    }
    void watch_file()
    {
        file_timer_.expires_after(file_interval);
        file_timer_.async_wait(
            [this](const boost::system::error_code& failure)
            {
                if (!failure)
                {
                    reload(false);
                    watch_file();
                }
            });
    }
    void reload(bool asked_for)
    {
        if (!asked_for && !file_.changed())
        {
            return;
        }
        const auto text = file_.read();
        auto read = text.has_value() ? read_forwarder_settings(text.value()) : json_issues{};
        if (read.has_error())
        {
            log_.write(log_level::warning, log_event::settings_reloaded,
                       "the file is not used: " + (text.has_value() ? read.error().text() : text.error().message()));
            return;
        }
        const forwarder_settings& changed = read.value();
        settings_.seeds = changed.seeds;
        settings_.zones = changed.zones;
        settings_.log_level = changed.log_level;
        log_.set_least(settings_.log_level);
        core_.set_hints(hints_of(settings_));
        log_.write(log_level::info, log_event::settings_reloaded,
                   "seeds, zones and log_level are in force; other changes need a restart");
        end_batch();
    }

    forwarder_settings settings_;
    settings_file file_;
    P protocol_;
    forwarding_core core_;
    asio::io_context context_{1};
    metrics figures_;
    std::shared_ptr<buffered_sink> sink_;
    event_log log_;
    channel<inbound_event> peer_events_;
    peer_network peers_;
    forwarder<P> forwarder_;
    load_reader<P> loads_;
    store_reader<P> store_;
    local_handler entry_handler_;
    local_handler readiness_handler_;
    local_handler metrics_handler_;
    http_server entry_server_;
    http_server readiness_server_;
    http_server metrics_server_;
    asio::signal_set signals_;
    steady_timer core_timer_;
    steady_timer file_timer_;
    std::deque<event> waiting_;
    std::vector<action> actions_;
    forwarding_bounds bounds_;
    time_point armed_ = never;
    bool feeding_ = false;
    bool flush_posted_ = false;
};

} // namespace parsleyshift
