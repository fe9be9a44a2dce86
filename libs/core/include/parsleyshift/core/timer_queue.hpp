#pragma once

#include <parsleyshift/core/clock.hpp> // time_point, never

#include <cstddef>    // size_t
#include <functional> // greater
#include <queue>      // priority_queue
#include <utility>    // move
#include <vector>     // vector

namespace parsleyshift
{

/// @brief Priority queue of deadlines, earliest first. A deadline cannot be cancelled; the owner must ignore outdated
/// ones.
/// @tparam T value that identifies what is due
template <class T>
class timer_queue
{
  public:
    /// @brief Adds a deadline. O(log n) for n deadlines.
    void add(time_point due, T value)
    {
        heap_.push(deadline{due, sequence_++, std::move(value)});
    }
    /// @brief Earliest deadline, or `never` if there is none. O(1).
    [[nodiscard]] time_point next() const
    {
        return heap_.empty() ? never : heap_.top().due;
    }
    /// @brief Removes the earliest deadline if it is due. O(log n).
    /// @param value receives the value of the deadline
    /// @return false if no deadline is due
    bool take_due(time_point now, T& value)
    {
        if (heap_.empty() || heap_.top().due > now)
        {
            return false;
        }
        value = heap_.top().value;
        heap_.pop();
        return true;
    }
    [[nodiscard]] std::size_t size() const noexcept
    {
        return heap_.size();
    }

  private:
    struct deadline
    {
        time_point due;
        // Orders deadlines of the same time by insertion, so that runs are reproducible.
        std::size_t sequence = 0;
        T value{};

        friend bool operator>(const deadline& left, const deadline& right)
        {
            return left.due != right.due ? left.due > right.due : left.sequence > right.sequence;
        }
    };

    std::priority_queue<deadline, std::vector<deadline>, std::greater<>> heap_;
    std::size_t sequence_ = 0;
};

} // namespace parsleyshift
