#pragma once

#include <parsleyshift/core/bounded_ring.hpp> // bounded_ring

#include <atomic>     // atomic, atomic_thread_fence
#include <cstddef>    // size_t
#include <deque>      // deque
#include <functional> // function
#include <utility>    // move

namespace parsleyshift
{

/// @brief A bounded ring between two threads that loses nothing: when the ring is full, the producer holds elements
/// back in order. The producer must then stop producing until flush() succeeds, which bounds what it holds by the
/// elements of one batch.
/// @tparam T a movable type
template <class T>
class channel
{
  public:
    using notification = std::function<void()>;

    /// @param capacity elements in the ring
    /// @param wake_consumer called on the producer's thread when elements have been added
    /// @param wake_producer called on either thread when a producer that held elements has room again
    channel(std::size_t capacity, notification wake_consumer, notification wake_producer)
        : ring_(capacity), wake_consumer_(std::move(wake_consumer)), wake_producer_(std::move(wake_producer))
    {
    }

    /// @brief Producer: adds an element; announce() must follow. Constant time.
    void send(T element)
    {
        unannounced_ = true;
        if (!held_.empty() || !ring_.try_push(element))
        {
            held_.push_back(std::move(element));
        }
    }
    /// @brief Producer: wakes the consumer if anything was added since the last call.
    void announce()
    {
        if (unannounced_)
        {
            unannounced_ = false;
            if (!held_.empty() && flush())
            {
                // A producer that has paused for the held elements is told to go on by nobody else.
                wake_producer_();
            }
            wake_consumer_();
        }
    }
    /// @brief Producer: true when announce() would wake the consumer.
    [[nodiscard]] bool unannounced() const noexcept
    {
        return unannounced_;
    }
    /// @brief Producer: true while elements are held back.
    [[nodiscard]] bool congested() const noexcept
    {
        return !held_.empty();
    }
    /// @brief Producer: number of elements held back.
    [[nodiscard]] std::size_t held() const noexcept
    {
        return held_.size();
    }
    /// @brief Producer: moves held elements to the ring and wakes the consumer for them.
    /// @return true when none is held any more; otherwise the consumer will call wake_producer
    bool flush()
    {
        if (move_held())
        {
            return true;
        }
        producer_waits_.store(true);
        std::atomic_thread_fence(std::memory_order_seq_cst);
        // The consumer may have emptied the ring before it could see the flag.
        return move_held();
    }
    /// @brief Producer: drops the oldest held elements until at most `most` remain.
    /// @return number of dropped elements
    std::size_t drop_held(std::size_t most)
    {
        std::size_t dropped = 0;
        for (; held_.size() > most; ++dropped)
        {
            held_.pop_front();
        }
        return dropped;
    }

    /// @brief Consumer: takes the oldest element. Constant time.
    bool receive(T& element)
    {
        return ring_.try_pop(element);
    }
    /// @brief Consumer: to be called after a batch of receive(), so that a waiting producer goes on.
    void batch_received()
    {
        std::atomic_thread_fence(std::memory_order_seq_cst);
        if (producer_waits_.load() && producer_waits_.exchange(false))
        {
            wake_producer_();
        }
    }
    /// @brief Number of elements in the ring, without those held back.
    [[nodiscard]] std::size_t size() const
    {
        return ring_.size();
    }

  private:
    bool move_held()
    {
        const std::size_t before = held_.size();
        while (!held_.empty() && ring_.try_push(held_.front()))
        {
            held_.pop_front();
        }
        if (held_.size() < before)
        {
            wake_consumer_();
        }
        return held_.empty();
    }

    bounded_ring<T> ring_;
    notification wake_consumer_;
    notification wake_producer_;
    std::deque<T> held_;
    bool unannounced_ = false;
    std::atomic<bool> producer_waits_ = false;
};

} // namespace parsleyshift
