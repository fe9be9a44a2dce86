#pragma once

#include <boost/asio/io_context.hpp> // io_context
#include <boost/asio/signal_set.hpp> // signal_set

#include <functional> // function
#include <thread>     // thread

namespace parsleyshift
{

/// @brief Calls one function at the first SIGTERM or SIGINT and another one at each later signal.
class stop_signals
{
  public:
    /// @param first plans the stop
    /// @param again ends the process at once
    stop_signals(std::function<void()> first, std::function<void()> again);
    ~stop_signals();
    stop_signals(const stop_signals&) = delete;
    stop_signals& operator=(const stop_signals&) = delete;
    stop_signals(stop_signals&&) = delete;
    stop_signals& operator=(stop_signals&&) = delete;

  private:
    void wait();

    std::function<void()> first_;
    std::function<void()> again_;
    bool seen_ = false;
    boost::asio::io_context context_;
    boost::asio::signal_set signals_;
    std::thread thread_;
};

} // namespace parsleyshift
