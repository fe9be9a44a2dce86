#pragma once

#include <parsleyshift/core/clock.hpp>            // millisecond_clock
#include <parsleyshift/records/settings.hpp>      // daemon_settings
#include <parsleyshift/runtime/check_key.hpp>     // key_is_right
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

/// @brief The daemon: I/O threads around a decider that runs on a thread of its own.
///
/// @code
/// decision_core core{...};
/// daemon_runtime<decision_core> instance{settings, {.started = started}, core};
/// if (const auto begun = instance.start(); begun.has_error()) { ... }
/// instance.wait(); // returns after stop_complete
/// @endcode
/// @tparam D type of the decider
template <decider D>
class daemon_runtime
{
  public:
    /// @param core used by the decision thread only, from start() to the end of wait()
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

    /// @brief Binds the addresses and starts all threads. @return error invalid_field
    result<void> start()
    {
        BOOST_OUTCOME_TRY(io_.start());
        decisions_ = std::thread([this] { run(); });
        pthread_setname_np(decisions_.native_handle(), "decisions");
        return boost::outcome_v2::success();
    }
    [[nodiscard]] std::uint16_t caller_port() const noexcept
    {
        return io_.caller_port();
    }
    [[nodiscard]] std::uint16_t peer_port() const noexcept
    {
        return io_.peer_port();
    }
    /// @brief Plans a stop; the decider ends it with stop_complete. Any thread.
    void request_stop()
    {
        io_.request_stop();
    }
    /// @brief Waits for the end of a planned stop.
    void wait()
    {
        if (decisions_.joinable())
        {
            decisions_.join();
        }
    }

  private:
    // After so many events the actions are passed on, so that one burst does not hold up the answers to another.
    static constexpr int batch_size = 128;

    void run()
    {
        while (!io_.stopped())
        {
            const bool busy = take_batch();
            const bool expired = expire_timer();
            io_.flush();
            if (!busy && !expired)
            {
                io_.wait(next_wake_);
            }
        }
        io_.finish();
    }
    bool take_batch()
    {
        inbound_event taken;
        int count = 0;
        while (count < batch_size && io_.next(taken))
        {
            ++count;
            decide(taken);
        }
        return count > 0;
    }
    void decide(const inbound_event& taken)
    {
        if constexpr (key_checking_decider<D>)
        {
            if (!key_is_right(taken, [this](const customer_id& customer) { return core_.key_sha256(customer); }))
            {
                io_.dispatch(unauthenticated(taken), revision{});
                return;
            }
        }
        feed(taken.what, millisecond_clock::now());
    }
    /// Reports an expired deadline at most once in a millisecond, also to a decider that does not move its deadline.
    bool expire_timer()
    {
        const time_point now = millisecond_clock::now();
        const time_point deadline = core_.next_deadline();
        if (deadline > now)
        {
            next_wake_ = deadline;
            return false;
        }
        if (now <= last_expiry_)
        {
            next_wake_ = last_expiry_ + duration{1};
            return false;
        }
        last_expiry_ = now;
        feed(timer_expired{}, now);
        next_wake_ = std::max(core_.next_deadline(), now + duration{1});
        return true;
    }
    void feed(const event& what, time_point now)
    {
        actions_.clear();
        core_.handle(what, now, actions_);
        for (action& each : actions_)
        {
            io_.dispatch(std::move(each), highest());
        }
    }
    [[nodiscard]] revision highest() const
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
    time_point last_expiry_ = time_point::min();
    std::thread decisions_;
};

} // namespace parsleyshift
