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

/// @brief Options of the daemon that are not part of its settings file.
struct daemon_options
{
    /// Identifies this start of the process; each restart of an instance needs a higher value than the one before.
    incarnation started;
    /// Capacity in elements of each ring buffer between the decision thread and an I/O thread.
    std::size_t ring_capacity = 4096;
    /// An attempt is ended when its endpoint has sent no byte for this long.
    duration silence_timeout{10'000};
    /// Time limit for opening a connection to an endpoint or a peer.
    duration connect_timeout{2'000};
};

/// @brief Owns the I/O threads of the daemon and connects them to the decision thread through ring buffers. Except
/// for the constructor, the destructor, start(), the ports and request_stop(), members may be called on the decision
/// thread only.
class daemon_io
{
  public:
    daemon_io(const daemon_settings& settings, const daemon_options& options);
    ~daemon_io();
    daemon_io(const daemon_io&) = delete;
    daemon_io& operator=(const daemon_io&) = delete;
    daemon_io(daemon_io&&) = delete;
    daemon_io& operator=(daemon_io&&) = delete;

    /// @brief Binds the caller and the peer address and starts the I/O threads.
    /// @return error invalid_field if an address cannot be parsed or bound
    result<void> start();
    /// @brief Returns the bound port for callers; valid after start().
    [[nodiscard]] std::uint16_t caller_port() const noexcept;
    /// @brief Returns the bound port for peers; valid after start().
    [[nodiscard]] std::uint16_t peer_port() const noexcept;

    /// @brief Makes receive() return stop_requested. May be called on any thread.
    void request_stop();

    /// @brief Receives the next event, from the rings in round-robin order. A ring is skipped while the ring that takes
    /// most of the resulting actions is congested.
    /// @return false if no event is available
    bool receive(inbound_event& received);
    /// @brief Sends an action to its I/O thread, or records a metric, a log line or the end of the stop. Constant time.
    /// @param highest revision that messages to peers carry in their envelope
    void dispatch(action requested, revision highest);
    /// @brief Ends a batch: wakes the I/O threads that have new actions and those whose event ring has space again.
    void flush();
    /// @brief Blocks until an event is available, a congested action ring has space, or `until` is reached.
    void wait(time_point until);
    /// @brief Returns true after dispatch() was called with stop_complete.
    [[nodiscard]] bool stopped() const noexcept;

    /// @brief Writes the queued data to callers and peers within a time limit, then ends the I/O threads. Call once.
    void finish();

    [[nodiscard]] event_log& log() noexcept;
    [[nodiscard]] metrics& process_metrics() noexcept;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace parsleyshift
