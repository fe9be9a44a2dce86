#include <parsleyshift/routing/endpoint_directory.hpp> // endpoint_directory

#include <algorithm> // lower_bound, max, sort

namespace parsleyshift
{

namespace
{

/// A report that is older than the last one by less than this was reordered in transit and is ignored. One that is
/// older still comes from an endpoint whose clock was set back, and is used.
constexpr duration max_reordering{10'000};

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
    const bool newly_leaving = !entry.leaving;
    entry.leaving = true;
    record_departure(entry.endpoint, entry.started);
    return newly_leaving;
}

void endpoint_directory::record_departure(const endpoint_id& endpoint, incarnation started)
{
    if (started == incarnation{})
    {
        return;
    }
    const auto [found, is_new] = departures_.try_emplace(endpoint, started);
    found->second = std::max(found->second, started);
    if (is_new)
    {
        departure_order_.push_back(endpoint);
    }
    if (departure_order_.size() > max_departures)
    {
        departures_.erase(departure_order_.front());
        departure_order_.pop_front();
    }
}

bool endpoint_directory::has_departed(const endpoint_id& endpoint, incarnation started) const
{
    const auto found = departures_.find(endpoint);
    return started != incarnation{} && found != departures_.end() && started <= found->second;
}

void endpoint_directory::add(const listed_instance& instance, directory_change& change)
{
    const endpoint_id endpoint{instance.id};
    listed_entry& listed = entries_[endpoint];
    listed.last_list_number = list_number_;
    endpoint_entry& entry = listed.entry;
    entry.endpoint = endpoint;
    entry.service = instance.service;
    entry.pool = pool_of(instance.service, instance.region);
    entry.address = instance.address;
    entry.availability_zone = instance.availability_zone;
    entry.region = instance.region;
    entry.engine = instance.role == instance_role::engine;
    entry.started = instance.started;
    entry.slots = instance.slots;
    entry.leaving = false;
    if (instance.leaving || has_departed(endpoint, instance.started))
    {
        mark_leaving(entry);
    }
    std::vector<const endpoint_entry*>& members = pools_[entry.pool];
    if (members.empty())
    {
        std::vector<pool_id>& pools = pools_by_service_[entry.service];
        pools.insert(std::lower_bound(pools.begin(), pools.end(), entry.pool), entry.pool);
    }
    members.insert(std::lower_bound(members.begin(), members.end(), &entry, by_id), &entry);
    change.added.push_back(endpoint);
}

void endpoint_directory::remove_from_pool(const endpoint_entry& entry)
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

void endpoint_directory::apply_instance(const listed_instance& instance, directory_change& change)
{
    const auto found = entries_.find(endpoint_id{instance.id});
    if (found == entries_.end())
    {
        add(instance, change);
        return;
    }
    if (found->second.last_list_number == list_number_)
    {
        // Two instances with the same id would replace each other on every list; the first one is used.
        return;
    }
    found->second.last_list_number = list_number_;
    endpoint_entry& entry = found->second.entry;
    if (entry.address == instance.address && entry.started == instance.started && entry.region == instance.region)
    {
        entry.slots = instance.slots;
        if (instance.leaving && mark_leaving(entry))
        {
            change.leaving.push_back(entry.endpoint);
        }
        return;
    }
    change.removed.push_back(entry);
    remove_from_pool(entry);
    entries_.erase(found);
    add(instance, change);
}

void endpoint_directory::remove_missing(directory_change& change)
{
    for (auto found = entries_.begin(); found != entries_.end();)
    {
        if (found->second.last_list_number == list_number_)
        {
            ++found;
            continue;
        }
        change.removed.push_back(found->second.entry);
        remove_from_pool(found->second.entry);
        found = entries_.erase(found);
    }
}

directory_change endpoint_directory::handle_list(const instances_listed& list)
{
    directory_change change;
    // An empty list is a fault of its source, not the removal of all endpoints: it lacks even this instance.
    if (list.as_of < list_as_of_ || list.instances.empty())
    {
        return change;
    }
    list_as_of_ = list.as_of;
    if (list.instances == last_instances_)
    {
        return change;
    }
    last_instances_ = list.instances;
    ++list_number_;
    for (const listed_instance& instance : list.instances)
    {
        if (instance.role != instance_role::entry)
        {
            apply_instance(instance, change);
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
    const auto found = entries_.find(report.endpoint);
    if (found == entries_.end())
    {
        return false;
    }
    endpoint_entry& entry = found->second.entry;
    entry.load_failures = 0;
    const bool outdated =
        entry.load && report.as_of < entry.load->as_of && entry.load->as_of - report.as_of < max_reordering;
    if (!outdated)
    {
        entry.load = report;
        entry.load_received = now;
    }
    return report.leaving && mark_leaving(entry);
}

void endpoint_directory::handle_load_unavailable(const endpoint_id& endpoint)
{
    const auto found = entries_.find(endpoint);
    if (found != entries_.end())
    {
        ++found->second.entry.load_failures;
    }
}

bool endpoint_directory::handle_leaving(const endpoint_id& endpoint)
{
    const auto found = entries_.find(endpoint);
    return found != entries_.end() && mark_leaving(found->second.entry);
}

bool endpoint_directory::handle_leaving(const endpoint_id& endpoint, incarnation started)
{
    const auto found = entries_.find(endpoint);
    if (found != entries_.end() && found->second.entry.started == started)
    {
        return mark_leaving(found->second.entry);
    }
    if (started == incarnation{} || has_departed(endpoint, started))
    {
        return false;
    }
    record_departure(endpoint, started);
    return true;
}

const endpoint_entry* endpoint_directory::find(const endpoint_id& endpoint) const
{
    const auto found = entries_.find(endpoint);
    return found == entries_.end() ? nullptr : &found->second.entry;
}

const std::vector<const endpoint_entry*>& endpoint_directory::endpoints_of(const pool_id& pool) const
{
    const auto found = pools_.find(pool);
    return found == pools_.end() ? no_endpoints : found->second;
}

const std::vector<pool_id>& endpoint_directory::pools_of(const service_id& service) const
{
    const auto found = pools_by_service_.find(service);
    return found == pools_by_service_.end() ? no_pools : found->second;
}

std::vector<const endpoint_entry*> endpoint_directory::endpoints() const
{
    std::vector<const endpoint_entry*> found;
    for (const auto& [endpoint, listed] : entries_)
    {
        found.push_back(&listed.entry);
    }
    std::sort(found.begin(), found.end(),
              [](const endpoint_entry* left, const endpoint_entry* right) { return left->endpoint < right->endpoint; });
    return found;
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
