#pragma once

#include <parsleyshift/runtime/net.hpp> // tcp_socket

#include <parsleyshift/core/clock.hpp>      // time_point
#include <parsleyshift/wire/peer_codec.hpp> // frame_header_bytes

#include <array>   // array
#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <deque>   // deque
#include <memory>  // enable_shared_from_this
#include <string>  // string

namespace parsleyshift
{

class peer_network;

/// @brief Outgoing connection to one peer, with a bounded queue of frames.
class peer_link : public std::enable_shared_from_this<peer_link>
{
  public:
    peer_link(peer_network& network, std::string address);

    /// @brief Queues a frame and connects if necessary. Drops the oldest waiting frames above the queue limits.
    /// @param frame without its length prefix
    void send(std::string frame);
    /// @brief Closes the connection if connecting, or writing one frame, has exceeded connect_timeout.
    void check_timeout(time_point now);
    /// @brief Closes the connection and discards the queue. A later send() connects again.
    void close();
    /// @brief Returns true if no frame is queued.
    [[nodiscard]] bool idle() const noexcept
    {
        return queue_.empty();
    }
    /// @brief Returns true if the link has sent nothing for idle_timeout and can be removed.
    [[nodiscard]] bool idle_timed_out(time_point now) const noexcept;

  private:
    void connect();
    void write();
    /// Counts the queued frames as dropped and closes the connection.
    void fail();

    peer_network& network_;
    std::string address_;
    tcp_socket socket_;
    /// Frames with their length prefixes; the first one may be partly written.
    std::deque<std::string> queue_;
    std::size_t queued_bytes_ = 0;
    /// Number of the connection. Handlers of an earlier one may still be waiting to run, also successful ones, when it
    /// has been closed; they must not touch the queue of the next.
    std::uint64_t connection_ = 0;
    time_point last_progress_;
    bool connecting_ = false;
    bool connected_ = false;
    bool writing_ = false;
    /// Buffer of the read that detects a closed connection.
    std::array<char, 1> eof_buffer_{};
};

/// @brief Incoming connection on which a peer sends frames.
class peer_session : public std::enable_shared_from_this<peer_session>
{
  public:
    peer_session(peer_network& network, tcp_socket socket);

    /// @brief Reads the next frame, or pauses while the event channel is congested.
    void read();
    void close();
    /// @brief Closes the connection if no data has arrived for twice idle_timeout.
    void check_timeout(time_point now);

  private:
    void on_header();
    /// @param received_bytes bytes of the body that have arrived
    void read_body(std::size_t received_bytes);
    void on_body();
    /// Counts malformed input and closes the connection.
    void reject(error_kind kind);

    peer_network& network_;
    tcp_socket socket_;
    std::array<char, frame_header_bytes> header_{};
    std::string body_;
    std::size_t body_size_ = 0;
    time_point last_progress_;
    bool closed_ = false;
};

} // namespace parsleyshift
