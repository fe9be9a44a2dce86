#pragma once

#include <parsleyshift/scheduling/queue_order.hpp> // queued_request

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <map>      // map
#include <optional> // optional
#include <vector>   // vector

namespace parsleyshift
{

/// @brief First-in, first-out queue that ignores customers, weights and groups. Operations take at most logarithmic
/// time.
class arrival_queue
{
  public:
    void push(const queued_request& request);
    [[nodiscard]] const queued_request* front() const;
    [[nodiscard]] const queued_request* back() const;
    void fronts(std::vector<const queued_request*>& out) const;
    std::optional<queued_request> take(std::uint64_t sequence);
    [[nodiscard]] double cost_ahead(const queued_request& request) const;
    [[nodiscard]] std::size_t size() const noexcept
    {
        return waiting_.size();
    }

  private:
    std::map<std::uint64_t, queued_request> waiting_;
    double waiting_cost_ = 0.0;
};

} // namespace parsleyshift
