#include <parsleyshift/placement/placement_planner.hpp>

#include <parsleyshift/core/hash.hpp>            // rendezvous_score
#include <parsleyshift/placement/assignment.hpp> // assign_models, sequence_hash_of, no_model
#include <parsleyshift/placement/fence.hpp>      // encode_fence, decode_fence

#include <algorithm> // max, min, sort
#include <string>    // to_string
#include <utility>   // move

namespace parsleyshift
{

namespace
{

/// @brief Returns the entry slots whose holders may plan a service: those with the highest rendezvous scores of all
/// slots that exist.
std::vector<int> choose_planner_slots(const service_id& service, int entry_slots, std::size_t count)
{
    std::vector<int> slots;
    for (int slot = 0; slot < entry_slots; ++slot)
    {
        slots.push_back(slot);
    }
    const auto score = [&](int slot)
    {
        return rendezvous_score(service.value(), std::to_string(slot));
    };
    std::sort(slots.begin(), slots.end(), [&](int first, int second) { return score(first) > score(second); });
    slots.resize(std::min(slots.size(), count));
    return slots;
}

} // namespace

placement_planner::placement_planner(member_update self, placement_settings settings)
    : self_(std::move(self)), settings_(settings)
{
}

void placement_planner::set_configuration(placement_configuration configuration, time_point now)
{
    if (configuration.latest_revision < configuration_.latest_revision)
    {
        return;
    }
    if (configuration.latest_revision > configuration_.latest_revision)
    {
        configuration_since_ = now;
    }
    configuration_ = std::move(configuration);
    rebuild_plans();
    set_store_rates(now);
}

void placement_planner::set_endpoints(std::vector<placement_endpoint> endpoints)
{
    std::vector<planned_endpoint> previous = std::move(endpoints_);
    const std::unordered_map<endpoint_id, std::size_t> previous_index = std::move(index_);
    endpoints_.clear();
    index_.clear();
    for (placement_endpoint& listed : endpoints)
    {
        if (!index_.emplace(listed.endpoint, endpoints_.size()).second)
        {
            continue;
        }
        const auto previous_entry = previous_index.find(listed.endpoint);
        endpoints_.push_back(previous_entry == previous_index.end() ? planned_endpoint{}
                                                                    : std::move(previous[previous_entry->second]));
        endpoints_.back().properties = std::move(listed);
    }
    rebuild_plans();
}

void placement_planner::update_members(std::span<const member_update> members)
{
    // No valid fleet record has a higher slot number; invalid updates must not enlarge live_slots_ without limit.
    constexpr int max_entry_slot = 65'535;
    live_slots_.clear();
    for (const member_update& member : members)
    {
        const bool is_live = member.state == member_state::alive || member.state == member_state::suspect;
        if (!is_live || member.entry_slot < 0 || member.entry_slot > max_entry_slot)
        {
            continue;
        }
        const auto slot = static_cast<std::size_t>(member.entry_slot);
        live_slots_.resize(std::max(live_slots_.size(), slot + 1), false);
        live_slots_[slot] = true;
    }
}

void placement_planner::handle(const load_report& report, time_point now)
{
    const auto found = index_.find(report.endpoint);
    if (found == index_.end())
    {
        return;
    }
    planned_endpoint& endpoint = endpoints_[found->second];
    endpoint.reported_at = now;
    endpoint.report = report;
    const auto same_service = [&](const service_plan& plan)
    {
        return plan.service.name == endpoint.properties.service;
    };
    const auto plan = std::find_if(plans_.begin(), plans_.end(), same_service);
    if (plan == plans_.end() || !plan->service.honours_fencing)
    {
        // Without a fencing number in the report, only one received this long after the answer is certain to be newer.
        endpoint.confirmed = now > endpoint.answered_at + settings_.max_report_age;
        return;
    }
    // A lower fencing number is a stale report shortly after an answer; later it means that the engine has restarted.
    const bool stale =
        report.fence < encode_fence(endpoint.accepted) && now < endpoint.accepted_since + settings_.order_timeout;
    if (!stale && endpoint.accepted != decode_fence(report.fence))
    {
        endpoint.accepted = decode_fence(report.fence);
        endpoint.accepted_since = now;
    }
    endpoint.confirmed = !stale;
}

void placement_planner::handle(const placement_answered& answer, time_point now)
{
    const auto found = index_.find(answer.order.endpoint);
    if (found == index_.end())
    {
        return;
    }
    planned_endpoint& endpoint = endpoints_[found->second];
    endpoint.order_pending_until = now;
    endpoint.answered_at = now;
    endpoint.confirmed = false;
    if (answer.accepted)
    {
        endpoint.accepted = decode_fence(answer.order.fence);
        endpoint.accepted_since = now;
    }
}

void placement_planner::expire(time_point now, std::vector<send_placement_order>& out)
{
    if (now < next_pass_)
    {
        return;
    }
    next_pass_ = now + settings_.pass_interval;
    deferrals_.clear();
    const std::size_t sent_before = out.size();
    for (service_plan& plan : plans_)
    {
        const auto& slots = plan.planner_slots;
        if (plan.models.empty() || std::find(slots.begin(), slots.end(), self_.entry_slot) == slots.end())
        {
            continue;
        }
        plan.update_capacity(endpoints_, now - settings_.max_report_age);
        for (std::size_t count = 0; count < plan.endpoints.size(); ++count)
        {
            const std::size_t position = (first_position_ + count) % plan.endpoints.size();
            if (out.size() - sent_before < settings_.max_orders_per_pass)
            {
                append_next_order(plan, position, now, out);
            }
        }
    }
    ++first_position_;
}

time_point placement_planner::next_deadline() const
{
    return next_pass_;
}

const std::vector<placement_deferral>& placement_planner::deferrals() const
{
    return deferrals_;
}

void placement_planner::rebuild_plans()
{
    plans_.clear();
    for (const auto& revised : configuration_.services)
    {
        if (revised.record.kind == service_kind::engine)
        {
            plans_.push_back(build_plan(revised.record));
            const service_plan& plan = plans_.back();
            for (const std::size_t index : plan.endpoints)
            {
                endpoints_[index].preferred = preferred_model(plan.models, endpoints_[index].properties.endpoint);
            }
        }
    }
}

service_plan placement_planner::build_plan(const service_record& service) const
{
    service_plan plan;
    plan.service = service;
    for (const auto& model : configuration_.models)
    {
        if (model.record.service == service.name)
        {
            plan.models.push_back(model.record);
        }
    }
    std::sort(plan.models.begin(), plan.models.end(),
              [](const model_record& first, const model_record& second) { return first.name < second.name; });
    for (const model_record& model : plan.models)
    {
        plan.sequence_hashes.push_back(sequence_hash_of(model));
    }
    const region_id& store_region = configuration_.fleet.store_region;
    std::vector<const placement_endpoint*> loadable;
    std::vector<std::size_t> loadable_positions;
    for (std::size_t index = 0; index < endpoints_.size(); ++index)
    {
        const placement_endpoint& endpoint = endpoints_[index].properties;
        if (endpoint.service != service.name)
        {
            continue;
        }
        if (store_region.empty() || endpoint.region == store_region)
        {
            loadable.push_back(&endpoint);
            loadable_positions.push_back(plan.endpoints.size());
        }
        plan.endpoints.push_back(index);
    }
    plan.assigned_models.assign(plan.endpoints.size(), no_model);
    const std::vector<std::size_t> assigned = assign_models(plan.models, loadable);
    for (std::size_t index = 0; index < assigned.size(); ++index)
    {
        plan.assigned_models[loadable_positions[index]] = assigned[index];
    }
    plan.planner_slots =
        choose_planner_slots(service.name, configuration_.fleet.entry_slots, settings_.planners_per_service);
    return plan;
}

void placement_planner::set_store_rates(time_point now)
{
    for (const service_plan& plan : plans_)
    {
        std::int64_t largest_load = 0;
        for (const model_record& model : plan.models)
        {
            largest_load = std::max(largest_load, model.weight_bytes);
        }
        // Each service gets an equal part of the store's rate, and each of its planner slots an equal part of that.
        const std::size_t parts = plans_.size() * std::max<std::size_t>(1, plan.planner_slots.size());
        const auto rate = static_cast<double>(configuration_.fleet.store_bytes_per_second);
        budgets_[plan.service.name].set_rate(rate / static_cast<double>(parts), largest_load, now);
    }
}

void placement_planner::append_next_order(const service_plan& plan, std::size_t position, time_point now,
                                          std::vector<send_placement_order>& out)
{
    planned_endpoint& endpoint = endpoints_[plan.endpoints[position]];
    if (!owns(plan, endpoint.properties.endpoint))
    {
        return;
    }
    const auto defer = [&](deferral_reason reason)
    {
        deferrals_.push_back({endpoint.properties.endpoint, reason});
    };
    const std::size_t model = plan.assigned_models[position];
    const bool fenced = plan.service.honours_fencing;
    const duration max_age = fenced ? settings_.max_report_age : settings_.max_report_age_without_fencing;
    if (!endpoint.report || endpoint.reported_at < now - max_age || endpoint.report->leaving)
    {
        return defer(deferral_reason::no_report);
    }
    if (model == no_model)
    {
        return defer(deferral_reason::other_region);
    }
    const std::optional<placement_step> step = plan.next_step(endpoint, model);
    if (!step)
    {
        return;
    }
    if (endpoint.accepted.configuration > configuration_.latest_revision)
    {
        return defer(deferral_reason::behind);
    }
    if (now < configuration_since_ + (fenced ? settings_.hold_off : settings_.hold_off_without_fencing))
    {
        return defer(deferral_reason::hold_off);
    }
    if (must_wait(plan, endpoint, *step, now))
    {
        return defer(deferral_reason::in_progress);
    }
    const bool unloads = step->order.action == placement_action::unload_model;
    if (!unloads && !plan.may_take_out_of_service(endpoint))
    {
        return defer(deferral_reason::capacity);
    }
    const bool loads = step->order.action == placement_action::load_model;
    if (loads && !budgets_[plan.service.name].try_spend(plan.models[model].weight_bytes, now))
    {
        return defer(deferral_reason::store_rate);
    }
    endpoint.order_pending_until = now + settings_.order_timeout;
    send_placement_order sent{endpoint.properties.address, step->order};
    sent.order.fence = next_fence(endpoint, step->sequence_hash);
    endpoint.last_sent = sent.order.fence;
    out.push_back(std::move(sent));
}

bool placement_planner::owns(const service_plan& plan, const endpoint_id& endpoint) const
{
    const auto score = [&](int slot)
    {
        return rendezvous_score(endpoint.value(), std::to_string(slot));
    };
    const std::uint64_t own = score(self_.entry_slot);
    for (const int slot : plan.planner_slots)
    {
        const auto index = static_cast<std::size_t>(slot);
        const bool is_live = index < live_slots_.size() && live_slots_[index];
        if (slot != self_.entry_slot && is_live && score(slot) > own)
        {
            return false;
        }
    }
    return true;
}

bool placement_planner::must_wait(const service_plan& plan, const planned_endpoint& endpoint,
                                  const placement_step& step, time_point now) const
{
    const fencing_fields& accepted = endpoint.accepted;
    const bool same_revision = accepted.configuration == configuration_.latest_revision && accepted.sequence_hash != 0;
    const bool is_load = step.order.action == placement_action::load_model;
    // An accepted order of another order sequence at this revision comes from a planner with another endpoint list, or
    // from this planner with its previous list. While the endpoint has not converged, its last accepted order may be a
    // load whose end is not reported yet.
    const bool other_sequence = is_load && (same_revision || plan.may_be_loading(endpoint));
    const duration wait = order_timeout_after(same_revision ? accepted.order_count : 0);
    // next_fence() returns 0 when no number is available, which decodes to another revision.
    const bool fence_exhausted =
        decode_fence(next_fence(endpoint, step.sequence_hash)).configuration != configuration_.latest_revision;
    return ((step.already_accepted || other_sequence) && now < endpoint.accepted_since + wait) ||
           now < endpoint.order_pending_until || !endpoint.confirmed || fence_exhausted;
}

fencing_number placement_planner::next_fence(const planned_endpoint& endpoint, std::uint64_t sequence_hash) const
{
    const fencing_fields sent = decode_fence(endpoint.last_sent);
    std::uint64_t count = 0;
    if (endpoint.accepted.configuration == configuration_.latest_revision && endpoint.accepted.sequence_hash != 0)
    {
        count = endpoint.accepted.order_count + 1;
    }
    if (sent.configuration == configuration_.latest_revision)
    {
        // The count never falls below that of this planner's last order, whose answer may be lost. The same order keeps
        // its number.
        const bool same = sent.sequence_hash == sequence_hash && sent.order_count >= count;
        count = same ? sent.order_count : std::max(count, sent.order_count + 1);
    }
    if (count > fencing_fields::max_order_count ||
        configuration_.latest_revision.value() > fencing_fields::max_revision)
    {
        return fencing_number{};
    }
    return encode_fence({configuration_.latest_revision, count, sequence_hash});
}

duration placement_planner::order_timeout_after(std::uint64_t accepted_orders) const
{
    duration wait = settings_.order_timeout;
    for (std::uint64_t order = 1; order < accepted_orders && wait < settings_.max_order_timeout; ++order)
    {
        wait *= 2;
    }
    return std::min(wait, settings_.max_order_timeout);
}

} // namespace parsleyshift
