#include "traffic.hpp"

#include <variant> // get_if
#include <vector>  // vector

namespace parsleyshift::detail
{

namespace
{

/// Estimated size of the envelope with ids, address, numbers and frame length.
constexpr std::uint64_t envelope_bytes = 80;
/// Estimated size of the field headers and numbers of one update in Thrift's compact protocol.
constexpr std::uint64_t update_overhead_bytes = 40;

std::uint64_t updates_bytes(const std::vector<member_update>& updates)
{
    std::uint64_t total = 0;
    for (const member_update& update : updates)
    {
        total += update_overhead_bytes + update.instance.value().size() + update.peer_address.size() +
                 update.address.size() + update.availability_zone.value().size() + update.region.value().size();
    }
    return total;
}

} // namespace

std::uint64_t estimated_bytes(const peer_message& message)
{
    if (const auto* direct = std::get_if<probe>(&message))
    {
        return envelope_bytes + updates_bytes(direct->updates);
    }
    if (const auto* answer = std::get_if<probe_ack>(&message))
    {
        return envelope_bytes + answer->about.value().size() + updates_bytes(answer->updates);
    }
    if (const auto* request = std::get_if<probe_request>(&message))
    {
        return envelope_bytes + request->target.value().size() + request->target_address.size();
    }
    if (const auto* updates = std::get_if<member_updates>(&message))
    {
        return envelope_bytes + updates_bytes(updates->updates);
    }
    return envelope_bytes;
}

} // namespace parsleyshift::detail
