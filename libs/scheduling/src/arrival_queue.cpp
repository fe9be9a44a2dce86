#include <parsleyshift/scheduling/arrival_queue.hpp> // arrival_queue

#include <utility> // move

namespace parsleyshift
{

void arrival_queue::push(const queued_request& request)
{
    waiting_cost_ += request.cost;
    waiting_.emplace(request.sequence, request);
}

const queued_request* arrival_queue::front() const
{
    return waiting_.empty() ? nullptr : &waiting_.begin()->second;
}

const queued_request* arrival_queue::back() const
{
    return waiting_.empty() ? nullptr : &waiting_.rbegin()->second;
}

void arrival_queue::fronts(std::vector<const queued_request*>& out) const
{
    if (!waiting_.empty())
    {
        out.push_back(front());
    }
}

std::optional<queued_request> arrival_queue::take(std::uint64_t sequence)
{
    const auto found = waiting_.find(sequence);
    if (found == waiting_.end())
    {
        return std::nullopt;
    }
    queued_request request = std::move(found->second);
    waiting_.erase(found);
    waiting_cost_ = waiting_.empty() ? 0.0 : waiting_cost_ - request.cost;
    return request;
}

double arrival_queue::cost_ahead(const queued_request& /*request*/) const
{
    return waiting_cost_;
}

} // namespace parsleyshift
