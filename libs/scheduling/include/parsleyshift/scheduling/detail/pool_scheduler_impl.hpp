#pragma once

#include <parsleyshift/scheduling/pool_scheduler.hpp> // basic_pool_scheduler

#include <algorithm> // max, min, sort, stable_sort
#include <cmath>     // pow
#include <limits>    // numeric_limits
#include <utility>   // move

namespace parsleyshift
{

namespace detail
{

/// Classes that a pool tells apart; further names share the last one.
inline constexpr std::size_t max_work_classes = 64;
/// Denied requests come back spread over this share of the stated time.
inline constexpr double retry_jitter = 0.5;

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
    // A random start keeps the numbers of two schedulers of one pool apart.
    next_permit_ = random_.bits();
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::set_class(const priority_record& record)
{
    classes_[class_index(record.name)].record = record;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::set_customer_weight(const customer_id& customer, double weight)
{
    weights_[customer] = weight;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
scheduling_decisions basic_pool_scheduler<QueueOrder, EndpointChoice>::add_endpoint(const endpoint_id& endpoint,
                                                                                    time_point now)
{
    scheduling_decisions out;
    dispatch(now, endpoints_.add(endpoint), out);
    return out;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
scheduling_decisions basic_pool_scheduler<QueueOrder, EndpointChoice>::remove_endpoint(const endpoint_id& endpoint,
                                                                                       time_point now)
{
    scheduling_decisions out;
    for (const work_key& key : endpoints_.remove(endpoint))
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
scheduling_decisions basic_pool_scheduler<QueueOrder, EndpointChoice>::set_health(const endpoint_id& endpoint,
                                                                                  double weight, time_point now)
{
    scheduling_decisions out;
    endpoints_.set_health(endpoint, weight);
    dispatch(now, endpoints_.find(endpoint), out);
    return out;
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
    const auto known = requests_.find(work_key{from, request.work.request});
    if (known != requests_.end())
    {
        if (known->second.sequence == 0)
        {
            repeat_grant(from, known->second, out);
        }
        return out;
    }
    const std::size_t at = class_index(request.work.work_class);
    const waiting_work work = describe(from, request.work, classes_[at].record, now);
    if (work.start_by <= now)
    {
        deny(work, error_kind::deadline_unreachable, settings_.shortest_retry, out);
        return out;
    }
    enqueue(at, work, now, out);
    // Work behind others of its class cannot run before them, and their room has not changed.
    const waiting_work* front = classes_[at].queue.front();
    if (front != nullptr && front->sequence == work.sequence)
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
    const work_key key{from, withdrawal.request};
    const auto known = requests_.find(key);
    if (known == requests_.end())
    {
        return out;
    }
    if (known->second.sequence != 0)
    {
        drop_waiting(key);
        dispatch(now, std::nullopt, out);
        return out;
    }
    dispatch(now, forget_permit(known->second.permit, now), out);
    return out;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
scheduling_decisions basic_pool_scheduler<QueueOrder, EndpointChoice>::give_back(const instance_id& /*from*/,
                                                                                 const permit_return& returned,
                                                                                 time_point now)
{
    scheduling_decisions out;
    if (returned.completed)
    {
        lengths_->record(returned.work_class, returned.customer, returned.tokens, now);
    }
    dispatch(now, forget_permit(returned.permit, now), out);
    return out;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
scheduling_decisions basic_pool_scheduler<QueueOrder, EndpointChoice>::register_permit(
    const instance_id& from, const permit_registration& registration, time_point now)
{
    scheduling_decisions out;
    endpoints_.note_gap(registration.endpoint, registration.usual_gap);
    if (endpoints_.renew(registration.permit, registration.tokens_so_far, now))
    {
        return out;
    }
    const work_description& work = registration.work;
    const work_key key{from, work.request};
    drop_waiting(key);
    if (!endpoints_.find(registration.endpoint))
    {
        // Counting the permit would make a removed endpoint known again and send it work.
        return out;
    }
    const std::size_t at = class_index(work.work_class);
    active_permit permit;
    permit.id = registration.permit;
    permit.key = key;
    permit.endpoint = registration.endpoint;
    permit.customer = work.customer;
    permit.work_class = work.work_class;
    permit.uses = classes_[at].record.uses;
    permit.prompt_tokens = work.prompt_tokens;
    permit.max_tokens = work.max_tokens;
    permit.expected_tokens = lengths_->total(work.work_class, work.customer, settings_.reserve_quantile,
                                             registration.tokens_so_far, work.max_tokens);
    permit.first_expected =
        lengths_->total(work.work_class, work.customer, settings_.reserve_quantile, 0, work.max_tokens);
    permit.known_tokens = registration.tokens_so_far;
    permit.known_at = now;
    permit.granted = now;
    permit.expires = now + settings_.permit_lifetime;
    permit.priority = registration.priority;
    endpoints_.insert(permit, true);
    requests_[key] = request_state{at, 0, permit.id, never};
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
    const time_point start = deadlines_.empty() ? never : deadlines_.begin()->at;
    return std::min({start, endpoints_.next_expiry(), slow_start_ends_, next_read_});
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
std::size_t basic_pool_scheduler<QueueOrder, EndpointChoice>::class_index(const class_id& name)
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
    return classes_.size() - 1;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
waiting_work basic_pool_scheduler<QueueOrder, EndpointChoice>::describe(const instance_id& from,
                                                                        const work_description& work,
                                                                        const priority_record& record, time_point now)
{
    const auto weight = weights_.find(work.customer);
    waiting_work waiting;
    waiting.from = from;
    waiting.work = work;
    waiting.arrived = now;
    waiting.start_by = std::min(work.start_by, now + record.default_timeout);
    waiting.sequence = next_sequence_++;
    waiting.weight = weight == weights_.end() ? 1.0 : weight->second;
    const std::int64_t expected =
        lengths_->total(work.work_class, work.customer, settings_.reserve_quantile, 0, work.max_tokens);
    waiting.cost = static_cast<double>(work.prompt_tokens + expected);
    return waiting;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::enqueue(std::size_t class_at, const waiting_work& work,
                                                               time_point now, scheduling_decisions& out)
{
    class_type& target = classes_[class_at];
    const duration wait = expected_wait(target, work, now);
    if (settings_.early_denial && now + wait > work.start_by)
    {
        deny(work, error_kind::deadline_unreachable, now + wait - work.start_by, out);
        return;
    }
    if (target.queue.size() == 0)
    {
        target.drain.start(now);
    }
    const work_key key{work.from, work.work.request};
    target.queue.push(work);
    requests_[key] = request_state{class_at, work.sequence, permit_id{}, work.start_by};
    deadlines_.insert(start_deadline{work.start_by, work.sequence, key});
    ++requests_waiting_;
    if (target.queue.size() > static_cast<std::size_t>(std::max(target.record.queue_limit, 0)))
    {
        // The request that would run last gives way, so that a flood of one customer denies only its own requests.
        const waiting_work worst = take_waiting(class_at, target.queue.worst()->sequence);
        requests_.erase(work_key{worst.from, worst.work.request});
        deny(worst, error_kind::queue_full, wait, out);
    }
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
waiting_work basic_pool_scheduler<QueueOrder, EndpointChoice>::take_waiting(std::size_t class_at,
                                                                            std::uint64_t sequence)
{
    class_type& source = classes_[class_at];
    waiting_work work = source.queue.take(sequence).value_or(waiting_work{});
    deadlines_.erase(start_deadline{work.start_by, work.sequence, work_key{work.from, work.work.request}});
    --requests_waiting_;
    if (source.queue.size() == 0)
    {
        source.drain.stop();
    }
    return work;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
duration basic_pool_scheduler<QueueOrder, EndpointChoice>::expected_wait(const class_type& target,
                                                                         const waiting_work& work, time_point now) const
{
    constexpr double longest_wait_ms = 3'600'000.0;
    const std::optional<double> rate = target.drain.rate(now);
    if (!rate)
    {
        return duration{0};
    }
    const double ahead = target.queue.cost_ahead(work);
    return duration{static_cast<duration::rep>(std::min(ahead / std::max(*rate, 1e-9), longest_wait_ms))};
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::drop_waiting(const work_key& key)
{
    const auto known = requests_.find(key);
    if (known != requests_.end() && known->second.sequence != 0)
    {
        take_waiting(known->second.class_index, known->second.sequence);
        requests_.erase(known);
    }
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::expire(time_point now, scheduling_decisions& out)
{
    while (const std::optional<permit_id> permit = endpoints_.expired(now))
    {
        forget_permit(*permit, now);
    }
    while (!deadlines_.empty() && deadlines_.begin()->at <= now)
    {
        const work_key key = deadlines_.begin()->key;
        const request_state state = requests_.at(key);
        const waiting_work work = take_waiting(state.class_index, state.sequence);
        requests_.erase(key);
        const duration wait = expected_wait(classes_[state.class_index], work, now);
        deny(work, error_kind::deadline_unreachable, wait, out);
    }
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::deny(const waiting_work& work, error_kind kind, duration wait,
                                                            scheduling_decisions& out)
{
    const duration retry = random_.jittered(std::max(wait, settings_.shortest_retry), detail::retry_jitter);
    error why = make_error(kind, "pool " + pool_.value() + ", class " + work.work.work_class.value(), retry);
    out.push_back(scheduling_decision{work.from, permit_denial{work.work.request, std::move(why)}});
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::dispatch(time_point now,
                                                                std::optional<endpoint_table::index> hint,
                                                                scheduling_decisions& out)
{
    expire(now, out);
    while (requests_waiting_ > 0 && grant_next(now, hint, out))
    {
    }
    next_read_ = requests_waiting_ > 0 ? endpoints_.next_read(now) : never;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::order_classes(time_point now)
{
    class_order_.clear();
    const double step = static_cast<double>(std::max<std::int64_t>(settings_.aging_step.count(), 1));
    for (std::size_t at = 0; at < classes_.size(); ++at)
    {
        const waiting_work* front = classes_[at].queue.front();
        if (front != nullptr)
        {
            const double aged = static_cast<double>((now - front->arrived).count()) / step;
            class_order_.push_back(ranked_class{classes_[at].record.level + aged, at});
        }
    }
    std::stable_sort(class_order_.begin(), class_order_.end(),
                     [](const ranked_class& left, const ranked_class& right) { return left.level > right.level; });
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
bool basic_pool_scheduler<QueueOrder, EndpointChoice>::grant_next(time_point now,
                                                                  std::optional<endpoint_table::index> hint,
                                                                  scheduling_decisions& out)
{
    order_classes(now);
    bool shared_is_kept = false;
    for (const ranked_class& ranked : class_order_)
    {
        const priority_record& record = classes_[ranked.at].record;
        if (shared_is_kept && record.uses == lane::shared)
        {
            continue;
        }
        const waiting_work& work = *classes_[ranked.at].queue.front();
        room_request need = room_for(record, work);
        need.reserve_only = shared_is_kept;
        if (const auto at = choose(work, need, hint, now))
        {
            grant(ranked.at, *at, now, out);
            return true;
        }
        shared_is_kept = shared_is_kept || (record.uses == lane::shared && now - work.arrived >= settings_.patience);
    }
    return false;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
std::optional<endpoint_table::index>
basic_pool_scheduler<QueueOrder, EndpointChoice>::choose(const waiting_work& work, const room_request& need,
                                                         std::optional<endpoint_table::index> hint, time_point now)
{
    const std::vector<endpoint_table::index>& open = endpoints_.open();
    const std::size_t examined = std::min(open.size(), settings_.candidates);
    const std::size_t first = examined < open.size() ? random_.index(open.size()) : 0;
    std::optional<endpoint_table::index> best;
    double best_score = -std::numeric_limits<double>::max();
    const auto examine = [&](endpoint_table::index at)
    {
        const double value = score(work, need.uses, at, now);
        if (value > best_score && endpoints_.fits(at, need, now))
        {
            best = at;
            best_score = value;
        }
    };
    for (std::size_t step = 0; step < examined; ++step)
    {
        examine(open[(first + step) % open.size()]);
    }
    if (hint && examined < open.size())
    {
        examine(*hint);
    }
    return best;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
room_request basic_pool_scheduler<QueueOrder, EndpointChoice>::room_for(const priority_record& record,
                                                                        const waiting_work& work) const
{
    room_request need;
    need.uses = record.uses;
    need.prompt_tokens = work.work.prompt_tokens;
    need.expected_tokens =
        lengths_->total(work.work.work_class, work.work.customer, settings_.reserve_quantile, 0, work.work.max_tokens);
    if (work.work.expected_tokens > 0 && need.expected_tokens > 0)
    {
        const double hinted = std::pow(static_cast<double>(work.work.expected_tokens), settings_.hint_weight);
        const double learned = std::pow(static_cast<double>(need.expected_tokens), 1.0 - settings_.hint_weight);
        need.expected_tokens = std::max<std::int64_t>(static_cast<std::int64_t>(hinted * learned), 1);
    }
    return need;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
double basic_pool_scheduler<QueueOrder, EndpointChoice>::score(const waiting_work& work, lane uses,
                                                               endpoint_table::index at, time_point now)
{
    double value = choice_(work.from, work.work, endpoints_.id_of(at)) - endpoints_.busy(at);
    value -= settings_.unhealthy_penalty * (1.0 - endpoints_.health(at));
    value -= settings_.reading_penalty * endpoints_.reading_share(at, now);
    value -= settings_.slowness_penalty * endpoints_.slowness(at);
    if (uses == lane::shared && endpoints_.has_stragglers(at))
    {
        // Short work is not kept away: that cost it more in remote endpoints than stragglers delay it.
        value += settings_.straggler_preference;
    }
    return value;
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::grant(std::size_t class_at, endpoint_table::index at,
                                                             time_point now, scheduling_decisions& out)
{
    class_type& source = classes_[class_at];
    const room_request need = room_for(source.record, *source.queue.front());
    source.drain.add(source.queue.front()->cost, now);
    const waiting_work work = take_waiting(class_at, source.queue.front()->sequence);
    const work_key key{work.from, work.work.request};
    active_permit permit;
    permit.id = permit_id{++next_permit_};
    permit.key = key;
    permit.endpoint = endpoints_.id_of(at);
    permit.customer = work.work.customer;
    permit.work_class = work.work.work_class;
    permit.uses = source.record.uses;
    permit.prompt_tokens = work.work.prompt_tokens;
    permit.max_tokens = work.work.max_tokens;
    permit.expected_tokens = need.expected_tokens;
    permit.first_expected = need.expected_tokens;
    permit.known_at = now;
    permit.granted = now;
    permit.expires = now + settings_.permit_lifetime;
    permit.priority = source.record.level;
    endpoints_.insert(permit, false);
    requests_[key] = request_state{class_at, 0, permit.id, never};
    out.push_back(
        scheduling_decision{work.from, permit_grant{work.work.request, permit.id, permit.endpoint, permit.priority,
                                                    permit.prompt_tokens + permit.expected_tokens, permit.expires}});
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
template <class Preference>
std::optional<scheduling_decision>
basic_pool_scheduler<QueueOrder, EndpointChoice>::offer_place(const active_permit& run, time_point now,
                                                              Preference preference)
{
    room_request need;
    need.uses = lane::reserved;
    need.prompt_tokens = run.prompt_tokens + run.known_tokens;
    need.expected_tokens = std::max<std::int64_t>(run.expected_tokens - run.known_tokens, 1);
    std::optional<endpoint_table::index> best;
    double best_score = -std::numeric_limits<double>::max();
    for (const endpoint_table::index at : endpoints_.open())
    {
        const std::optional<double> preferred = preference(endpoints_.id_of(at));
        if (!preferred || endpoints_.id_of(at) == run.endpoint)
        {
            continue;
        }
        const double value = *preferred - endpoints_.busy(at) - settings_.slowness_penalty * endpoints_.slowness(at);
        if (value > best_score && endpoints_.fits(at, need, now))
        {
            best = at;
            best_score = value;
        }
    }
    if (!best)
    {
        return std::nullopt;
    }
    active_permit place = run;
    place.id = permit_id{++next_permit_};
    place.endpoint = endpoints_.id_of(*best);
    place.granted = now;
    place.known_at = now;
    place.expires = now + settings_.permit_lifetime;
    place.straggler = false;
    place.reads_prompt = false;
    endpoints_.insert(place, false);
    requests_[place.key] = request_state{class_index(place.work_class), 0, place.id, never};
    return scheduling_decision{place.key.from, permit_grant{place.key.request, place.id, place.endpoint, place.priority,
                                                            need.prompt_tokens + need.expected_tokens, place.expires}};
}

template <queue_order QueueOrder, endpoint_choice EndpointChoice>
void basic_pool_scheduler<QueueOrder, EndpointChoice>::repeat_grant(const instance_id& from, const request_state& state,
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
std::optional<endpoint_table::index> basic_pool_scheduler<QueueOrder, EndpointChoice>::forget_permit(permit_id permit,
                                                                                                     time_point now)
{
    const std::optional<active_permit> ended = endpoints_.erase(permit, now);
    if (!ended)
    {
        return std::nullopt;
    }
    const auto known = requests_.find(ended->key);
    if (known != requests_.end() && known->second.sequence == 0 && known->second.permit == permit)
    {
        requests_.erase(known);
    }
    return endpoints_.find(ended->endpoint);
}

} // namespace parsleyshift
