#pragma once

#include <parsleyshift/scheduling/pool_scheduler.hpp> // basic_pool_scheduler

#include <algorithm> // any_of, find, find_if, max, min, stable_sort
#include <cmath>     // pow
#include <limits>    // numeric_limits
#include <optional>  // optional
#include <string>    // to_string
#include <utility>   // move

namespace parsleyshift
{

namespace detail
{

/// Maximum number of classes in a pool, which bounds its memory; further class names use the last class.
inline constexpr std::size_t max_work_classes = 64;
/// Maximum number of sets of regions whose requests do not wait for each other; further ones share the last number.
inline constexpr std::size_t max_region_groups = 15;
/// Maximum random extension of the retry_after of a denial, as a fraction of it; spreads the retries over time.
inline constexpr double retry_jitter = 0.5;

/// Time in which an amount of tokens is served at a rate in tokens per millisecond; 0 without a rate.
inline duration time_to_serve(double tokens, std::optional<double> rate)
{
    // The rate may be close to 0: one hour keeps the quotient in the range of `duration`.
    constexpr double max_ms = 3'600'000.0;
    // Avoids a division by zero.
    constexpr double min_rate = 1e-9;
    return rate ? duration{static_cast<duration::rep>(std::min(tokens / std::max(*rate, min_rate), max_ms))}
                : duration{0};
}

} // namespace detail

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
basic_pool_scheduler<QueueOrder, EndpointChoice>::basic_pool_scheduler(pool_id pool, const scheduler_settings& settings,
                                                                       length_estimator& lengths, std::uint64_t seed,
                                                                       time_point now, EndpointChoice choice)
    : pool_(std::move(pool)),
      settings_(settings),
      lengths_(&lengths),
      choice_(std::move(choice)),
      random_(seed),
      endpoints_(settings, lengths),
      slow_start_ends_(now + settings.slow_start)
{
    // A random start keeps the permit numbers of two schedulers of one pool distinct.
    next_permit_ = random_.bits();
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::set_class(const priority_record& record)
{
    classes_[find_or_add_class(record.name)].record = record;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::set_customer_weight(const customer_id& customer, double weight)
{
    customer_weights_[customer] = weight;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
scheduling_decisions
basic_pool_scheduler<QueueOrder, EndpointChoice>::add_endpoint(const endpoint_id& endpoint, time_point now,
                                                               const start_restrictions& restrictions)
{
    scheduling_decisions out;
    const endpoint_table::index added = endpoints_.add(endpoint);
    endpoints_.set_start_limit(endpoint, restrictions.starts_per_second, now);
    endpoints_.set_excluded(endpoint, restrictions.excluded);
    dispatch(now, added, out);
    return out;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
scheduling_decisions basic_pool_scheduler<QueueOrder, EndpointChoice>::remove_endpoint(const endpoint_id& endpoint,
                                                                                       time_point now)
{
    scheduling_decisions out;
    for (const active_permit& permit : endpoints_.permits_at(endpoint, now))
    {
        hold(permit, -1.0);
    }
    for (const request_key& key : endpoints_.remove(endpoint))
    {
        requests_.erase(key);
    }
    expire(now, out);
    return out;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::endpoint_leaving(const endpoint_id& endpoint)
{
    endpoints_.set_leaving(endpoint);
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
scheduling_decisions basic_pool_scheduler<QueueOrder, EndpointChoice>::set_excluded(const endpoint_id& endpoint,
                                                                                    bool excluded, time_point now)
{
    scheduling_decisions out;
    endpoints_.set_excluded(endpoint, excluded);
    dispatch(now, endpoints_.find(endpoint), out);
    return out;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
scheduling_decisions basic_pool_scheduler<QueueOrder, EndpointChoice>::set_health(const endpoint_id& endpoint,
                                                                                  double weight, time_point now)
{
    scheduling_decisions out;
    endpoints_.set_health(endpoint, weight);
    dispatch(now, endpoints_.find(endpoint), out);
    return out;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
scheduling_decisions basic_pool_scheduler<QueueOrder, EndpointChoice>::set_start_limit(
    const endpoint_id& endpoint, std::optional<double> starts_per_second, time_point now)
{
    scheduling_decisions out;
    endpoints_.set_start_limit(endpoint, starts_per_second, now);
    dispatch(now, endpoints_.find(endpoint), out);
    return out;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::allow_paced_starts(bool allowed, time_point now)
{
    endpoints_.allow_paced_starts(allowed, now);
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
scheduling_decisions basic_pool_scheduler<QueueOrder, EndpointChoice>::report(const load_report& report, time_point now)
{
    scheduling_decisions out;
    endpoints_.report(report, now);
    dispatch(now, endpoints_.find(report.endpoint), out);
    return out;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
scheduling_decisions basic_pool_scheduler<QueueOrder, EndpointChoice>::request(const instance_id& from,
                                                                               const permit_request& request,
                                                                               time_point now)
{
    scheduling_decisions out;
    const auto found = requests_.find(request_key{from, request.work.request});
    if (found != requests_.end())
    {
        if (found->second.sequence == 0)
        {
            resend_grant(from, found->second, out);
        }
        return out;
    }
    const std::size_t class_index = find_or_add_class(request.work.work_class);
    queued_request queued = make_queued_request(from, request.work, classes_[class_index].record, now);
    queued.excluded = request.excluded;
    if (const std::optional<std::int64_t> memory = endpoints_.largest_memory();
        memory && request.work.prompt_tokens >= *memory)
    {
        // A prompt needs memory for at least one output token beside it.
        deny_as_too_large(queued, *memory, out);
        return out;
    }
    if (queued.start_by <= now)
    {
        const bool may_be_late = objective_queue_order<QueueOrder> && request.work.timely_start != never &&
                                 request.work.start_by <= request.work.timely_start;
        if (!may_be_late)
        {
            deny(classes_[class_index], queued, error_kind::deadline_unreachable, settings_.min_retry_after, now, out);
            return out;
        }
        // A late start is of little use to the caller, but of more than a rejection while nobody else needs the room.
        queued.start_by = now + settings_.min_retry_after;
        queued.late = true;
    }
    enqueue(class_index, queued, now, out);
    // A request that is not first in its group cannot run yet, and no capacity has become free for the others.
    fronts_.clear();
    classes_[class_index].queue.fronts(fronts_);
    if (std::any_of(fronts_.begin(), fronts_.end(),
                    [&](const queued_request* front) { return front->sequence == queued.sequence; }))
    {
        dispatch(now, std::nullopt, out);
    }
    return out;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
scheduling_decisions basic_pool_scheduler<QueueOrder, EndpointChoice>::withdraw(const instance_id& from,
                                                                                const permit_withdrawal& withdrawal,
                                                                                time_point now)
{
    scheduling_decisions out;
    const request_key key{from, withdrawal.request};
    const auto found = requests_.find(key);
    if (found == requests_.end())
    {
        return out;
    }
    if (found->second.sequence != 0)
    {
        drop_queued(key);
        dispatch(now, std::nullopt, out);
        return out;
    }
    dispatch(now, end_permit(found->second.permit, now), out);
    return out;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
scheduling_decisions basic_pool_scheduler<QueueOrder, EndpointChoice>::return_permit(const instance_id& /*from*/,
                                                                                     const permit_return& returned,
                                                                                     time_point now)
{
    scheduling_decisions out;
    if (returned.completed)
    {
        lengths_->record(returned.work_class, returned.customer, returned.tokens, now);
    }
    const active_permit* permit = endpoints_.permit(returned.permit);
    if (permit != nullptr && !returned.completed && returned.tokens == 0)
    {
        // The work was not done, so it must not raise the measured rate.
        classes_[find_or_add_class(permit->work_class)].service_rate.retract(permit->cost, permit->granted, now);
    }
    dispatch(now, end_permit(returned.permit, now), out);
    return out;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
scheduling_decisions basic_pool_scheduler<QueueOrder, EndpointChoice>::register_permit(
    const instance_id& from, const permit_registration& registration, time_point now)
{
    scheduling_decisions out;
    endpoints_.record_inter_token_latency(registration.endpoint, registration.usual_gap);
    const bool became_known = endpoints_.record_pace(registration, from, now);
    if (endpoints_.renew(registration.permit, registration.tokens_so_far, now))
    {
        if (became_known)
        {
            dispatch(now, endpoints_.find(registration.endpoint), out);
        }
        return out;
    }
    const work_description& work = registration.work;
    const request_key key{from, work.request};
    drop_queued(key);
    if (!endpoints_.find(registration.endpoint))
    {
        // Inserting the permit would add a removed endpoint to the table again, which would then get requests.
        return out;
    }
    const std::size_t class_index = find_or_add_class(work.work_class);
    active_permit permit;
    permit.id = registration.permit;
    permit.key = key;
    permit.endpoint = registration.endpoint;
    permit.customer = work.customer;
    permit.work_class = work.work_class;
    permit.work_lane = classes_[class_index].record.assigned_lane;
    permit.prompt_tokens = work.prompt_tokens;
    permit.max_tokens = work.max_tokens;
    permit.expected_tokens = lengths_->total(work.work_class, work.customer, settings_.reserve_quantile,
                                             registration.tokens_so_far, work.max_tokens);
    permit.initial_expected_tokens =
        lengths_->total(work.work_class, work.customer, settings_.reserve_quantile, 0, work.max_tokens);
    permit.produced_tokens = registration.tokens_so_far;
    permit.tokens_as_of = now;
    permit.granted = now;
    permit.expires = now + settings_.permit_lifetime;
    permit.priority = registration.priority;
    permit.regions = work.regions;
    permit.gap_objective = work.gap_objective;
    // When this scheduler did not grant the permit, the prompt was read before.
    permit.first_event_seen = true;
    endpoints_.insert(permit, true);
    endpoints_.record_pace(registration, from, now);
    hold(permit, 1.0);
    requests_[key] = request_state{class_index, 0, permit.id, never};
    return out;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
scheduling_decisions basic_pool_scheduler<QueueOrder, EndpointChoice>::advance(time_point now)
{
    scheduling_decisions out;
    if (now >= slow_start_ends_)
    {
        endpoints_.finish_slow_start();
        slow_start_ends_ = never;
    }
    dispatch(now, std::nullopt, out);
    return out;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
time_point basic_pool_scheduler<QueueOrder, EndpointChoice>::next_deadline() const
{
    const time_point start = deadlines_.empty() ? never : deadlines_.begin()->time;
    return std::min({start, endpoints_.next_expiry(), slow_start_ends_, next_capacity_});
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
std::size_t basic_pool_scheduler<QueueOrder, EndpointChoice>::find_or_add_class(const class_id& name)
{
    const auto found = class_index_.find(name);
    if (found != class_index_.end())
    {
        return found->second;
    }
    if (classes_.size() >= detail::max_work_classes)
    {
        return classes_.size() - 1;
    }
    classes_.emplace_back();
    classes_.back().record.name = name;
    class_index_.emplace(name, classes_.size() - 1);
    if constexpr (objective_queue_order<QueueOrder>)
    {
        for (const auto& [customer, held] : held_)
        {
            classes_.back().queue.hold(customer, held);
        }
    }
    return classes_.size() - 1;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
std::size_t basic_pool_scheduler<QueueOrder, EndpointChoice>::group_of(const region_set& regions, time_point now)
{
    if (!regions.restricted())
    {
        return 0;
    }
    const auto known = std::find_if(region_groups_.begin(), region_groups_.end(),
                                    [&](const region_group& group) { return group.regions == regions; });
    if (known == region_groups_.end() && region_groups_.size() < detail::max_region_groups)
    {
        region_groups_.push_back(region_group{regions, now});
        return region_groups_.size();
    }
    if (known == region_groups_.end())
    {
        return region_groups_.size();
    }
    known->last_request = now;
    return static_cast<std::size_t>(known - region_groups_.begin()) + 1;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::hold(const active_permit& permit, double sign)
{
    if constexpr (objective_queue_order<QueueOrder>)
    {
        const double tokens = sign * static_cast<double>(permit.prompt_tokens + permit.initial_expected_tokens);
        const auto [held, added] = held_.try_emplace(permit.customer, 0.0);
        held->second += tokens;
        // Token counts are integers, which a double adds and subtracts without error.
        if (held->second <= 0.0)
        {
            held_.erase(held);
        }
        for (class_type& each : classes_)
        {
            each.queue.hold(permit.customer, tokens);
        }
    }
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
bool basic_pool_scheduler<QueueOrder, EndpointChoice>::is_late(const class_type& target, const queued_request& queued)
{
    if constexpr (objective_queue_order<QueueOrder>)
    {
        return target.queue.is_late(queued.sequence);
    }
    return false;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
double basic_pool_scheduler<QueueOrder, EndpointChoice>::late_cost(const class_type& target)
{
    if constexpr (objective_queue_order<QueueOrder>)
    {
        return target.queue.late_cost();
    }
    return 0.0;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::update_late_rate(class_type& target, time_point now)
{
    const bool has_late = late_cost(target) > 0.0;
    if (has_late && !target.late_rate.running())
    {
        target.late_rate.start(now);
    }
    if (!has_late)
    {
        target.late_rate.stop();
    }
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
queued_request basic_pool_scheduler<QueueOrder, EndpointChoice>::make_queued_request(const instance_id& from,
                                                                                     const work_description& work,
                                                                                     const priority_record& record,
                                                                                     time_point now)
{
    const auto weight = customer_weights_.find(work.customer);
    queued_request queued;
    queued.from = from;
    queued.work = work;
    queued.group = group_of(work.regions, now);
    queued.arrived = now;
    queued.start_by = std::min(work.start_by, now + record.default_timeout);
    queued.sequence = next_sequence_++;
    queued.weight = weight == customer_weights_.end() ? 1.0 : weight->second;
    const std::int64_t expected =
        lengths_->total(work.work_class, work.customer, settings_.reserve_quantile, 0, work.max_tokens);
    queued.cost = static_cast<double>(work.prompt_tokens + expected);
    return queued;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
bool basic_pool_scheduler<QueueOrder, EndpointChoice>::deny_early(class_type& target, queued_request& queued,
                                                                  time_point now, scheduling_decisions& out)
{
    if (!settings_.early_denial)
    {
        return false;
    }
    const duration wait = expected_wait(target, queued, now);
    if (!objective_queue_order<QueueOrder> || queued.work.timely_start == never)
    {
        const bool too_late = now + wait > queued.start_by;
        if (too_late)
        {
            deny(target, queued, error_kind::deadline_unreachable, now + wait - queued.start_by, now, out);
        }
        return too_late;
    }
    const double time_left = static_cast<double>(std::max(queued.work.timely_start - now, duration{}).count());
    const duration timely_wait{static_cast<duration::rep>(time_left * settings_.timely_wait_share)};
    if (!queued.late && wait <= timely_wait)
    {
        return false;
    }
    queued.late = true;
    const duration late_wait = expected_late_wait(target, late_cost(target) + queued.cost, now);
    const bool late_is_useful = queued.start_by > queued.work.timely_start;
    if (late_is_useful && now + late_wait <= queued.start_by)
    {
        return false;
    }
    deny(target, queued, error_kind::deadline_unreachable, std::max(wait - timely_wait, duration{}), now, out);
    return true;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
duration basic_pool_scheduler<QueueOrder, EndpointChoice>::expected_late_wait(const class_type& target,
                                                                              double late_cost_ahead,
                                                                              time_point now) const
{
    double ahead = late_cost_ahead;
    std::optional<double> rate = target.late_rate.rate(now);
    if (!rate)
    {
        rate = target.service_rate.rate(now);
        if constexpr (objective_queue_order<QueueOrder>)
        {
            ahead += target.queue.timely_cost();
        }
    }
    return detail::time_to_serve(ahead, rate);
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::enqueue(std::size_t class_index, queued_request queued,
                                                               time_point now, scheduling_decisions& out)
{
    class_type& target = classes_[class_index];
    if (deny_early(target, queued, now, out))
    {
        return;
    }
    if (target.queue.size() == 0)
    {
        target.service_rate.start(now);
    }
    const request_key key{queued.from, queued.work.request};
    target.queue.push(queued);
    requests_[key] = request_state{class_index, queued.sequence, permit_id{}, queued.start_by};
    deadlines_.insert(start_deadline{queued.start_by, queued.sequence, key});
    ++queued_count_;
    update_late_rate(target, now);
    if (target.queue.size() > static_cast<std::size_t>(std::max(target.record.queue_limit, 0)))
    {
        // Dropping the request that would run last makes a flood of one customer deny only that customer's requests.
        const queued_request dropped = dequeue(class_index, target.queue.back()->sequence);
        requests_.erase(request_key{dropped.from, dropped.work.request});
        deny(target, dropped, error_kind::queue_full, expected_wait(target, dropped, now), now, out);
    }
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
queued_request basic_pool_scheduler<QueueOrder, EndpointChoice>::dequeue(std::size_t class_index,
                                                                         std::uint64_t sequence)
{
    class_type& source = classes_[class_index];
    queued_request queued = source.queue.take(sequence).value_or(queued_request{});
    deadlines_.erase(start_deadline{queued.start_by, queued.sequence, request_key{queued.from, queued.work.request}});
    --queued_count_;
    if (source.queue.size() == 0)
    {
        source.service_rate.stop();
    }
    if (late_cost(source) <= 0.0)
    {
        source.late_rate.stop();
    }
    return queued;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
duration basic_pool_scheduler<QueueOrder, EndpointChoice>::expected_wait(const class_type& target,
                                                                         const queued_request& queued,
                                                                         time_point now) const
{
    return detail::time_to_serve(target.queue.cost_ahead(queued), target.service_rate.rate(now));
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::drop_queued(const request_key& key)
{
    const auto found = requests_.find(key);
    if (found != requests_.end() && found->second.sequence != 0)
    {
        dequeue(found->second.class_index, found->second.sequence);
        requests_.erase(found);
    }
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::expire(time_point now, scheduling_decisions& out)
{
    while (const std::optional<permit_id> permit = endpoints_.expired(now))
    {
        end_permit(*permit, now);
    }
    demote_late(now, out);
    while (!deadlines_.empty() && deadlines_.begin()->time <= now)
    {
        const request_key key = deadlines_.begin()->key;
        const request_state state = requests_.at(key);
        const queued_request queued = dequeue(state.class_index, state.sequence);
        requests_.erase(key);
        class_type& source = classes_[state.class_index];
        deny(source, queued, error_kind::deadline_unreachable, expected_wait(source, queued, now), now, out);
    }
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::demote_late(time_point now, scheduling_decisions& out)
{
    if constexpr (objective_queue_order<QueueOrder>)
    {
        for (std::size_t class_index = 0; class_index < classes_.size(); ++class_index)
        {
            class_type& target = classes_[class_index];
            for (const std::uint64_t sequence : target.queue.advance(now))
            {
                update_late_rate(target, now);
                const queued_request& late = *target.queue.find(sequence);
                const duration wait = expected_late_wait(target, target.queue.late_cost(), now);
                if (now + wait <= late.start_by || late.start_by <= now)
                {
                    continue;
                }
                // It would wait in vain.
                const queued_request denied = dequeue(class_index, sequence);
                requests_.erase(request_key{denied.from, denied.work.request});
                deny(target, denied, error_kind::deadline_unreachable, expected_wait(target, denied, now), now, out);
            }
        }
    }
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::deny(class_type& target, const queued_request& queued,
                                                            error_kind kind, duration wait, time_point now,
                                                            scheduling_decisions& out)
{
    duration retry = std::max(wait, settings_.min_retry_after);
    const std::optional<double> rate = target.service_rate.rate(now);
    if (objective_queue_order<QueueOrder> && queued.work.timely_start != never)
    {
        const double service_ms = rate ? queued.cost / std::max(*rate * settings_.retry_rate_share, 1e-9) : 0.0;
        const auto longest_ms = static_cast<double>(settings_.max_retry_after.count());
        retry = target.retries.next(now, retry, duration{static_cast<duration::rep>(std::min(service_ms, longest_ms))},
                                    settings_.max_retry_after, random_.fraction());
    }
    retry = random_.jittered(retry, detail::retry_jitter);
    std::string detail = "no permit granted in pool " + pool_.value() + " for class " + queued.work.work_class.value();
    if (queued.work.timely_start != never)
    {
        detail += ": queued=" + std::to_string(target.queue.size()) +
                  " waited_ms=" + std::to_string((now - queued.arrived).count()) +
                  " expected_wait_ms=" + std::to_string(wait.count()) +
                  " timely_for_ms=" + std::to_string((queued.work.timely_start - now).count());
    }
    out.push_back(scheduling_decision{queued.from,
                                      permit_denial{queued.work.request, make_error(kind, std::move(detail), retry)}});
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::deny_as_too_large(const queued_request& queued,
                                                                         std::int64_t memory, scheduling_decisions& out)
{
    // No retry time: the same request fails again unless larger endpoints are added.
    error why = make_error(error_kind::no_endpoint, "a prompt of " + std::to_string(queued.work.prompt_tokens) +
                                                        " tokens leaves no memory for output at any endpoint of pool " +
                                                        pool_.value() + ", of which the largest holds " +
                                                        std::to_string(memory) + " tokens; send a shorter prompt");
    out.push_back(scheduling_decision{queued.from, permit_denial{queued.work.request, std::move(why)}});
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::dispatch(time_point now,
                                                                std::optional<endpoint_table::index> changed_endpoint,
                                                                scheduling_decisions& out)
{
    expire(now, out);
    while (queued_count_ > 0 && grant_next(now, changed_endpoint, out))
    {
    }
    next_capacity_ =
        queued_count_ > 0 ? std::min(endpoints_.next_prefill_capacity(now), endpoints_.next_paced_start(now)) : never;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::rank_classes(time_point now)
{
    candidates_.clear();
    const double step = static_cast<double>(std::max<std::int64_t>(settings_.aging_step.count(), 1));
    for (std::size_t class_index = 0; class_index < classes_.size(); ++class_index)
    {
        const class_type& source = classes_[class_index];
        fronts_.clear();
        source.queue.fronts(fronts_);
        for (const queued_request* request : fronts_)
        {
            candidate next;
            next.class_index = class_index;
            next.request = request;
            next.work_lane = source.record.assigned_lane;
            next.late = is_late(source, *request);
            next.reserves = next.work_lane == lane::shared && now - request->arrived >= settings_.reservation_delay;
            // The first request ages the class, but a late one does not, so that it displaces none in time.
            const duration waited = next.late ? duration{} : now - fronts_.front()->arrived;
            next.aged_priority = source.record.level + static_cast<double>(waited.count()) / step;
            candidates_.push_back(next);
        }
    }
    std::stable_sort(candidates_.begin(), candidates_.end(),
                     [](const candidate& left, const candidate& right)
                     { return left.late != right.late ? right.late : left.aged_priority > right.aged_priority; });
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
bool basic_pool_scheduler<QueueOrder, EndpointChoice>::grant_next(time_point now,
                                                                  std::optional<endpoint_table::index> changed_endpoint,
                                                                  scheduling_decisions& out)
{
    rank_classes(now);
    blocked_.clear();
    for (const candidate& wanted : candidates_)
    {
        resource_demand demand = demand_of(classes_[wanted.class_index].record, *wanted.request);
        const work_description& work = wanted.request->work;
        demand.on_time = now <= work.timely_start;
        // At half instead of a quarter, a pool near its capacity started more streams late than it paused.
        demand.urgent = now - wanted.request->arrived > (work.timely_start - wanted.request->arrived) / 4;
        if (const auto endpoint_index = choose_endpoint(wanted, demand, changed_endpoint, now))
        {
            grant(wanted, *endpoint_index, now, out);
            return true;
        }
        blocked_.push_back(wanted);
    }
    return false;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
bool basic_pool_scheduler<QueueOrder, EndpointChoice>::may_use(const queued_request& queued,
                                                               endpoint_table::index endpoint_index) const
{
    const endpoint_id& endpoint = endpoints_.id_of(endpoint_index);
    const auto& excluded = queued.excluded;
    if (std::find(excluded.begin(), excluded.end(), endpoint) != excluded.end())
    {
        return false;
    }
    // An endpoint that serves nobody is excluded for the candidate itself, so only regions matter here.
    return queued.group == 0 || choice_.allows(queued.work.regions, endpoint);
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
typename basic_pool_scheduler<QueueOrder, EndpointChoice>::usable_room
basic_pool_scheduler<QueueOrder, EndpointChoice>::room_beside_blocked(const candidate& wanted,
                                                                      endpoint_table::index endpoint_index) const
{
    usable_room room = usable_room::all;
    for (const candidate& before : blocked_)
    {
        const bool same_class = before.class_index == wanted.class_index;
        // A late request takes no room that one in time waits for.
        const bool in_time_first = wanted.late && !before.late;
        const bool same_lane = before.work_lane == wanted.work_lane;
        const bool blocks_lane = same_class || (same_lane && in_time_first) || before.reserves;
        const bool blocks_shared_part = !same_lane && before.work_lane == lane::shared && in_time_first;
        const bool matters = before.late ? same_class : blocks_lane || blocks_shared_part;
        if (!matters || !may_use(*before.request, endpoint_index))
        {
            continue;
        }
        if (same_class || same_lane)
        {
            return usable_room::none;
        }
        room = usable_room::reserved_share;
    }
    return room;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
std::optional<endpoint_table::index> basic_pool_scheduler<QueueOrder, EndpointChoice>::choose_endpoint(
    const candidate& wanted, const resource_demand& demand, std::optional<endpoint_table::index> changed_endpoint,
    time_point now)
{
    const queued_request& queued = *wanted.request;
    const std::vector<endpoint_table::index>& available = endpoints_.available();
    const std::size_t first = settings_.max_candidates < available.size() ? random_.index(available.size()) : 0;
    std::optional<endpoint_table::index> best;
    double best_score = -std::numeric_limits<double>::max();
    // Returns false for an endpoint that must not serve the work.
    const auto examine = [&](endpoint_table::index endpoint_index)
    {
        const auto& excluded = queued.excluded;
        if (std::find(excluded.begin(), excluded.end(), endpoints_.id_of(endpoint_index)) != excluded.end())
        {
            return false;
        }
        if (!choice_.allows(queued.work.regions, endpoints_.id_of(endpoint_index)))
        {
            return false;
        }
        const double value = score(queued, demand, endpoint_index, now);
        if (value <= best_score)
        {
            return true;
        }
        const usable_room room = room_beside_blocked(wanted, endpoint_index);
        resource_demand allowed = demand;
        allowed.reserved_share_only = room == usable_room::reserved_share;
        if (room != usable_room::none && endpoints_.fits(endpoint_index, allowed, now))
        {
            best = endpoint_index;
            best_score = value;
        }
        return true;
    };
    // Endpoints that must not serve the work do not count: a request that may use few endpoints of a large pool would
    // else wait although one of them is free, until something else changes in the pool.
    std::size_t candidates = 0;
    std::size_t step = 0;
    for (; step < available.size() && candidates < settings_.max_candidates; ++step)
    {
        candidates += examine(available[(first + step) % available.size()]) ? 1 : 0;
    }
    if (changed_endpoint && step < available.size())
    {
        examine(*changed_endpoint);
    }
    return best;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
resource_demand basic_pool_scheduler<QueueOrder, EndpointChoice>::demand_of(const priority_record& record,
                                                                            const queued_request& queued) const
{
    resource_demand demand;
    demand.work_lane = record.assigned_lane;
    demand.prompt_tokens = queued.work.prompt_tokens;
    demand.gap_objective = queued.work.gap_objective;
    demand.expected_tokens = lengths_->total(queued.work.work_class, queued.work.customer, settings_.reserve_quantile,
                                             0, queued.work.max_tokens);
    if (queued.work.expected_tokens > 0 && demand.expected_tokens > 0)
    {
        const double estimate_factor =
            std::pow(static_cast<double>(queued.work.expected_tokens), settings_.caller_estimate_weight);
        const double history_factor =
            std::pow(static_cast<double>(demand.expected_tokens), 1.0 - settings_.caller_estimate_weight);
        demand.expected_tokens = std::max<std::int64_t>(static_cast<std::int64_t>(estimate_factor * history_factor), 1);
    }
    return demand;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
double basic_pool_scheduler<QueueOrder, EndpointChoice>::score(const queued_request& queued,
                                                               const resource_demand& demand,
                                                               endpoint_table::index endpoint_index, time_point now)
{
    double value =
        choice_(queued.from, queued.work, endpoints_.id_of(endpoint_index)) - endpoints_.utilization(endpoint_index);
    value -= settings_.unhealthy_penalty * (1.0 - endpoints_.health(endpoint_index));
    value -= settings_.prefill_penalty * endpoints_.prefill_backlog_share(endpoint_index, now);
    value -= settings_.slowness_penalty * endpoints_.slowness_for(endpoint_index, demand, now);
    value -= restricted_room_penalty(queued, endpoint_index, now);
    if (demand.work_lane == lane::shared && endpoints_.has_stragglers(endpoint_index))
    {
        // Requests of the reserved lane get no penalty here instead: they are short, and a detour to a remote endpoint
        // delayed them more than the stragglers did.
        value += settings_.straggler_bonus;
    }
    return value;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
double basic_pool_scheduler<QueueOrder, EndpointChoice>::restricted_room_penalty(const queued_request& queued,
                                                                                 endpoint_table::index endpoint_index,
                                                                                 time_point now) const
{
    const region_set& own = queued.work.regions;
    for (const region_group& group : region_groups_)
    {
        const bool recent = now - group.last_request < settings_.restricted_work_memory;
        const bool has_fewer_regions = !own.restricted() || group.regions.regions().size() < own.regions().size();
        if (recent && has_fewer_regions && choice_.allows(group.regions, endpoints_.id_of(endpoint_index)))
        {
            const double utilization = std::min(endpoints_.utilization(endpoint_index), 1.0);
            return settings_.restricted_room_penalty * utilization * utilization;
        }
    }
    return 0.0;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::grant(const candidate& chosen,
                                                             endpoint_table::index endpoint_index, time_point now,
                                                             scheduling_decisions& out)
{
    const std::size_t class_index = chosen.class_index;
    class_type& source = classes_[class_index];
    const resource_demand demand = demand_of(source.record, *chosen.request);
    source.service_rate.add(chosen.request->cost, now);
    if (chosen.late)
    {
        source.late_rate.add(chosen.request->cost, now);
    }
    const queued_request queued = dequeue(class_index, chosen.request->sequence);
    const request_key key{queued.from, queued.work.request};
    active_permit permit;
    permit.id = permit_id{++next_permit_};
    permit.key = key;
    permit.endpoint = endpoints_.id_of(endpoint_index);
    permit.customer = queued.work.customer;
    permit.work_class = queued.work.work_class;
    permit.work_lane = source.record.assigned_lane;
    permit.prompt_tokens = queued.work.prompt_tokens;
    permit.max_tokens = queued.work.max_tokens;
    permit.expected_tokens = demand.expected_tokens;
    permit.initial_expected_tokens = demand.expected_tokens;
    permit.tokens_as_of = now;
    permit.granted = now;
    permit.expires = now + settings_.permit_lifetime;
    permit.priority = source.record.level;
    permit.regions = queued.work.regions;
    permit.cost = queued.cost;
    permit.gap_objective = queued.work.gap_objective;
    permit.on_time = now <= queued.work.timely_start;
    endpoints_.insert(permit, false);
    hold(permit, 1.0);
    requests_[key] = request_state{class_index, 0, permit.id, never};
    out.push_back(
        scheduling_decision{queued.from, permit_grant{queued.work.request, permit.id, permit.endpoint, permit.priority,
                                                      permit.prompt_tokens + permit.expected_tokens, permit.expires}});
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
template <class Preference>
std::optional<scheduling_decision>
basic_pool_scheduler<QueueOrder, EndpointChoice>::grant_move(const active_permit& run, time_point now,
                                                             Preference preference)
{
    resource_demand demand;
    demand.work_lane = lane::reserved;
    demand.prompt_tokens = run.prompt_tokens + run.produced_tokens;
    demand.expected_tokens = std::max<std::int64_t>(run.expected_tokens - run.produced_tokens, 1);
    demand.needs_prefill = false;
    demand.gap_objective = run.gap_objective;
    demand.on_time = run.on_time;
    std::optional<endpoint_table::index> best;
    double best_score = -std::numeric_limits<double>::max();
    for (const endpoint_table::index endpoint_index : endpoints_.available())
    {
        const std::optional<double> preferred = preference(endpoints_.id_of(endpoint_index));
        if (!preferred || endpoints_.id_of(endpoint_index) == run.endpoint)
        {
            continue;
        }
        const double value = *preferred - endpoints_.utilization(endpoint_index) -
                             settings_.slowness_penalty * endpoints_.slowness_for(endpoint_index, demand, now);
        if (value > best_score && endpoints_.fits(endpoint_index, demand, now))
        {
            best = endpoint_index;
            best_score = value;
        }
    }
    if (!best)
    {
        return std::nullopt;
    }
    active_permit migration_permit = run;
    migration_permit.id = permit_id{++next_permit_};
    migration_permit.endpoint = endpoints_.id_of(*best);
    migration_permit.granted = now;
    migration_permit.tokens_as_of = now;
    migration_permit.expires = now + settings_.permit_lifetime;
    migration_permit.straggler = false;
    migration_permit.needs_prefill = false;
    migration_permit.cost = 0.0;
    migration_permit.prefill_time = duration{};
    migration_permit.prefill_end = time_point{};
    endpoints_.insert(migration_permit, false);
    hold(migration_permit, 1.0);
    requests_[migration_permit.key] =
        request_state{find_or_add_class(migration_permit.work_class), 0, migration_permit.id, never};
    return scheduling_decision{migration_permit.key.from,
                               permit_grant{migration_permit.key.request, migration_permit.id,
                                            migration_permit.endpoint, migration_permit.priority,
                                            demand.prompt_tokens + demand.expected_tokens, migration_permit.expires}};
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::resend_grant(const instance_id& from, const request_state& state,
                                                                    scheduling_decisions& out) const
{
    const active_permit* permit = endpoints_.permit(state.permit);
    if (permit != nullptr)
    {
        out.push_back(
            scheduling_decision{from, permit_grant{permit->key.request, permit->id, permit->endpoint, permit->priority,
                                                   permit->prompt_tokens + permit->expected_tokens, permit->expires}});
    }
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
std::optional<endpoint_table::index> basic_pool_scheduler<QueueOrder, EndpointChoice>::end_permit(permit_id permit,
                                                                                                  time_point now)
{
    const std::optional<active_permit> ended = endpoints_.erase(permit, now);
    if (!ended)
    {
        return std::nullopt;
    }
    hold(*ended, -1.0);
    const auto found = requests_.find(ended->key);
    if (found != requests_.end() && found->second.sequence == 0 && found->second.permit == permit)
    {
        requests_.erase(found);
    }
    return endpoints_.find(ended->endpoint);
}

} // namespace parsleyshift
