#include <parsleyshift/scheduling/arrival_queue.hpp> // arrival_queue

#include <utility> // move

namespace parsleyshift
{

void arrival_queue::push(const waiting_work& work)
{
    waiting_cost_ += work.cost;
    waiting_.emplace(work.sequence, work);
}

const waiting_work* arrival_queue::front() const
{
    return waiting_.empty() ? nullptr : &waiting_.begin()->second;
}

const waiting_work* arrival_queue::worst() const
{
    return waiting_.empty() ? nullptr : &waiting_.rbegin()->second;
}

std::optional<waiting_work> arrival_queue::take(std::uint64_t sequence)
{
    const auto found = waiting_.find(sequence);
    if (found == waiting_.end())
    {
        return std::nullopt;
    }
    waiting_work work = std::move(found->second);
    waiting_.erase(found);
    waiting_cost_ = waiting_.empty() ? 0.0 : waiting_cost_ - work.cost;
    return work;
}

double arrival_queue::cost_ahead(const waiting_work& /*work*/) const
{
    return waiting_cost_;
}

} // namespace parsleyshift
