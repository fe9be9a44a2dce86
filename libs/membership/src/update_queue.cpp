#include <parsleyshift/membership/update_queue.hpp>

#include <algorithm> // min
#include <utility>   // move

namespace parsleyshift
{

void update_queue::add(const instance_id& instance, update_priority priority)
{
    const auto queued = by_instance_.find(instance);
    if (queued != by_instance_.end())
    {
        // A queued change of state keeps its priority when only details change afterwards.
        priority = std::min(priority, queued->second.priority);
        ordered_.erase(queued->second);
        by_instance_.erase(queued);
    }
    entry added{priority, 0, next_sequence_++, instance};
    by_instance_.emplace(instance, added);
    ordered_.insert(std::move(added));
}

void update_queue::remove(const instance_id& instance)
{
    const auto queued = by_instance_.find(instance);
    if (queued != by_instance_.end())
    {
        ordered_.erase(queued->second);
        by_instance_.erase(queued);
    }
}

std::vector<instance_id> update_queue::take(std::size_t count, std::size_t transmissions)
{
    std::vector<entry> taken;
    while (taken.size() < count && !ordered_.empty())
    {
        taken.push_back(std::move(ordered_.extract(ordered_.begin()).value()));
    }
    std::vector<instance_id> instances;
    instances.reserve(taken.size());
    for (entry& updated : taken)
    {
        instances.push_back(updated.instance);
        ++updated.transmission_count;
        if (updated.transmission_count >= transmissions)
        {
            by_instance_.erase(updated.instance);
            continue;
        }
        by_instance_[updated.instance] = updated;
        ordered_.insert(std::move(updated));
    }
    return instances;
}

std::size_t update_queue::size() const
{
    return ordered_.size();
}

} // namespace parsleyshift
