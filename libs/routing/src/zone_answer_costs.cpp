#include <parsleyshift/routing/zone_answer_costs.hpp> // zone_answer_costs

#include <algorithm> // find_if, max, min
#include <cmath>     // exp
#include <limits>    // numeric_limits
#include <utility>   // exchange, move

namespace parsleyshift
{

namespace
{

/// Time over which the times of answers are averaged.
constexpr double average_window_ms = 500.0;
/// Time in which the usual time follows a lasting change.
constexpr double usual_window_ms = 60'000.0;

double age_ms(time_point from, time_point to)
{
    return static_cast<double>(std::max((to - from).count(), duration::rep{0}));
}

} // namespace

zone_answer_costs::zone_answer_costs(zone_id home) : home_(std::move(home)) {}

void zone_answer_costs::record_answer(const service_id& service, const zone_id& zone, duration elapsed,
                                      time_point as_of)
{
    zone_state& state = services_[service].zones[zone];
    const double age = age_ms(state.as_of, as_of);
    const double kept = std::exp(-age / average_window_ms);
    state.weighted_ms = state.weighted_ms * kept + static_cast<double>(elapsed.count());
    state.weight = state.weight * kept + 1.0;
    const double mean = state.weighted_ms / state.weight;
    const double followed = state.usual_ms + (1.0 - std::exp(-age / usual_window_ms)) * (mean - state.usual_ms);
    state.usual_ms = state.usual_ms <= 0.0 ? mean : std::min(mean, followed);
    state.as_of = std::max(state.as_of, as_of);
}

double zone_answer_costs::cost_ms(const service_id& service, const zone_option& option, time_point now) const
{
    double cost = option.path_ms + option.price_ms + in_flight_ms * option.in_flight;
    const auto state = services_.find(service);
    if (state == services_.end())
    {
        return cost;
    }
    const auto& zones = state->second.zones;
    const auto there = zones.find(option.zone);
    if (there == zones.end() || there->second.weight <= 0.0)
    {
        return cost;
    }
    const zone_state& answers = there->second;
    const double excess = std::max(answers.weighted_ms / answers.weight - answers.usual_ms, 0.0);
    cost += excess * std::exp(-age_ms(answers.as_of, now) / static_cast<double>(answer_lifetime.count()));
    if (const auto home = zones.find(home_); home != zones.end() && home->second.weight > 0.0)
    {
        // A path that takes longer than the settings and the probes say, for as long as this has been measured.
        cost += std::max(answers.usual_ms - home->second.usual_ms - option.path_ms, 0.0);
    }
    return cost;
}

std::optional<zone_id> zone_answer_costs::choose(const service_id& service, std::span<const zone_option> options,
                                                 time_point now, random_source& random)
{
    service_state& state = services_[service];
    const zone_option* best = nullptr;
    double lowest = std::numeric_limits<double>::infinity();
    for (const zone_option& option : options)
    {
        double cost = cost_ms(service, option, now);
        if (option.zone != home_)
        {
            const auto there = state.zones.find(option.zone);
            const bool in_use = there != state.zones.end() && there->second.direction.active();
            cost += in_use ? end_margin_ms : begin_margin_ms;
        }
        cost += std::max(cost, 1.0) * cost_jitter * random.fraction();
        if (cost < lowest)
        {
            lowest = cost;
            best = &option;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    record_choice(service, state, options, best->zone, now);
    return best->zone;
}

void zone_answer_costs::record_choice(const service_id& service, service_state& state,
                                      std::span<const zone_option> options, const zone_id& chosen, time_point now)
{
    state.requests.add(1.0, now);
    state.zones[chosen].chosen.add(1.0, now);
    const auto home = std::find_if(options.begin(), options.end(),
                                   [this](const zone_option& option) { return option.zone == home_; });
    for (const zone_option& option : options)
    {
        zone_state& there = state.zones[option.zone];
        const double share = there.chosen.value(now) / state.requests.value(now);
        if (option.zone != home_ && there.direction.update(share, now))
        {
            const double home_cost = home != options.end() ? cost_ms(service, *home, now) : 0.0;
            changes_.push_back(zone_direction_change{service, home_, option.zone, there.direction.active(), share,
                                                     home_cost, cost_ms(service, option, now)});
        }
    }
}

std::vector<zone_direction_change> zone_answer_costs::take_direction_changes()
{
    return std::exchange(changes_, {});
}

} // namespace parsleyshift
