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

/// @brief Settings of the connections between instances.
struct peer_network_options
{
    /// "ip:port"; port 0 takes any free port.
    std::string address;
    instance_id instance;
    incarnation started;
    duration connect_timeout{2'000};
    duration idle_timeout{60'000};
    /// Bounds of the queue to one peer; the oldest frames are dropped when one is exceeded.
    std::size_t max_queued_frames = 256;
    std::size_t max_queued_bytes = std::size_t{16} * 1024 * 1024;
    std::size_t max_sessions = 4096;
};

/// @brief Length-prefixed frames over TCP: one outgoing connection for each peer address, opened on demand, and
/// sessions of peers that connect; all members run on the peers' I/O thread.
class peer_network
{
  public:
    peer_network(asio::io_context& context, peer_network_options options, channel<inbound_event>& events,
                 metrics& figures);
    ~peer_network();
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;
    peer_network(peer_network&&) = delete;
    peer_network& operator=(peer_network&&) = delete;

    /// @brief Binds the address and begins to accept. @return error invalid_field
    result<void> listen();
    [[nodiscard]] std::uint16_t port() const;

    /// @brief Queues a message. @param highest revision for the envelope
    void send(send_to_peer& what, revision highest);
    void resume_reading();
    /// @brief True when every queued frame has been written or dropped.
    [[nodiscard]] bool idle() const;
    void close();

  private:
    friend class peer_link;
    friend class peer_session;

    void accept();
    void sweep();
    void schedule_sweep();

    peer_network_options options_;
    channel<inbound_event>& events_;
    metrics& metrics_;
    asio::io_context& context_;
    tcp_acceptor acceptor_;
    steady_timer sweep_timer_;
    std::string own_address_;
    std::unordered_map<std::string, std::shared_ptr<peer_link>> links_;
    std::unordered_set<std::shared_ptr<peer_session>> sessions_;
    std::vector<std::shared_ptr<peer_session>> paused_;
};

} // namespace parsleyshift
