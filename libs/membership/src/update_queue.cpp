#include <parsleyshift/membership/update_queue.hpp>

#include <algorithm> // min
#include <utility>   // move

namespace parsleyshift
{

void update_queue::add(const instance_id& instance, urgency how)
{
    const auto queued = by_instance_.find(instance);
    if (queued != by_instance_.end())
    {
        // News about the state stays urgent when only details change afterwards.
        how = std::min(how, queued->second.how);
        ordered_.erase(queued->second);
        by_instance_.erase(queued);
    }
    entry added{how, 0, next_sequence_++, instance};
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
    for (entry& sent : taken)
    {
        instances.push_back(sent.instance);
        ++sent.sent;
        if (sent.sent >= transmissions)
        {
            by_instance_.erase(sent.instance);
            continue;
        }
        by_instance_[sent.instance] = sent;
        ordered_.insert(std::move(sent));
    }
    return instances;
}

std::size_t update_queue::size() const
{
    return ordered_.size();
}

} // namespace parsleyshift
