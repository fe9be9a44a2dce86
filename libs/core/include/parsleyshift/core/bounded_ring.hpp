#pragma once

#include <boost/lockfree/spsc_queue.hpp> // spsc_queue

#include <cstddef> // size_t
#include <utility> // move

namespace parsleyshift
{

/// @brief Bounded lock-free queue for one producer thread and one consumer thread; no call blocks.
/// @tparam T a movable type
template <class T>
class bounded_ring
{
  public:
    /// @param capacity largest number of elements held
    explicit bounded_ring(std::size_t capacity) : queue_(capacity) {}

    /// @brief Adds an element. Constant time.
    /// @param element moved from only if the ring is not full
    /// @return false if the ring is full; the element is unchanged
    bool try_push(T& element)
    {
        if (queue_.write_available() == 0)
        {
            return false;
        }
        return queue_.push(std::move(element));
    }
    /// @brief Removes the oldest element. Constant time.
    /// @return false if the ring is empty
    bool try_pop(T& element)
    {
        return queue_.pop(element);
    }
    /// @brief Number of elements that the consumer can pop now.
    [[nodiscard]] std::size_t size() const
    {
        return queue_.read_available();
    }

  private:
    boost::lockfree::spsc_queue<T> queue_;
};

} // namespace parsleyshift
