#include "permit_holder.hpp" // permit_holder

#include <utility> // move

namespace parsleyshift::detail
{
namespace
{

/// Quantile of the estimated output length for which memory is reserved in the local share; the same as the default of
/// scheduler_settings::reserve_quantile.
constexpr double local_reserve_quantile = 0.7;

} // namespace

permit_holder::permit_holder(core_state& state, pool_manager& pools, work_description work,
                             fingerprint work_fingerprint)
    : state_(state), pools_(pools), work_(std::move(work)), fingerprint_(work_fingerprint)
{
}

bool permit_holder::request_permit()
{
    const auto pool = pools_.pool_for(work_.service, work_.regions);
    if (!pool)
    {
        return false;
    }
    request_permit_of(*pool, work_.start_by);
    return true;
}

void permit_holder::request_permit_of(const pool_id& pool, time_point start_by)
{
    pool_ = pool;
    work_.start_by = start_by;
    ++step_;
    waiting_ = true;
    queued_at_scheduler_ = false;
    send_request();
    add_timer(timer_kind::permit_reply_due, state_.settings.requests.scheduler_timeout);
}

bool permit_holder::is_unanswered(const core_timer& due) const
{
    return due.kind == timer_kind::permit_reply_due && is_current(due) && waiting_ && !queued_at_scheduler_;
}

void permit_holder::send_request()
{
    state_.send(pools_.scheduler_instance_of(pool_),
                permit_request{pool_, work_, pools_.known_limits(pool_),
                               scheduler_lags_ ? pools_.ineligible_endpoints(pool_, work_.regions)
                                               : pools_.paused_endpoints(pool_)});
}

void permit_holder::add_timer(timer_kind kind, duration wait)
{
    state_.timers.add(state_.now + wait, core_timer{kind, work_.request, step_});
}

std::optional<permit_grant> permit_holder::on_timer(const core_timer& due)
{
    if (!is_current(due))
    {
        return std::nullopt;
    }
    if (due.kind == timer_kind::retry_due)
    {
        request_permit();
        return std::nullopt;
    }
    if (!waiting_)
    {
        return std::nullopt;
    }
    if (!queued_at_scheduler_)
    {
        return choose_locally();
    }
    queued_at_scheduler_ = false;
    send_request();
    add_timer(timer_kind::permit_reply_due, state_.settings.requests.request_resend_interval);
    return std::nullopt;
}

std::optional<permit_grant> permit_holder::choose_locally()
{
    const auto chosen = pools_.choose_locally(pool_, expected_memory(), work_.regions);
    if (!chosen || !state_.quarantine.may_run(fingerprint_, *chosen, state_.now))
    {
        // The scheduler may be back by now, or the local share may have free capacity at the next timer.
        send_request();
        add_timer(timer_kind::permit_reply_due, state_.settings.requests.retry_interval);
        return std::nullopt;
    }
    state_.send(pools_.scheduler_instance_of(pool_), permit_withdrawal{pool_, work_.request});
    permit_grant local_grant;
    local_grant.request = work_.request;
    local_grant.permit = permit_id{state_.random.bits()};
    local_grant.endpoint = *chosen;
    return local_grant;
}

bool permit_holder::accept(const permit_grant& grant, bool from_scheduler)
{
    if (!is_for_pool(grant))
    {
        state_.log(log_event::permit_declined, "endpoint=" + grant.endpoint.value() + " why=other_pool");
        decline(grant);
        return false;
    }
    const start_obstacle obstacle = state_.obstacle_to_start(grant.endpoint, work_.regions);
    const bool may_run = state_.quarantine.may_run(fingerprint_, grant.endpoint, state_.now);
    if (waiting_ && obstacle == start_obstacle::none && may_run)
    {
        waiting_ = false;
        permit_ = grant;
        return true;
    }
    if (waiting_)
    {
        scheduler_lags_ = scheduler_lags_ || obstacle == start_obstacle::evacuated;
        state_.log(log_event::permit_declined, "endpoint=" + grant.endpoint.value() +
                                                   " why=" + std::string{may_run ? name_of(obstacle) : "quarantine"});
    }
    if (from_scheduler && (!permit_ || permit_->permit != grant.permit))
    {
        decline(grant);
    }
    if (waiting_)
    {
        // The scheduler may lack the latest state of the endpoint, or the quarantine excludes the request from it. A
        // later permit may be usable.
        waiting_ = false;
        ++step_;
        add_timer(timer_kind::retry_due, state_.settings.requests.retry_interval);
    }
    return false;
}

bool permit_holder::is_for_pool(const permit_grant& grant) const
{
    const endpoint_entry* entry = state_.directory.find(grant.endpoint);
    return entry == nullptr || entry->pool == pool_;
}

void permit_holder::decline(const permit_grant& grant)
{
    const endpoint_entry* entry = state_.directory.find(grant.endpoint);
    const pool_id& pool = entry == nullptr ? pool_ : entry->pool;
    state_.send(pools_.scheduler_instance_of(pool),
                permit_return{pool, grant.permit, grant.endpoint, work_.customer, work_.work_class, 0, false});
}

void permit_holder::replace(const permit_grant& grant, std::int64_t tokens)
{
    release(tokens, false);
    permit_ = grant;
}

void permit_holder::on_permit_queued()
{
    queued_at_scheduler_ = true;
}

void permit_holder::on_permit_denied()
{
    waiting_ = false;
}

void permit_holder::on_scheduler_changed(std::int64_t tokens, const stream_timing& timing)
{
    if (waiting_)
    {
        queued_at_scheduler_ = false;
        send_request();
    }
    else if (permit_)
    {
        renew(tokens, timing);
    }
}

void permit_holder::renew(std::int64_t tokens, const stream_timing& timing)
{
    if (permit_)
    {
        state_.send(pools_.scheduler_instance_of(pool_),
                    permit_registration{pool_, permit_->permit, permit_->endpoint, work_, tokens, permit_->priority,
                                        timing.usual_gap, timing.longest_gap, timing.first_event_latency});
    }
}

void permit_holder::release(std::int64_t tokens, bool completed)
{
    if (permit_)
    {
        state_.send(pools_.scheduler_instance_of(pool_),
                    permit_return{pool_, permit_->permit, permit_->endpoint, work_.customer, work_.work_class, tokens,
                                  completed});
        permit_.reset();
    }
    else if (waiting_)
    {
        state_.send(pools_.scheduler_instance_of(pool_), permit_withdrawal{pool_, work_.request});
    }
    waiting_ = false;
    // A declined permit is requested again by a timer while the holder does not wait.
    ++step_;
}

std::int64_t permit_holder::expected_memory() const
{
    return work_.prompt_tokens +
           state_.lengths.total(work_.work_class, work_.customer, local_reserve_quantile, 0, work_.max_tokens);
}

} // namespace parsleyshift::detail
