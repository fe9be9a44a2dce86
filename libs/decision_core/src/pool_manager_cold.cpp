// The members of pool_manager that limit the starts at cold endpoints.
#include "pool_manager.hpp" // pool_manager

#include <string>      // string, to_string
#include <string_view> // string_view

namespace parsleyshift::detail
{
namespace
{

/// Log suffix for changes that the endpoint list has stated.
constexpr std::string_view listed_source = " listed";

} // namespace

void pool_manager::set_cold_starts(const std::vector<forwarding_service>& services)
{
    if (!state_.cold.configure(services))
    {
        return;
    }
    for (const endpoint_entry* entry : state_.directory.endpoints())
    {
        apply_start_limit(*entry);
    }
}

void pool_manager::record_cold_endpoints(const instances_listed& list)
{
    if (!state_.cold.enabled() || list.instances.empty())
    {
        return;
    }
    for (const listed_instance& row : list.instances)
    {
        report_unreadable(endpoint_id{row.id}, row.cold_unreadable);
        const auto change = state_.cold.record_listed(row, state_.now);
        if (change != cold_endpoints::change::none)
        {
            cold_changed(endpoint_id{row.id}, change, std::string{listed_source});
        }
    }
    state_.cold.end_list();
}

void pool_manager::report_unreadable(const endpoint_id& endpoint, const std::string& unreadable)
{
    if (!unreadable.empty() && state_.rejected_statements.insert(endpoint).second)
    {
        state_.log(log_event::endpoint_statement_rejected, endpoint.value() + " " + unreadable);
    }
}

void pool_manager::apply_start_limit(const endpoint_entry& entry)
{
    const std::optional<double> limit = state_.start_limit(entry);
    if (const auto found = schedulers_.find(entry.pool); found != schedulers_.end())
    {
        send_decisions(found->second->set_start_limit(entry.endpoint, limit, state_.now));
    }
    get_or_make_chooser(entry.pool).set_start_limited(entry.endpoint, limit.has_value());
}

void pool_manager::tell_peers(const endpoint_entry& entry)
{
    const endpoint_notice notice = state_.notice_of(entry.endpoint);
    const instance_id& scheduling = scheduler_instance_of(entry.pool);
    if (scheduling != state_.self().instance)
    {
        state_.send(scheduling, notice);
    }
    state_.spread({notice});
}

void pool_manager::cold_changed(const endpoint_id& endpoint, cold_endpoints::change change, const std::string& source)
{
    const endpoint_entry* entry = state_.directory.find(endpoint);
    if (entry == nullptr)
    {
        return;
    }
    const bool cold = change == cold_endpoints::change::cold;
    const std::string left = " cold_ms=" + std::to_string(state_.cold.left(endpoint, state_.now).count());
    state_.log(cold ? log_event::endpoint_cold : log_event::endpoint_warm,
               endpoint.value() + (cold ? left : std::string{}) + source);
    apply_start_limit(*entry);
    // Peers receive the endpoint list themselves.
    if (cold && source != listed_source)
    {
        tell_peers(*entry);
    }
}

} // namespace parsleyshift::detail
