#include <parsleyshift/placement/placement_planner.hpp>

#include <parsleyshift/core/hash.hpp>            // rendezvous_score
#include <parsleyshift/placement/assignment.hpp> // assign_models, plan_of, no_model
#include <parsleyshift/placement/fence.hpp>      // make_fence, parts_of

#include <algorithm> // max, min, sort
#include <string>    // to_string
#include <utility>   // move

namespace parsleyshift
{

namespace
{

/// @brief Entry slots whose holders may plan a service: those with the highest scores over all slots that exist.
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
    if (configuration.latest < configuration_.latest)
    {
        return;
    }
    if (configuration.latest > configuration_.latest)
    {
        configuration_since_ = now;
    }
    configuration_ = std::move(configuration);
    rebuild();
    set_rates(now);
}

void placement_planner::set_endpoints(std::vector<placement_endpoint> endpoints)
{
    std::vector<endpoint_knowledge> known = std::move(endpoints_);
    const std::unordered_map<endpoint_id, std::size_t> known_index = std::move(index_);
    endpoints_.clear();
    index_.clear();
    for (placement_endpoint& listed : endpoints)
    {
        if (!index_.emplace(listed.endpoint, endpoints_.size()).second)
        {
            continue;
        }
        const auto former = known_index.find(listed.endpoint);
        endpoints_.push_back(former == known_index.end() ? endpoint_knowledge{} : std::move(known[former->second]));
        endpoints_.back().where = std::move(listed);
    }
    rebuild();
}

void placement_planner::update_members(std::span<const member_update> members)
{
    constexpr int highest_slot = 65'535;
    live_slots_.clear();
    for (const member_update& member : members)
    {
        const bool live = member.state == member_state::alive || member.state == member_state::suspect;
        if (!live || member.entry_slot < 0 || member.entry_slot > highest_slot)
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
    endpoint_knowledge& endpoint = endpoints_[found->second];
    endpoint.reported_at = now;
    endpoint.report = report;
    const auto same_service = [&](const service_plan& plan)
    {
        return plan.service.name == endpoint.where.service;
    };
    const auto plan = std::find_if(plans_.begin(), plans_.end(), same_service);
    if (plan == plans_.end() || !plan->service.honours_fencing)
    {
        endpoint.confirmed = now > endpoint.answered_at + settings_.oldest_report;
        return;
    }
    // A lower number shortly after an answer is an old report; later it means that the engine has started anew.
    const bool old =
        report.fence < make_fence(endpoint.accepted) && now < endpoint.accepted_since + settings_.order_timeout;
    if (!old && endpoint.accepted != parts_of(report.fence))
    {
        endpoint.accepted = parts_of(report.fence);
        endpoint.accepted_since = now;
    }
    endpoint.confirmed = !old;
}

void placement_planner::handle(const placement_answered& answer, time_point now)
{
    const auto found = index_.find(answer.order.endpoint);
    if (found == index_.end())
    {
        return;
    }
    endpoint_knowledge& endpoint = endpoints_[found->second];
    endpoint.busy_until = now;
    endpoint.answered_at = now;
    endpoint.confirmed = false;
    if (answer.accepted)
    {
        endpoint.accepted = parts_of(answer.order.fence);
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
    holds_.clear();
    const std::size_t sent_before = out.size();
    for (service_plan& plan : plans_)
    {
        const auto& slots = plan.planner_slots;
        if (plan.models.empty() || std::find(slots.begin(), slots.end(), self_.entry_slot) == slots.end())
        {
            continue;
        }
        plan.measure_capacity(endpoints_, now - settings_.oldest_report);
        for (std::size_t count = 0; count < plan.endpoints.size(); ++count)
        {
            const std::size_t position = (first_ + count) % plan.endpoints.size();
            if (out.size() - sent_before < settings_.orders_per_pass)
            {
                plan_endpoint(plan, position, now, out);
            }
        }
    }
    ++first_;
}

time_point placement_planner::next_deadline() const
{
    return next_pass_;
}

const std::vector<placement_hold>& placement_planner::holds() const
{
    return holds_;
}

void placement_planner::rebuild()
{
    plans_.clear();
    for (const auto& revised : configuration_.services)
    {
        if (revised.record.kind == service_kind::engine)
        {
            plans_.push_back(build(revised.record));
            const service_plan& plan = plans_.back();
            for (const std::size_t index : plan.endpoints)
            {
                endpoints_[index].natural = natural_model(plan.models, endpoints_[index].where.endpoint);
            }
        }
    }
}

service_plan placement_planner::build(const service_record& service) const
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
        plan.plans.push_back(plan_of(model));
    }
    const region_id& store_region = configuration_.fleet.store_region;
    std::vector<const placement_endpoint*> loading;
    std::vector<std::size_t> positions;
    for (std::size_t index = 0; index < endpoints_.size(); ++index)
    {
        const placement_endpoint& endpoint = endpoints_[index].where;
        if (endpoint.service != service.name)
        {
            continue;
        }
        if (store_region.empty() || endpoint.region == store_region)
        {
            loading.push_back(&endpoint);
            positions.push_back(plan.endpoints.size());
        }
        plan.endpoints.push_back(index);
    }
    plan.assigned.assign(plan.endpoints.size(), no_model);
    const std::vector<std::size_t> assigned = assign_models(plan.models, loading);
    for (std::size_t index = 0; index < assigned.size(); ++index)
    {
        plan.assigned[positions[index]] = assigned[index];
    }
    plan.planner_slots =
        choose_planner_slots(service.name, configuration_.fleet.entry_slots, settings_.planners_per_service);
    return plan;
}

void placement_planner::set_rates(time_point now)
{
    for (const service_plan& plan : plans_)
    {
        std::int64_t largest_load = 0;
        for (const model_record& model : plan.models)
        {
            largest_load = std::max(largest_load, model.weight_bytes);
        }
        const std::size_t shares = plans_.size() * std::max<std::size_t>(1, plan.planner_slots.size());
        const auto rate = static_cast<double>(configuration_.fleet.store_bytes_per_second);
        budgets_[plan.service.name].set_rate(rate / static_cast<double>(shares), largest_load, now);
    }
}

void placement_planner::plan_endpoint(const service_plan& plan, std::size_t position, time_point now,
                                      std::vector<send_placement_order>& out)
{
    endpoint_knowledge& endpoint = endpoints_[plan.endpoints[position]];
    if (!owns(plan, endpoint.where.endpoint))
    {
        return;
    }
    const auto hold = [&](hold_reason why)
    {
        holds_.push_back({endpoint.where.endpoint, why});
    };
    const std::size_t model = plan.assigned[position];
    const bool fenced = plan.service.honours_fencing;
    const duration oldest = fenced ? settings_.oldest_report : settings_.oldest_report_without_fencing;
    if (!endpoint.report || endpoint.reported_at < now - oldest || endpoint.report->leaving)
    {
        return hold(hold_reason::no_report);
    }
    if (model == no_model)
    {
        return hold(hold_reason::other_region);
    }
    const std::optional<placement_step> step = plan.next_step(endpoint, model);
    if (!step)
    {
        return;
    }
    if (endpoint.accepted.configuration > configuration_.latest)
    {
        return hold(hold_reason::behind);
    }
    if (now < configuration_since_ + (fenced ? settings_.hold_off : settings_.hold_off_without_fencing))
    {
        return hold(hold_reason::hold_off);
    }
    if (waits(plan, endpoint, *step, now))
    {
        return hold(hold_reason::in_progress);
    }
    const bool unloads = step->order.action == placement_action::unload_model;
    if (!unloads && !plan.may_disturb(endpoint))
    {
        return hold(hold_reason::capacity);
    }
    const bool loads = step->order.action == placement_action::load_model;
    if (loads && !budgets_[plan.service.name].try_spend(plan.models[model].weight_bytes, now))
    {
        return hold(hold_reason::store_rate);
    }
    endpoint.busy_until = now + settings_.order_timeout;
    send_placement_order sent{endpoint.where.address, step->order};
    sent.order.fence = next_fence(endpoint, step->plan);
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
        const bool live = index < live_slots_.size() && live_slots_[index];
        if (slot != self_.entry_slot && live && score(slot) > own)
        {
            return false;
        }
    }
    return true;
}

bool placement_planner::waits(const service_plan& plan, const endpoint_knowledge& endpoint, const placement_step& step,
                              time_point now) const
{
    const fence_parts& accepted = endpoint.accepted;
    const bool same_revision = accepted.configuration == configuration_.latest && accepted.plan != 0;
    const bool starts_over = step.order.action == placement_action::load_model;
    // Another plan at this revision is the order of a planner with another view, or of this one with a former list.
    // A plan that is not complete may be a load, whose end this planner could not have seen yet.
    const bool foreign = starts_over && (same_revision || plan.may_be_loading(endpoint));
    const duration wait = wait_after(same_revision ? accepted.count : 0);
    const bool exhausted = parts_of(next_fence(endpoint, step.plan)).configuration != configuration_.latest;
    return ((step.accepted || foreign) && now < endpoint.accepted_since + wait) || now < endpoint.busy_until ||
           !endpoint.confirmed || exhausted;
}

fencing_number placement_planner::next_fence(const endpoint_knowledge& endpoint, std::uint64_t plan) const
{
    const fence_parts sent = parts_of(endpoint.last_sent);
    std::uint64_t count = 0;
    if (endpoint.accepted.configuration == configuration_.latest && endpoint.accepted.plan != 0)
    {
        count = endpoint.accepted.count + 1;
    }
    if (sent.configuration == configuration_.latest)
    {
        // Never below an earlier order of this planner, whose answer may be lost; the same order keeps its number.
        const bool same = sent.plan == plan && sent.count >= count;
        count = same ? sent.count : std::max(count, sent.count + 1);
    }
    if (count > fence_parts::highest_count || configuration_.latest.value() > fence_parts::highest_revision)
    {
        return fencing_number{};
    }
    return make_fence({configuration_.latest, count, plan});
}

duration placement_planner::wait_after(std::uint64_t orders) const
{
    duration wait = settings_.order_timeout;
    for (std::uint64_t order = 1; order < orders && wait < settings_.longest_order_timeout; ++order)
    {
        wait *= 2;
    }
    return std::min(wait, settings_.longest_order_timeout);
}

} // namespace parsleyshift
