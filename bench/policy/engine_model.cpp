#include "engine_model.hpp" // engine_model

#include <algorithm> // find, find_if

namespace parsleyshift::bench
{

void engine_model::accept(job& work, int priority)
{
    work.reached_engine = true;
    const auto behind = std::find_if(waiting_.begin(), waiting_.end(),
                                     [priority](const queued& other) { return other.priority < priority; });
    waiting_.insert(behind, queued{&work, priority});
}

void engine_model::cancel(const job& work)
{
    std::erase_if(waiting_, [&work](const queued& other) { return other.work == &work; });
    const auto found = std::find(running_.begin(), running_.end(), &work);
    if (found != running_.end())
    {
        used_ -= work.prompt + work.produced;
        priorities_.erase(priorities_.begin() + (found - running_.begin()));
        running_.erase(found);
    }
}

microseconds engine_model::begin_step()
{
    preempt_until_fits();
    const std::int64_t prefill = admit();
    if (running_.empty())
    {
        return 0;
    }
    const auto streams = static_cast<std::int64_t>(running_.size());
    const microseconds full_speed =
        shape_.step_base + streams * shape_.step_per_stream + prefill * shape_.prefill_per_token;
    return static_cast<microseconds>(static_cast<double>(full_speed) / speed_);
}

std::int64_t engine_model::admit()
{
    std::int64_t prefill = 0;
    while (!waiting_.empty() && static_cast<std::int64_t>(running_.size()) < shape_.slots)
    {
        job& next = *waiting_.front().work;
        const std::int64_t tokens = next.prompt + next.produced;
        // Every stream of the batch needs room for its next token.
        const auto growth = static_cast<std::int64_t>(running_.size()) + 1;
        const bool has_room = used_ + tokens + growth <= shape_.memory || running_.empty();
        if (!has_room || (prefill > 0 && prefill + tokens > shape_.prefill_limit))
        {
            break;
        }
        prefill += tokens;
        used_ += tokens;
        next.recomputed += next.produced;
        running_.push_back(&next);
        priorities_.push_back(waiting_.front().priority);
        waiting_.pop_front();
    }
    return prefill;
}

void engine_model::preempt_until_fits()
{
    while (running_.size() > 1 && used_ + static_cast<std::int64_t>(running_.size()) > shape_.memory)
    {
        job& newest = *running_.back();
        used_ -= newest.prompt + newest.produced;
        ++preemptions_;
        waiting_.push_front(queued{&newest, priorities_.back()});
        running_.pop_back();
        priorities_.pop_back();
    }
}

const std::vector<job*>& engine_model::end_step()
{
    for (job* work : running_)
    {
        ++work->produced;
    }
    used_ += static_cast<std::int64_t>(running_.size());
    return running_;
}

std::vector<job*> engine_model::take_finished()
{
    std::vector<job*> finished;
    for (job* work : running_)
    {
        if (work->produced >= work->length)
        {
            finished.push_back(work);
        }
    }
    for (const job* work : finished)
    {
        cancel(*work);
    }
    return finished;
}

} // namespace parsleyshift::bench
