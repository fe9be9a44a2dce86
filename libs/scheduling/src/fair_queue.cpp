#include <parsleyshift/scheduling/fair_queue.hpp> // fair_queue

#include <algorithm> // max
#include <utility>   // move

namespace parsleyshift
{

namespace
{

// A weight of zero would delay a customer forever.
constexpr double smallest_weight = 1e-3;

double weight_of(const waiting_work& work)
{
    return std::max(work.weight, smallest_weight);
}

} // namespace

double fair_queue::start_for(const waiting_work& work) const
{
    const auto found = customers_.find(work.work.customer);
    return found == customers_.end() ? virtual_time_ : std::max(virtual_time_, found->second.last_finish);
}

void fair_queue::push(const waiting_work& work)
{
    const double start = start_for(work);
    const double finish = start + work.cost / weight_of(work);
    forget_idle_customers();
    customer_state& customer = customers_[work.work.customer];
    if (customer.waiting == 0)
    {
        customer.weight = weight_of(work);
        waiting_weight_ += customer.weight;
    }
    ++customer.waiting;
    customer.last_finish = finish;
    finish_of_[work.sequence] = finish;
    waiting_cost_ += work.cost;
    waiting_.emplace(tag{finish, work.sequence}, waiting_entry{work, start});
}

const waiting_work* fair_queue::front() const
{
    return waiting_.empty() ? nullptr : &waiting_.begin()->second.work;
}

const waiting_work* fair_queue::worst() const
{
    return waiting_.empty() ? nullptr : &waiting_.rbegin()->second.work;
}

std::optional<waiting_work> fair_queue::take(std::uint64_t sequence)
{
    const auto finish = finish_of_.find(sequence);
    if (finish == finish_of_.end())
    {
        return std::nullopt;
    }
    const auto found = waiting_.find(tag{finish->second, sequence});
    const bool first = found == waiting_.begin();
    waiting_entry entry = std::move(found->second);
    const double finished = finish->second;
    waiting_.erase(found);
    finish_of_.erase(finish);
    if (first)
    {
        virtual_time_ = std::max(virtual_time_, entry.start);
    }
    leave_customer(entry.work, entry.start, finished);
    return std::move(entry.work);
}

void fair_queue::leave_customer(const waiting_work& work, double start, double finish)
{
    waiting_cost_ = waiting_.empty() ? 0.0 : waiting_cost_ - work.cost;
    const auto found = customers_.find(work.work.customer);
    customer_state& customer = found->second;
    if (customer.last_finish == finish && start > virtual_time_)
    {
        // The customer's last request left without running, so the next one takes its place.
        customer.last_finish = start;
    }
    if (--customer.waiting > 0)
    {
        return;
    }
    waiting_weight_ = waiting_.empty() ? 0.0 : waiting_weight_ - customer.weight;
    if (customer.last_finish <= virtual_time_)
    {
        customers_.erase(found);
    }
}

void fair_queue::forget_idle_customers()
{
    if (customers_.size() < next_cleanup_)
    {
        return;
    }
    std::erase_if(customers_, [this](const auto& entry)
                  { return entry.second.waiting == 0 && entry.second.last_finish <= virtual_time_; });
    // Doubling keeps the amortised cost of a push constant.
    next_cleanup_ = std::max<std::size_t>(64, 2 * customers_.size());
}

double fair_queue::cost_ahead(const waiting_work& work) const
{
    const double distance = start_for(work) - virtual_time_;
    const auto found = customers_.find(work.work.customer);
    const bool waits = found != customers_.end() && found->second.waiting > 0;
    const double others = waiting_weight_ - (waits ? found->second.weight : 0.0);
    const double reach = distance + work.cost / weight_of(work);
    const double ahead = distance * weight_of(work) + reach * others;
    return std::min(ahead, waiting_cost_);
}

} // namespace parsleyshift
