#pragma once

#include <parsleyshift/runtime/net.hpp> // tcp_socket

#include <parsleyshift/core/clock.hpp>      // time_point
#include <parsleyshift/wire/peer_codec.hpp> // frame_header_bytes

#include <array>   // array
#include <cstddef> // size_t
#include <deque>   // deque
#include <memory>  // enable_shared_from_this
#include <string>  // string

namespace parsleyshift
{

class peer_network;

/// @brief The outgoing connection to one peer with its bounded queue.
class peer_link : public std::enable_shared_from_this<peer_link>
{
  public:
    peer_link(peer_network& network, std::string address);

    /// @brief Queues a frame without its prefix; drops the oldest waiting frames beyond the bounds.
    void send(std::string frame);
    void check_time(time_point now);
    void close();
    [[nodiscard]] bool idle() const noexcept
    {
        return queue_.empty();
    }
    /// @brief True when the link can be forgotten.
    [[nodiscard]] bool unused(time_point now) const noexcept;

  private:
    void connect();
    void write();
    void fail();

    peer_network& network_;
    std::string address_;
    tcp_socket socket_;
    /// Frames with their prefixes; the first one may be partly written.
    std::deque<std::string> queue_;
    std::size_t queued_bytes_ = 0;
    time_point last_progress_;
    bool connecting_ = false;
    bool connected_ = false;
    bool writing_ = false;
    std::array<char, 1> probe_{};
};

/// @brief A connection that a peer opened to send its frames.
class peer_session : public std::enable_shared_from_this<peer_session>
{
  public:
    peer_session(peer_network& network, tcp_socket socket);

    void read();
    void close();
    void check_time(time_point now);

  private:
    void on_header();
    void read_body(std::size_t size);
    void on_body();
    void reject(error_kind kind);

    peer_network& network_;
    tcp_socket socket_;
    std::array<char, frame_header_bytes> header_{};
    std::string body_;
    std::size_t expected_ = 0;
    time_point last_progress_;
    bool closed_ = false;
};

} // namespace parsleyshift
