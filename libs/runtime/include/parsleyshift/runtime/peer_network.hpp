#pragma once

#include <parsleyshift/runtime/net.hpp> // tcp_acceptor, steady_timer

#include <parsleyshift/messages/action.hpp>       // send_to_peer
#include <parsleyshift/messages/peer.hpp>         // peer_envelope
#include <parsleyshift/runtime/channel.hpp>       // channel
#include <parsleyshift/runtime/inbound_event.hpp> // inbound_event
#include <parsleyshift/runtime/metrics.hpp>       // metrics

#include <cstddef>       // size_t
#include <cstdint>       // uint16_t
#include <memory>        // shared_ptr
#include <string>        // string
#include <unordered_map> // unordered_map
#include <unordered_set> // unordered_set
#include <vector>        // vector

namespace parsleyshift
{

class peer_link;
class peer_session;

/// @brief Options of the connections between instances.
struct peer_network_options
{
    /// Listening address, "ip:port"; port 0 binds any free port.
    std::string address;
    /// Sender of the envelopes.
    instance_id instance;
    incarnation started;
    /// Time limit for opening an outgoing connection, and for writing one frame to it.
    duration connect_timeout{2'000};
    /// An outgoing connection is closed after this time without a frame; an incoming one after twice this time.
    duration idle_timeout{60'000};
    /// Limits of the queue to one peer; the oldest waiting frames are dropped when one is exceeded.
    std::size_t max_queued_frames = 256;
    std::size_t max_queued_bytes = std::size_t{16} * 1024 * 1024;
    /// Incoming connections above this number are closed.
    std::size_t max_sessions = 4096;
};

/// @brief Sends and receives length-prefixed frames over TCP. Frames to a peer address use one outgoing connection,
/// opened on demand; frames of peers arrive on the connections that they open. All members run on the I/O thread for
/// peers.
class peer_network
{
  public:
    peer_network(asio::io_context& context, peer_network_options options, channel<inbound_event>& events,
                 metrics& process_metrics);
    ~peer_network();
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;
    peer_network(peer_network&&) = delete;
    peer_network& operator=(peer_network&&) = delete;

    /// @brief Binds the address and starts to accept connections.
    /// @return error invalid_field if the address cannot be parsed or bound
    result<void> listen();
    /// @brief Returns the bound port; valid after listen().
    [[nodiscard]] std::uint16_t port() const;

    /// @brief Queues a message, which is moved from; drops and counts it if its frame exceeds max_frame_bytes.
    /// @param highest revision for the envelope
    void send(send_to_peer& outgoing, revision highest);
    /// @brief Resumes the sessions that paused for a congested event channel, if it has space again.
    void resume_reading();
    /// @brief Returns true if every queued frame has been written or dropped.
    [[nodiscard]] bool idle() const;
    /// @brief Closes the acceptor and all connections; queued frames are discarded.
    void close();

  private:
    friend class peer_link;
    friend class peer_session;

    void accept();
    /// Closes connections that have timed out.
    void sweep();
    void schedule_sweep();

    peer_network_options options_;
    channel<inbound_event>& events_;
    metrics& metrics_;
    asio::io_context& context_;
    tcp_acceptor acceptor_;
    steady_timer sweep_timer_;
    /// Address for the envelopes, with the bound port.
    std::string advertised_address_;
    std::unordered_map<std::string, std::shared_ptr<peer_link>> links_;
    std::unordered_set<std::shared_ptr<peer_session>> sessions_;
    std::vector<std::shared_ptr<peer_session>> paused_;
};

} // namespace parsleyshift
