#pragma once

#include <parsleyshift/core/clock.hpp>            // millisecond_clock
#include <parsleyshift/records/settings.hpp>      // daemon_settings
#include <parsleyshift/runtime/check_key.hpp>     // has_valid_key
#include <parsleyshift/runtime/daemon_io.hpp>     // daemon_io
#include <parsleyshift/runtime/decider.hpp>       // decider
#include <parsleyshift/runtime/inbound_event.hpp> // inbound_event

#include <pthread.h> // pthread_setname_np

#include <algorithm> // max
#include <thread>    // thread
#include <utility>   // move
#include <vector>    // vector

namespace parsleyshift
{

/// @brief Runs a decider on a thread of its own, with I/O threads that deliver its events and perform its actions.
///
/// @code
/// decision_core core{...};
/// daemon_runtime<decision_core> instance{settings, {.started = started}, core};
/// if (const auto status = instance.start(); status.has_error()) { ... }
/// instance.wait(); // returns after stop_complete
/// @endcode
/// @tparam D type of the decider
template <decider D>
class daemon_runtime
{
  public:
    /// @param core used on the decision thread only, from start() until wait() returns; must outlive the runtime
    daemon_runtime(const daemon_settings& settings, const daemon_options& options, D& core)
        : io_(settings, options), core_(core)
    {
    }
    ~daemon_runtime()
    {
        wait();
    }
    daemon_runtime(const daemon_runtime&) = delete;
    daemon_runtime& operator=(const daemon_runtime&) = delete;
    daemon_runtime(daemon_runtime&&) = delete;
    daemon_runtime& operator=(daemon_runtime&&) = delete;

    /// @brief Binds the addresses and starts all threads.
    /// @return error invalid_field if an address cannot be parsed or bound
    result<void> start()
    {
        BOOST_OUTCOME_TRY(io_.start());
        decision_thread_ = std::thread([this] { run(); });
        pthread_setname_np(decision_thread_.native_handle(), "decisions");
        return boost::outcome_v2::success();
    }
    /// @brief Returns the bound port for callers; valid after start().
    [[nodiscard]] std::uint16_t caller_port() const noexcept
    {
        return io_.caller_port();
    }
    /// @brief Returns the bound port for peers; valid after start().
    [[nodiscard]] std::uint16_t peer_port() const noexcept
    {
        return io_.peer_port();
    }
    /// @brief Requests a planned stop, which ends when the decider returns stop_complete. May be called on any thread.
    void request_stop()
    {
        io_.request_stop();
    }
    /// @brief Blocks until a planned stop has ended.
    void wait()
    {
        if (decision_thread_.joinable())
        {
            decision_thread_.join();
        }
    }

  private:
    // Actions are delivered after at most this many events, so that a burst does not delay other answers.
    static constexpr int max_batch_events = 128;

    void run()
    {
        while (!io_.stopped())
        {
            const bool handled_events = handle_batch();
            const bool handled_deadline = handle_expired_deadline();
            io_.flush();
            if (!handled_events && !handled_deadline)
            {
                io_.wait(next_wake_);
            }
        }
        io_.finish();
    }
    bool handle_batch()
    {
        inbound_event received;
        int count = 0;
        while (count < max_batch_events && io_.receive(received))
        {
            ++count;
            authenticate_and_handle(received);
        }
        return count > 0;
    }
    void authenticate_and_handle(const inbound_event& received)
    {
        if constexpr (key_providing_decider<D>)
        {
            if (!has_valid_key(received, [this](const customer_id& customer) { return core_.key_sha256(customer); }))
            {
                io_.dispatch(unauthenticated(received), revision{});
                return;
            }
        }
        handle_event(received.what, millisecond_clock::now());
    }
    /// Delivers timer_expired if the decider's deadline has passed, but at most once per millisecond: a decider that
    /// does not advance its deadline must not make the thread spin.
    bool handle_expired_deadline()
    {
        const time_point now = millisecond_clock::now();
        const time_point deadline = core_.next_deadline();
        if (deadline > now)
        {
            next_wake_ = deadline;
            return false;
        }
        if (now <= last_expiry_time_)
        {
            next_wake_ = last_expiry_time_ + duration{1};
            return false;
        }
        last_expiry_time_ = now;
        handle_event(timer_expired{}, now);
        next_wake_ = std::max(core_.next_deadline(), now + duration{1});
        return true;
    }
    void handle_event(const event& input, time_point now)
    {
        actions_.clear();
        core_.handle(input, now, actions_);
        for (action& each : actions_)
        {
            io_.dispatch(std::move(each), current_revision());
        }
    }
    [[nodiscard]] revision current_revision() const
    {
        if constexpr (requires { core_.highest_revision(); })
        {
            return core_.highest_revision();
        }
        return revision{};
    }

    daemon_io io_;
    D& core_;
    std::vector<action> actions_;
    time_point next_wake_ = never;
    time_point last_expiry_time_ = time_point::min();
    std::thread decision_thread_;
};

} // namespace parsleyshift
