#pragma once

#include <parsleyshift/scheduling/queue_order.hpp> // waiting_work

#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <map>           // map
#include <optional>      // optional
#include <unordered_map> // unordered_map

namespace parsleyshift
{

/// @brief Weighted fair queue by customer (start-time fair queueing on expected cost).
///
/// A customer that floods the queue only delays itself. State: one entry per waiting request and one per customer
/// that waits or ran ahead of the virtual time. Each operation is logarithmic in the number of waiting requests.
class fair_queue
{
  public:
    void push(const waiting_work& work);
    [[nodiscard]] const waiting_work* front() const;
    [[nodiscard]] const waiting_work* worst() const;
    std::optional<waiting_work> take(std::uint64_t sequence);
    /// @brief Cost of the waiting requests that run before a further request of the same customer, as an estimate
    /// from the virtual time and the weights of the waiting customers. Constant time.
    [[nodiscard]] double cost_ahead(const waiting_work& work) const;
    [[nodiscard]] std::size_t size() const noexcept
    {
        return waiting_.size();
    }

  private:
    struct tag
    {
        double finish = 0.0;
        std::uint64_t sequence = 0;

        friend auto operator<=>(const tag&, const tag&) = default;
    };
    struct waiting_entry
    {
        waiting_work work;
        double start = 0.0;
    };
    struct customer_state
    {
        double last_finish = 0.0;
        double weight = 1.0;
        std::size_t waiting = 0;
    };

    [[nodiscard]] double start_for(const waiting_work& work) const;
    void leave_customer(const waiting_work& work, double start, double finish);
    void forget_idle_customers();

    std::map<tag, waiting_entry> waiting_;
    std::unordered_map<std::uint64_t, double> finish_of_;
    std::unordered_map<customer_id, customer_state> customers_;
    double virtual_time_ = 0.0;
    double waiting_cost_ = 0.0;
    double waiting_weight_ = 0.0;
    std::size_t next_cleanup_ = 64;
};

} // namespace parsleyshift
