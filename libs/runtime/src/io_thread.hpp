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

/// @brief An I/O thread with an event channel to the decision thread and an action channel from it. Set on_action,
/// on_batch_end and on_space_available before start().
class io_thread
{
  public:
    /// @param capacity of each channel, in elements
    /// @param decision_wakeup wakes the decision thread
    io_thread(std::size_t capacity, wakeup& decision_wakeup)
        : events(
              capacity, [&decision_wakeup] { decision_wakeup.notify(); }, [this] { post_space_available(); }),
          actions(
              capacity, [this] { post_drain(); }, [&decision_wakeup] { decision_wakeup.notify(); }),
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

    /// @brief Starts the thread.
    /// @param log receives exceptions of handlers; must outlive the thread
    /// @param name thread name for tools such as top; at most 15 characters
    void start(event_log& log, const char* name)
    {
        thread_ = std::thread([this, &log] { run(log); });
        pthread_setname_np(thread_.native_handle(), name);
    }
    /// @brief Ends the thread; pending handlers are not run.
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
    /// Performs one action.
    std::function<void(outbound_action&)> on_action = [](outbound_action&) {
    };
    /// Called after each batch of actions.
    std::function<void()> on_batch_end = [] {
    };
    /// Called when the event channel has space again after congestion.
    std::function<void()> on_space_available = [] {
    };

  private:
    // Limits the actions in one handler, so that socket handlers are not delayed by a burst.
    static constexpr int max_batch_actions = 256;

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
                // Most likely an allocation failed for one connection; the other connections are still served.
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
    void post_space_available()
    {
        asio::post(context, [this] { on_space_available(); });
    }
    void drain()
    {
        // Cleared before the ring is read: an action that is added later posts another drain().
        drain_posted_.store(false);
        std::atomic_thread_fence(std::memory_order_seq_cst);
        int count = 0;
        for (; count < max_batch_actions && actions.receive(received_); ++count)
        {
            on_action(received_);
        }
        on_batch_end();
        actions.batch_received();
        if (count == max_batch_actions)
        {
            post_drain();
        }
    }

    asio::executor_work_guard<executor> work_;
    outbound_action received_;
    std::atomic<bool> drain_posted_ = false;
    std::thread thread_;
};

} // namespace parsleyshift
