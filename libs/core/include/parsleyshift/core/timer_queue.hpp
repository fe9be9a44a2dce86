#pragma once

#include <parsleyshift/core/clock.hpp> // time_point, never

#include <cstddef>    // size_t
#include <functional> // greater
#include <queue>      // priority_queue
#include <utility>    // move
#include <vector>     // vector

namespace parsleyshift
{

/// @brief Deadlines in order of time. A deadline cannot be removed: its owner ignores it when it comes too late.
/// @tparam T value that tells what is due
template <class T>
class timer_queue
{
  public:
    /// @brief Adds a deadline. O(log n).
    void add(time_point due, T what)
    {
        heap_.push(deadline{due, sequence_++, std::move(what)});
    }
    /// @brief Earliest deadline, or never. O(1).
    [[nodiscard]] time_point next() const
    {
        return heap_.empty() ? never : heap_.top().due;
    }
    /// @brief Takes the earliest deadline if it is due. O(log n).
    /// @return false when nothing is due
    bool take_due(time_point now, T& what)
    {
        if (heap_.empty() || heap_.top().due > now)
        {
            return false;
        }
        what = heap_.top().what;
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
        // Deadlines of the same time come in the order in which they were added, so that runs repeat exactly.
        std::size_t sequence = 0;
        T what{};

        friend bool operator>(const deadline& left, const deadline& right)
        {
            return left.due != right.due ? left.due > right.due : left.sequence > right.sequence;
        }
    };

    std::priority_queue<deadline, std::vector<deadline>, std::greater<>> heap_;
    std::size_t sequence_ = 0;
};

} // namespace parsleyshift
