#pragma once

#include <parsleyshift/core/clock.hpp>             // time_point
#include <parsleyshift/core/ids.hpp>               // customer_id
#include <parsleyshift/scheduling/fair_queue.hpp>  // fair_queue
#include <parsleyshift/scheduling/queue_order.hpp> // queued_request

#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <map>           // map
#include <optional>      // optional
#include <set>           // set
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief How start_order orders the requests that can still be in time.
enum class start_rule
{
    /// The request with the earliest latest timely start first, whoever its customer is.
    deadline,
    /// The customer that holds the least for its weight first; within a customer the earliest latest timely start.
    share,
};

/// @brief Start order of queued requests with a latency objective, for times with more load than capacity.
///
/// Requests that can still start by work_description::timely_start come first, in the order of the rule. A late one
/// comes after them, in the order of arrival. Requests without an objective are kept in a fair_queue; they and those in
/// time take turns by arrival, so that a queue without objectives is exactly a fair_queue.
///
/// With start_rule::share a customer's share is measured by what it holds at the endpoints, as told by hold(): in
/// scarcity all customers with queued requests approach the same holding for their weight, and one that asks for less
/// than that waits for nobody. This needs no history, so a new scheduler has it as soon as permits are registered.
///
/// push(), take() and hold() are logarithmic in the queued requests and linear in the groups; cost_ahead() is linear in
/// the customers with queued requests.
class start_order
{
  public:
    explicit start_order(start_rule rule = start_rule::share) : rule_(rule) {}

    void push(const queued_request& request);
    [[nodiscard]] const queued_request* front() const;
    [[nodiscard]] const queued_request* back() const;
    void fronts(std::vector<const queued_request*>& out) const;
    std::optional<queued_request> take(std::uint64_t sequence);
    /// @brief Estimates the cost that runs before the given request if it were pushed now and is still in time.
    [[nodiscard]] double cost_ahead(const queued_request& request) const;
    [[nodiscard]] std::size_t size() const noexcept
    {
        return entries_.size() + without_objective_.size();
    }

    /// @brief Adds to what a customer holds at the endpoints, or subtracts from it.
    /// @param cost tokens; negative when a permit ends
    void hold(const customer_id& customer, double cost);
    /// @brief Moves the requests whose latest timely start has passed behind the others.
    /// @return their sequence numbers
    std::vector<std::uint64_t> advance(time_point now);
    /// @brief A queued request with an objective, valid until it is taken; nullptr for another one.
    [[nodiscard]] const queued_request* find(std::uint64_t sequence) const;
    /// @brief Whether a queued request is behind those in time.
    [[nodiscard]] bool is_late(std::uint64_t sequence) const;
    /// @brief Cost of the requests that are not late.
    [[nodiscard]] double timely_cost() const noexcept
    {
        return timely_cost_;
    }
    /// @brief Cost of the late requests.
    [[nodiscard]] double late_cost() const noexcept
    {
        return late_cost_;
    }

  private:
    struct deadline
    {
        time_point time;
        std::uint64_t sequence = 0;

        friend auto operator<=>(const deadline&, const deadline&) = default;
    };
    /// Position of a customer's first request of a group.
    struct rank
    {
        /// Tokens held per weight; 0 with start_rule::deadline.
        double share = 0.0;
        deadline first;

        friend auto operator<=>(const rank&, const rank&) = default;
    };
    struct entry
    {
        queued_request request;
        bool late = false;
    };
    struct customer_state
    {
        double held = 0.0;
        double weight = 1.0;
        /// Cost of the queued requests that are not late.
        double queued_cost = 0.0;
        /// Requests that are not late, by group.
        std::map<std::size_t, std::set<deadline>> queued;
    };

    [[nodiscard]] static deadline deadline_of(const queued_request& request)
    {
        return deadline{request.work.timely_start, request.sequence};
    }
    [[nodiscard]] double share_of(const customer_state& customer) const;
    void add_ranks(const customer_state& customer);
    void remove_ranks(const customer_state& customer);
    void push_late(std::uint64_t sequence);
    void remove_timely(const queued_request& request);
    void erase_if_idle(const customer_id& customer);
    [[nodiscard]] const queued_request* request_of(std::uint64_t sequence) const;
    [[nodiscard]] const queued_request* first_timely() const;
    [[nodiscard]] const queued_request* first_late() const;

    start_rule rule_;
    fair_queue without_objective_;
    /// Requests with an objective, by sequence number.
    std::unordered_map<std::uint64_t, entry> entries_;
    std::unordered_map<customer_id, customer_state> customers_;
    /// First requests of the customers that have requests in time, by group.
    std::map<std::size_t, std::set<rank>> ranks_;
    std::set<deadline> timely_;
    /// Sequence numbers of the late requests, by group.
    std::map<std::size_t, std::set<std::uint64_t>> late_;
    double timely_cost_ = 0.0;
    double late_cost_ = 0.0;
};

} // namespace parsleyshift
