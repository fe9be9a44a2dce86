#pragma once

#include <parsleyshift/core/error.hpp>            // result
#include <parsleyshift/core/ids.hpp>              // incarnation, revision
#include <parsleyshift/records/settings.hpp>      // daemon_settings
#include <parsleyshift/runtime/event_log.hpp>     // event_log
#include <parsleyshift/runtime/inbound_event.hpp> // inbound_event
#include <parsleyshift/runtime/metrics.hpp>       // metrics

#include <cstddef> // size_t
#include <cstdint> // uint16_t
#include <memory>  // unique_ptr

namespace parsleyshift
{

/// @brief What the daemon needs beyond its settings file; the defaults are those of the product.
struct daemon_options
{
    /// Process start; a later start of the same instance needs a higher number.
    incarnation started;
    /// Elements of each ring between threads.
    std::size_t ring_capacity = 4096;
    /// Longest time without a byte from an endpoint that runs an attempt.
    duration silence_timeout{10'000};
    duration connect_timeout{2'000};
};

/// @brief The I/O threads of the daemon and the decision thread's side of the rings. Except for the constructor,
/// start() and request_stop(), all members belong to the decision thread.
class daemon_io
{
  public:
    daemon_io(const daemon_settings& settings, const daemon_options& options);
    ~daemon_io();
    daemon_io(const daemon_io&) = delete;
    daemon_io& operator=(const daemon_io&) = delete;
    daemon_io(daemon_io&&) = delete;
    daemon_io& operator=(daemon_io&&) = delete;

    /// @brief Binds both addresses and starts the I/O threads.
    /// @return error invalid_field when an address cannot be used
    result<void> start();
    [[nodiscard]] std::uint16_t caller_port() const noexcept;
    [[nodiscard]] std::uint16_t peer_port() const noexcept;

    /// @brief Delivers stop_planned to the decider. Any thread.
    void request_stop();

    /// @brief Takes the next event, from one ring after the other. A ring whose answers cannot be passed on rests.
    bool next(inbound_event& taken);
    /// @brief Passes an action to its thread, or records it. Constant time.
    void dispatch(action what, revision highest);
    /// @brief Ends a batch: wakes the threads that have work and the readers that have room.
    void flush();
    /// @brief Sleeps until an event, a change of room in a ring, or the time.
    void wait(time_point until);
    /// @brief True after dispatch() has seen stop_complete.
    [[nodiscard]] bool stopped() const noexcept;

    /// @brief Writes what is queued to callers and peers, then ends the I/O threads. May be called once.
    void finish();

    [[nodiscard]] event_log& log() noexcept;
    [[nodiscard]] metrics& figures() noexcept;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace parsleyshift
