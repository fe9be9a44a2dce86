#include "zone_traffic.hpp" // zone_traffic

#include "core_state.hpp" // core_state

#include <algorithm> // any_of, count_if, find, find_if, max, min
#include <cmath>     // round
#include <utility>   // move
#include <variant>   // get_if, visit

namespace parsleyshift::detail
{
namespace
{

/// Time of one output token of a run, in milliseconds, at the usual load of an engine: 70 to 97 tokens a second.
constexpr double ms_per_output_token = 11.0;
/// Bytes of a prompt token in a request, and of an output token with its part of an event in an answer.
constexpr std::int64_t bytes_per_prompt_token = 4;
constexpr std::int64_t bytes_per_output_token = 30;
/// Output tokens of one message of a stream.
constexpr std::int64_t tokens_per_message = 4;
/// Bytes assumed for a request of a plain service and its answer.
constexpr std::int64_t plain_bytes = 2'000;
/// Interval at which the slots of each zone are counted again.
constexpr duration slots_interval{250};
/// Time after which a request without a decision is forgotten; longer than any time limit of a stream's start.
constexpr duration pending_lifetime{60'000};
/// Prefill rate used when the scheduler does not account for prefill.
constexpr double default_prefill_tokens_per_ms = 7.0;

bool has_regional_terms(const forwarding_configuration& configuration)
{
    const auto restricted = [](const auto& each)
    {
        return each.regions.restricted();
    };
    return std::any_of(configuration.routes.begin(), configuration.routes.end(), restricted) ||
           (configuration.customers &&
            std::any_of(configuration.customers->begin(), configuration.customers->end(), restricted));
}

bool is_excluded(const routing_query& query, const endpoint_entry& entry)
{
    return std::find(query.excluded.begin(), query.excluded.end(), entry.endpoint) != query.excluded.end();
}

} // namespace

zone_traffic::zone_traffic(const core_settings& settings)
    : mode_(settings.zone_traffic.mode),
      kept_home_(settings.zone_traffic.services_kept_home),
      // The scheduler weighs a prefill backlog of max_prefill_backlog with prefill_penalty, which gives the unit of its
      // scores in milliseconds of delay: 1,000 ms with the defaults.
      score_unit_ms_(static_cast<double>(std::max<duration::rep>(settings.scheduling.max_prefill_backlog.count(), 1)) /
                     std::max(settings.scheduling.prefill_penalty, 0.01)),
      prefill_tokens_per_ms_(settings.scheduling.prefill_tokens_per_ms > 0.0 ? settings.scheduling.prefill_tokens_per_ms
                                                                             : default_prefill_tokens_per_ms),
      balancer_(settings.zone_traffic, zone_place{settings.self.availability_zone, settings.self.region}),
      answer_costs_(settings.self.availability_zone)
{
}

void zone_traffic::configure(const forwarding_configuration& configuration, std::vector<zone_place> zones)
{
    zones_ = std::move(zones);
    std::unordered_map<region_id, int> zones_of_region;
    for (const zone_place& place : zones_)
    {
        ++zones_of_region[place.region];
    }
    const auto regions_with_zones = std::count_if(zones_of_region.begin(), zones_of_region.end(),
                                                  [](const auto& region) { return region.second >= 2; });
    const bool called_for = has_regional_terms(configuration) && regions_with_zones >= 2;
    active_ = mode_ == zone_traffic_mode::adaptive || (mode_ == zone_traffic_mode::by_configuration && called_for);
}

zone_place zone_traffic::place_of(const core_state& state, const zone_id& zone)
{
    return zone_place{zone, state.entries.region_of(zone)};
}

void zone_traffic::record_probe(const core_state& state, const member_probe& probed)
{
    if (const member_update* member = state.members.find(probed.instance))
    {
        balancer_.paths().record_probe(zone_place{member->availability_zone, member->region}, probed.round_trip,
                                       state.now);
    }
}

zone_work zone_traffic::describe(const core_state& state, const work_description& work)
{
    zone_work described;
    described.slack =
        work.timely_start == never ? duration::max() : std::max(work.timely_start - state.now, duration{0});
    if (work.plain)
    {
        described.size.bytes = plain_bytes;
        return described;
    }
    const std::int64_t output =
        std::max<std::int64_t>(state.lengths.total(work.work_class, work.customer, 0.5, 0, work.max_tokens), 1);
    const double prefill_ms = static_cast<double>(work.prompt_tokens) / default_prefill_tokens_per_ms;
    described.run = duration{
        static_cast<duration::rep>(std::round(prefill_ms + static_cast<double>(output) * ms_per_output_token))};
    described.size.bytes = work.prompt_tokens * bytes_per_prompt_token + output * bytes_per_output_token;
    described.size.messages = std::max<std::int64_t>(output / tokens_per_message, 1);
    return described;
}

double zone_traffic::preference(const core_state& state, const member_update& requester, const work_description& work,
                                const endpoint_entry& endpoint)
{
    const auto found = pending_.find(request_key{requester.instance, work.request});
    const zone_place home{requester.availability_zone, requester.region};
    const zone_place there = place_of(state, endpoint.availability_zone);
    zone_work described = found != pending_.end() ? found->second.work : describe(state, work);
    if (found != pending_.end())
    {
        found->second.home_considered = found->second.home_considered || home.zone == there.zone;
        if (described.slack != duration::max())
        {
            described.slack = std::max(work.timely_start - state.now, duration{0});
        }
    }
    double delay_ms = balancer_.cost_ms(work.service, home, there, described, state.now);
    if (!work.prefixes.empty() && work.prompt_tokens > 0)
    {
        const auto prompt = static_cast<double>(work.prompt_tokens);
        const double cached = std::min(state.prefixes.saved_tokens(endpoint.endpoint, work.prefixes), prompt);
        delay_ms += (prompt - cached) / prefill_tokens_per_ms_;
    }
    return -delay_ms / score_unit_ms_;
}

void zone_traffic::record_arrival(core_state& state, const instance_id& requester, const permit_request& request)
{
    const member_update* member = state.members.find(requester);
    const request_key key{requester, request.work.request};
    // The instance has chosen the zone of a plain request and counted it.
    if (!active_ || request.work.plain || member == nullptr || pending_.contains(key))
    {
        return;
    }
    refresh_slots(state, request.pool);
    const zone_work described = describe(state, request.work);
    pending_.emplace(key, pending_request{request.work.service, described, state.now, false});
    balancer_.record_arrival(request.work.service, member->availability_zone, described, state.now);
}

void zone_traffic::record_decision(core_state& state, const scheduling_decision& decision)
{
    const auto decided = std::visit([](const auto& message) { return message.request; }, decision.message);
    const auto found = pending_.find(request_key{decision.to, decided});
    if (found == pending_.end())
    {
        return;
    }
    const auto* grant = std::get_if<permit_grant>(&decision.message);
    const endpoint_entry* endpoint = grant != nullptr ? state.directory.find(grant->endpoint) : nullptr;
    const member_update* requester = state.members.find(decision.to);
    if (endpoint != nullptr && requester != nullptr)
    {
        const pending_request& request = found->second;
        const zone_place home{requester->availability_zone, requester->region};
        const zone_place there = place_of(state, endpoint->availability_zone);
        balancer_.record_start(request.service, home, there, request.work, state.now);
        const auto away = request.home_considered ? zone_choice_reason::sooner : zone_choice_reason::home_full;
        state.emit(record_zone_choice{request.service, home.zone, there.zone,
                                      home.zone == there.zone ? zone_choice_reason::home : away});
        log_changes(state, balancer_.take_direction_changes());
    }
    pending_.erase(found);
}

void zone_traffic::refresh_slots(const core_state& state, const pool_id& pool)
{
    time_point& refreshed = slots_refreshed_[pool];
    if (state.now - refreshed < slots_interval)
    {
        return;
    }
    refreshed = state.now;
    std::unordered_map<zone_id, double> slots;
    service_id service;
    for (const endpoint_entry* entry : state.directory.endpoints_of(pool))
    {
        service = entry->service;
        const double listed = static_cast<double>(entry->load ? entry->load->slots : entry->slots);
        const double usable = entry->leaving ? 0.0 : listed * state.health.weight(entry->endpoint, state.now);
        slots[entry->availability_zone] += usable;
    }
    for (const zone_place& place : zones_)
    {
        // A zone that lost all its endpoints is known to have none.
        slots.try_emplace(place.zone, 0.0);
    }
    for (const auto& [zone, count] : slots)
    {
        balancer_.set_slots(service, place_of(state, zone), count);
    }
}

std::optional<zone_id> zone_traffic::choose_plain(core_state& state, const routing_query& query,
                                                  std::span<const endpoint_candidate> candidates)
{
    const bool kept_home = std::find(kept_home_.begin(), kept_home_.end(), query.service.value()) != kept_home_.end();
    if (!active_ || kept_home)
    {
        return std::nullopt;
    }
    const zone_place home{state.self().availability_zone, state.self().region};
    const double even_share = 1.0 / static_cast<double>(std::max<std::size_t>(candidates.size(), 1));
    std::vector<zone_option> options;
    for (const endpoint_candidate& candidate : candidates)
    {
        const endpoint_entry& entry = *candidate.entry;
        // As in the endpoint chooser, an endpoint that recovers gets at most its weight times an even share.
        const bool rests = candidate.weight < 1.0 && state.random.fraction() >= candidate.weight * even_share;
        if (entry.leaving || rests || is_excluded(query, entry))
        {
            continue;
        }
        const auto known =
            std::find_if(options.begin(), options.end(),
                         [&entry](const zone_option& option) { return option.zone == entry.availability_zone; });
        if (known != options.end())
        {
            known->in_flight = std::min(known->in_flight, candidate.load.requests);
            continue;
        }
        const zone_place there = place_of(state, entry.availability_zone);
        const transfer_size size{plain_bytes, 1};
        options.push_back(zone_option{there.zone, candidate.load.requests,
                                      balancer_.paths().time_ms(home, there, size, state.now),
                                      balancer_.paths().price_ms(home, there, size)});
    }
    const auto chosen = answer_costs_.choose(query.service, options, state.now, state.random);
    log_changes(state, answer_costs_.take_direction_changes());
    return chosen;
}

void zone_traffic::record_plain_choice(core_state& state, const endpoint_entry& chosen,
                                       std::span<const endpoint_candidate> candidates) const
{
    if (!active_)
    {
        return;
    }
    const zone_id& home = state.self().availability_zone;
    zone_choice_reason reason = zone_choice_reason::home;
    if (chosen.availability_zone != home)
    {
        const auto is_home = [&home](const endpoint_candidate& candidate)
        {
            return candidate.entry->availability_zone == home && !candidate.entry->leaving;
        };
        const bool has_home = std::any_of(candidates.begin(), candidates.end(), is_home);
        reason = has_home ? zone_choice_reason::sooner : zone_choice_reason::home_empty;
    }
    state.emit(record_zone_choice{chosen.service, home, chosen.availability_zone, reason});
}

void zone_traffic::record_plain_answer(const core_state& state, const endpoint_id& endpoint, duration elapsed)
{
    const endpoint_entry* entry = state.directory.find(endpoint);
    if (active_ && entry != nullptr)
    {
        answer_costs_.record_answer(entry->service, entry->availability_zone, elapsed, state.now);
    }
}

void zone_traffic::purge(time_point now)
{
    std::erase_if(pending_, [now](const auto& each) { return now - each.second.arrived > pending_lifetime; });
}

void zone_traffic::log_changes(core_state& state, const std::vector<zone_direction_change>& changes) const
{
    for (const zone_direction_change& change : changes)
    {
        state.log(log_event::zone_direction_changed,
                  "service=" + change.service.value() + " from=" + change.from.value() + " to=" + change.to.value() +
                      (change.begins ? " begins" : " ends") +
                      " percent=" + std::to_string(static_cast<int>(std::round(change.share * 100.0))) +
                      " home_ms=" + std::to_string(static_cast<int>(std::round(change.home_ms))) +
                      " there_ms=" + std::to_string(static_cast<int>(std::round(change.there_ms))));
    }
}

} // namespace parsleyshift::detail
