#pragma once

#include <parsleyshift/core/clock.hpp> // time_point

#include <atomic> // atomic

namespace parsleyshift
{

/// @brief Lets one thread sleep until another thread notifies it or a deadline passes. Notifying a thread that is not
/// sleeping costs one fence and one atomic read.
class wakeup
{
  public:
    wakeup();
    ~wakeup();
    wakeup(const wakeup&) = delete;
    wakeup& operator=(const wakeup&) = delete;
    wakeup(wakeup&&) = delete;
    wakeup& operator=(wakeup&&) = delete;

    /// @brief Wakes the sleeping thread, if any. May be called by any thread.
    void notify();

    /// @brief Sleeps until a notification or the deadline. May return early. One thread only.
    /// @param until deadline on millisecond_clock, which is wall time
    /// @param has_work called after the sleep flag is set, so that no notification is missed; true prevents the sleep
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
