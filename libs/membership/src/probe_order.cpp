#include <parsleyshift/membership/probe_order.hpp>

#include <utility> // move, swap

namespace parsleyshift
{

void probe_order::add(const instance_id& member, random_source& random)
{
    const std::size_t insert_position = position_ + random.index(order_.size() - position_ + 1);
    order_.insert(order_.begin() + static_cast<std::ptrdiff_t>(insert_position), member);
}

void probe_order::begin(std::vector<instance_id> members, random_source& random)
{
    order_ = std::move(members);
    position_ = 0;
    for (std::size_t remaining = order_.size(); remaining > 1; --remaining)
    {
        std::swap(order_[remaining - 1], order_[random.index(remaining)]);
    }
}

std::optional<instance_id> probe_order::next()
{
    if (position_ == order_.size())
    {
        return std::nullopt;
    }
    return order_[position_++];
}

} // namespace parsleyshift
