#include <parsleyshift/routing/endpoint_directory.hpp> // endpoint_directory

#include <algorithm>     // sort
#include <unordered_set> // unordered_set

namespace parsleyshift
{

namespace
{

/// A report that is older than the last by more than this comes from an endpoint whose clock was set back; it is used.
constexpr duration most_reordering{10'000};

const std::vector<const endpoint_entry*> no_endpoints;
const std::vector<pool_id> no_pools;

} // namespace

pool_id pool_of(const service_id& service, const region_id& region)
{
    return pool_id{service.value() + "/" + region.value()};
}

bool endpoint_directory::mark_leaving(endpoint_entry& entry)
{
    const bool first_sign = !entry.leaving;
    entry.leaving = true;
    return first_sign;
}

void endpoint_directory::remove_missing(const instances_listed& list, directory_change& change)
{
    std::unordered_set<endpoint_id> listed;
    for (const listed_instance& row : list.instances)
    {
        listed.insert(endpoint_id{row.id});
    }
    for (auto known = entries_.begin(); known != entries_.end();)
    {
        if (listed.contains(known->first))
        {
            ++known;
            continue;
        }
        change.removed.push_back(known->second);
        known = entries_.erase(known);
    }
}

void endpoint_directory::take_row(const listed_instance& row, directory_change& change)
{
    const endpoint_id endpoint{row.id};
    const auto known = entries_.find(endpoint);
    if (known != entries_.end() && known->second.address == row.address)
    {
        if (row.leaving && mark_leaving(known->second))
        {
            change.leaving.push_back(endpoint);
        }
        return;
    }
    if (known != entries_.end())
    {
        change.removed.push_back(known->second);
        entries_.erase(known);
    }
    endpoint_entry entry;
    entry.endpoint = endpoint;
    entry.service = row.service;
    entry.pool = pool_of(row.service, row.region);
    entry.address = row.address;
    entry.availability_zone = row.availability_zone;
    entry.region = row.region;
    entry.engine = row.role == instance_role::engine;
    entry.leaving = row.leaving;
    entries_.emplace(endpoint, entry);
    change.added.push_back(endpoint);
}

void endpoint_directory::rebuild_pools()
{
    pools_.clear();
    pools_by_service_.clear();
    for (const auto& [endpoint, entry] : entries_)
    {
        std::vector<const endpoint_entry*>& members = pools_[entry.pool];
        if (members.empty())
        {
            pools_by_service_[entry.service].push_back(entry.pool);
        }
        members.push_back(&entry);
    }
    for (auto& [pool, members] : pools_)
    {
        std::sort(members.begin(), members.end(),
                  [](const endpoint_entry* left, const endpoint_entry* right)
                  { return left->endpoint < right->endpoint; });
    }
    for (auto& [service, pools] : pools_by_service_)
    {
        std::sort(pools.begin(), pools.end());
    }
    ++version_;
}

directory_change endpoint_directory::handle_list(const instances_listed& list)
{
    directory_change change;
    if (list.as_of < list_as_of_ || list.instances.empty())
    {
        return change;
    }
    list_as_of_ = list.as_of;
    remove_missing(list, change);
    std::unordered_set<std::string> taken;
    for (const listed_instance& row : list.instances)
    {
        // Two rows of one id would replace each other with every reading; the first one counts.
        if (row.role != instance_role::entry && taken.insert(row.id).second)
        {
            take_row(row, change);
        }
    }
    if (!change.added.empty() || !change.removed.empty())
    {
        rebuild_pools();
    }
    return change;
}

bool endpoint_directory::handle_load(const load_report& report, time_point now)
{
    const auto known = entries_.find(report.endpoint);
    if (known == entries_.end())
    {
        return false;
    }
    endpoint_entry& entry = known->second;
    entry.load_failures = 0;
    const bool overtaken =
        entry.load && report.as_of < entry.load->as_of && entry.load->as_of - report.as_of < most_reordering;
    if (!overtaken)
    {
        entry.load = report;
        entry.load_received = now;
    }
    return report.leaving && mark_leaving(entry);
}

void endpoint_directory::handle_load_unavailable(const endpoint_id& endpoint)
{
    const auto known = entries_.find(endpoint);
    if (known != entries_.end())
    {
        ++known->second.load_failures;
    }
}

bool endpoint_directory::handle_leaving(const endpoint_id& endpoint)
{
    const auto known = entries_.find(endpoint);
    return known != entries_.end() && mark_leaving(known->second);
}

const endpoint_entry* endpoint_directory::find(const endpoint_id& endpoint) const
{
    const auto known = entries_.find(endpoint);
    return known == entries_.end() ? nullptr : &known->second;
}

const std::vector<const endpoint_entry*>& endpoint_directory::members_of(const pool_id& pool) const
{
    const auto known = pools_.find(pool);
    return known == pools_.end() ? no_endpoints : known->second;
}

const std::vector<pool_id>& endpoint_directory::pools_of(const service_id& service) const
{
    const auto known = pools_by_service_.find(service);
    return known == pools_by_service_.end() ? no_pools : known->second;
}

std::uint64_t endpoint_directory::version() const noexcept
{
    return version_;
}

std::size_t endpoint_directory::size() const noexcept
{
    return entries_.size();
}

} // namespace parsleyshift
