#pragma once

#include <parsleyshift/runtime/net.hpp> // io_context

#include <parsleyshift/runtime/channel.hpp>       // channel
#include <parsleyshift/runtime/event_log.hpp>     // event_log
#include <parsleyshift/runtime/inbound_event.hpp> // inbound_event, outbound_action
#include <parsleyshift/runtime/wakeup.hpp>        // wakeup

#include <boost/asio/executor_work_guard.hpp> // executor_work_guard
#include <boost/asio/post.hpp>                // post

#include <pthread.h> // pthread_setname_np

#include <atomic>     // atomic
#include <exception>  // exception
#include <functional> // function
#include <thread>     // thread
#include <utility>    // move

namespace parsleyshift
{

/// @brief One I/O thread with its two rings. The work on it is set with on_action() and so on before start().
class io_thread
{
  public:
    /// @param decisions wakes the decision thread
    io_thread(std::size_t capacity, wakeup& decisions)
        : events(
              capacity, [&decisions] { decisions.notify(); }, [this] { post_resume(); }),
          actions(
              capacity, [this] { post_drain(); }, [&decisions] { decisions.notify(); }),
          work_(context.get_executor())
    {
    }
    ~io_thread()
    {
        stop();
    }
    io_thread(const io_thread&) = delete;
    io_thread& operator=(const io_thread&) = delete;
    io_thread(io_thread&&) = delete;
    io_thread& operator=(io_thread&&) = delete;

    /// @param name shown by tools such as top; at most 15 characters
    void start(event_log& log, const char* name)
    {
        thread_ = std::thread([this, &log] { run(log); });
        pthread_setname_np(thread_.native_handle(), name);
    }
    /// @brief Ends the thread; handlers that have not run are dropped.
    void stop()
    {
        context.stop();
        if (thread_.joinable())
        {
            thread_.join();
        }
    }

    asio::io_context context{1};
    channel<inbound_event> events;
    channel<outbound_action> actions;
    std::function<void(outbound_action&)> on_action = [](outbound_action&) {
    };
    std::function<void()> on_batch = [] {
    };
    std::function<void()> on_room = [] {
    };

  private:
    // After so many actions the sockets get their turn.
    static constexpr int batch_size = 256;

    void run(event_log& log)
    {
        while (!context.stopped())
        {
            try
            {
                context.run();
            }
            catch (const std::exception& failure)
            {
                // Most likely out of memory for one connection; the others go on.
                log.write(log_level::error, log_event::input_rejected, failure.what());
            }
        }
    }
    void post_drain()
    {
        if (!drain_posted_.exchange(true))
        {
            asio::post(context, [this] { drain(); });
        }
    }
    void post_resume()
    {
        asio::post(context, [this] { on_room(); });
    }
    void drain()
    {
        drain_posted_.store(false);
        std::atomic_thread_fence(std::memory_order_seq_cst);
        int count = 0;
        for (; count < batch_size && actions.receive(taken_); ++count)
        {
            on_action(taken_);
        }
        on_batch();
        actions.batch_received();
        if (count == batch_size)
        {
            post_drain();
        }
    }

    asio::executor_work_guard<executor> work_;
    outbound_action taken_;
    std::atomic<bool> drain_posted_ = false;
    std::thread thread_;
};

} // namespace parsleyshift
