#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/scheduling/arrival_queue.hpp> // arrival_queue
#include <parsleyshift/scheduling/fair_queue.hpp>    // fair_queue

#include <cstdint> // uint64_t
#include <map>     // map
#include <string>  // to_string
#include <vector>  // vector

using namespace parsleyshift;

namespace
{

queued_request make_request(int customer, std::uint64_t sequence, double cost, double weight = 1.0)
{
    queued_request request;
    request.work.customer = customer_id{std::to_string(customer)};
    request.sequence = sequence;
    request.cost = cost;
    request.weight = weight;
    return request;
}

template <queue_order Queue>
void check_each_request_is_removed_once(const std::vector<std::uint8_t>& steps)
{
    Queue queue;
    std::uint64_t sequence = 0;
    std::uint64_t taken = 0;
    for (const std::uint8_t step : steps)
    {
        if (step % 3 != 0 || queue.size() == 0)
        {
            ++sequence;
            queue.push(make_request(step % 5, sequence, 1.0 + step));
            continue;
        }
        const std::uint64_t next = step % 2 == 0 ? queue.front()->sequence : queue.back()->sequence;
        RC_ASSERT(queue.take(next).has_value());
        RC_ASSERT(!queue.take(next).has_value());
        ++taken;
    }
    RC_ASSERT(queue.size() == sequence - taken);
    while (queue.size() > 0)
    {
        RC_ASSERT(queue.cost_ahead(make_request(1, 0, 1.0)) >= 0.0);
        RC_ASSERT(queue.take(queue.front()->sequence).has_value());
    }
    RC_ASSERT(queue.front() == nullptr);
}

} // namespace

TEST_GROUP(queues){};

// Guards against requests that are lost or run twice when requests are removed at any position of the queue.
TEST(queues, each_request_is_removed_exactly_once)
{
    test_support::check_property("fair queue", [](const std::vector<std::uint8_t>& steps)
                                 { check_each_request_is_removed_once<fair_queue>(steps); });
    test_support::check_property("arrival queue", [](const std::vector<std::uint8_t>& steps)
                                 { check_each_request_is_removed_once<arrival_queue>(steps); });
}

// Guards against a customer that gets more than its weighted share by sending more requests.
TEST(queues, served_cost_of_backlogged_customers_follows_their_weights)
{
    test_support::check_property("fairness",
                                 [](std::uint8_t flood, std::uint8_t costs)
                                 {
                                     fair_queue queue;
                                     std::uint64_t sequence = 0;
                                     const double cost = 1.0 + costs % 7;
                                     for (int sent = 0; sent < 60 + flood; ++sent)
                                     {
                                         queue.push(make_request(1, ++sequence, cost));
                                     }
                                     for (int sent = 0; sent < 60; ++sent)
                                     {
                                         queue.push(make_request(2, ++sequence, 2.0, 2.0));
                                     }
                                     std::map<std::string, double> served;
                                     // Customer 2 has queued a cost of 120, so both have requests left after 90.
                                     while (served["1"] + served["2"] < 90.0)
                                     {
                                         const auto taken = queue.take(queue.front()->sequence);
                                         served[taken->work.customer.value()] += taken->cost;
                                     }
                                     RC_ASSERT(std::abs(served["2"] / 2.0 - served["1"]) <= cost + 2.0);
                                 });
}

// Guards against a full queue that drops a request of a customer within its share.
TEST(queues, back_is_a_request_of_the_flooding_customer)
{
    fair_queue queue;
    for (std::uint64_t sequence = 1; sequence <= 50; ++sequence)
    {
        queue.push(make_request(1, sequence, 1.0));
    }
    queue.push(make_request(2, 51, 1.0));
    STRCMP_EQUAL("1", queue.back()->work.customer.value().c_str());
}
