#include "source_watch.hpp" // source_watch

#include <algorithm> // min
#include <utility>   // move

namespace parsleyshift::detail
{
namespace
{

constexpr duration watch_update_interval{300};

} // namespace

void source_watch::source_answered()
{
    answer_due_ = state_.now + state_.settings.forwarding.source_answer_timeout;
    next_update_ = overdue_ ? state_.now : next_update_;
    overdue_ = false;
}

void source_watch::source_failed()
{
    answer_due_ = std::min(answer_due_, state_.now);
}

void source_watch::update()
{
    if (!overdue_ && answer_due_ <= state_.now)
    {
        overdue_ = true;
        next_update_ = state_.now;
    }
    if (state_.now < next_update_)
    {
        return;
    }
    next_update_ = overdue_ ? state_.now + watch_update_interval : never;
    address_table to_watch;
    if (overdue_)
    {
        to_watch = engines_to_watch();
    }
    for (const auto& [endpoint, address] : watched_)
    {
        if (!to_watch.contains(endpoint))
        {
            state_.emit(watch_endpoint{endpoint, {}, true, false});
        }
    }
    for (const auto& [endpoint, address] : to_watch)
    {
        if (!watched_.contains(endpoint))
        {
            state_.emit(watch_endpoint{endpoint, address, true, true});
        }
    }
    watched_ = std::move(to_watch);
}

source_watch::address_table source_watch::engines_to_watch()
{
    address_table engines;
    for (const pool_id& pool : pools_.scheduled_pools())
    {
        if (pools_.scheduler_instance_of(pool) != state_.self().instance)
        {
            continue;
        }
        for (const endpoint_entry* entry : state_.directory.endpoints_of(pool))
        {
            // A load report carries nothing of a caller, so regions do not matter. Endpoints of plain services have no
            // load, and those with a limit bear only few calls.
            const bool is_usable = state_.obstacle_to_start(entry->endpoint, {}) == start_obstacle::none;
            if (is_usable && entry->load && !state_.start_limit(*entry))
            {
                engines.emplace(entry->endpoint, entry->address);
            }
        }
    }
    return engines;
}

} // namespace parsleyshift::detail
