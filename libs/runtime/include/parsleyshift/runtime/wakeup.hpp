#pragma once

#include <parsleyshift/core/clock.hpp> // time_point

#include <atomic> // atomic

namespace parsleyshift
{

/// @brief Lets one thread sleep until another one notifies it or a time comes. Notifications of a thread that is awake
/// cost one atomic read.
class wakeup
{
  public:
    wakeup();
    ~wakeup();
    wakeup(const wakeup&) = delete;
    wakeup& operator=(const wakeup&) = delete;
    wakeup(wakeup&&) = delete;
    wakeup& operator=(wakeup&&) = delete;

    /// @brief Wakes the sleeper. Any thread.
    void notify();

    /// @brief Sleeps until a notification or the time. One thread only.
    /// @param until wall time of the project's clock
    /// @param has_work checked after the thread has declared that it sleeps; true prevents the sleep
    template <class HasWork>
    void wait(time_point until, HasWork has_work)
    {
        sleeping_.store(true);
        std::atomic_thread_fence(std::memory_order_seq_cst);
        if (!has_work())
        {
            sleep(until);
        }
        sleeping_.store(false);
    }

  private:
    void sleep(time_point until) const;

    int descriptor_ = -1;
    std::atomic<bool> sleeping_ = false;
};

} // namespace parsleyshift
