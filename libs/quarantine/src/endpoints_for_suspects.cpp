#include <parsleyshift/quarantine/endpoints_for_suspects.hpp> // endpoints_for_suspects

#include <parsleyshift/core/hash.hpp> // stable_hash

#include <algorithm> // find, sort

namespace parsleyshift
{

namespace
{

/// Sorts by hash, so that the same few instances are not assigned the same endpoints in every pool.
template <class Name>
void sort_by_hash(std::vector<Name>& names)
{
    std::sort(names.begin(), names.end(),
              [](const Name& left, const Name& right)
              {
                  const auto left_hash = stable_hash(left.value());
                  const auto right_hash = stable_hash(right.value());
                  return left_hash != right_hash ? left_hash < right_hash : left < right;
              });
}

} // namespace

std::vector<endpoint_id> endpoints_for_suspects(std::vector<endpoint_id> endpoints, std::vector<instance_id> instances,
                                                const instance_id& self)
{
    if (std::find(instances.begin(), instances.end(), self) == instances.end())
    {
        instances.push_back(self);
    }
    sort_by_hash(endpoints);
    sort_by_hash(instances);
    const auto own_entry = std::find(instances.begin(), instances.end(), self);
    const auto position = static_cast<std::size_t>(own_entry - instances.begin());
    std::vector<endpoint_id> selected;
    if (!endpoints.empty() && position >= endpoints.size())
    {
        selected.push_back(endpoints[position % endpoints.size()]);
    }
    for (std::size_t index = position; index < endpoints.size(); index += instances.size())
    {
        selected.push_back(endpoints[index]);
    }
    return selected;
}

} // namespace parsleyshift
