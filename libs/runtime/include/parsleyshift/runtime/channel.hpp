#pragma once

#include <parsleyshift/core/bounded_ring.hpp> // bounded_ring

#include <atomic>     // atomic, atomic_thread_fence
#include <cstddef>    // size_t
#include <deque>      // deque
#include <functional> // function
#include <utility>    // move

namespace parsleyshift
{

/// @brief Lossless queue from one producer thread to one consumer thread.
///
/// Elements go through a bounded ring; while it is full, send() appends them to an overflow queue of the producer. The
/// producer must then stop producing until flush() returns true, which limits the overflow to one batch.
/// @tparam T a movable type
template <class T>
class channel
{
  public:
    using notification = std::function<void()>;

    /// @param capacity elements in the ring
    /// @param wake_consumer called on the producer's thread when elements have been added
    /// @param wake_producer called on either thread when the producer, whose elements overflowed, can continue
    channel(std::size_t capacity, notification wake_consumer, notification wake_producer)
        : ring_(capacity), wake_consumer_(std::move(wake_consumer)), wake_producer_(std::move(wake_producer))
    {
    }

    /// @brief Producer: adds an element; notify_consumer() must follow. Constant time.
    void send(T element)
    {
        notification_pending_ = true;
        if (!overflow_.empty() || !ring_.try_push(element))
        {
            overflow_.push_back(std::move(element));
        }
    }
    /// @brief Producer: wakes the consumer if an element was added since the last call.
    void notify_consumer()
    {
        if (notification_pending_)
        {
            notification_pending_ = false;
            if (!overflow_.empty() && flush())
            {
                // flush() emptied the overflow queue, so the consumer will not call wake_producer_ for it.
                wake_producer_();
            }
            wake_consumer_();
        }
    }
    /// @brief Producer: true when notify_consumer() would wake the consumer.
    [[nodiscard]] bool notification_pending() const noexcept
    {
        return notification_pending_;
    }
    /// @brief Producer: true while the overflow queue is not empty.
    [[nodiscard]] bool congested() const noexcept
    {
        return !overflow_.empty();
    }
    /// @brief Producer: number of elements in the overflow queue.
    [[nodiscard]] std::size_t overflow_size() const noexcept
    {
        return overflow_.size();
    }
    /// @brief Producer: moves elements from the overflow queue to the ring and wakes the consumer for them.
    /// @return true when the overflow queue is empty; otherwise the consumer will call wake_producer
    bool flush()
    {
        if (move_overflow())
        {
            return true;
        }
        producer_waiting_.store(true);
        std::atomic_thread_fence(std::memory_order_seq_cst);
        // The consumer may have emptied the ring before the flag was set, and would then not wake the producer.
        return move_overflow();
    }
    /// @brief Producer: drops the oldest elements of the overflow queue until at most `max_remaining` are left.
    /// @return number of dropped elements
    std::size_t drop_oldest_overflow(std::size_t max_remaining)
    {
        std::size_t dropped = 0;
        for (; overflow_.size() > max_remaining; ++dropped)
        {
            overflow_.pop_front();
        }
        return dropped;
    }

    /// @brief Consumer: moves the oldest element into `element`. Constant time.
    /// @return false when the ring is empty
    bool receive(T& element)
    {
        return ring_.try_pop(element);
    }
    /// @brief Consumer: resumes a waiting producer. Must be called after each batch of receive().
    void batch_received()
    {
        std::atomic_thread_fence(std::memory_order_seq_cst);
        if (producer_waiting_.load() && producer_waiting_.exchange(false))
        {
            wake_producer_();
        }
    }
    /// @brief Number of elements in the ring, without the overflow queue.
    [[nodiscard]] std::size_t size() const
    {
        return ring_.size();
    }

  private:
    bool move_overflow()
    {
        const std::size_t before = overflow_.size();
        while (!overflow_.empty() && ring_.try_push(overflow_.front()))
        {
            overflow_.pop_front();
        }
        if (overflow_.size() < before)
        {
            wake_consumer_();
        }
        return overflow_.empty();
    }

    bounded_ring<T> ring_;
    notification wake_consumer_;
    notification wake_producer_;
    std::deque<T> overflow_;
    bool notification_pending_ = false;
    std::atomic<bool> producer_waiting_ = false;
};

} // namespace parsleyshift
