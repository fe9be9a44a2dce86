#pragma once

#include <parsleyshift/scheduling/queue_order.hpp> // queued_request

#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <map>           // map
#include <optional>      // optional
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief Weighted fair queue over customers, with the expected cost of a request as its length.
///
/// Requests run in the order of their virtual finish times; the virtual time is the start tag of the last request
/// taken from the front of its group, as in start-time fair queueing. A customer that floods the queue delays only its
/// own requests. State: one entry per queued request and one per customer that has queued requests or whose last finish
/// tag is ahead of the virtual time. Each operation is logarithmic in the number of queued requests.
class fair_queue
{
  public:
    void push(const queued_request& request);
    [[nodiscard]] const queued_request* front() const;
    [[nodiscard]] const queued_request* back() const;
    void fronts(std::vector<const queued_request*>& out) const;
    std::optional<queued_request> take(std::uint64_t sequence);
    /// @brief Estimates the cost that runs before the given request if it were pushed now, from the virtual time and
    /// the weights of the customers with queued requests. Constant time.
    [[nodiscard]] double cost_ahead(const queued_request& request) const;
    [[nodiscard]] std::size_t size() const noexcept
    {
        return finish_of_.size();
    }

  private:
    /// Key of the order of service.
    struct tag
    {
        double finish = 0.0;
        std::uint64_t sequence = 0;

        friend auto operator<=>(const tag&, const tag&) = default;
    };
    struct waiting_entry
    {
        queued_request request;
        double start = 0.0;
    };
    struct customer_state
    {
        double last_finish = 0.0;
        double weight = 1.0;
        std::size_t waiting = 0;
    };

    [[nodiscard]] const std::map<tag, waiting_entry>* first_group() const;
    [[nodiscard]] double start_for(const queued_request& request) const;
    void remove_from_customer(const queued_request& request, double start, double finish);
    void erase_idle_customers();

    struct position
    {
        std::size_t group = 0;
        double finish = 0.0;
    };

    /// Queued requests by group.
    std::map<std::size_t, std::map<tag, waiting_entry>> waiting_;
    /// Position of each queued request, by sequence number.
    std::unordered_map<std::uint64_t, position> finish_of_;
    std::unordered_map<customer_id, customer_state> customers_;
    double virtual_time_ = 0.0;
    double waiting_cost_ = 0.0;
    /// Sum of the weights of the customers with queued requests.
    double waiting_weight_ = 0.0;
    /// Number of customers at which the next push erases the idle ones.
    std::size_t cleanup_threshold_ = 64;
};

} // namespace parsleyshift
