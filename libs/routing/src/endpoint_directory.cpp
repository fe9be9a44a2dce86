#include <parsleyshift/routing/endpoint_directory.hpp> // endpoint_directory

#include <algorithm> // lower_bound

namespace parsleyshift
{

namespace
{

/// A report that is older than the last by more than this comes from an endpoint whose clock was set back; it is used.
constexpr duration most_reordering{10'000};

const std::vector<const endpoint_entry*> no_endpoints;
const std::vector<pool_id> no_pools;

bool by_id(const endpoint_entry* left, const endpoint_entry* right)
{
    return left->endpoint < right->endpoint;
}

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

void endpoint_directory::add(const listed_instance& row, directory_change& change)
{
    const endpoint_id endpoint{row.id};
    listed_entry& listed = entries_[endpoint];
    listed.reading = reading_;
    endpoint_entry& entry = listed.entry;
    entry.endpoint = endpoint;
    entry.service = row.service;
    entry.pool = pool_of(row.service, row.region);
    entry.address = row.address;
    entry.availability_zone = row.availability_zone;
    entry.region = row.region;
    entry.engine = row.role == instance_role::engine;
    entry.leaving = row.leaving;
    entry.started = row.started;
    std::vector<const endpoint_entry*>& members = pools_[entry.pool];
    if (members.empty())
    {
        std::vector<pool_id>& pools = pools_by_service_[entry.service];
        pools.insert(std::lower_bound(pools.begin(), pools.end(), entry.pool), entry.pool);
    }
    members.insert(std::lower_bound(members.begin(), members.end(), &entry, by_id), &entry);
    change.added.push_back(endpoint);
}

void endpoint_directory::leave_pool(const endpoint_entry& entry)
{
    const auto pool = pools_.find(entry.pool);
    std::erase(pool->second, &entry);
    if (!pool->second.empty())
    {
        return;
    }
    const auto service = pools_by_service_.find(entry.service);
    std::erase(service->second, entry.pool);
    if (service->second.empty())
    {
        pools_by_service_.erase(service);
    }
    pools_.erase(pool);
}

void endpoint_directory::take_row(const listed_instance& row, directory_change& change)
{
    const auto known = entries_.find(endpoint_id{row.id});
    if (known == entries_.end())
    {
        add(row, change);
        return;
    }
    if (known->second.reading == reading_)
    {
        // Two rows of one id would replace each other with every reading; the first one counts.
        return;
    }
    known->second.reading = reading_;
    endpoint_entry& entry = known->second.entry;
    if (entry.address == row.address && entry.started == row.started && entry.region == row.region)
    {
        if (row.leaving && mark_leaving(entry))
        {
            change.leaving.push_back(entry.endpoint);
        }
        return;
    }
    change.removed.push_back(entry);
    leave_pool(entry);
    entries_.erase(known);
    add(row, change);
}

void endpoint_directory::remove_missing(directory_change& change)
{
    for (auto known = entries_.begin(); known != entries_.end();)
    {
        if (known->second.reading == reading_)
        {
            ++known;
            continue;
        }
        change.removed.push_back(known->second.entry);
        leave_pool(known->second.entry);
        known = entries_.erase(known);
    }
}

directory_change endpoint_directory::handle_list(const instances_listed& list)
{
    directory_change change;
    if (list.as_of < list_as_of_ || list.instances.empty())
    {
        return change;
    }
    list_as_of_ = list.as_of;
    if (list.instances == last_rows_)
    {
        return change;
    }
    last_rows_ = list.instances;
    ++reading_;
    for (const listed_instance& row : list.instances)
    {
        if (row.role != instance_role::entry)
        {
            take_row(row, change);
        }
    }
    remove_missing(change);
    if (!change.added.empty() || !change.removed.empty())
    {
        ++version_;
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
    endpoint_entry& entry = known->second.entry;
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
        ++known->second.entry.load_failures;
    }
}

bool endpoint_directory::handle_leaving(const endpoint_id& endpoint)
{
    const auto known = entries_.find(endpoint);
    return known != entries_.end() && mark_leaving(known->second.entry);
}

const endpoint_entry* endpoint_directory::find(const endpoint_id& endpoint) const
{
    const auto known = entries_.find(endpoint);
    return known == entries_.end() ? nullptr : &known->second.entry;
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
