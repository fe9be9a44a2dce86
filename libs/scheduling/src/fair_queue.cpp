#include <parsleyshift/scheduling/fair_queue.hpp> // fair_queue

#include <algorithm> // max, sort
#include <utility>   // move

namespace parsleyshift
{

namespace
{

// A weight of 0 would delay a customer's requests forever.
constexpr double min_weight = 1e-3;

double weight_of(const queued_request& request)
{
    return std::max(request.weight, min_weight);
}

} // namespace

double fair_queue::start_for(const queued_request& request) const
{
    const auto found = customers_.find(request.work.customer);
    return found == customers_.end() ? virtual_time_ : std::max(virtual_time_, found->second.last_finish);
}

void fair_queue::push(const queued_request& request)
{
    const double start = start_for(request);
    const double finish = start + request.cost / weight_of(request);
    erase_idle_customers();
    customer_state& customer = customers_[request.work.customer];
    if (customer.waiting == 0)
    {
        customer.weight = weight_of(request);
        waiting_weight_ += customer.weight;
    }
    ++customer.waiting;
    customer.last_finish = finish;
    finish_of_[request.sequence] = position{request.group, finish};
    waiting_cost_ += request.cost;
    waiting_[request.group].emplace(tag{finish, request.sequence}, waiting_entry{request, start});
}

const std::map<fair_queue::tag, fair_queue::waiting_entry>* fair_queue::first_group() const
{
    const std::map<tag, waiting_entry>* first = nullptr;
    for (const auto& [group, waiting] : waiting_)
    {
        first = first == nullptr || waiting.begin()->first < first->begin()->first ? &waiting : first;
    }
    return first;
}

const queued_request* fair_queue::front() const
{
    const auto* first = first_group();
    return first == nullptr ? nullptr : &first->begin()->second.request;
}

const queued_request* fair_queue::back() const
{
    const std::map<tag, waiting_entry>* last = nullptr;
    for (const auto& [group, waiting] : waiting_)
    {
        last = last == nullptr || last->rbegin()->first < waiting.rbegin()->first ? &waiting : last;
    }
    return last == nullptr ? nullptr : &last->rbegin()->second.request;
}

void fair_queue::fronts(std::vector<const queued_request*>& out) const
{
    std::vector<const std::map<tag, waiting_entry>*> groups;
    for (const auto& [group, waiting] : waiting_)
    {
        groups.push_back(&waiting);
    }
    std::sort(groups.begin(), groups.end(),
              [](const auto* left, const auto* right) { return left->begin()->first < right->begin()->first; });
    for (const auto* waiting : groups)
    {
        out.push_back(&waiting->begin()->second.request);
    }
}

std::optional<queued_request> fair_queue::take(std::uint64_t sequence)
{
    const auto taken = finish_of_.find(sequence);
    if (taken == finish_of_.end())
    {
        return std::nullopt;
    }
    const auto group = waiting_.find(taken->second.group);
    const auto found = group->second.find(tag{taken->second.finish, sequence});
    const bool first = found == group->second.begin();
    waiting_entry entry = std::move(found->second);
    const double finish_tag = taken->second.finish;
    group->second.erase(found);
    if (group->second.empty())
    {
        waiting_.erase(group);
    }
    finish_of_.erase(taken);
    if (first)
    {
        virtual_time_ = std::max(virtual_time_, entry.start);
    }
    remove_from_customer(entry.request, entry.start, finish_tag);
    return std::move(entry.request);
}

void fair_queue::remove_from_customer(const queued_request& request, double start, double finish)
{
    waiting_cost_ = waiting_.empty() ? 0.0 : waiting_cost_ - request.cost;
    const auto found = customers_.find(request.work.customer);
    customer_state& customer = found->second;
    if (customer.last_finish == finish && start > virtual_time_)
    {
        // The customer's last request was removed before it ran, so the next request gets its start tag.
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

void fair_queue::erase_idle_customers()
{
    if (customers_.size() < cleanup_threshold_)
    {
        return;
    }
    std::erase_if(customers_, [this](const auto& entry)
                  { return entry.second.waiting == 0 && entry.second.last_finish <= virtual_time_; });
    // Doubling keeps the amortised cost of a push constant.
    cleanup_threshold_ = std::max<std::size_t>(64, 2 * customers_.size());
}

double fair_queue::cost_ahead(const queued_request& request) const
{
    const double start_distance = start_for(request) - virtual_time_;
    const auto found = customers_.find(request.work.customer);
    const bool has_queued = found != customers_.end() && found->second.waiting > 0;
    const double other_weight = waiting_weight_ - (has_queued ? found->second.weight : 0.0);
    const double finish_distance = start_distance + request.cost / weight_of(request);
    const double ahead = start_distance * weight_of(request) + finish_distance * other_weight;
    return std::min(ahead, waiting_cost_);
}

} // namespace parsleyshift
