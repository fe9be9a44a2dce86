#include <parsleyshift/routing/zone_balancer.hpp> // zone_balancer

#include <algorithm> // clamp, fill, max, max_element, min
#include <cmath>     // pow, sqrt
#include <utility>   // exchange

namespace parsleyshift
{

namespace
{

/// Use of the slots above which the formula for the wait would grow without bound.
constexpr double max_use = 0.99;
/// Use of the slots from which on other zones' callers take slots that the zone's own callers may need.
constexpr double reserve_begins = 0.85;
/// Run time assumed for a zone whose callers have sent nothing lately.
constexpr double default_run_ms = 1'000.0;

/// Time for which the expected wait of a zone is used again.
constexpr duration evaluation_lifetime{20};

std::int64_t second_of(time_point now)
{
    return to_ms(now) / 1'000;
}

} // namespace

void zone_balancer::load_peak::add(double load, time_point now)
{
    const std::int64_t current = second_of(now);
    const auto size = static_cast<std::int64_t>(highest.size());
    if (current - second >= size)
    {
        highest.fill(0.0);
        second = current;
    }
    for (; second < current; ++second)
    {
        highest[static_cast<std::size_t>((second + 1) % size)] = 0.0;
    }
    double& slot = highest[static_cast<std::size_t>(current % size)];
    slot = std::max(slot, load);
}

double zone_balancer::load_peak::value(time_point now) const
{
    const auto size = static_cast<std::int64_t>(highest.size());
    return second_of(now) - second >= size ? 0.0 : *std::max_element(highest.begin(), highest.end());
}

zone_balancer::zone_balancer(const zone_traffic_settings& settings, const zone_place& own) : paths_(settings, own)
{
    for (const std::string& service : settings.services_kept_home)
    {
        kept_home_.insert(service_id{service});
    }
}

void zone_balancer::set_slots(const service_id& service, const zone_place& zone, double slots)
{
    zone_state& state = services_[service][zone.zone];
    state.region = zone.region;
    state.slots = std::max(slots, 0.0);
    state.known = true;
}

void zone_balancer::record_arrival(const service_id& service, const zone_id& home, const zone_work& work,
                                   time_point now)
{
    zone_state& state = services_[service][home];
    state.arrived.add(static_cast<double>(work.run.count()), now);
    state.requests.add(1.0, now);
    state.peak.add(state.arrived.per_ms(now), now);
}

void zone_balancer::record_start(const service_id& service, const zone_place& home, const zone_place& to,
                                 const zone_work& work, time_point now)
{
    service_state& zones = services_[service];
    zone_state& state = zones[home.zone];
    state.started.add(1.0, now);
    if (home.zone != to.zone)
    {
        const auto run_ms = static_cast<double>(work.run.count());
        state.sent.add(run_ms, now);
        state.to[to.zone].requests.add(1.0, now);
        zones[to.zone].received.add(run_ms, now);
        paths_.record_transfer(home, to, work.size.bytes, now);
    }
    update_directions(service, home.zone, state, now);
}

void zone_balancer::update_directions(const service_id& service, const zone_id& home, zone_state& state, time_point now)
{
    for (auto& [zone, flow] : state.to)
    {
        const double part = flow.requests.value(now) / state.started.value(now);
        if (flow.direction.update(part, now))
        {
            changes_.push_back(zone_direction_change{service, home, zone, flow.direction.active(), part,
                                                     evaluate(state, now).wait_ms, wait_ms(service, zone, now)});
        }
    }
}

const zone_balancer::zone_state* zone_balancer::find(const service_id& service, const zone_id& zone) const
{
    const auto zones = services_.find(service);
    if (zones == services_.end())
    {
        return nullptr;
    }
    const auto state = zones->second.find(zone);
    return state != zones->second.end() ? &state->second : nullptr;
}

double zone_balancer::expected_wait(const zone_state& state, time_point now)
{
    const double requests = state.requests.value(now);
    const double run_ms = requests > 0.0 ? state.arrived.value(now) / requests : default_run_ms;
    const double load = std::max(state.arrived.per_ms(now) - state.sent.per_ms(now), 0.0) + state.received.per_ms(now);
    if (state.slots < 1.0)
    {
        return load > 0.0 ? run_ms : 0.0;
    }
    // Sakasegawa's approximation of the mean wait for one of several servers, and the backlog of one run time above
    // the capacity.
    const double use = std::min(load / state.slots, max_use);
    const double exponent = std::sqrt(2.0 * (state.slots + 1.0)) - 1.0;
    const double wait = run_ms / state.slots * std::pow(use, exponent) / (1.0 - use);
    return wait + run_ms * std::max(load / state.slots - 1.0, 0.0);
}

double zone_balancer::reserve_cost(const zone_state& state, time_point now)
{
    if (state.slots <= 0.0)
    {
        return 0.0;
    }
    const double needed = std::max(state.peak.value(now), state.arrived.per_ms(now)) + state.received.per_ms(now);
    const double beyond = (needed / state.slots - reserve_begins) / (1.0 - reserve_begins);
    return reserve_ms * std::clamp(beyond, 0.0, 1.0);
}

const zone_balancer::evaluation& zone_balancer::evaluate(const zone_state& state, time_point now)
{
    if (now - state.latest.as_of >= evaluation_lifetime)
    {
        state.latest = evaluation{expected_wait(state, now), reserve_cost(state, now), now};
    }
    return state.latest;
}

double zone_balancer::wait_ms(const service_id& service, const zone_id& zone, time_point now) const
{
    const zone_state* state = find(service, zone);
    return state != nullptr ? evaluate(*state, now).wait_ms : 0.0;
}

double zone_balancer::own_load(const service_id& service, const zone_id& zone, time_point now) const
{
    const zone_state* state = find(service, zone);
    return state != nullptr ? state->arrived.per_ms(now) : 0.0;
}

double zone_balancer::cost_ms(const service_id& service, const zone_place& home, const zone_place& to,
                              const zone_work& work, time_point now) const
{
    if (home.zone == to.zone)
    {
        return 0.0;
    }
    const double path = paths_.time_ms(home, to, work.size, now);
    double cost = path + paths_.price_ms(home, to, work.size);
    // Half of the path's time passes before the work begins.
    const bool late = work.slack != duration::max() && static_cast<double>(work.slack.count()) < path / 2.0;
    cost += late ? late_start_ms : 0.0;
    cost += kept_home_.contains(service) ? kept_home_ms : 0.0;
    const zone_state* there = find(service, to.zone);
    if (there == nullptr || !there->known)
    {
        return cost + unknown_zone_ms;
    }
    const zone_state* here = find(service, home.zone);
    double margin = begin_margin_ms;
    if (here != nullptr)
    {
        const auto flow = here->to.find(to.zone);
        const bool in_use = flow != here->to.end() && flow->second.direction.active();
        const double gain = std::max(evaluate(*here, now).wait_ms - evaluate(*there, now).wait_ms, 0.0);
        margin = std::max((in_use ? end_margin_ms : begin_margin_ms) - gain, 0.0);
    }
    if (home.region != to.region)
    {
        const double region_gain = shortest_wait(service, home.region, now) - evaluate(*there, now).wait_ms;
        margin += std::max(region_margin_ms - std::max(region_gain, 0.0), 0.0);
    }
    // The gain cancels the margin only: the path, the price and the reserve still tell the other zones apart.
    return cost + margin + evaluate(*there, now).reserve_ms;
}

double zone_balancer::shortest_wait(const service_id& service, const region_id& region, time_point now) const
{
    double shortest = late_start_ms;
    for (const auto& [zone, state] : services_.at(service))
    {
        if (state.region == region && state.slots >= 1.0)
        {
            shortest = std::min(shortest, evaluate(state, now).wait_ms);
        }
    }
    return shortest;
}

double zone_balancer::share(const service_id& service, const zone_id& home, const zone_id& to, time_point now) const
{
    const zone_state* state = find(service, home);
    if (state == nullptr)
    {
        return 0.0;
    }
    const auto flow = state->to.find(to);
    return flow != state->to.end() ? flow->second.requests.value(now) / state->started.value(now) : 0.0;
}

std::vector<zone_direction_change> zone_balancer::take_direction_changes()
{
    return std::exchange(changes_, {});
}

} // namespace parsleyshift
