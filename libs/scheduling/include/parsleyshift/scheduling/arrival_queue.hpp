#pragma once

#include <parsleyshift/scheduling/queue_order.hpp> // waiting_work

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <map>      // map
#include <optional> // optional

namespace parsleyshift
{

/// @brief Queue in the order of arrival, without regard to customers. Each operation is logarithmic.
class arrival_queue
{
  public:
    void push(const waiting_work& work);
    [[nodiscard]] const waiting_work* front() const;
    [[nodiscard]] const waiting_work* worst() const;
    std::optional<waiting_work> take(std::uint64_t sequence);
    [[nodiscard]] double cost_ahead(const waiting_work& work) const;
    [[nodiscard]] std::size_t size() const noexcept
    {
        return waiting_.size();
    }

  private:
    std::map<std::uint64_t, waiting_work> waiting_;
    double waiting_cost_ = 0.0;
};

} // namespace parsleyshift
