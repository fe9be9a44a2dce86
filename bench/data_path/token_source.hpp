#pragma once

#include <boost/asio/io_context.hpp>   // io_context
#include <boost/asio/ip/tcp.hpp>       // tcp
#include <boost/asio/steady_timer.hpp> // steady_timer

#include <cstdint> // int64_t
#include <deque>   // deque
#include <memory>  // shared_ptr
#include <string>  // string
#include <thread>  // thread

namespace parsleyshift::bench
{

class source_stream;

/// @brief A small engine on a thread of its own. Each token is "t" and the time of its sending in nanoseconds, in 19
/// digits. The prompt "I" names the interval between the tokens of a stream in microseconds; 0 sends without pause.
class token_source
{
  public:
    token_source();
    ~token_source();
    token_source(const token_source&) = delete;
    token_source& operator=(const token_source&) = delete;
    token_source(token_source&&) = delete;
    token_source& operator=(token_source&&) = delete;

    [[nodiscard]] std::uint16_t port() const
    {
        return port_;
    }

  private:
    friend class source_stream;

    void accept();
    void tick();

    boost::asio::io_context context_{1};
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    std::uint16_t port_;
    /// Paced streams; a stream that has sent goes to the end of its interval's queue.
    std::deque<std::shared_ptr<source_stream>> paced_;
    std::thread thread_;
};

/// @brief Steady time in nanoseconds.
std::int64_t now_ns();

} // namespace parsleyshift::bench
